package soak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// The test in which the store returns from a copy under processes.
const (
	returnVMs, returnDesks = 6, 4
	// returnLostWrites is the number of writes that the return loses. It exceeds that of the writes
	// after it, so that the revisions do not pass those from before.
	returnLostWrites = 300
	returnAway       = 500 * time.Millisecond
	returnRewrite    = 1500 * time.Millisecond
	// firstRequestBound is the time within which a server that has started gets a request.
	firstRequestBound = 2 * time.Second
)

// Guards against VMs that do not see which servers leave and start after the store has come back
// from a copy, once and twice, while a VM is killed, one stops, and the store refuses one: 209
// requests reached a server more than 2 s after it had said that it drains.
func TestServersAreFollowedAfterReturns(t *testing.T) {
	t.Parallel()
	h := startHarness(t, Options{Engines: 1, PlainServers: returnDesks, VMs: returnVMs}, 1)
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i, v := range h.vms {
		for n := range callersPerVM {
			c := newCaller(h, v, i*callersPerVM+n)
			callers.Go(func() { c.lookUntil(ctx) })
		}
	}
	time.Sleep(time.Second)
	from := h.store.Copy()
	for range returnLostWrites {
		userplatform.RegisterUnreachable(h.store, "other", "other")
	}
	time.Sleep(time.Second)
	started := map[string]time.Time{}
	for round := range 2 {
		refused := []string{h.vms[0].name}
		h.returnFrom(from, refused)
		var faults sync.WaitGroup
		faults.Go(func() { h.restart(h.vms[1], syscall.SIGKILL, killDowntime) })
		faults.Go(func() { h.restart(h.vms[2], syscall.SIGTERM, killDowntime) })
		time.Sleep(returnRewrite)
		leaving := h.serversOfKind(false)[round]
		leaving.Register("draining")
		h.recordDrain(leaving)
		if err := h.addServer(false); err != nil {
			t.Fatal(err)
		}
		started[h.servers[len(h.servers)-1].ID()] = time.Now()
		time.Sleep(2 * drainBound)
		leaving.Unregister()
		leaving.Crash()
		faults.Wait()
		h.store.SetFaults(userplatform.StoreFaults{})
	}
	stop()
	callers.Wait()
	exchanges := h.fleet.Exchanges()
	h.checkDrains(exchanges)
	h.checkProcesses()
	for id, at := range started {
		if first := firstArrival(exchanges, id); first.IsZero() || first.Sub(at) > firstRequestBound {
			t.Errorf("%s, which started %v after the start of the test, got its first request %v later", id, at.Sub(h.started), first.Sub(at))
		}
	}
	for _, v := range h.violations.all() {
		t.Error(v)
	}
}

// returnFrom makes the store go away and come back from a copy. It refuses some VMs after that.
func (h *harness) returnFrom(from *userplatform.StoreCopy, refused []string) {
	h.store.SetFaults(userplatform.StoreFaults{Refuse: []string{"*"}, RefuseStatus: http.StatusServiceUnavailable})
	time.Sleep(returnAway)
	h.store.Restore(from, returnRewrite)
	h.store.SetFaults(userplatform.StoreFaults{Refuse: refused, RefuseStatus: http.StatusServiceUnavailable})
}

// firstArrival returns the time of the first request at a server, the zero time if there is none.
func firstArrival(exchanges []userplatform.Exchange, server string) time.Time {
	for _, e := range exchanges {
		if e.Server == server {
			return e.ArrivedAt
		}
	}
	return time.Time{}
}
