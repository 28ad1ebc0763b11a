package soak

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// Announcements of servers in their answers.
const (
	minPause, maxPause = 200 * time.Millisecond, 3 * time.Second
	// maxAskTime is the longest time for which a server that wants a pause rejects
	// requests.
	maxAskTime = time.Second
	// oddPauseFraction is the fraction of the single servers that ask with an odd value.
	oddPauseFraction   = 0.2
	minRestartDowntime = 50 * time.Millisecond
	maxRestartDowntime = time.Second
)

// oddPauses are values of Retry-After that are at or beyond the edge of what is allowed.
var oddPauses = [][]string{
	{"0"}, {"-1"}, {"NaN"}, {"1e300"}, {"Fri, 31 Dec 1999 23:59:59 GMT"}, {"1", "2"}, {"0.05"}, {""},
}

// announceDeparture makes one server announce in its answers that it leaves.
func (h *harness) announceDeparture(r *rand.Rand, d time.Duration) {
	h.leaveByAnswer(r, h.takeServers(r, r.IntN(2) == 0, func(int) int { return 1 }), d)
}

// announceDepartures makes up to half of the servers of a service, two at least, leave at
// once.
func (h *harness) announceDepartures(r *rand.Rand, d time.Duration) {
	h.leaveByAnswer(r, h.takeServers(r, r.IntN(2) == 0, func(all int) int { return 2 + r.IntN(max(all/2-1, 1)) }), d)
}

// leaveByAnswer makes servers say in all their answers that they leave, while the store
// says so at once, later, or not at all, or does not respond. In the end they are gone, or
// start again under the same id and say no longer that they leave.
func (h *harness) leaveByAnswer(r *rand.Rand, leaving []*server, d time.Duration) {
	restarts, state := r.IntN(2) == 0, storeState(r.IntN(int(storeStateCount)))
	for _, x := range leaving {
		h.recordFault("%s announces its departure, the store %v, it starts again: %t", x.ID(), state, restarts)
		if !restarts {
			h.startReplacement(x)
		}
		x.Announce(userplatform.Announcement{Leaving: true})
	}
	if len(leaving) == 0 {
		return
	}
	h.tellStore(state, leaving, !restarts, d)
	time.Sleep(drainNotice)
	defer h.faults.begin(scopeServers)()
	for _, x := range leaving {
		x.Crash()
	}
	if restarts {
		h.startAgain(leaving, randomDuration(r, minRestartDowntime, maxRestartDowntime))
		return
	}
	for _, x := range leaving {
		x.Unregister()
	}
}

// storeState is what the store says of servers that announce their departure.
type storeState int

const (
	storeDraining storeState = iota
	storeDrainingLater
	storeReady
	storeSilent
	storeStateCount
)

func (s storeState) String() string {
	return [storeStateCount]string{"says so", "says so later", "says that it is ready", "is silent"}[s]
}

// tellStore makes the store say of servers what the state demands, for the given time.
func (h *harness) tellStore(s storeState, leaving []*server, forGood bool, d time.Duration) {
	switch s {
	case storeDraining, storeDrainingLater:
		if s == storeDrainingLater {
			time.Sleep(d)
		}
		for _, x := range leaving {
			x.Register("draining")
			if forGood {
				h.recordDrain(x)
			}
		}
		if s == storeDraining {
			time.Sleep(d)
		}
	case storeSilent:
		defer h.faults.begin(scopeStore)()
		f := &userplatform.StoreFaults{Silent: []string{"*"}}
		h.updateStoreFaults(func() { h.storeFaults[f] = struct{}{} })
		time.Sleep(d)
		h.updateStoreFaults(func() { delete(h.storeFaults, f) })
	case storeReady, storeStateCount:
		time.Sleep(d)
	}
}

// startAgain starts crashed servers under their ids and puts them back on the list.
func (h *harness) startAgain(crashed []*server, downtime time.Duration) {
	time.Sleep(downtime)
	for _, x := range crashed {
		x.Restart()
		if err := x.Resume(); err != nil {
			h.violations.add(invariantNoUnexpectedExit, "%v", err)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servers = append(h.servers, crashed...)
}

// askForPause makes one server ask for a pause, at times with an odd value. It starts
// again afterwards in that case, so that its pause ends.
func (h *harness) askForPause(r *rand.Rand, d time.Duration) {
	if r.Float64() >= oddPauseFraction {
		h.rejectWithRetryAfter(r, []*server{h.pickServer(r, false)}, randomPause(r), d)
		return
	}
	taken := h.takeServers(r, r.IntN(2) == 0, func(int) int { return 1 })
	if len(taken) == 0 {
		return
	}
	h.rejectWithRetryAfter(r, taken, oddPauses[r.IntN(len(oddPauses))], d)
	defer h.faults.begin(scopeServers)()
	taken[0].Crash()
	h.startAgain(taken, randomDuration(r, minRestartDowntime, maxRestartDowntime))
}

// askForPauses makes several servers of a service ask for a pause, at times all of them.
func (h *harness) askForPauses(r *rand.Rand, d time.Duration) {
	h.rejectWithRetryAfter(r, h.severalServers(r), randomPause(r), d)
}

// severalServers returns half of the servers of a service, at times all of them.
func (h *harness) severalServers(r *rand.Rand) []*server {
	h.mu.Lock()
	servers := h.serversOfKind(r.IntN(2) == 0)
	h.mu.Unlock()
	r.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	if r.IntN(3) > 0 {
		servers = servers[:(len(servers)+1)/2]
	}
	return servers
}

func randomPause(r *rand.Rand) []string {
	return []string{strconv.FormatFloat(randomDuration(r, minPause, maxPause).Seconds(), 'f', 2, 64)}
}

// rejectWithRetryAfter makes servers reject requests with the given values for a while.
func (h *harness) rejectWithRetryAfter(r *rand.Rand, servers []*server, values []string, d time.Duration) {
	a := userplatform.Announcement{RetryAfter: values, RejectManagement: r.IntN(3) == 0}
	for _, x := range servers {
		h.recordFault("%s asks for a pause of %q s, in answers to management calls as well: %t", x.ID(), values, a.RejectManagement)
		x.Announce(a)
	}
	time.Sleep(min(d, maxAskTime))
	for _, x := range servers {
		// A server that leaves by now no longer says so. The VMs know it all the same.
		x.Announce(userplatform.Announcement{})
	}
}
