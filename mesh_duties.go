package vanillaarch

import (
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/discovery"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/standby"
)

// On the users' platform a mesh decides what its VM asks of the store.
var _ discovery.Duties = (*mesh)(nil)

// confirmationTargets returns the peers that this VM asks for confirmations beside those
// of its rings: the readers, and among the first standbys each other, so that a
// reader that the store refuses hears of the takeover at once.
func (m *mesh) confirmationTargets(ranked []string) []string {
	n := m.opts.Standby.Readers
	if slices.Contains(ranked[:min(len(ranked), watchersPerRegion)], m.opts.VM) {
		n = watchersPerRegion
	}
	return slices.DeleteFunc(slices.Clone(ranked[:min(len(ranked), n)]), func(id string) bool { return id == m.opts.VM })
}

// Duty implements discovery.Duties.
func (m *mesh) Duty() standby.Duty {
	v := standby.View{Now: boottime.Now(), Confirmed: m.lastConfirmed(), Rank: int(m.rank.Load()), Isolated: m.alone()}
	m.dutyMu.Lock()
	defer m.dutyMu.Unlock()
	return m.standbyCore.Duty(v)
}

// Poll implements discovery.Duties.
func (m *mesh) Poll() time.Duration { return m.opts.Standby.PollInterval(int(m.rank.Load())) }

// lastConfirmed returns when the configuration was last known to be in force, or
// until when no confirmation is due: at the start of a whole fleet the operator
// may not have written a configuration yet.
func (m *mesh) lastConfirmed() time.Duration {
	snap := m.opts.Loop.Snapshot()
	if snap.Routes == nil {
		return m.startedAt + initialConfigTimeout
	}
	return max(snap.RoutesConfirmed, m.startedAt)
}

// alone reports whether no peer can tell this VM anything: it hears none, or
// they do not know it.
func (m *mesh) alone() bool { return m.members.Isolated() || !m.listed.Load() }

// Reached implements discovery.Duties.
func (m *mesh) Reached(asked time.Duration) {
	m.dutyMu.Lock()
	defer m.dutyMu.Unlock()
	m.standbyCore.ProbeSucceeded(asked)
}
