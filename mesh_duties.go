package vanillaarch

import (
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/discovery"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/standby"
)

// On the users' platform, the mesh assigns this VM its role in accessing the store.
var _ discovery.Duties = (*mesh)(nil)

// confirmationTargets returns the peers that this VM asks for confirmations in addition
// to those of its rings. These are the readers; the readers and first standbys also ask
// each other, so that a reader that the store rejects learns of a takeover immediately.
func (m *mesh) confirmationTargets(ranked []string) []string {
	n := m.opts.Standby.Readers
	if slices.Contains(ranked[:min(len(ranked), watchersPerRegion)], m.opts.VM) {
		n = watchersPerRegion
	}
	return slices.DeleteFunc(slices.Clone(ranked[:min(len(ranked), n)]), func(id string) bool { return id == m.opts.VM })
}

// Duty implements discovery.Duties.
func (m *mesh) Duty() standby.Duty {
	v := standby.View{Now: boottime.Now(), Confirmed: m.lastConfirmedOrDue(), Rank: int(m.rank.Load()), Isolated: m.isolated()}
	m.dutyMu.Lock()
	defer m.dutyMu.Unlock()
	return m.dutySelector.Duty(v)
}

// PollInterval implements discovery.Duties.
func (m *mesh) PollInterval() time.Duration { return m.opts.Standby.PollInterval(int(m.rank.Load())) }

// lastConfirmedOrDue returns when the configuration was last confirmed, or otherwise
// the time before which no confirmation is expected: when the whole fleet starts, the
// operator may not have written a configuration yet.
func (m *mesh) lastConfirmedOrDue() time.Duration {
	snap := m.opts.Loop.Snapshot()
	if snap.Routes == nil {
		return m.startedAt + initialConfigTimeout
	}
	return max(snap.RoutesConfirmed, m.startedAt)
}

// isolated reports whether this VM gets no data from peers: it receives nothing from
// them, or they do not know it.
func (m *mesh) isolated() bool { return m.members.Isolated() || !m.listed.Load() }

// ProbeSucceeded implements discovery.Duties.
func (m *mesh) ProbeSucceeded(asked time.Duration) {
	m.dutyMu.Lock()
	defer m.dutyMu.Unlock()
	m.dutySelector.ProbeSucceeded(asked)
}

// markReturnedZones makes the servers of zones whose evacuation has ended count as cold: they may
// have become so shortly before, and their entries tell it only with the next heartbeat.
func (m *mesh) markReturnedZones(last, snap *control.Snapshot) {
	for _, zone := range last.Evacuations.Zones() {
		if !snap.Evacuations.Includes(zone.Name) {
			m.permits.MarkZoneCold(zone.Name)
		}
	}
}
