package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

func (h *harness) faultStoreLink(r *rand.Rand, d time.Duration) {
	v, f := h.vms[r.IntN(len(h.vms))], 1+linkFault(r.IntN(int(linkFaultCount)-1))
	h.recordFault("%s of %s is %v", "store link", v.name, f)
	defer h.faults.begin(scopeVM(v.name))()
	v.store.setFault(f)
	time.Sleep(d)
	v.store.setFault(linkHealthy)
}

// faultStore injects a fault of the store for one VM or all of them. Overlapping
// faults are combined.
func (h *harness) faultStore(r *rand.Rand, d time.Duration) {
	var f userplatform.StoreFaults
	names := []string{"*"}
	if r.IntN(2) == 0 {
		names = []string{h.vms[r.IntN(len(h.vms))].name}
	}
	switch r.IntN(5) {
	case 0:
		f = userplatform.StoreFaults{Refuse: names, RefuseStatus: http.StatusServiceUnavailable}
	case 1:
		f = userplatform.StoreFaults{Refuse: names, RefuseStatus: http.StatusTooManyRequests, Lapse: true}
	case 2:
		f = userplatform.StoreFaults{Silent: names}
	case 3:
		f = userplatform.StoreFaults{Delay: 200 * time.Millisecond}
	case 4:
		f = userplatform.StoreFaults{LoseWrites: true}
	}
	h.recordFault("store %+v", f)
	defer h.faults.begin(scopeStore)()
	h.updateStoreFaults(func() { h.storeFaults[&f] = struct{}{} })
	time.Sleep(d)
	h.updateStoreFaults(func() { delete(h.storeFaults, &f) })
}

// updateStoreFaults changes the set of active faults and applies their
// combination.
func (h *harness) updateStoreFaults(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
	var all userplatform.StoreFaults
	for x := range h.storeFaults {
		all.Refuse = append(all.Refuse, x.Refuse...)
		all.Silent = append(all.Silent, x.Silent...)
		all.RefuseStatus = max(all.RefuseStatus, x.RefuseStatus)
		all.Delay = max(all.Delay, x.Delay)
		all.LoseWrites = all.LoseWrites || x.LoseWrites
		all.Lapse = all.Lapse || x.Lapse
	}
	h.store.SetFaults(all)
}

func (h *harness) compactStore(*rand.Rand, time.Duration) {
	defer h.faults.begin(scopeStore)()
	h.store.Compact()
}

func (h *harness) dropWatchResponses(*rand.Rand, time.Duration) { h.store.StallPendingWatches() }

func (h *harness) replaceKey(*rand.Rand, time.Duration) { h.keys.rotate(h.store) }

func (h *harness) replaceKeys(*rand.Rand, time.Duration) {
	for range rotationBurst {
		h.keys.rotate(h.store)
		time.Sleep(rotationBurstInterval)
	}
}

// Parameters of returns of the store from a copy.
const (
	// maxReturns is the largest number of returns in a seed.
	maxReturns                     = 2
	minStoreAway, maxStoreAway     = 100 * time.Millisecond, 1500 * time.Millisecond
	minRewriteTime, maxRewriteTime = 200 * time.Millisecond, 1800 * time.Millisecond
)

// storeReturns is a fault that schedules draw apart from the others, so that they give each seed
// the faults that it had before.
var storeReturns = fault{name: "store returns from a copy", apply: (*harness).returnStore}

// returnStore makes the store come back from a copy that is as old as the fault is long. What the
// operator and the servers wrote since is written again a little later.
func (h *harness) returnStore(r *rand.Rand, d time.Duration) {
	if !h.returning.TryLock() {
		return
	}
	defer h.returning.Unlock()
	defer h.faults.begin(scopeStore)()
	from := h.store.Copy()
	time.Sleep(d)
	away, rewrite := uniform(r, minStoreAway, maxStoreAway), uniform(r, minRewriteTime, maxRewriteTime)
	f := userplatform.StoreFaults{Refuse: []string{"*"}, RefuseStatus: http.StatusServiceUnavailable}
	h.updateStoreFaults(func() { h.storeFaults[&f] = struct{}{} })
	time.Sleep(away)
	h.recordFault("store returns from a copy of %v before, after %v", (d + away).Round(time.Millisecond), away.Round(time.Millisecond))
	h.store.Restore(from, rewrite)
	h.updateStoreFaults(func() { delete(h.storeFaults, &f) })
	time.Sleep(rewrite)
}

func uniform(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(int64(to-from)))
}
