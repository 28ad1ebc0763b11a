package quarantine

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/rendezvous"
)

// startTimeout bounds how long a request waits to become a probe. The control goroutine
// needs less than a millisecond unless the machine stalls.
const startTimeout = 250 * time.Millisecond

// probeOf returns the next probe of a rule.
func probeOf(r Rule) probe {
	return probe{rule: r.id(), activations: r.Activations, version: r.Version, onRequest: r.onRequest()}
}

func (p probe) String() string { return fmt.Sprintf("%x/%d/%d", p.rule, p.activations, p.version) }

// probeDelay returns how long after the end of a rule this VM may start its probe. The
// VMs may do so one after the other, in an order that differs from probe to probe.
func (m *Manager) probeDelay(r Rule) time.Duration {
	vms := m.opts.Loop.Snapshot().EntryVMs
	rank := rendezvous.Rank(probeOf(r).String(), vms, m.opts.VM)
	return probeWindow * time.Duration(rank) / time.Duration(max(len(vms), 1))
}

// startProbe starts a probe on the control goroutine, which tells the peers, and reports
// whether the request may be sent. It reports false as well if the start takes too long.
func (m *Manager) startProbe(p probe) bool {
	s := &probeStart{m: m, probe: p, started: make(chan bool, 1)}
	if !m.opts.Loop.Post(s) {
		return false
	}
	select {
	case started := <-s.started:
		return started
	case <-time.After(startTimeout):
		m.opts.Log.Warn("quarantine_probe_not_started", zap.Uint64("rule", p.rule))
		return false
	}
}

// probeStart is the control message by which a request becomes a probe.
type probeStart struct {
	m       *Manager
	probe   probe
	started chan bool
}

// Apply implements control.Message.
func (s *probeStart) Apply(*control.State) {
	started := false
	s.m.perform("", boottime.Now(), func(now time.Duration) (e Effects) {
		e, started = s.m.node.StartProbe(now, s.probe)
		if !started {
			delete(s.m.probes, s.probe) // It was not used, and the next view may offer it again.
			e.Changed = true
		}
		return e
	})
	if started {
		s.m.probesStarted.Inc(1)
		s.m.opts.Log.Info("quarantine_probe", zap.Uint64("rule", s.probe.rule), zap.Bool("request", s.probe.onRequest),
			zap.Int("activations", s.probe.activations))
	}
	s.started <- started
}
