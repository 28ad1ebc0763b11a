package quarantine

import (
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
	// changed signals a new archiveDigest.
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
			err = &RefusedError{Request: p.onRequest, Suspected: p.onRequest && p.activations == 0, Parts: 1, RetryAfter: minProbeInterval}
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
// names, as those of most requests, is recorded without the control goroutine.
func (m *Manager) RunSucceeded(r *Request) {
	if r.Whole != 0 {
		m.node.recordRequest(boottime.Now(), r.Whole)
	}
	if len(r.Parts) == 0 && !m.view.Load().isNamed(r.Whole) {
		return
	}
	keys := r.keys()
	m.post("", func(now time.Duration) Effects { return m.node.RunSucceeded(now, keys) })
}
