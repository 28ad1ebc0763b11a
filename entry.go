package vanillaarch

import (
	"cmp"
	"hash/maphash"
	"net"
	"net/http"
	"sync/atomic"
	"time"

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
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/ratelimit/permit"
	"github.com/vanillaarch/vanillaarch/standby"
	"github.com/vanillaarch/vanillaarch/streamorigin"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// EntryStore is the platform's key-value service.
type EntryStore interface {
	discovery.Store
	kv.Writer
}

// EntryOptions are the settings and dependencies of an Entry.
type EntryOptions struct {
	Deployment config.Deployment
	// Store is the platform's key-value service.
	Store EntryStore
	Codec discovery.Codec
	Edge  edge.Codec
	// Engines returns a client of the engines' management API that sends its requests
	// through the given HTTP client.
	Engines func(*backend.HTTPClient) edge.EngineClient
	Log     *zap.Logger
}

// Entry is an entry VM on a platform whose operator configures routes in the
// platform's store.
type Entry struct {
	opts       EntryOptions
	log        *zap.Logger
	loop       *control.Loop
	gateway    *gateway.Gateway
	httpClient *backend.HTTPClient
	follower   *discovery.Follower
	mesh       *mesh
	origins    *streamorigin.Tracker
	grants     *grant.Manager
	breaker    *backend.Breaker
	metrics    metrics.Registry
	callers    *http.Server
	probes     *http.Server
	admin      *http.Server
	listeners  []net.Listener
	// callerListener is the listener for callers without its idle-limit wrapper.
	callerListener *listen.Listener
	// bounds are the bounds of the current settings.
	bounds atomic.Pointer[config.Bounds]
}

// Limits and intervals of an Entry.
const (
	// maxHeaderBytes limits the size of a request's headers. The operator's limit is
	// lower.
	maxHeaderBytes = 64 << 10
	// maxProbeHeaderBytes limits the headers of a request for readiness or metrics.
	maxProbeHeaderBytes = 16 << 10
	// headerTimeout limits the time for reading the headers of a request.
	headerTimeout = 10 * time.Second
	// callerIdleTimeout applies unless the configuration sets another value.
	callerIdleTimeout = 30 * time.Second
	// localStreams limits the concurrent streams per engine that this VM starts while
	// it bypasses the dispatcher.
	localStreams = 2
	// queueTimeout limits the wait for an engine. Requests also have their own deadlines.
	queueTimeout = 20 * time.Second
	// maxQueuedRequests limits the number of requests of this VM that wait for an engine.
	maxQueuedRequests = 1024
	// engineGroupSize is the maximum number of engines per dispatcher. When the size of
	// a pool crosses this limit, its dispatchers change, and the new ones know little
	// about the current runs. The limit is therefore well above the size of a pool
	// that engines join and leave every few seconds.
	engineGroupSize = 128
	// blockTokens is the number of tokens per block, the unit in which the memory of
	// engines is accounted.
	blockTokens = 16
	// defaultEngineSlots is the maximum batch size of engines if the configuration
	// sets none.
	defaultEngineSlots = 24
	// reserveAccessDelay is how long a request waits before it may use memory that is
	// reserved for other organisations. The first event is due 1.5 s after the request.
	reserveAccessDelay = 250 * time.Millisecond
	// bypassAfter is the time without a response after which a dispatcher is bypassed.
	bypassAfter = 250 * time.Millisecond
	// peerFanout is the number of peers to which heartbeats are sent, peerHeartbeat the
	// interval between heartbeats, and peerSuspectAfter the time without one after
	// which a peer is suspected to have failed.
	peerFanout       = 4
	peerHeartbeat    = 500 * time.Millisecond
	peerSuspectAfter = 2 * time.Second
	// sweepInterval is the interval between checks for idle connections to backend
	// servers.
	sweepInterval = time.Second
	// taskStopTimeout limits the wait for background tasks during shutdown.
	taskStopTimeout = 250 * time.Millisecond
	// shutdownMargin is the part of the grace period that is reserved for the exit of
	// the process after the drain.
	shutdownMargin = 400 * time.Millisecond
	// answerMargin is the part of the grace period, before shutdownMargin, in which callers
	// get the answers of requests that the VM has ended.
	answerMargin = 200 * time.Millisecond
	// maxLoggedConnections limits the connections that a log line lists.
	maxLoggedConnections = 16
	// settleTimeout limits how long a VM that shuts down continues to accept
	// connections that are already established.
	settleTimeout = time.Second
	// drainNotice is how long the load balancer may send new connections after the
	// shutdown has begun.
	drainNotice = 3500 * time.Millisecond
)

// NewEntry returns an entry VM that listens on its addresses. It serves no requests
// until Run is called.
func NewEntry(o EntryOptions) (*Entry, error) {
	e := &Entry{
		opts: o, log: o.Log, loop: control.NewLoop(o.Log, time.Now), metrics: metrics.NewRegistry(),
		httpClient: backend.NewHTTPClient(o.Edge.ResponseID), breaker: backend.NewBreaker(),
	}
	d := o.Deployment
	e.bounds.Store(&o.Deployment.Bounds)
	intervals := standby.IntervalsFor(d.Bounds.Change(), d.Bounds.Revoke, peerHeartbeat)
	var err error
	e.mesh, err = newMesh(meshOptions{
		VM: d.VM, Region: d.Region, Listen: d.Listen.Peers, Loop: e.loop, Metrics: e.metrics, Log: o.Log,
		Peers: config.Peers{
			Fanout: peerFanout, HeartbeatInterval: config.Duration(peerHeartbeat), SuspectAfter: config.Duration(peerSuspectAfter),
		},
		Sources: gossip.RouteSources(e.loop, o.Codec.DecodeConfig),
		Standby: &intervals, AskServer: e.askServer(o.Engines(e.httpClient)), ColdBound: e.coldBound,
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
		OnEntry: e.loadRules, OnAnnounced: e.mesh.members.Announced, Duties: e.mesh, Intervals: intervals, Metrics: e.metrics, Log: o.Log,
	})
	e.origins = streamorigin.NewTracker(streamorigin.TrackerOptions{
		Options: streamorigin.Options{
			Store: o.Store, VMs: func() int { return e.loop.Snapshot().EntryVMCount() }, WritesPerSecond: d.Store.WritesPerSecond,
			Log: o.Log, Metrics: e.metrics, VM: d.VM, Transport: e.mesh.sessions,
			Members: func() []vmlist.VM { return e.loop.Snapshot().EntryVMs },
		},
		VM: d.VM, FirstStart: d.FirstStart, Loop: e.loop,
	})
	e.mesh.onOrigins = e.origins.Receive
	e.grants = e.newGrantManager()
	e.gateway = gateway.New(gateway.Options{
		VM: d.VM, Zone: d.Zone, Region: d.Region, ZoneRegions: d.ZoneRegions, MemoryBytes: d.Limits.MemoryBytes, Bounds: e.bounds.Load, Snapshot: e.loop.Snapshot, Admission: e.grants, Breaker: e.breaker, Quarantine: e.mesh.quarantine, Servers: e.mesh.servers, Permits: e.mesh.permits, Origins: e.origins,
		HTTPClient: e.httpClient, Engines: o.Engines(e.httpClient), Edge: o.Edge, Log: o.Log, Metrics: gateway.NewMetrics(e.metrics),
	})
	e.origins.OnSecondVersion = e.gateway.RecordOrigins
	if err := e.listen(); err != nil {
		e.closeListeners()
		e.mesh.sessions.Close()
		return nil, err
	}
	return e, nil
}

// coldBound returns the bound on requests to cold servers.
func (e *Entry) coldBound() permit.ColdBound {
	bounds := e.bounds.Load()
	return permit.ColdBound{Ratio: bounds.ColdRatio, Slack: bounds.ColdSlack}
}

// loadRules adopts the rules on prompt parts that the first read of the store
// returns.
func (e *Entry) loadRules(entry kv.Entry) {
	if entry.Key == quarantine.ArchiveKey {
		e.mesh.quarantine.Load(entry)
	}
}

// newGrantManager returns a grant.Manager, which obtains engines from the dispatchers
// of their groups, and passes it the dispatch messages of peers.
func (e *Entry) newGrantManager() *grant.Manager {
	d := e.opts.Deployment
	g := grant.New(grant.Options{
		VM: d.VM, Region: d.Region, Loop: e.loop, Transport: e.mesh.sessions, Breaker: e.breaker, Log: e.log, Metrics: e.metrics,
		NewPolicy: func() dispatch.Policy {
			return dispatch.NewFair(dispatch.FairOptions{
				MaxEngineStreams: e.engineSlots(), AgingDelay: reserveAccessDelay, OnSuspension: logSuspension(e.log),
				OnSpeed:  logSpeed(e.log, e.metrics),
				OnReturn: logReturn(e.log, e.metrics),
				ColdRate: e.mesh.permits.ColdRate,
			})
		},
		KVCacheSize: e.kvCacheSize, Paused: e.mesh.servers.Paused, Limited: e.mesh.permits.Avoided, BypassAfter: bypassAfter, QueueTimeout: queueTimeout, LocalStreams: localStreams,
		GroupSize: engineGroupSize, Queued: maxQueuedRequests, QueuedPerOrganisation: maxQueuedRequests,
		Seed: maphash.String(maphash.MakeSeed(), d.VM),
	})
	e.mesh.onSuspected = g.Suspected
	e.mesh.onDispatch = func(from string, m *peerpb.Envelope) {
		if d := m.GetDispatch(); d != nil {
			g.Receive(from, d)
		}
	}
	return g
}

// engineSlots returns the smallest maximum batch size of all engines in the
// configuration.
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

// kvCacheSize returns the configured KV cache size of an engine as a number of blocks
// and the tokens per block, or zeros if none is configured.
func (e *Entry) kvCacheSize(id string) (blocks, tokens int) {
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

// Reload applies the bounds of changed settings. Changes of the addresses, the store
// and the intervals at which it is read, which are derived from the bounds, take effect
// after a restart.
func (e *Entry) Reload(d config.Deployment) {
	before := e.bounds.Swap(&d.Bounds)
	e.log.Info("settings_in_force", zap.Duration("revoke", d.Bounds.Revoke), zap.Duration("grace", d.Bounds.Grace),
		zap.Duration("drain", d.Bounds.Drain), zap.Bool("bounds_changed", *before != d.Bounds),
		zap.Int("requests_in_progress", e.gateway.Active()), zap.Int("streams_at_engines", e.gateway.Runs()))
}

// Snapshot returns the current control state.
func (e *Entry) Snapshot() *control.Snapshot { return e.loop.Snapshot() }
