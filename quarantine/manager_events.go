package quarantine

import (
	"cmp"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
)

// event is a control message that changes the node.
type event struct {
	m *Manager
	// from is the peer that caused the event, "" for this VM.
	from string
	// at is the time of the event. If crashes had the time at which the control goroutine
	// handles them, those that it handles together after a stall would count as one.
	at    time.Duration
	apply func(now time.Duration) Effects
}

// post applies an event of this moment on the control goroutine.
func (m *Manager) post(from string, apply func(now time.Duration) Effects) {
	m.opts.Loop.Post(event{m, from, boottime.Now(), apply})
}

// Apply implements control.Message.
func (e event) Apply(*control.State) { e.m.perform(e.from, e.at, e.apply) }

// perform applies an event to the node and performs its effects. It runs on the control
// goroutine.
func (m *Manager) perform(from string, at time.Duration, apply func(now time.Duration) Effects) {
	m.noteRefusals()
	e := apply(at)
	now := boottime.Now()
	m.log(now, e)
	m.send(now, from, e)
	if e.Changed || e.CheckAt != 0 && e.CheckAt <= now {
		m.publish(now)
	}
	m.schedule(now, e.CheckAt)
}

// publish stores a new view for the request path.
func (m *Manager) publish(now time.Duration) {
	probes := map[probe]*atomic.Bool{}
	view := newView(m.node, now, func(r Rule) *atomic.Bool {
		if now < m.node.probeAt(r) {
			return nil
		}
		p := probeOf(r)
		probes[p] = cmp.Or(m.probes[p], &atomic.Bool{})
		return probes[p]
	})
	m.recordRefusals(view)
	m.view.Store(view)
	m.probes = probes
	m.refuseWaiting(now)
	m.digest.Store(m.node.Digest())
	if digest := digestOf(archived(m.node.Rules())); m.archiveDigest.Swap(digest) != digest {
		select {
		case m.changed <- struct{}{}:
		default: // The archive has not handled the last signal yet.
		}
	}
	for id, at := range m.syncedAt {
		if now-at > syncInterval {
			delete(m.syncedAt, id)
		}
	}
}

// schedule posts a check at a time unless an earlier one is pending.
func (m *Manager) schedule(now, at time.Duration) {
	if at == 0 || m.checkAt != 0 && m.checkAt <= at {
		return
	}
	m.checkAt = at
	time.AfterFunc(max(at-now, 0), func() {
		m.post("", func(time.Duration) Effects {
			if m.checkAt == at {
				m.checkAt = 0
			}
			e := m.node.Check(boottime.Now())
			e.Changed = true // A probe may have become due.
			return e
		})
	})
}

// log writes a line for each rule that has changed.
func (m *Manager) log(now time.Duration, e Effects) {
	m.rules.Inc(int64(len(e.Added)))
	for _, r := range e.Added {
		m.logRule(addedName(r), now, r)
	}
	for _, r := range e.Renewed {
		m.logRule("quarantine_renewed", now, r)
	}
	for _, r := range e.Removed {
		m.logRule("quarantine_lifted", now, r)
	}
}

// addedName returns the log event of a new rule.
func addedName(r Rule) string {
	switch {
	case r.suspects():
		return "request_suspected"
	case r.onRequest():
		return "request_quarantined"
	default:
		return "prompt_parts_quarantined"
	}
}

func (m *Manager) logRule(name string, now time.Duration, r Rule) {
	m.opts.Log.Warn(name, zap.Uint64("rule", r.id()), r.field(), zap.Int("parts", len(r.Keys)),
		zap.Int("activations", r.Activations), zap.Int("probes_spent", r.Spent), zap.Uint32("organisation", r.Organisation),
		zap.Duration("since", now-r.Since), zap.Duration("probe_in", r.Until-now))
}

// field returns the log field of a whole request as requests have it, none for parts.
func (r Rule) field() zap.Field {
	if !r.onRequest() {
		return zap.Skip()
	}
	return (&Request{Whole: r.Keys[0]}).Field()
}

// recordRefusals lets a view record the refusals of its rules, with those of the last one.
func (m *Manager) recordRefusals(v *View) {
	refusedAt := map[uint64]*atomic.Int64{}
	for i := range v.rules {
		id := v.rules[i].id()
		refusedAt[id] = cmp.Or(m.refusedAt[id], &atomic.Int64{})
		v.rules[i].refusedAt = refusedAt[id]
	}
	m.refusedAt = refusedAt
}

// noteRefusals tells the node of refusals, which keeps the rules that are used.
func (m *Manager) noteRefusals() {
	for rule, at := range m.refusedAt {
		if at.Load() != 0 {
			m.node.Refused(rule, time.Duration(at.Load()))
		}
	}
}
