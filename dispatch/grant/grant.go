// Package grant implements centralised admission per group of engines: one VM
// dispatches each group and decides which requests its engines run next. A frontend
// requests a grant from the dispatcher of a group and then streams directly from
// the granted engine. Grants are soft state: frontends declare the grants that they
// hold to a new dispatcher, and bypass a dispatcher that does not respond.
package grant

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/peer"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// Protocol intervals, timeouts and limits.
const (
	// tickInterval is the resolution of all timeouts.
	tickInterval = 25 * time.Millisecond
	// progressInterval is the time between progress batches, and between the
	// dispatcher's checks for expired VMs and groups.
	progressInterval = 250 * time.Millisecond
	// keepaliveInterval is the time between keepalives to a dispatcher at which
	// requests wait. The sum of it and bypass_after must stay below 400 ms, the
	// limit for bypassing an unresponsive dispatcher.
	keepaliveInterval = 100 * time.Millisecond
	// syncInterval is the time between complete keepalives.
	syncInterval = 2 * time.Second
	// reconcileMinAge is the age up to which a difference between the state of a
	// frontend and that of a dispatcher is attributed to a message in flight.
	reconcileMinAge = time.Second
	// takeoverHold is how long a new dispatcher issues no grants, unless all
	// frontends have declared earlier. Declarations take a few milliseconds, and
	// without the delay a full engine would get new work even at a reduced window.
	// reducedWindowTimeout limits how long a new dispatcher admits at the reduced
	// window.
	takeoverHold         = 100 * time.Millisecond
	reducedWindowTimeout = time.Second
	// departedVMTimeout is the silence after which the grants of a suspect or
	// unlisted VM are dropped, silentVMTimeout that for a listed VM.
	departedVMTimeout = 3 * time.Second
	silentVMTimeout   = 10 * time.Second
	// movedGroupRetention is how long a VM keeps the state of an unused group that moved.
	movedGroupRetention = 5 * time.Second
	// viewMismatchRetryDelay is the delay before a request is retried that a
	// dispatcher rejected because its VM list or bundle differs.
	viewMismatchRetryDelay = 100 * time.Millisecond
	// isolationMinEngines is the minimum size of a group for which a dispatcher
	// that reaches none of the engines treats itself as isolated.
	isolationMinEngines = 3
	// pauseThreshold is the gap between ticks above which a VM treats itself as
	// having been paused. Its timeouts then say nothing about other VMs.
	pauseThreshold = 200 * time.Millisecond
	// maxUnreportedTickets bounds the released tickets of a bypass that a VM keeps until a
	// dispatcher responds.
	maxUnreportedTickets = 1024
)

// WindowReducer is implemented by policies with an admission window that can be reduced.
type WindowReducer interface {
	// ReduceWindow halves the window of all engines, or restores it.
	ReduceWindow(now time.Time, reduced bool)
}

// Loop is the subset of *control.Loop that a Manager uses.
type Loop interface {
	Post(m control.Message) bool
	Snapshot() *control.Snapshot
	Every(ctx context.Context, interval time.Duration, m control.Message)
}

// Options configures a Manager.
type Options struct {
	VM, Region string
	Loop       Loop
	Transport  peer.Transport
	// NewPolicy creates the policy of a group that this VM dispatches.
	NewPolicy func() dispatch.Policy
	Breaker   *backend.Breaker
	Log       *zap.Logger
	// Metrics takes the counters of the dispatcher. Nil means that they are not published.
	Metrics metrics.Registry

	// KVCacheSize returns the number of KV cache blocks of an engine and the tokens
	// per block, where they are known before its first load report. Nil means that
	// they are not.
	KVCacheSize func(engine string) (blocks, blockTokens int)
	// Paused returns the engines that this VM must not use for now since they have asked
	// it for a pause, with the times on the clock of package boottime at which it may. It
	// may be called by any goroutine. Nil means that there are none.
	Paused func() map[string]time.Duration
	// Limited returns the engines on which this VM must start no run for now since they
	// limit the rate of requests, as Paused does. Copies and backups of runs do not count: they
	// send nothing to the engine. Nil means that there are none.
	Limited func() map[string]time.Duration

	// BypassAfter is the time without a response after which a dispatcher is bypassed.
	BypassAfter time.Duration
	// QueueTimeout limits how long Acquire waits for a ticket.
	QueueTimeout time.Duration
	// LocalStreams limits the concurrent streams per engine during a bypass.
	LocalStreams int
	// GroupSize is the maximum number of engines per group.
	GroupSize int
	// Queued and QueuedPerOrganisation limit the requests of this VM that wait for a ticket.
	Queued, QueuedPerOrganisation int
	// Seed makes the random choice between groups reproducible.
	Seed uint64
}

// Manager implements the frontend and the dispatcher of the grant protocol on one
// VM. Its state is owned by the control goroutine. Acquire, Receive, Queues and the
// release of a ticket post messages to that goroutine.
type Manager struct {
	opts Options
	// targets holds the engines that this VM polls.
	targets atomic.Pointer[[]backend.Target]

	now            time.Time
	lastTick       time.Time
	view           *view
	breakerVersion uint64
	frontend       *frontend
	dispatcher     *dispatcher
	// loopback queues the messages that this VM sends to itself.
	loopback []*peerpb.Dispatch
}

// New returns a Manager. It applies no timeouts until Run is called.
func New(o Options) *Manager {
	m := &Manager{opts: o, view: &view{vm: o.VM, region: o.Region, groupSize: o.GroupSize}}
	m.frontend = newFrontend(m)
	m.dispatcher = newDispatcher(m)
	m.targets.Store(&[]backend.Target{})
	return m
}

// Run applies timeouts until ctx ends.
func (m *Manager) Run(ctx context.Context) { m.opts.Loop.Every(ctx, tickInterval, tick{m}) }

// Receive handles a message from another VM. It serves as part of a peer.Handler.
func (m *Manager) Receive(from string, d *peerpb.Dispatch) { m.opts.Loop.Post(incoming{m, from, d}) }

// Suspected records that other VMs have suspected this one. They may have used another
// dispatcher for the groups that this VM owns.
func (m *Manager) Suspected() { m.opts.Loop.Post(suspected{m}) }

// Acquire implements dispatch.Admission.
func (m *Manager) Acquire(ctx context.Context, a dispatch.AdmissionRequest) (dispatch.Ticket, error) {
	r := &request{admissionRequest: a, done: make(chan outcome, 1)}
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

// apply runs a state change with the current time and view, then handles the
// messages that this VM has sent to itself.
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

// refresh adopts a new snapshot and changes of the circuit breaker.
func (m *Manager) refresh() {
	snap, version := m.opts.Loop.Snapshot(), m.opts.Breaker.Version()
	if snap == m.view.snap && version == m.breakerVersion {
		return
	}
	var groups, shares bool
	if snap != m.view.snap {
		groups, shares = m.view.update(snap)
	}
	if shares {
		m.dispatcher.adoptShares()
	}
	if groups {
		m.opts.Breaker.Retain(func(id string) bool { _, ok := snap.Backends[id]; return ok })
		m.dispatcher.adoptGroups()
		m.frontend.adoptGroups()
	}
	if groups || version != m.breakerVersion {
		m.breakerVersion = version
		m.dispatcher.setBackends()
		m.targets.Store(m.pollTargets())
	}
}

func (m *Manager) tick() {
	if !m.lastTick.IsZero() && m.now.Sub(m.lastTick) > pauseThreshold {
		m.frontend.resetTimeouts()
		m.dispatcher.resetTimeouts()
	}
	m.lastTick = m.now
	m.frontend.tick()
	m.dispatcher.tick()
}

// handle passes a message to the frontend or the dispatcher of this VM.
func (m *Manager) handle(from string, d *peerpb.Dispatch) {
	m.dispatcher.recordContact(from)
	m.frontend.recordContact(from)
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

// send sends a message to a VM. Messages to this VM bypass the transport.
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
