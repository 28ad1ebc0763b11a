package permit

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/ratelimit"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// ColdBound is the bound on the requests of all VMs to a cold server in any second: Ratio times
// the rate of its service plus Slack. Ratio 0 means that there is none.
type ColdBound struct{ Ratio, Slack float64 }

// coldBound returns the bound that is in force.
func (m *Manager) coldBound() ColdBound {
	if m.opts.ColdBound == nil {
		return ColdBound{}
	}
	return m.opts.ColdBound()
}

// coldRates returns the rates of the cold servers of services that have one.
func (m *Manager) coldRates(table *route.Table, bound ColdBound) map[string]ratelimit.Rate {
	rates := map[string]ratelimit.Rate{}
	if table == nil {
		return rates
	}
	for name, service := range table.Services {
		if rate := ratelimit.ColdRate(service.ColdRate, bound.Ratio, bound.Slack); rate > 0 {
			rates[name] = rate
		}
	}
	return rates
}

// coldService returns the service of a server and the rate of its cold servers, 0 if it has
// none.
func (m *Manager) coldService(table *route.Table, vm vmlist.VM) (*route.Service, ratelimit.Rate) {
	if table == nil {
		return nil, 0
	}
	service := table.Service(vm.ServiceName())
	if service == nil {
		return nil, 0
	}
	bound := m.coldBound()
	return service, ratelimit.ColdRate(service.ColdRate, bound.Ratio, bound.Slack)
}

// followColdRates adopts the rates of the configuration and the settings. It reports whether
// they have changed.
func (m *Manager) followColdRates(now time.Duration, snap *control.Snapshot) bool {
	bound := m.coldBound()
	if m.coldTable == snap.Routes && m.coldBoundSeen == bound {
		return false
	}
	m.coldTable, m.coldBoundSeen = snap.Routes, bound
	// The request path may have adopted a rate that this goroutine has not seen.
	m.table.SetColdRates(now, func(s serverstate.Server) ratelimit.Rate {
		_, rate := m.coldService(snap.Routes, snap.Backends[s.ID])
		return rate
	})
	rates := m.coldRates(snap.Routes, bound)
	changed := !maps.Equal(rates, m.coldRatesSeen)
	m.coldRatesSeen = rates
	return changed
}

// followColdEntries adopts the cold times in the entries of the list.
func (m *Manager) followColdEntries(now time.Duration, snap *control.Snapshot) {
	for _, vm := range snap.Backends {
		switch {
		case vm.Cold != nil:
			m.adoptColdEntry(now, snap, vm, true)
		case m.table.EndCold(now, serverOf(vm)):
			m.opts.Log.Info("server_cold_ended", zap.String("backend", vm.ID), zap.Int64("incarnation", vm.Incarnation))
		}
	}
}

// adoptColdEntry adopts the cold time in the entry of a server. listed is set if the entry is that of the
// current list.
func (m *Manager) adoptColdEntry(now time.Duration, snap *control.Snapshot, vm vmlist.VM, listed bool) {
	_, rate := m.coldService(snap.Routes, vm)
	p, begins := m.table.AdoptColdEntry(now, serverOf(vm), *vm.Cold, rate, listed)
	if !begins {
		return
	}
	if vm.Cold.Invalid {
		m.opts.Log.Warn("server_cold_invalid", zap.String("backend", vm.ID), zap.Int64("incarnation", vm.Incarnation))
		return
	}
	m.logCold(p)
}

// observeCold adopts the cold time in an answer. It never ends a period early.
func (m *Manager) observeCold(a Answer) {
	snap := m.opts.Loop.Snapshot()
	vm, listed := snap.Backends[a.Server.ID]
	if !listed || vm.Incarnation != a.Server.Incarnation {
		return
	}
	m.markCold(snap, vm, *a.Notice.Cold, ratelimit.ColdByHealth)
}

// markCold makes a server count as cold. It reports whether it was not before.
func (m *Manager) markCold(snap *control.Snapshot, vm vmlist.VM, d time.Duration, source ratelimit.ColdSource) bool {
	_, rate := m.coldService(snap.Routes, vm)
	p, begins := m.table.MarkCold(boottime.Now(), serverOf(vm), d, rate, source)
	if begins {
		m.logCold(p)
	}
	return begins
}

// MarkZoneCold makes all servers of an availability zone count as cold for the start time of
// their services, from now on. It must be called before requests are sent to them again. It
// returns the number of servers that were not cold before. It may be called by any goroutine.
func (m *Manager) MarkZoneCold(zone string) int {
	snap, n := m.opts.Loop.Snapshot(), 0
	for _, vm := range snap.Backends {
		if vm.Zone != zone {
			continue
		}
		if service, rate := m.coldService(snap.Routes, vm); rate > 0 && m.markCold(snap, vm, service.ColdStart, ratelimit.ColdByZone) {
			n++
		}
	}
	m.opts.Log.Info("zone_cold", zap.String("zone", zone), zap.Int("servers", n))
	return n
}

// Cold reports whether a server is cold, so that requests need a permit of a lower rate.
func (m *Manager) Cold(vm vmlist.VM) bool {
	e, _ := m.effective(vm)
	return e.Cold
}

// ColdRate returns the rate at which all VMs together send to a server while it is cold, and
// false if it is not cold. It returns false for a server that is not listed.
func (m *Manager) ColdRate(id string) (float64, bool) {
	if m.table.Empty() {
		return 0, false
	}
	vm, listed := m.opts.Loop.Snapshot().Backends[id]
	if !listed {
		return 0, false
	}
	e, _ := m.effective(vm)
	return float64(e.Rate), e.Cold
}

// followZone makes a server count as cold whose zone's evacuation has ended lately. MarkZoneCold is
// called only after the snapshot that ends the evacuation is in use.
func (m *Manager) followZone(now time.Duration, vm vmlist.VM) {
	snap := m.opts.Loop.Snapshot()
	ended, ok := snap.Evacuations.EndedAt(vm.Zone)
	if !ok {
		return
	}
	service, rate := m.coldService(snap.Routes, vm)
	if rate <= 0 || now-ended >= service.ColdStart {
		return
	}
	if p, begins := m.table.MarkCold(now, serverOf(vm), ended+service.ColdStart-now, rate, ratelimit.ColdByZone); begins {
		m.logCold(p)
	}
}

// effective returns the rate of a server. An entry that the control goroutine has not
// processed yet is adopted first, since requests may already be sent to its server.
func (m *Manager) effective(vm vmlist.VM) (ratelimit.Effective, bool) {
	now := boottime.Now()
	if vm.Cold != nil {
		m.adoptColdEntry(now, m.opts.Loop.Snapshot(), vm, false)
	}
	m.followZone(now, vm)
	return m.table.Effective(now, serverOf(vm))
}

func (m *Manager) logCold(p ratelimit.ColdPeriod) {
	m.counters.coldPeriods.Inc(1)
	m.opts.Log.Info("server_cold", zap.String("backend", p.Server.ID), zap.Int64("incarnation", p.Server.Incarnation),
		zap.String("learned_from", string(p.Source)), zap.Duration("remaining", p.Remaining), zap.Float64("rate", float64(p.Rate)))
	m.wakeUp()
}
