package vanillaarch

import (
	"cmp"
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/discovery"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/dispatch/grant"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/gateway"
	"github.com/vanillaarch/vanillaarch/gossip"
	"github.com/vanillaarch/vanillaarch/internal/listen"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/standby"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// EntryOptions are the collaborators of an Entry.
type EntryOptions struct {
	Deployment config.Deployment
	// Store is the platform's key-value service.
	Store discovery.Store
	Codec discovery.Codec
	Edge  edge.Codec
	// Engines returns the client of engines over the exchanges of the VM.
	Engines func(*backend.Exchanges) edge.EngineClient
	Log     *zap.Logger
}

// Entry is an entry VM on a platform whose operator configures routes in the
// platform's store.
type Entry struct {
	opts      EntryOptions
	log       *zap.Logger
	loop      *control.Loop
	gateway   *gateway.Gateway
	exchanges *backend.Exchanges
	follower  *discovery.Follower
	mesh      *mesh
	grants    *grant.Manager
	breaker   *backend.Breaker
	metrics   metrics.Registry
	callers   *http.Server
	probes    *http.Server
	admin     *http.Server
	listeners []net.Listener
	// callerSocket is the listener of callers without what it is wrapped in.
	callerSocket *listen.Listener
	// bounds are those of the settings in force.
	bounds atomic.Pointer[config.Bounds]
}

// Limits of the servers of an entry VM.
const (
	// headerBytes bounds the head of a request. The operator's limit is lower.
	headerBytes = 64 << 10
	// headerTimeout bounds the time for the head of a request.
	headerTimeout = 10 * time.Second
	// callerIdleTimeout applies until a configuration states another.
	callerIdleTimeout = 30 * time.Second
	// localStreams bounds the streams of one engine that this VM starts without
	// its dispatcher.
	localStreams = 2
	// queueTimeout bounds the wait for an engine. Requests have deadlines of their own.
	queueTimeout = 20 * time.Second
	// queuedRequests bounds the requests that wait on this VM for an engine.
	queuedRequests = 1024
	// engineGroup is the largest number of engines that one VM dispatches. A pool
	// whose size crosses it changes its dispatchers, which then know little of its
	// runs, so it is well above the size of a pool that engines join and leave
	// every few seconds.
	engineGroup = 128
	// blockTokens is the unit in which the memory of engines is counted.
	blockTokens = 16
	// defaultEngineSlots bounds the batch of an engine whose configuration states none.
	defaultEngineSlots = 24
	// agedWait is the wait after which a request may use memory that is kept free
	// for other organisations. The first event is due 1.5 s after the request.
	agedWait = 250 * time.Millisecond
	// bypassAfter is the silence of a dispatcher after which it is bypassed.
	bypassAfter = 250 * time.Millisecond
	// peerFanout is the number of peers that get heartbeats, peerHeartbeat the
	// time between them, and peerSuspectAfter the silence of a suspect peer.
	peerFanout       = 4
	peerHeartbeat    = 500 * time.Millisecond
	peerSuspectAfter = 2 * time.Second
	// sweepInterval is the time between looks for expired connections.
	sweepInterval = time.Second
	// taskLimit bounds the wait for background work at the end.
	taskLimit = 250 * time.Millisecond
	// stopMargin is left of the grace time for the process to end.
	stopMargin = 400 * time.Millisecond
	// acceptTime bounds the time for which a VM that stops accepts connections that
	// are already established.
	acceptTime = time.Second
	// noticeTime is how long after a stop the balancer may still send new connections.
	noticeTime = 3500 * time.Millisecond
)

// NewEntry returns an entry VM that listens on its addresses. Run must be called to serve.
func NewEntry(o EntryOptions) (*Entry, error) {
	e := &Entry{
		opts: o, log: o.Log, loop: control.NewLoop(o.Log, time.Now), metrics: metrics.NewRegistry(),
		exchanges: backend.NewExchanges(o.Edge.ResponseID), breaker: backend.NewBreaker(),
	}
	d := o.Deployment
	e.bounds.Store(&o.Deployment.Bounds)
	times := standby.IntervalsFor(min(d.Bounds.ConfigApply, d.Bounds.Drain), d.Bounds.Revoke, peerHeartbeat)
	var err error
	e.mesh, err = newMesh(meshOptions{
		VM: d.VM, Region: d.Region, Listen: d.Listen.Peers, Loop: e.loop, Metrics: e.metrics, Log: o.Log,
		Peers: config.Peers{
			Fanout: peerFanout, HeartbeatInterval: config.Duration(peerHeartbeat), SuspectAfter: config.Duration(peerSuspectAfter),
		},
		Sources: gossip.RouteSources(e.loop, o.Codec.DecodeConfig),
		Standby: &times,
	})
	if err != nil {
		return nil, err
	}
	e.follower = discovery.New(discovery.Options{
		Self: vmlist.VM{
			ID: d.VM, Role: vmlist.RoleEntry, State: vmlist.StateLive, Zone: d.Zone, Region: d.Region,
			PeerAddress: e.mesh.sessions.Addr(), Incarnation: time.Now().UnixMilli(), CPU: d.Limits.CPU,
		},
		Store: o.Store, Codec: o.Codec, Loop: e.loop, MinLease: d.Store.MinLease, FirstStart: d.FirstStart,
		Duties: e.mesh, Times: times, Metrics: e.metrics, Log: o.Log,
	})
	e.grants = e.newGrants()
	e.gateway = gateway.New(gateway.Options{
		VM: d.VM, Zone: d.Zone, MemoryBytes: d.Limits.MemoryBytes, Bounds: e.bounds.Load, Snapshot: e.loop.Snapshot, Admission: e.grants, Breaker: e.breaker,
		Exchanges: e.exchanges, Engines: o.Engines(e.exchanges), Edge: o.Edge, Log: o.Log, Metrics: gateway.NewMetrics(e.metrics),
	})
	if err := e.listen(); err != nil {
		e.closeListeners()
		e.mesh.sessions.Close()
		return nil, err
	}
	return e, nil
}

// newGrants returns the grant protocol, which obtains engines from the
// dispatcher of their group.
func (e *Entry) newGrants() *grant.Manager {
	d := e.opts.Deployment
	g := grant.New(grant.Options{
		VM: d.VM, Region: d.Region, Loop: e.loop, Transport: e.mesh.sessions, Breaker: e.breaker, Log: e.log,
		NewCore: func() dispatch.Policy {
			return dispatch.NewFair(dispatch.FairOptions{
				MaxEngineStreams: e.engineSlots(), AgingDelay: agedWait, OnSuspension: logSuspension(e.log),
			})
		},
		KVCacheSize: e.engineMemory, BypassAfter: bypassAfter, QueueTimeout: queueTimeout, LocalStreams: localStreams,
		GroupSize: engineGroup, Queued: queuedRequests, QueuedPerOrganisation: queuedRequests,
		Seed: maphash.String(maphash.MakeSeed(), d.VM),
	})
	e.mesh.onDispatch = func(from string, m *peerpb.Envelope) {
		if d := m.GetDispatch(); d != nil {
			g.Receive(from, d)
		}
	}
	return g
}

// engineSlots returns the smallest batch limit of the engines in the configuration.
func (e *Entry) engineSlots() int {
	slots := 0
	if table := e.loop.Snapshot().Routes; table != nil {
		for _, s := range table.Services {
			if s.Engine != nil && s.Engine.Slots > 0 && (slots == 0 || s.Engine.Slots < slots) {
				slots = s.Engine.Slots
			}
		}
	}
	return cmp.Or(slots, defaultEngineSlots)
}

// engineMemory returns the memory of an engine as the configuration states it.
func (e *Entry) engineMemory(id string) (blocks, tokens int) {
	snap := e.loop.Snapshot()
	if snap.Routes == nil {
		return 0, 0
	}
	for _, name := range snap.Backends[id].Services {
		if s := snap.Routes.Service(name); s != nil && s.Engine != nil {
			return s.Engine.MemoryTokens / blockTokens, blockTokens
		}
	}
	return 0, 0
}

// Reload takes changed settings into use. Addresses, the store, and the intervals
// at which it is read, which follow from the bounds, take effect
// at the next start.
func (e *Entry) Reload(d config.Deployment) {
	e.bounds.Store(&d.Bounds)
	e.log.Info("settings_in_force", zap.Duration("revoke", d.Bounds.Revoke), zap.Duration("grace", d.Bounds.Grace),
		zap.Duration("drain", d.Bounds.Drain))
}

// Run serves until ctx ends. It then drains: it is no longer ready, asks
// callers to use other connections, and lets answers go on for as long as the
// platform allows.
func (e *Entry) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var background sync.WaitGroup
	tasks := append(append(e.follower.Tasks(), e.mesh.tasks()...), e.loop.Run, e.followMembers, e.sweep, e.grants.Run,
		func(ctx context.Context) { e.gateway.WatchEngines(ctx, e.loop.Subscribe()) }, e.gateway.ProbeEngines)
	for _, task := range tasks {
		background.Go(func() { task(work) })
	}
	servers := []*http.Server{e.callers, e.probes, e.admin}[:len(e.listeners)]
	for i, s := range servers {
		background.Go(func() { e.serve(s, e.listeners[i]) })
	}
	e.log.Info("vm_started", zap.String("callers", e.opts.Deployment.Listen.Callers), zap.String("zone", e.opts.Deployment.Zone))
	<-ctx.Done()
	left := e.drain()
	for _, s := range servers {
		_ = s.Close()
	}
	stop()
	e.mesh.sessions.Close()
	e.awaitTasks(&background)
	e.exchanges.Close()
	e.log.Info("vm_stopped", zap.Int("cut", left))
	return nil
}

// awaitTasks waits for background work, for at most taskLimit: the platform ends
// a process that outlives its grace time.
func (e *Entry) awaitTasks(background *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		background.Wait()
		e.gateway.Close()
	}()
	select {
	case <-done:
	case <-time.After(taskLimit):
		e.log.Warn("tasks_not_ended", zap.Duration("limit", taskLimit))
	}
}

func (e *Entry) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.Error("listener_failed", zap.String("address", l.Addr().String()), telemetry.Error(err))
	}
}

// drain waits until no request is in progress, at least for the time that the
// balancer needs to notice. It returns the number of requests that it cuts.
func (e *Entry) drain() (left int) {
	begin := time.Now()
	e.log.Info("drain_started", zap.Int("active", e.gateway.Active()))
	grace := e.bounds.Load().Grace - stopMargin
	e.gateway.BeginDrain(grace)
	limit := begin.Add(grace)
	notice := min(noticeTime, e.bounds.Load().Grace/2)
	time.Sleep(notice)
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	if err := e.callerSocket.DrainBacklog(min(acceptTime, time.Until(limit)/2)); err != nil {
		e.log.Warn("listener_not_settled", telemetry.Error(err))
	}
	// Idle connections are closed, and new ones are no longer accepted.
	shutdown := make(chan error, 1)
	go func() { shutdown <- e.callers.Shutdown(ctx) }()
	left = e.gateway.WaitDrained(ctx)
	if err := <-shutdown; err != nil {
		e.log.Warn("drain_incomplete", zap.Int("active", e.gateway.Active()), telemetry.Error(err))
	}
	return left
}

// followMembers tells the gateway how many VMs share the retry budget. Suspects
// count: a VM that is cut off from all others must not spend their parts.
func (e *Entry) followMembers(ctx context.Context) {
	changed := e.loop.Subscribe()
	for {
		e.gateway.SetVMs(len(e.loop.Snapshot().Members.VMs))
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// sweep closes connections that have been idle for too long.
func (e *Entry) sweep(ctx context.Context) {
	for wait.Sleep(ctx, sweepInterval) {
		e.exchanges.Sweep(time.Now())
	}
}

// Snapshot returns the control state.
func (e *Entry) Snapshot() *control.Snapshot { return e.loop.Snapshot() }
