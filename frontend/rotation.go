package frontend

import (
	"context"
	"time"

	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// serviceRotation iterates over up to maxAttempts backend servers of a route that may be
// used, each once.
type serviceRotation struct {
	f       *Frontend
	service string
	first   uint64
	tried   map[string]bool
	// deadline is when the call is given up, on the clock of package boottime.
	deadline time.Duration
}

func (f *Frontend) serviceRotation(route bundle.Route) *serviceRotation {
	return &serviceRotation{
		f: f, service: route.Service, first: f.serviceCursor.Add(1), tried: make(map[string]bool, maxAttempts),
		deadline: boottime.Now() + route.Timeout(),
	}
}

// next returns the next server. If those that are left are paused, it waits for the first
// one, provided that this leaves most of the time for the call.
func (s *serviceRotation) next(ctx context.Context) (vmlist.VM, bool) {
	for {
		vm, ok := s.pick()
		if ok || !s.await(ctx) {
			return vm, ok
		}
	}
}

// pick returns a server that may be used now. It reads the current snapshot, since a
// server may have started to leave during the claim or an earlier attempt.
func (s *serviceRotation) pick() (vmlist.VM, bool) {
	candidates := s.f.Snapshot().Services[s.service]
	for i := range candidates {
		vm := candidates[(s.first+uint64(i))%uint64(len(candidates))]
		if len(s.tried) < maxAttempts && !s.tried[vm.ID] && s.f.Servers.Check(vm) == nil {
			s.tried[vm.ID] = true
			return vm, true
		}
	}
	return vmlist.VM{}, false
}

// await waits until a server that was not tried may be used again. It returns false if
// there is none soon enough.
func (s *serviceRotation) await(ctx context.Context) bool {
	var servers []serverstate.Server
	for _, vm := range s.f.Snapshot().Services[s.service] {
		if !s.tried[vm.ID] {
			servers = append(servers, serverstate.Server{ID: vm.ID, Incarnation: vm.Incarnation})
		}
	}
	if len(servers) == 0 || len(s.tried) >= maxAttempts {
		return false
	}
	now := boottime.Now()
	advice := s.f.Servers.Table().Advise(now, servers, s.deadline, s.deadline)
	switch advice.Action {
	case serverstate.Wait:
		return wait.Sleep(ctx, advice.Until-now)
	case serverstate.Send:
		return ctx.Err() == nil
	default:
		return false
	}
}

// forget makes a server to which nothing was sent count as not tried.
func (s *serviceRotation) forget(vm vmlist.VM) { delete(s.tried, vm.ID) }
