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
	"github.com/vanillaarch/vanillaarch/gossip"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/membership"
	"github.com/vanillaarch/vanillaarch/peer"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/rendezvous"
	"github.com/vanillaarch/vanillaarch/standby"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Who reads from the platform.
const (
	// watchersPerRegion is the number of VMs of a region that hold the watch on
	// the bundle head and poll the VM list. One can fail and one can be paused.
	// On the users' platform they are the readers and their first standbys.
	watchersPerRegion = 3
	watcherKeyPrefix  = "platform/"
	// firstConfigWait is the time from the start of a VM for which it leaves it to
	// the readers to find the first configuration.
	firstConfigWait = 10 * time.Second
	// fallbackGroup is the number of VMs that share one fallback interval: a
	// region makes at most about this many reads in it, however many VMs it has.
	fallbackGroup = 10
)

// meshOptions are the parameters of a mesh.
type meshOptions struct {
	VM, Region, Listen string
	TLS                config.TLS
	Peers              config.Peers
	Loop               *control.Loop
	// Sources hold the documents that VMs hand to each other.
	Sources map[peerpb.DocumentKind]gossip.Source
	// Standby holds the intervals by which VMs that tell each other how recently
	// the platform has confirmed the configuration read from it. Nil means that
	// they tell each other no confirmations.
	Standby *standby.Intervals
	Metrics metrics.Registry
	Log     *zap.Logger
}

// mesh connects a VM with other entry VMs: sessions, heartbeats with the
// suspicion of silent VMs, and the spread of documents.
type mesh struct {
	opts     meshOptions
	sessions *peer.Sessions
	members  *membership.Service
	gossip   *gossip.Gossip
	// onDispatch receives dispatch messages of peers. It is set before the tasks run, or nil.
	onDispatch peer.Handler
	// watcher says that this VM reads from the platform on behalf of its region.
	watcher atomic.Bool
	// began is the start of the VM on the clock of package boottime.
	began time.Duration
	// listed says that the list of entry VMs in force has this VM.
	listed atomic.Bool
	// rank is the place of this VM among those of its region, the reader first.
	rank atomic.Int64

	dutyMu sync.Mutex
	// duty decides what this VM asks of the platform's store, nil without Options.Standby.
	duty *standby.Core
}

// newMesh opens the peer listener and builds what rests on it.
func newMesh(o meshOptions) (*mesh, error) {
	m := &mesh{opts: o, gossip: gossip.New(o.Sources, o.Log), began: boottime.Now()}
	options := membership.Options{
		VM: o.VM, Fanout: o.Peers.Fanout,
		HeartbeatInterval: o.Peers.HeartbeatInterval.Std(), SuspectAfter: o.Peers.SuspectAfter.Std(),
		Versions: func() (int64, int64) {
			return o.Sources[gossip.KindBundle].Version(), o.Sources[gossip.KindVMList].Version()
		},
		OnChange: func(changes []membership.Change) { o.Loop.Post(suspicions(changes)) },
		Log:      o.Log,
	}
	if members := o.Sources[gossip.KindEntryVMs]; members != nil {
		options.EntryVMsRevision = members.Version
	}
	if o.Standby != nil {
		m.duty = standby.NewCore(*o.Standby)
		options.ConfirmedAt, options.OnConfirmed = m.confirmed, m.confirm
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
	m.registerMetrics()
	return m, nil
}

// suspicions returns the control message for changes of suspicions.
func suspicions(changes []membership.Change) control.SuspicionsChanged {
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

// confirmed returns when the platform last confirmed the configuration in force.
func (m *mesh) confirmed() (at time.Duration, ok bool) {
	snap := m.opts.Loop.Snapshot()
	return snap.RoutesConfirmed, snap.RoutesConfirmed > 0
}

func (m *mesh) confirm(version int64, at time.Duration) {
	m.opts.Loop.Post(control.RoutesConfirmed{Version: version, At: at})
}

func (m *mesh) registerMetrics() {
	for name, value := range map[string]func(gossip.Stats) int64{
		"gossip.requests":      func(st gossip.Stats) int64 { return st.Requests },
		"gossip.deltas":        func(st gossip.Stats) int64 { return st.Deltas },
		"gossip.wholes":        func(st gossip.Stats) int64 { return st.FullDocuments },
		"gossip.encoded_bytes": func(st gossip.Stats) int64 { return st.EncodedBytes },
		"gossip.unfit":         func(st gossip.Stats) int64 { return st.DeltaMismatches },
		"gossip.dropped":       func(st gossip.Stats) int64 { return st.Dropped },
	} {
		metrics.NewRegisteredFunctionalGauge(name, m.opts.Metrics, func() int64 { return value(m.gossip.Stats()) })
	}
	for name, value := range map[string]func(peer.Stats) int64{
		"peer.bytes_sent":        func(st peer.Stats) int64 { return st.BytesSent },
		"peer.bytes_received":    func(st peer.Stats) int64 { return st.BytesReceived },
		"peer.sessions_opened":   func(st peer.Stats) int64 { return st.Opened },
		"peer.sessions_replaced": func(st peer.Stats) int64 { return st.Replaced },
		"peer.refused":           func(st peer.Stats) int64 { return st.Refused },
	} {
		metrics.NewRegisteredFunctionalGauge(name, m.opts.Metrics, func() int64 { return value(m.sessions.Stats()) })
	}
}

// receive sorts messages of peers.
func (m *mesh) receive(from string, e *peerpb.Envelope) {
	if x := e.GetMembership(); x != nil {
		m.members.Receive(from, x)
		m.gossip.Receive(from, x)
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

// GossipStats returns the counters of the exchange of documents.
func (s *Server) GossipStats() gossip.Stats { return s.mesh.gossip.Stats() }

func (m *mesh) tasks() []func(context.Context) {
	return []func(context.Context){
		m.sessions.Run,
		func(ctx context.Context) { m.members.Run(ctx, m.sessions) },
		func(ctx context.Context) { m.gossip.Run(ctx, m.sessions, m.opts.Loop.Subscribe()) },
		m.followSnapshots,
	}
}

// useSeeds makes the configured seeds the peers of a VM that knows no VM list.
// The seeds accept this VM only if their VM list has it.
func (m *mesh) useSeeds() {
	var vms []vmlist.VM
	for _, seed := range m.opts.Peers.Seeds {
		if seed.VMID != m.opts.VM {
			vms = append(vms, vmlist.VM{ID: seed.VMID, Role: vmlist.RoleEntry, PeerAddress: seed.Address})
		}
	}
	if len(vms) > 0 {
		m.sessions.SetVMs(vms)
		m.members.SetVMs(entryIDs(vms))
	}
}

// followSnapshots tells the parts that talk to peers about a new VM list, and
// peers about new versions.
func (m *mesh) followSnapshots(ctx context.Context) {
	changed := m.opts.Loop.Subscribe()
	m.useSeeds()
	last := &control.Snapshot{}
	var known []string
	for {
		snap := m.opts.Loop.Snapshot()
		if snap.VMs != last.VMs && snap.VMs.Revision > 0 {
			m.sessions.SetVMs(snap.VMs.VMs)
			// Most changes of the list are about backend servers.
			if ids := entryIDs(snap.VMs.VMs); !slices.Equal(ids, known) {
				known = ids
				m.members.SetVMs(ids)
			}
		}
		if snap.VMs != last.VMs || snap.Bundle != last.Bundle {
			m.members.Push()
		}
		if !snap.SameEntryVMs(last) || snap.Bundle != last.Bundle {
			m.takeRoles(snap)
		}
		last = snap
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func entryIDs(vms []vmlist.VM) []string {
	var ids []string
	for _, vm := range vms {
		if vm.Role == vmlist.RoleEntry {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

// isWatcher reports whether this VM reads from the platform: as one of the
// watchers of its region, or because no peer can tell it what it needs.
func (m *mesh) isWatcher(snap *control.Snapshot, watchers []string) bool {
	if snap.Bundle == nil && m.duty == nil {
		return true
	}
	return !m.listed.Load() || slices.Contains(watchers, m.opts.VM)
}

// readsPlatform is true for watchers and for a VM that hears no peer.
func (m *mesh) readsPlatform() bool { return m.watcher.Load() || m.members.Isolated() }

// takeRoles decides again what this VM does for others.
func (m *mesh) takeRoles(snap *control.Snapshot) {
	ranked := m.ranked(snap)
	m.listed.Store(slices.Contains(entryIDs(snap.VMs.VMs), m.opts.VM))
	m.watcher.Store(m.isWatcher(snap, ranked[:min(len(ranked), watchersPerRegion)]))
	if m.duty == nil {
		return
	}
	rank := slices.Index(ranked, m.opts.VM)
	if rank < 0 {
		rank = len(ranked)
	}
	m.rank.Store(int64(rank))
	m.members.SetExtraTargets(m.confirmers(ranked))
}

// ranked returns the VMs of the region, those that read from the platform first:
// strong ones, since what they read waits for their processor.
func (m *mesh) ranked(snap *control.Snapshot) []string {
	vms := m.regionVMs(snap)
	strong := vmlist.Strongest(vms)
	key := watcherKeyPrefix + m.opts.Region
	ranked := rendezvous.Top(key, strong, len(strong))
	for _, id := range rendezvous.Top(key, vms, len(vms)) {
		if !slices.Contains(ranked[:len(strong)], id) {
			ranked = append(ranked, id)
		}
	}
	return ranked
}

// regionVMs returns the live VMs of this VM's region.
func (m *mesh) regionVMs(snap *control.Snapshot) []vmlist.VM {
	var vms []vmlist.VM
	for _, vm := range snap.EntryVMs {
		if vm.Region == m.opts.Region {
			vms = append(vms, vm)
		}
	}
	return vms
}
