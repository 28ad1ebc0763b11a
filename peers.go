package vanillaarch

import (
	"context"
	"slices"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/gossip"
	"github.com/vanillaarch/vanillaarch/membership"
	"github.com/vanillaarch/vanillaarch/peer"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/rendezvous"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Who reads from the platform.
const (
	// watchersPerRegion is the number of VMs of a region that hold the watch on
	// the bundle head and poll the VM list. One can fail and one can be paused.
	watchersPerRegion = 3
	watcherKeyPrefix  = "platform/"
	// fallbackGroup is the number of VMs that share one fallback interval: a
	// region makes at most about this many reads in it, however many VMs it has.
	fallbackGroup = 10
)

// listenPeers opens the peer listener and builds what rests on it.
func (s *Server) listenPeers() error {
	sources := gossip.Sources(s.loop, s.keys)
	s.gossip = gossip.New(sources, s.log)
	s.members = membership.NewService(membership.Options{
		VM: s.cfg.VMID, Fanout: s.cfg.Peers.Fanout,
		HeartbeatInterval: s.cfg.Peers.HeartbeatInterval.Std(), SuspectAfter: s.cfg.Peers.SuspectAfter.Std(),
		Versions: func() (int64, int64) {
			return sources[gossip.KindBundle].Version(), sources[gossip.KindVMList].Version()
		},
		Changed: func(c membership.Change) {
			s.loop.Post(control.SuspicionChanged{VM: c.VM, Suspect: c.Suspect})
		},
		Log: s.log,
	})
	var err error
	s.peers, err = peer.Listen(peer.Options{
		VM: s.cfg.VMID, Listen: s.cfg.Listen.Peer, TLS: s.cfg.TLS,
		HeartbeatInterval: s.cfg.Peers.HeartbeatInterval.Std(), SuspectAfter: s.cfg.Peers.SuspectAfter.Std(),
		Handler: s.receive, Probe: s.members.Heartbeat, Ack: s.members.Ack, Log: s.log,
	})
	if err != nil {
		return err
	}
	s.registerPeerMetrics()
	return nil
}

func (s *Server) registerPeerMetrics() {
	for name, value := range map[string]func(gossip.Stats) int64{
		"gossip.requests":      func(st gossip.Stats) int64 { return st.Requests },
		"gossip.deltas":        func(st gossip.Stats) int64 { return st.Deltas },
		"gossip.wholes":        func(st gossip.Stats) int64 { return st.Wholes },
		"gossip.encoded_bytes": func(st gossip.Stats) int64 { return st.EncodedBytes },
		"gossip.unfit":         func(st gossip.Stats) int64 { return st.Unfit },
		"gossip.dropped":       func(st gossip.Stats) int64 { return st.Dropped },
	} {
		metrics.NewRegisteredFunctionalGauge(name, s.metrics, func() int64 { return value(s.gossip.Stats()) })
	}
	for name, value := range map[string]func(peer.Stats) int64{
		"peer.bytes_sent":        func(st peer.Stats) int64 { return st.BytesSent },
		"peer.bytes_received":    func(st peer.Stats) int64 { return st.BytesReceived },
		"peer.sessions_opened":   func(st peer.Stats) int64 { return st.Opened },
		"peer.sessions_replaced": func(st peer.Stats) int64 { return st.Replaced },
		"peer.refused":           func(st peer.Stats) int64 { return st.Refused },
	} {
		metrics.NewRegisteredFunctionalGauge(name, s.metrics, func() int64 { return value(s.peers.Stats()) })
	}
}

// receive sorts messages of peers.
func (s *Server) receive(from string, m *peerpb.Envelope) {
	if x := m.GetMembership(); x != nil {
		s.members.Receive(from, x)
		s.gossip.Receive(from, x)
		return
	}
	if s.onDispatch != nil {
		s.onDispatch(from, m)
	}
}

// Peers returns the transport to other entry VMs.
func (s *Server) Peers() peer.Transport { return s.peers }

// PeerStats returns the counters of the transport.
func (s *Server) PeerStats() peer.Stats { return s.peers.Stats() }

// GossipStats returns the counters of the exchange of documents.
func (s *Server) GossipStats() gossip.Stats { return s.gossip.Stats() }

func (s *Server) peerTasks() []func(context.Context) {
	return []func(context.Context){
		s.peers.Run,
		func(ctx context.Context) { s.members.Run(ctx, s.peers) },
		func(ctx context.Context) { s.gossip.Run(ctx, s.peers, s.loop.Subscribe()) },
		s.followSnapshots,
	}
}

// useSeeds makes the configured seeds the peers of a VM that knows no VM list.
// The seeds accept this VM only if their VM list has it.
func (s *Server) useSeeds() {
	var vms []vmlist.VM
	for _, seed := range s.cfg.Peers.Seeds {
		if seed.VMID != s.cfg.VMID {
			vms = append(vms, vmlist.VM{ID: seed.VMID, Role: vmlist.RoleEntry, PeerAddress: seed.Address})
		}
	}
	if len(vms) > 0 {
		s.peers.SetVMs(vms)
		s.members.SetVMs(entryIDs(vms))
	}
}

// followSnapshots tells the parts that talk to peers about a new VM list, and
// peers about new versions.
func (s *Server) followSnapshots(ctx context.Context) {
	changed := s.loop.Subscribe()
	s.useSeeds()
	last := &control.Snapshot{}
	var known []string
	for {
		snap := s.loop.Snapshot()
		if snap.VMs != last.VMs && snap.VMs.Revision > 0 {
			s.peers.SetVMs(snap.VMs.VMs)
			// Most changes of the list are about backend servers.
			if ids := entryIDs(snap.VMs.VMs); !slices.Equal(ids, known) {
				known = ids
				s.members.SetVMs(ids)
			}
		}
		if snap.VMs != last.VMs || snap.Bundle != last.Bundle {
			s.members.Push()
		}
		last = snap
		s.watcher.Store(s.isWatcher(snap))
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
func (s *Server) isWatcher(snap *control.Snapshot) bool {
	if snap.Bundle == nil || snap.VMs.Revision == 0 {
		return true
	}
	if !slices.Contains(entryIDs(snap.VMs.VMs), s.cfg.VMID) {
		return true
	}
	top := rendezvous.Top(watcherKeyPrefix+s.cfg.Region, s.regionVMs(snap), watchersPerRegion)
	return slices.Contains(top, s.cfg.VMID)
}

// regionVMs returns the live VMs of this VM's region.
func (s *Server) regionVMs(snap *control.Snapshot) []vmlist.VM {
	var vms []vmlist.VM
	for _, vm := range snap.EntryVMs {
		if vm.Region == s.cfg.Region {
			vms = append(vms, vm)
		}
	}
	return vms
}

// readsPlatform is true for watchers and for a VM that hears no peer.
func (s *Server) readsPlatform() bool { return s.watcher.Load() || s.members.Isolated() }
