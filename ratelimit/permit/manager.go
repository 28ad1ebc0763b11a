// Package permit connects the protocol of package ratelimit to the answers of backend
// servers, the control loop, the other entry VMs and the request path.
//
// A limit that a server names is known to the request path of this VM as soon as the
// answer is observed, and is announced to the other VMs. A request to a limited server
// needs a permit, which the request path acquires before it sends the request.
package permit

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/peer"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/ratelimit"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Timing of a Manager.
const (
	// idleInterval is the time between ticks of the protocol while no request of this VM
	// waits and no limit has changed for activeTime. Ticks cost processor time on every VM.
	idleInterval = 250 * time.Millisecond
	activeTime   = time.Second
	// syncTimeout is how long after its start a VM waits for the limits that its peers
	// know before it counts as synced. A VM that reaches no peer must still serve.
	syncTimeout = 2 * time.Second
	// decisionMargin is added to the time for which a request waits for its decision, which
	// the owner or the node of this VM makes in time unless the control goroutine stands
	// still.
	decisionMargin = 500 * time.Millisecond
)

// Options are the dependencies of a Manager.
type Options struct {
	VM        string
	Loop      *control.Loop
	Transport peer.Transport
	// Peers returns the VMs to which limits are sent, which forward them to theirs.
	Peers func() []string
	// ColdBound returns the bound on requests to cold servers. Nil means that there is none.
	ColdBound func() ColdBound
	Metrics   metrics.Registry
	Log       *zap.Logger
}

// Manager tracks the limits of backend servers and obtains permits on one VM. Its node and
// waiting requests are owned by the control goroutine; the exported methods may be used by
// any goroutine.
type Manager struct {
	opts   Options
	table  *ratelimit.Table
	synced atomic.Bool
	// sequence is that of the latest request.
	sequence  atomic.Uint64
	startedAt time.Duration
	avoided   avoided
	// activeUntil is until when ticks come at short intervals, on the clock of package
	// boottime in nanoseconds.
	activeUntil atomic.Int64
	sources     sources
	// wake ends the wait for the next tick.
	wake     chan struct{}
	counters counters
	limitLog limitLog

	node *ratelimit.Node
	view *control.Snapshot
	// coldRatesSeen are the rates of cold servers that follow from coldTable and coldBoundSeen.
	coldRatesSeen map[string]ratelimit.Rate
	coldTable     *route.Table
	coldBoundSeen ColdBound
	// tableSeen is the version of the table after the latest event.
	tableSeen uint64
	waiting   map[uint64]chan ratelimit.Decision
}

// New returns a manager that knows of no limit.
func New(o Options) *Manager {
	now := time.Now()
	m := &Manager{
		opts: o, table: ratelimit.NewTable(), startedAt: boottime.Now(), wake: make(chan struct{}, 1),
		waiting: map[uint64]chan ratelimit.Decision{},
	}
	m.node = ratelimit.NewNode(o.VM, m.table, uint64(now.UnixNano()))
	// A restart of the VM must not use the sequences of its earlier start.
	m.sequence.Store(uint64(now.UnixMilli()) << sequenceBits)
	m.counters = newCounters(o.Metrics, m.table)
	return m
}

// sequenceBits is the width of the part of a sequence that counts the requests of a VM in a
// millisecond. The rest is the time of its start.
const sequenceBits = 20

// Run applies the passage of time and changes of the fleet until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	changed := m.opts.Loop.Subscribe()
	for {
		interval := idleInterval
		if boottime.Now() < time.Duration(m.activeUntil.Load()) {
			interval = ratelimit.TickInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-m.wake:
		case <-timer.C:
		}
		timer.Stop()
		if !m.opts.Loop.Post(event{m, m.node.Tick}) {
			return
		}
	}
}

// event is a control message that changes the node.
type event struct {
	m     *Manager
	apply func(now time.Duration) ratelimit.Effects
}

// Apply implements control.Message.
func (e event) Apply(*control.State) {
	now := boottime.Now()
	e.m.followSnapshot(now)
	e.m.perform(e.apply(now))
	e.m.publish(now)
}

// perform sends messages and delivers decisions.
func (m *Manager) perform(e ratelimit.Effects) {
	for _, l := range e.Changed {
		m.logLimit(l, SourcePeer, Answer{})
	}
	for _, p := range e.Cold {
		m.logCold(p)
	}
	for _, out := range e.Send {
		m.counters.sent.Inc(1)
		if err := m.opts.Transport.Send(out.To, encode(out.Message)); err != nil {
			m.opts.Log.Debug("rate_limit_message_not_sent", zap.String("peer", out.To), zap.Error(err))
		}
	}
	for _, d := range e.Decisions {
		if done := m.waiting[d.Sequence]; done != nil {
			delete(m.waiting, d.Sequence)
			done <- d
		}
	}
}

// publish updates what other goroutines read of the node.
func (m *Manager) publish(now time.Duration) {
	active := m.node.Waiting() || !m.node.Synced()
	if v := m.table.Version(); v != m.tableSeen {
		m.tableSeen, active = v, true
	}
	if !m.synced.Load() && m.node.Synced() {
		m.synced.Store(true)
	}
	if active {
		m.activeUntil.Store(int64(now + activeTime))
	}
}

// Observe records what the head of an answer says of the rate that its server takes. It
// must be called for each answer, before anything else is done with it.
func (m *Manager) Observe(a Answer) {
	if a.Notice.Cold != nil {
		m.observeCold(a)
	}
	rate, named, invalid := ratelimit.ParseRate(a.Notice.Limit)
	if invalid {
		m.logInvalid(a)
	}
	if !named && !a.Notice.FromServer {
		return // Another server may have given the answer, so the limit does not end.
	}
	l, changed := m.table.Observe(boottime.Now(), a.SentAt, a.Server, rate, named)
	if !changed {
		return
	}
	m.logLimit(l, SourceAnswer, a)
	m.opts.Loop.Post(event{m, func(now time.Duration) ratelimit.Effects { return m.node.Announce(now, l) }})
	m.wakeUp()
}

// Answer is the head of an answer of a backend server.
type Answer struct {
	Server serverstate.Server
	// Call names what was answered, such as "request" or "report". Request is the id of
	// the request, "" if it has none.
	Call, Request string
	// SentAt is when the request was sent, on the clock of package boottime.
	SentAt time.Duration
	Notice backend.ServerNotice
}

// wakeUp makes the next tick come soon.
func (m *Manager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Receive handles a message of a peer.
func (m *Manager) Receive(from string, in *peerpb.RateLimit) {
	message := decode(in)
	m.opts.Loop.Post(event{m, func(now time.Duration) ratelimit.Effects { return m.node.Receive(now, from, message) }})
}

// Digest identifies the limits that this VM knows, 0 if there are none.
func (m *Manager) Digest() uint64 { return m.table.Digest(boottime.Now()) }

// ReceiveDigest handles the digest in a heartbeat of a peer.
func (m *Manager) ReceiveDigest(from string, digest uint64) {
	if m.synced.Load() && digest == m.Digest() {
		return
	}
	m.opts.Loop.Post(event{m, func(now time.Duration) ratelimit.Effects { return m.node.ReceiveDigest(now, from, digest) }})
}

// Synced reports whether this VM knows the limits that its peers know, so that it obeys
// those that it has obeyed before a restart.
func (m *Manager) Synced() bool {
	return m.synced.Load() || boottime.Now()-m.startedAt > syncTimeout
}

// Limited reports whether a server has named a limit or is cold, so that requests need a
// permit.
func (m *Manager) Limited(vm vmlist.VM) bool {
	_, limited := m.effective(vm)
	return limited
}

func serverOf(vm vmlist.VM) serverstate.Server {
	return serverstate.Server{ID: vm.ID, Incarnation: vm.Incarnation}
}

// Stats returns the state of the protocol, for queries. It returns false if the control
// loop has ended.
func (m *Manager) Stats(ctx context.Context) (ratelimit.Stats, bool) {
	result := make(chan ratelimit.Stats, 1)
	m.opts.Loop.Post(event{m, func(now time.Duration) ratelimit.Effects {
		result <- m.node.Stats(now)
		return ratelimit.Effects{}
	}})
	select {
	case s := <-result:
		return s, true
	case <-ctx.Done():
		return ratelimit.Stats{}, false
	}
}
