package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Releases of further software versions, and kills of all VMs.
const (
	// firstVersion is the software version of the engines before any release.
	firstVersion = "build-1"
	// A seed has up to maxReleases releases, and one in seedsPerKillOfAll kills all VMs at once.
	maxReleases                    = 2
	seedsPerKillOfAll              = 2
	minReleaseTime, maxReleaseTime = 2 * time.Second, 8 * time.Second
	// maxRestartTime is the longest time from the kill of all VMs to their start.
	maxRestartTime = 1500 * time.Millisecond
	// With these sources the seeds that CI plays with all faults, 1, 2, 3740 and 3775, have no release
	// and no kill of all VMs, so that they mean the same as before there were any.
	releaseSource, killOfAllSource = 49, 6
)

// releases and killsOfAll are faults that are drawn apart from all others, so that the other faults of
// a seed do not depend on them.
var (
	releases   = fault{name: "release", apply: (*harness).release}
	killsOfAll = fault{name: "all vms killed", apply: (*harness).killAll}
)

// releasesOf draws the releases of a seed. A run that is restricted to some faults has the largest
// number of them if they are among these.
func releasesOf(seed uint64, length time.Duration, kinds []fault) []fault {
	if !hasKind(kinds, releases) {
		return nil
	}
	r := rand.New(rand.NewPCG(seed, releaseSource))
	n := r.IntN(maxReleases + 1)
	if len(kinds) <= len(faultKinds) {
		n = maxReleases
	}
	var out []fault
	for range n {
		out = append(out, releases.draw(r, length, minReleaseTime, maxReleaseTime))
	}
	return out
}

// killsOfAllOf draws whether all VMs of a seed are killed at once, and when. A run that is restricted
// to some faults has such a kill if it is among these.
func killsOfAllOf(seed uint64, length time.Duration, kinds []fault) []fault {
	r := rand.New(rand.NewPCG(seed, killOfAllSource))
	if !hasKind(kinds, killsOfAll) || len(kinds) > len(faultKinds) && r.IntN(seedsPerKillOfAll) > 0 {
		return nil
	}
	return []fault{killsOfAll.draw(r, length, minFaultDuration, maxRestartTime)}
}

// releaseExtent is how far a release goes.
type releaseExtent int

const (
	// wholeRelease replaces all engines, halfRelease half of them.
	wholeRelease releaseExtent = iota
	halfRelease
	// halfReleaseAndBack replaces half of the engines, and then these by ones of the version before.
	halfReleaseAndBack
)

// releaseExtents names the extents in the record of faults.
var releaseExtents = [...]string{wholeRelease: "whole", halfRelease: "half", halfReleaseAndBack: "half and back"}

// release replaces the engines one after the other by engines of a further software version, unless
// another release goes on. It may stop half way, or go back from there to the version before.
func (h *harness) release(r *rand.Rand, d time.Duration) {
	if !h.releasing.TryLock() {
		return
	}
	defer h.releasing.Unlock()
	h.mu.Lock()
	before := h.version
	old := h.serversOfKind(true)
	h.mu.Unlock()
	next, extent := fmt.Sprintf("build-%x", r.Uint32()), releaseExtent(r.IntN(len(releaseExtents)))
	h.recordFault("release of %s, %s", next, releaseExtents[extent])
	r.Shuffle(len(old), func(i, j int) { old[i], old[j] = old[j], old[i] })
	var ends sync.WaitGroup
	defer ends.Wait()
	if extent == wholeRelease {
		h.replaceEngines(&ends, old, next, d)
		h.setVersion(next)
		return
	}
	started := h.replaceEngines(&ends, old[:(len(old)+1)/2], next, d)
	if extent == halfReleaseAndBack {
		h.replaceEngines(&ends, started, before, d)
	}
}

// replaceEngines starts an engine of a version for each of the given ones that is on the list, which
// then leaves with notice, and returns the started ones. It takes the given time.
func (h *harness) replaceEngines(ends *sync.WaitGroup, old []*server, version string, d time.Duration) (started []*server) {
	for _, x := range old {
		if !h.unlist(x) {
			continue // It left for another reason.
		}
		y, err := h.startServer(true, version)
		if err != nil {
			h.violations.add(invariantNoUnexpectedExit, "%v", err)
			return started
		}
		started = append(started, y)
		h.recordFault("%s of %s leaves for %s of %s", x.ID(), x.version, y.ID(), version)
		x.Register("draining")
		h.recordDrain(x)
		ends.Go(func() {
			time.Sleep(drainNotice)
			defer h.faults.begin(scopeServers)()
			x.Unregister()
			x.Crash()
		})
		time.Sleep(d / time.Duration(len(old)))
	}
	return started
}

// unlist removes an engine from the servers of the harness. It reports whether it was among them.
func (h *harness) unlist(x *server) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, y := range h.servers {
		if x == y {
			h.servers = append(h.servers[:i:i], h.servers[i+1:]...)
			return true
		}
	}
	return false
}

func (h *harness) setVersion(version string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version = version
}

// killAll kills all VMs at once, but for those that another fault stops, and starts them again.
func (h *harness) killAll(_ *rand.Rand, d time.Duration) {
	var ends sync.WaitGroup
	defer ends.Wait()
	for _, v := range h.vms {
		if v.reserve() {
			ends.Go(func() { h.restart(v, syscall.SIGKILL, d) })
		}
	}
}
