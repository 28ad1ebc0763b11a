package gateway

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillaarch/vanillaarch/balance"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// serviceBalancer wraps a balancer for concurrent use.
type serviceBalancer struct {
	// speeds is set once a server has reported the speed of its machine.
	speeds atomic.Bool

	mu       sync.Mutex
	balancer *balance.Balancer
	// lastList is the VM list for which the balancer last removed unlisted servers.
	lastList *vmlist.List
	// invalidLoad holds the incarnations of the servers whose invalid report was logged.
	invalidLoad map[string]int64
}

func newServiceBalancer(zone string) *serviceBalancer {
	return &serviceBalancer{balancer: balance.New(zone, uint64(time.Now().UnixNano())), invalidLoad: map[string]int64{}}
}

// pick selects a server for which usable returns nil, and counts the request as started
// on it.
func (b *serviceBalancer) pick(snap *control.Snapshot, service string, excluded []string, usable func(vmlist.VM) error) (vmlist.VM, bool) {
	now := boottime.Now()
	candidates, held := candidatesOf(snap, service, now, usable)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lastList != snap.VMs {
		b.lastList = snap.VMs
		listed := func(id string) bool { _, ok := snap.Backends[id]; return ok }
		b.balancer.Retain(listed)
		maps.DeleteFunc(b.invalidLoad, func(id string, _ int64) bool { return !listed(id) })
	}
	chosen, ok := b.balancer.Pick(now, candidates, excluded)
	if !ok {
		chosen, ok = b.balancer.Pick(now, held, excluded)
	}
	if !ok {
		return vmlist.VM{}, false
	}
	b.balancer.Start(now, chosen.ID)
	return snap.Backends[chosen.ID], true
}

// candidatesOf returns the usable servers of a service. held are those that get no request this time
// unless no other server can have it: the evacuation of their zone ended lately, and they get their
// share of the requests back gradually.
func candidatesOf(snap *control.Snapshot, service string, now time.Duration, usable func(vmlist.VM) error) (candidates, held []balance.Server) {
	vms := snap.Services[service]
	candidates = make([]balance.Server, 0, len(vms))
	resuming := snap.Evacuations.IsResuming(now)
	for _, vm := range vms {
		if usable(vm) != nil {
			continue
		}
		server := balance.Server{ID: vm.ID, Zone: vm.Zone, Slots: vm.Slots}
		if resuming && rand.Float64() >= snap.Evacuations.Share(now, vm.Zone) {
			held = append(held, server)
			continue
		}
		candidates = append(candidates, server)
	}
	return candidates, held
}

// start counts a request as started on a server that was not picked.
func (b *serviceBalancer) start(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balancer.Start(boottime.Now(), id)
}

// reportAnswer passes the load in an answer to the balancer. The speed in an answer of another
// server at the address says nothing about this one.
func (b *serviceBalancer) reportAnswer(vm vmlist.VM, status int, load *edge.Load) {
	if load != nil && load.Slowdown != 0 && status == http.StatusMisdirectedRequest {
		return
	}
	b.report(vm, load)
}

// report passes the load that a server reported to the balancer.
func (b *serviceBalancer) report(vm vmlist.VM, load *edge.Load) {
	if load == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := boottime.Now()
	if load.Running != edge.UnknownFigure && load.Waiting != edge.UnknownFigure {
		b.balancer.Report(now, vm.ID, load.Running+load.Waiting)
	}
	switch {
	case load.Slowdown > 0:
		b.speeds.Store(true)
		b.balancer.ReportSpeed(now, vm.ID, balance.Speed{Slots: load.Slots, Slowdown: load.Slowdown})
	case load.Slowdown == 0:
		b.balancer.ForgetSpeed(vm.ID)
	}
}

// reportsSpeed reports whether a server has reported the speed of its machine.
func (b *serviceBalancer) reportsSpeed(id string) bool {
	if !b.speeds.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balancer.ReportsSpeed(id)
}

// stale returns a server of a service whose figures are too old to be of use.
func (b *serviceBalancer) stale(snap *control.Snapshot, service string) (vmlist.VM, bool) {
	if !b.speeds.Load() {
		return vmlist.VM{}, false
	}
	var candidates []balance.Server
	for _, vm := range snap.Services[service] {
		candidates = append(candidates, balance.Server{ID: vm.ID, Zone: vm.Zone, Slots: vm.Slots})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	stale, ok := b.balancer.Stale(boottime.Now(), candidates)
	return snap.Backends[stale.ID], ok
}

// isFirstInvalidLoad reports whether no invalid report of this start of the server was seen before.
func (b *serviceBalancer) isFirstInvalidLoad(vm vmlist.VM) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	incarnation, seen := b.invalidLoad[vm.ID]
	b.invalidLoad[vm.ID] = vm.Incarnation
	return !seen || incarnation != vm.Incarnation
}

func (b *serviceBalancer) finish(id string, result balance.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balancer.Finish(boottime.Now(), id, result)
}
