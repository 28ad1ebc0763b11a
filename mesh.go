package vanillaarch

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/evacuation"
	"github.com/vanillaarch/vanillaarch/gossip"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/membership"
	"github.com/vanillaarch/vanillaarch/peer"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/ratelimit/permit"
	"github.com/vanillaarch/vanillaarch/serverstate/tracker"
	"github.com/vanillaarch/vanillaarch/standby"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Distribution of the reads from the platform among VMs.
const (
	// watchersPerRegion is the number of VMs per region that watch the bundle head and
	// poll the VM list, so that one may fail while another is paused. On the users'
	// platform they are the readers and the first standbys.
	watchersPerRegion = 3
	watcherKeyPrefix  = "platform/"
	// initialConfigTimeout is how long a VM waits after its start for the readers to
	// find the first configuration.
	initialConfigTimeout = 10 * time.Second
	// fallbackGroupSize is the approximate maximum number of reads that all VMs of a
	// region together make per fallback interval, however many VMs the region has.
	fallbackGroupSize = 10
)

// meshOptions are the parameters of a mesh.
type meshOptions struct {
	VM, Region, Listen string
	TLS                config.TLS
	Peers              config.Peers
	Loop               *control.Loop
	// Sources hold the documents that VMs exchange.
	Sources map[peerpb.DocumentKind]gossip.Source
	// Standby holds the timing by which VMs read from the platform and exchange
	// confirmations, that is, how recently the platform has confirmed the
	// configuration. If it is nil, VMs exchange no confirmations.
	Standby *standby.Intervals
	// MaxServerPause bounds the pauses that backend servers ask for, 0 for the default.
	MaxServerPause time.Duration
	// ColdBound returns the bound on requests to cold servers. Nil means that there is none.
	ColdBound func() permit.ColdBound
	// AskServer asks a backend server whether it leaves.
	AskServer tracker.AskFunc
	Metrics   metrics.Registry
	Log       *zap.Logger
}

// mesh connects a VM to the other entry VMs. It maintains sessions, detects failed VMs
// by heartbeats, and distributes documents.
type mesh struct {
	opts     meshOptions
	sessions *peer.Sessions
	members  *membership.Service
	gossip   *gossip.Gossip
	// onDispatch handles dispatch messages of peers, which are dropped if it is nil. It
	// must be set before the tasks run.
	onDispatch peer.Handler
	// onOrigins handles the messages of peers about where streams began, which are dropped if it is nil.
	// It must be set before the tasks run.
	onOrigins func(from string, m *peerpb.StreamOrigins)
	// onSuspected is called when this VM learns that others suspect it, if it is not nil.
	// It must be set before the tasks start.
	onSuspected func()
	quarantine  *quarantine.Manager
	servers     *tracker.Tracker
	permits     *permit.Manager
	// watcher is set if this VM reads from the platform on behalf of its region.
	watcher atomic.Bool
	// startedAt is the start time of the VM on the clock of package boottime.
	startedAt time.Duration
	// listed is set if the current list of entry VMs contains this VM.
	listed atomic.Bool
	// rank is the position of this VM among those of its region, where 0 is the first
	// reader.
	rank atomic.Int64

	dutyMu sync.Mutex
	// dutySelector decides which requests this VM sends to the platform's store. It is
	// nil if meshOptions.Standby is nil.
	dutySelector *standby.DutySelector
}

// newMesh opens the peer listener and creates the services that use it.
func newMesh(o meshOptions) (*mesh, error) {
	m := &mesh{opts: o, gossip: gossip.New(o.Sources, o.Log), startedAt: boottime.Now()}
	options := membership.Options{
		VM: o.VM, Fanout: o.Peers.Fanout,
		HeartbeatInterval: o.Peers.HeartbeatInterval.Std(), SuspectAfter: o.Peers.SuspectAfter.Std(),
		Versions: func() (int64, int64) {
			return o.Sources[gossip.KindBundle].Version(), o.Sources[gossip.KindVMList].Version()
		},
		OnChange:           func(changes []membership.Change) { o.Loop.Post(suspicionsChanged(changes)) },
		OnSuspected:        m.handleSuspicion,
		QuarantineDigest:   func() uint64 { return m.quarantine.Digest() },
		OnQuarantineDigest: func(from string, digest uint64) { m.quarantine.ReceiveDigest(from, digest) },
		DeparturesDigest:   func() uint64 { return m.servers.Digest() },
		OnDeparturesDigest: func(from string, digest uint64) { m.servers.ReceiveDigest(from, digest) },
		LimitsDigest:       func() uint64 { return m.permits.Digest() },
		OnLimitsDigest:     func(from string, digest uint64) { m.permits.ReceiveDigest(from, digest) },
		Log:                o.Log,
	}
	if members := o.Sources[gossip.KindEntryVMs]; members != nil {
		options.EntryVMsRevision = members.Version
	}
	if evacuations := o.Sources[gossip.KindEvacuations]; evacuations != nil {
		options.EvacuationsVersion = evacuations.Version
	}
	if o.Standby != nil {
		m.dutySelector = standby.NewDutySelector(*o.Standby)
		options.ConfirmedAt, options.OnConfirmed = m.routesConfirmedAt, m.postConfirmation
		options.Announces = true
	}
	m.members = membership.NewService(options)
	var err error
	m.sessions, err = peer.Listen(peer.Options{
		VM: o.VM, Listen: o.Listen, TLS: o.TLS,
		HeartbeatInterval: o.Peers.HeartbeatInterval.Std(), SuspectAfter: o.Peers.SuspectAfter.Std(),
		Handler: m.receive, Probe: m.members.Heartbeat, Ack: m.members.Ack, Log: o.Log,
	})
	if err != nil {
		return nil, err
	}
	m.quarantine = quarantine.New(quarantine.Options{
		VM: o.VM, Loop: o.Loop, Transport: m.sessions, Peers: m.members.Targets, Metrics: o.Metrics, Log: o.Log,
	})
	m.servers = tracker.New(tracker.Options{
		VM: o.VM, MaxPause: o.MaxServerPause, Loop: o.Loop, Transport: m.sessions, Ask: o.AskServer, Peers: m.members.Targets,
		Metrics: o.Metrics, Log: o.Log,
	})
	m.permits = permit.New(permit.Options{
		VM: o.VM, Loop: o.Loop, Transport: m.sessions, Peers: m.members.Targets, Metrics: o.Metrics, Log: o.Log,
		ColdBound: o.ColdBound,
	})
	m.registerMetrics()
	return m, nil
}

func (m *mesh) handleSuspicion() {
	if m.onSuspected != nil {
		m.onSuspected()
	}
}

// suspicionsChanged converts changes of suspicions into a control message.
func suspicionsChanged(changes []membership.Change) control.SuspicionsChanged {
	var m control.SuspicionsChanged
	for _, c := range changes {
		if c.Suspect {
			m.Suspect = append(m.Suspect, c.VM)
		} else {
			m.Cleared = append(m.Cleared, c.VM)
		}
	}
	return m
}

// routesConfirmedAt returns when the platform last confirmed the current configuration.
func (m *mesh) routesConfirmedAt() (c membership.Confirmation, ok bool) {
	snap := m.opts.Loop.Snapshot()
	c = membership.Confirmation{At: snap.ConfirmedForPeers(), Newest: snap.RoutesNewest}
	return c, c.At > 0
}

// postConfirmation applies a confirmation of a peer, after the era in which the peer is.
func (m *mesh) postConfirmation(from string, version, listRevision int64, c membership.Confirmation) {
	era := vmlist.EraOf(listRevision)
	m.opts.Loop.Post(control.EraSeen{Era: era, Source: "peer " + from})
	m.opts.Loop.Post(control.RoutesConfirmed{
		Version: version, At: c.At, Era: era, Newest: c.Newest, Evacuations: evacuation.Version(c.Evacuations),
	})
}

// receive dispatches messages of peers to their handlers.
func (m *mesh) receive(from string, e *peerpb.Envelope) {
	if x := e.GetMembership(); x != nil {
		m.members.Receive(from, x)
		m.gossip.Receive(from, x)
		return
	}
	if q := e.GetQuarantine(); q != nil {
		m.quarantine.Receive(from, q)
		return
	}
	if d := e.GetDepartures(); d != nil {
		m.servers.Receive(from, d)
		return
	}
	if l := e.GetRateLimit(); l != nil {
		m.permits.Receive(from, l)
		return
	}
	if o := e.GetStreamOrigins(); o != nil {
		if m.onOrigins != nil {
			m.onOrigins(from, o)
		}
		return
	}
	if m.onDispatch != nil {
		m.onDispatch(from, e)
	}
}

// Peers returns the transport to other entry VMs.
func (s *Server) Peers() peer.Transport { return s.mesh.sessions }

// PeerStats returns the counters of the transport.
func (s *Server) PeerStats() peer.Stats { return s.mesh.sessions.Stats() }

// GossipStats returns the counters of the distribution of documents.
func (s *Server) GossipStats() gossip.Stats { return s.mesh.gossip.Stats() }

func (m *mesh) tasks() []func(context.Context) {
	return []func(context.Context){
		m.sessions.Run,
		func(ctx context.Context) { m.members.Run(ctx, m.sessions) },
		func(ctx context.Context) { m.gossip.Run(ctx, m.sessions, m.opts.Loop.Subscribe()) },
		m.followSnapshots,
		m.servers.Run,
		m.permits.Run,
	}
}

// connectSeeds makes the configured seeds the peers of this VM until it has a VM list.
// A seed accepts this VM only if its own VM list contains it.
func (m *mesh) connectSeeds() {
	var vms []vmlist.VM
	for _, seed := range m.opts.Peers.Seeds {
		if seed.VMID != m.opts.VM {
			vms = append(vms, vmlist.VM{ID: seed.VMID, Role: vmlist.RoleEntry, PeerAddress: seed.Address})
		}
	}
	if len(vms) > 0 {
		m.sessions.SetVMs(vms)
		m.members.SetVMs(entryVMIDs(vms))
	}
}

// followSnapshots applies new VM lists to the sessions and the membership, announces
// new versions to peers, and updates the roles of this VM.
func (m *mesh) followSnapshots(ctx context.Context) {
	changed := m.opts.Loop.Subscribe()
	m.connectSeeds()
	last := &control.Snapshot{}
	var known []string
	for {
		snap := m.opts.Loop.Snapshot()
		if snap.VMs != last.VMs && snap.VMs.Revision > 0 {
			m.sessions.SetVMs(snap.VMs.VMs)
			// Most changes of the list concern only backend servers.
			if ids := entryVMIDs(snap.VMs.VMs); !slices.Equal(ids, known) {
				known = ids
				m.members.SetVMs(ids)
			}
		}
		if snap.VMs != last.VMs || snap.Bundle != last.Bundle || snap.Evacuations.List().Version != last.Evacuations.List().Version {
			m.members.Push()
		}
		if !snap.SameEntryVMs(last) || snap.Bundle != last.Bundle {
			m.updateRoles(snap)
		}
		m.markReturnedZones(last, snap)
		last = snap
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func entryVMIDs(vms []vmlist.VM) []string {
	var ids []string
	for _, vm := range vms {
		if vm.Role == vmlist.RoleEntry {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}
