package grant

import (
	"sync"
	"sync/atomic"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
)

// ticket is a grant that this VM holds.
type ticket struct {
	m                *Manager
	sequence         uint64
	admissionRequest dispatch.AdmissionRequest
	target           backend.Target
	priority         int
	// local is set if the ticket was taken during a bypass.
	local dispatch.Ticket

	once        sync.Once
	tokens      atomic.Int64
	preemptions atomic.Int64
	failed      atomic.Bool

	// The fields below are owned by the control goroutine.

	// knownBy is the dispatcher that holds the ticket in its state for group, or ""
	// if none does.
	knownBy, group      string
	reportedTokens      int64
	reportedPreemptions int64
}

// Backend implements dispatch.Ticket.
func (t *ticket) Backend() backend.Target { return t.target }

// Priority implements dispatch.Ticket.
func (t *ticket) Priority() int { return t.priority }

// Progress implements dispatch.Ticket.
func (t *ticket) Progress(tokens int) { t.tokens.Store(int64(tokens)) }

// Preempted implements dispatch.Ticket.
func (t *ticket) Preempted() { t.preemptions.Add(1) }

// Failed implements dispatch.Ticket.
func (t *ticket) Failed() { t.failed.Store(true) }

// Release implements dispatch.Ticket.
func (t *ticket) Release(tokens int) {
	t.once.Do(func() {
		t.tokens.Store(int64(tokens))
		t.m.opts.Loop.Post(release{t.m, t})
	})
}

// unknownBypass reports whether the ticket was taken during a bypass and no dispatcher
// knows it.
func (t *ticket) unknownBypass() bool { return t.local != nil && t.knownBy == "" }

// due reports whether the next progress batch must include the ticket.
func (t *ticket) due() bool {
	return t.reportedTokens == 0 && t.tokens.Load() > 0 ||
		t.tokens.Load()-t.reportedTokens >= int64(dispatch.UnreportedTokens(int(t.reportedTokens))) ||
		t.preemptions.Load() != t.reportedPreemptions
}
