// Package grant lets one VM per group of engines decide what the engines run
// next. A frontend asks the dispatcher of a group for a grant and then streams
// directly from the engine. Grants are soft state: frontends declare what they
// hold to a new dispatcher, and bypass a dispatcher that does not respond.
package grant

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/peer"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// Intervals and limits of the protocol.
const (
	// tickInterval is the resolution of all timeouts.
	tickInterval = 25 * time.Millisecond
	// progressInterval is the time between progress batches and between the
	// dispatcher's checks for VMs that left.
	progressInterval = 250 * time.Millisecond
	// keepaliveInterval is the time between keepalives while requests wait.
	// Together with bypass_after it must stay below 400 ms.
	keepaliveInterval = 100 * time.Millisecond
	// syncInterval is the time between complete keepalives.
	syncInterval = 2 * time.Second
	// inFlight is the age below which a difference between a frontend and a
	// dispatcher can be explained by a message on its way.
	inFlight = time.Second
	// heldFor is the time in which a new dispatcher grants nothing, unless all
	// frontends have declared. Declarations take a few milliseconds, and a full
	// engine would get new work even at a reduced window. reducedFor bounds the
	// time in which it admits at a reduced window.
	heldFor    = 100 * time.Millisecond
	reducedFor = time.Second
	// goneGrace is how long the grants of a VM that is suspect or unlisted
	// and silent are kept, and silentGrace those of a listed and silent VM.
	goneGrace   = 3 * time.Second
	silentGrace = 10 * time.Second
	// lingerFor is how long a VM keeps the state of a group that moved.
	lingerFor = 5 * time.Second
	// retryPause is the time before a request to a dispatcher with a different
	// VM list is sent again.
	retryPause = 100 * time.Millisecond
	// isolatedEngines is the number of engines from which a dispatcher that
	// reaches none of them concludes that it is cut off itself.
	isolatedEngines = 3
	// pauseLimit is the gap between ticks from which a VM concludes that it
	// was paused itself, so that its timeouts prove nothing about others.
	pauseLimit = 200 * time.Millisecond
	// progressStep and progressFraction bound the tokens of a stream that are
	// not yet reported: a fixed number, or a part of those already reported.
	// Without the second term long streams cause most of the traffic.
	progressStep     = 16
	progressFraction = 4
)

// WindowReducer is implemented by cores that can admit less than usual.
type WindowReducer interface {
	// ReduceWindow halves the window of all engines, or restores it.
	ReduceWindow(now time.Time, reduced bool)
}

// Loop is the part of *control.Loop that a Manager uses.
type Loop interface {
	Post(m control.Message) bool
	Snapshot() *control.Snapshot
	Every(ctx context.Context, interval time.Duration, m control.Message)
}

// Options are the parameters of a Manager.
type Options struct {
	VM, Region string
	Loop       Loop
	Transport  peer.Transport
	// NewCore returns the core of a group that this VM dispatches.
	NewCore func() dispatch.Policy
	Breaker *backend.Breaker
	Log     *zap.Logger

	// Memory returns the blocks of an engine's memory and their tokens, if they
	// are known without a report. Nil means that they are not.
	Memory func(engine string) (blocks, blockTokens int)

	// BypassAfter is the silence of a dispatcher after which it is bypassed.
	BypassAfter time.Duration
	// QueueTimeout bounds the wait for a ticket.
	QueueTimeout time.Duration
	// LocalStreams bounds the streams for each engine during a bypass.
	LocalStreams int
	// GroupSize is the largest number of engines of one group.
	GroupSize int
	// Queued and QueuedPerOrganisation bound the waiting requests of this VM.
	Queued, QueuedPerOrganisation int
	// Seed makes the choice between groups repeatable.
	Seed uint64
}

// Manager is the frontend side and the dispatcher side of the grant protocol
// on one VM. Its state is owned by the control goroutine; Acquire, Receive and
// the methods of tickets post messages to it.
type Manager struct {
	opts Options
	// targets are the engines that this VM polls.
	targets atomic.Pointer[[]backend.Target]

	now        time.Time
	lastTick   time.Time
	view       *view
	breakerAt  uint64
	frontend   *frontend
	dispatcher *dispatcher
	// loopback holds messages of this VM to itself.
	loopback []*peerpb.Dispatch
}

// New returns a manager. Run must be called to serve.
func New(o Options) *Manager {
	m := &Manager{opts: o, view: &view{vm: o.VM, region: o.Region, groupSize: o.GroupSize}}
	m.frontend = newFrontend(m)
	m.dispatcher = newDispatcher(m)
	m.targets.Store(&[]backend.Target{})
	return m
}

// Run drives timeouts until ctx ends.
func (m *Manager) Run(ctx context.Context) { m.opts.Loop.Every(ctx, tickInterval, tick{m}) }

// Receive takes a message of another VM. It is part of a peer.Handler.
func (m *Manager) Receive(from string, d *peerpb.Dispatch) { m.opts.Loop.Post(incoming{m, from, d}) }

// Acquire implements dispatch.Admission.
func (m *Manager) Acquire(ctx context.Context, a dispatch.AdmissionRequest) (dispatch.Ticket, error) {
	r := &request{ask: a, done: make(chan outcome, 1)}
	if !m.opts.Loop.Post(acquire{m, r}) {
		return nil, &dispatch.NoBackendError{Model: a.Model}
	}
	timer := time.NewTimer(m.opts.QueueTimeout)
	defer timer.Stop()
	select {
	case o := <-r.done:
		return o.ticket, o.err
	case <-ctx.Done():
	case <-timer.C:
	}
	m.opts.Loop.Post(abandon{m, r})
	return nil, &dispatch.QueueTimeoutError{Model: a.Model}
}

// The messages to the control goroutine.
type (
	acquire struct {
		m *Manager
		r *request
	}
	abandon struct {
		m *Manager
		r *request
	}
	release struct {
		m *Manager
		t *ticket
	}
	incoming struct {
		m    *Manager
		from string
		d    *peerpb.Dispatch
	}
	loadReport struct {
		m       *Manager
		backend string
		report  dispatch.LoadReport
	}
	cacheEvents struct {
		m       *Manager
		backend string
		events  []dispatch.CacheEvent
	}
	tick  struct{ m *Manager }
	query struct {
		m    *Manager
		done chan Queues
	}
)

// Apply implements control.Message.
func (c acquire) Apply(s *control.State) { c.m.apply(s, func() { c.m.frontend.acquire(c.r) }) }

// Apply implements control.Message.
func (c abandon) Apply(s *control.State) { c.m.apply(s, func() { c.m.frontend.abandon(c.r) }) }

// Apply implements control.Message.
func (c release) Apply(s *control.State) { c.m.apply(s, func() { c.m.frontend.release(c.t) }) }

// Apply implements control.Message.
func (c incoming) Apply(s *control.State) { c.m.apply(s, func() { c.m.handle(c.from, c.d) }) }

// Apply implements control.Message.
func (c tick) Apply(s *control.State) { c.m.apply(s, c.m.tick) }

// Apply implements control.Message.
func (c query) Apply(s *control.State) { c.m.apply(s, func() { c.done <- c.m.queues() }) }

// Apply implements control.Message.
func (c loadReport) Apply(s *control.State) {
	c.m.apply(s, func() { c.m.dispatcher.load(c.backend, c.report) })
}

// Apply implements control.Message.
func (c cacheEvents) Apply(s *control.State) {
	c.m.apply(s, func() { c.m.dispatcher.cacheEvents(c.backend, c.events) })
}

// apply runs a state change with the current time and view.
func (m *Manager) apply(s *control.State, change func()) {
	m.now = s.Now
	m.refresh()
	change()
	for len(m.loopback) > 0 {
		d := m.loopback[0]
		m.loopback = m.loopback[1:]
		m.handle(m.opts.VM, d)
	}
}

// refresh adopts a new snapshot and changes of the breaker.
func (m *Manager) refresh() {
	snap, version := m.opts.Loop.Snapshot(), m.opts.Breaker.Version()
	if snap == m.view.snap && version == m.breakerAt {
		return
	}
	var groups, shares bool
	if snap != m.view.snap {
		groups, shares = m.view.adopt(snap)
	}
	if shares {
		m.dispatcher.adoptShares()
	}
	if groups {
		m.opts.Breaker.Retain(func(id string) bool { _, ok := snap.Backends[id]; return ok })
		m.dispatcher.adoptGroups()
		m.frontend.adoptGroups()
	}
	if groups || version != m.breakerAt {
		m.breakerAt = version
		m.dispatcher.setBackends()
		m.targets.Store(m.pollTargets())
	}
}

func (m *Manager) tick() {
	if !m.lastTick.IsZero() && m.now.Sub(m.lastTick) > pauseLimit {
		m.frontend.resumed()
		m.dispatcher.resumed()
	}
	m.lastTick = m.now
	m.frontend.tick()
	m.dispatcher.tick()
}

// handle dispatches a message to the side that it is meant for.
func (m *Manager) handle(from string, d *peerpb.Dispatch) {
	m.dispatcher.heard(from)
	m.frontend.heard(from)
	switch b := d.Message.(type) {
	case *peerpb.Dispatch_GrantRequest:
		m.dispatcher.request(from, d.Group, b.GrantRequest)
	case *peerpb.Dispatch_Withdraw:
		m.dispatcher.withdraw(from, b.Withdraw.Sequence)
	case *peerpb.Dispatch_Progress:
		m.dispatcher.progress(from, b.Progress)
	case *peerpb.Dispatch_Declare:
		m.dispatcher.declare(from, d.Group, b.Declare)
	case *peerpb.Dispatch_Keepalive:
		m.dispatcher.keepalive(from, b.Keepalive)
	case *peerpb.Dispatch_DeclareRequest:
		m.frontend.declareRequested(from, d.Group)
	case *peerpb.Dispatch_Received:
		m.frontend.received(from, d.Group, b.Received)
	case *peerpb.Dispatch_Grant:
		m.frontend.granted(from, b.Grant)
	case *peerpb.Dispatch_GrantRejected:
		m.frontend.rejected(from, b.GrantRejected)
	case *peerpb.Dispatch_KeepaliveAck:
		m.frontend.acknowledged(from, b.KeepaliveAck)
	}
}

// send passes a message to a VM. Messages to this VM take no network.
func (m *Manager) send(to string, d *peerpb.Dispatch) error {
	if to == m.opts.VM {
		m.loopback = append(m.loopback, d)
		return nil
	}
	err := m.opts.Transport.Send(to, &peerpb.Envelope{Body: &peerpb.Envelope_Dispatch{Dispatch: d}})
	if err != nil {
		m.opts.Log.Debug("dispatch_send_failed", zap.String("peer", to), zap.Error(err))
	}
	return err
}
