package quarantine

import (
	"cmp"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/hash"
	"github.com/vanillaarch/vanillaarch/peer"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Guard tells the request path which requests must not be sent to a backend server.
type Guard interface {
	// Check returns a *RefusedError if a request must not be sent.
	Check(r *Request) error
	// MayRepeat reports whether a request that has failed on a server may be sent to
	// another one.
	MayRepeat(r *Request) bool
	// RunFailed reports that a server broke the connection of a run before it had answered,
	// a stream before it had written. started is when the run was sent, on the clock of
	// package boottime.
	RunFailed(r *Request, server vmlist.VM, started time.Duration)
	// RunSucceeded reports that a run was answered completely, or that a stream has written.
	RunSucceeded(r *Request)
	// Watch calls refuse with a *RefusedError when a rule is added that matches a waiting
	// request, until stop is called. It may call it more than once.
	Watch(r *Request, refuse func(error)) (stop func())
}

var _ Guard = (*Manager)(nil)

// Options are the dependencies of a Manager.
type Options struct {
	VM        string
	Loop      *control.Loop
	Transport peer.Transport
	// Peers returns the VMs to which updates are sent, which forward them to theirs.
	Peers   func() []string
	Metrics metrics.Registry
	Log     *zap.Logger
}

// Manager quarantines requests on one VM. Its node is owned by the control goroutine;
// requests read an immutable view.
type Manager struct {
	opts Options
	node *Node
	view atomic.Pointer[View]
	// digest identifies the rules in force, for heartbeats.
	digest atomic.Uint64
	// changed signals a new digest of the archive.
	changed chan struct{}
	// checkAt is the time of the pending check, 0 if there is none.
	checkAt time.Duration
	// archiveDigest identifies the rules that the archive should hold.
	archiveDigest atomic.Uint64
	// probes holds the probes of the view, so that a later view has the same ones.
	probes map[probe]*atomic.Bool
	// refusedAt holds the time of the last refusal of each rule of the view, by its id.
	refusedAt map[uint64]*atomic.Int64
	// syncedAt holds when rules were last sent to a peer because its digest differed.
	syncedAt map[string]time.Duration

	failures, refusals, rules, probesStarted metrics.Counter

	waitingMu sync.Mutex
	// waiting holds the requests that wait for a server.
	waiting map[*Request]func(error)
}

// gossipFanout is the number of peers to which a VM sends updates. Each VM receives an
// update from as many, so that the loss of one message hardly matters.
const gossipFanout = 3

func gossipTargets(peers []string) []string { return peers[:min(len(peers), gossipFanout)] }

// syncInterval is the minimum time between two exchanges of all rules with a peer.
const syncInterval = time.Second

// New returns a manager without rules.
func New(o Options) *Manager {
	m := &Manager{
		opts: o, node: NewNode(), waiting: map[*Request]func(error){}, syncedAt: map[string]time.Duration{}, changed: make(chan struct{}, 1),
		failures: metrics.GetOrRegisterCounter("quarantine.failures", o.Metrics),
		refusals: metrics.GetOrRegisterCounter("quarantine.refusals", o.Metrics),
		rules:    metrics.GetOrRegisterCounter("quarantine.rules", o.Metrics),

		probesStarted: metrics.GetOrRegisterCounter("quarantine.probes", o.Metrics),
	}
	m.node.probeDelay = m.probeDelay
	m.view.Store(&View{})
	return m
}

// Check implements Guard. A request that becomes a probe waits until the peers are told.
func (m *Manager) Check(r *Request) error {
	before := len(r.probes)
	err := m.view.Load().check(boottime.Now(), r)
	for _, p := range r.probes[before:] {
		if err == nil && !m.startProbe(p) {
			err = &RefusedError{Request: p.onRequest, Suspected: p.onRequest && p.activations == 0, Parts: 1, RetryAfter: minCanaryInterval}
		}
	}
	if err != nil {
		r.probes = r.probes[:before]
		m.refusals.Inc(1)
	}
	return err
}

// MayRepeat implements Guard.
func (m *Manager) MayRepeat(r *Request) bool { return m.view.Load().mayRepeat(r) }

// Watch implements Guard.
func (m *Manager) Watch(r *Request, refuse func(error)) (stop func()) {
	m.waitingMu.Lock()
	defer m.waitingMu.Unlock()
	m.waiting[r] = refuse
	return func() {
		m.waitingMu.Lock()
		defer m.waitingMu.Unlock()
		delete(m.waiting, r)
	}
}

// refuseWaiting refuses the waiting requests that a rule matches.
func (m *Manager) refuseWaiting(now time.Duration) {
	view := m.view.Load()
	if len(view.rules)+len(view.suspects) == 0 {
		return
	}
	m.waitingMu.Lock()
	defer m.waitingMu.Unlock()
	for r, refuse := range m.waiting {
		if err := view.refusal(now, r); err != nil {
			refuse(err)
		}
	}
}

// RunFailed implements Guard.
func (m *Manager) RunFailed(r *Request, server vmlist.VM, started time.Duration) {
	keys := r.keys()
	if len(keys) == 0 {
		return
	}
	m.failures.Inc(1)
	f := Failure{Run: r.Run, Server: lifetime(server), Organisation: r.Organisation, Keys: keys}
	r.crashed = append(r.crashed, f.Server)
	m.post("", func(now time.Duration) Effects { return m.node.RunFailed(now, f, started) })
}

// lifetime identifies one lifetime of a server.
func lifetime(server vmlist.VM) uint32 {
	return uint32(hash.Pair(server.ID, strconv.FormatInt(server.Incarnation, 10)))
}

// RunSucceeded implements Guard. The success of a whole request that no failure and no rule
// names is only recorded, since most requests are such.
func (m *Manager) RunSucceeded(r *Request) {
	if r.Whole != 0 {
		m.node.recordRequest(boottime.Now(), r.Whole)
	}
	if len(r.Parts) == 0 && !m.view.Load().names(r.Whole) {
		return
	}
	keys := r.keys()
	m.post("", func(now time.Duration) Effects { return m.node.RunSucceeded(now, keys) })
}

// Receive handles a message of a peer.
func (m *Manager) Receive(from string, in *peerpb.Quarantine) {
	m.post(from, func(now time.Duration) Effects { return m.node.Receive(now, decode(now, in)) })
}

// Digest identifies the rules in force.
func (m *Manager) Digest() uint64 { return m.digest.Load() }

// ReceiveDigest handles the digest in a heartbeat of a peer. If it differs from that of
// this VM, the peer gets all rules: it may have started after they were sent.
func (m *Manager) ReceiveDigest(from string, digest uint64) {
	if digest != m.Digest() {
		m.post(from, func(now time.Duration) Effects { return m.sync(from, now) })
	}
}

func (m *Manager) sync(from string, now time.Duration) Effects {
	if last, synced := m.syncedAt[from]; synced && now-last < syncInterval {
		return Effects{}
	}
	m.syncedAt[from] = now
	return Effects{Reply: Message{Rules: m.node.Rules()}}
}

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

func (m *Manager) send(now time.Duration, from string, e Effects) {
	if !e.Send.Empty() {
		updates := envelope(now, e.Send)
		for _, id := range gossipTargets(m.opts.Peers()) {
			if id != from {
				m.sendTo(id, updates)
			}
		}
	}
	if from != "" && !e.Reply.Empty() {
		m.sendTo(from, envelope(now, e.Reply))
	}
}

func (m *Manager) sendTo(id string, e *peerpb.Envelope) {
	if err := m.opts.Transport.Send(id, e); err != nil {
		m.opts.Log.Debug("quarantine_not_sent", zap.String("peer", id), zap.Error(err))
	}
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
