package membership

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/peer"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// ticksPerHeartbeat is the number of timeout checks per heartbeat interval. It
// limits the delay of a suspicion to a quarter of the interval.
const ticksPerHeartbeat = 4

// Options configure a Service.
type Options struct {
	VM                              string
	Fanout                          int
	HeartbeatInterval, SuspectAfter time.Duration
	// Versions returns the bundle version and the VM list revision to announce.
	Versions func() (bundle, vmList int64)
	// EntryVMsRevision returns the announced revision of the list of entry VMs. It
	// is nil if that list is not distributed as a separate document.
	EntryVMsRevision func() int64
	// EvacuationsVersion returns the announced version of the list of evacuated availability
	// zones. It is nil if there is no such list.
	EvacuationsVersion func() int64
	// ConfirmedAt returns when the platform has confirmed the announced bundle version. This is
	// unknown if ConfirmedAt is nil or returns false.
	ConfirmedAt func() (c Confirmation, ok bool)
	// OnConfirmed is called when a peer reports that the platform has confirmed
	// a version. It may be nil.
	OnConfirmed func(from string, version, vmListRevision int64, c Confirmation)
	// QuarantineDigest returns the announced digest of the rules on prompt parts, and
	// OnQuarantineDigest is called with that of a peer. Both may be nil.
	QuarantineDigest   func() uint64
	OnQuarantineDigest func(from string, digest uint64)
	// DeparturesDigest returns the announced digest of the leaving backend servers, and
	// OnDeparturesDigest is called with that of a peer. Both may be nil.
	DeparturesDigest   func() uint64
	OnDeparturesDigest func(from string, digest uint64)
	// LimitsDigest returns the digest of the known rate limits of backend servers, and
	// OnLimitsDigest is called with that of a peer. Both may be nil.
	LimitsDigest   func() uint64
	OnLimitsDigest func(from string, digest uint64)
	// Announces is set if peers know this VM only after a call of Announced.
	Announces bool
	// OnChange is called with all suspicion changes of one event.
	OnChange func([]Change)
	// OnSuspected is called when this VM learns that others suspect it. It may be nil.
	OnSuspected func()
	Log         *zap.Logger
}

// PeerView holds the latest versions that a peer announced.
type PeerView struct {
	VM             string    `json:"vm"`
	BundleVersion  int64     `json:"bundle_version"`
	VMListRevision int64     `json:"vm_list_revision"`
	Heard          time.Time `json:"heard"`
}

// Service connects a Detector to the clock and the transport.
type Service struct {
	opts      Options
	transport peer.Transport
	started   time.Time
	push      chan struct{}
	// targets are those of the detector.
	targets atomic.Pointer[[]string]

	mu       sync.Mutex
	detector *Detector
	sequence uint64
	peers    map[string]PeerView
	// lastHeard is when a peer was last heard from, or when this VM could first hear
	// from one.
	lastHeard time.Time
	hasPeers  bool
	announced bool
	// extraTargets holds peers that receive heartbeats in addition to the targets
	// of the detector.
	extraTargets []string
	// sentAt holds the send times of the latest heartbeats, on the clock of
	// package boottime, indexed by sequence modulo its length.
	sentAt [sentAtCapacity]time.Duration
}

// sentAtCapacity is the number of heartbeats whose send time is kept.
// Confirmations in acknowledgements of older heartbeats are ignored.
const sentAtCapacity = 64

// NewService returns a service. Call Run to send heartbeats.
func NewService(o Options) *Service {
	now := time.Now()
	s := &Service{
		opts: o, started: now, lastHeard: now, push: make(chan struct{}, 1), peers: map[string]PeerView{},
		// The start time increases from run to run without persistent state.
		detector: NewDetector(o.VM, o.Fanout, o.SuspectAfter, uint64(now.UnixMilli())),
	}
	if o.Announces {
		s.detector.AwaitAnnouncement()
	}
	return s
}

// Run sends heartbeats and checks for suspicion timeouts until ctx ends.
func (s *Service) Run(ctx context.Context, transport peer.Transport) {
	s.transport = transport
	ticker := time.NewTicker(s.opts.HeartbeatInterval / ticksPerHeartbeat)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-s.push:
			s.sendHeartbeats()
		case now := <-ticker.C:
			s.apply(func() Effects { return s.detector.Tick(now) })
			if n%ticksPerHeartbeat == 0 {
				s.sendHeartbeats()
			}
		}
	}
}

// apply runs an event and performs its effects. OnChange and OnSuspected are called with
// the lock held, so that changes are delivered in order. What they wait for must not need
// the lock.
func (s *Service) apply(event func() Effects) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := event()
	if len(e.Changes) > 0 {
		s.opts.OnChange(e.Changes)
	}
	if e.Suspected && s.opts.OnSuspected != nil {
		s.opts.OnSuspected()
	}
	if e.Push {
		s.Push()
	}
}

// Push triggers an immediate heartbeat to all targets. Calls are coalesced while
// one is pending.
func (s *Service) Push() {
	select {
	case s.push <- struct{}{}:
	default:
	}
}

func (s *Service) sendHeartbeats() {
	h := s.Heartbeat()
	m := &peerpb.Envelope{Body: &peerpb.Envelope_Membership{
		Membership: &peerpb.Membership{Message: &peerpb.Membership_Heartbeat{Heartbeat: h}},
	}}
	s.mu.Lock()
	to := slices.Clone(s.detector.Targets())
	for _, id := range s.extraTargets {
		if !slices.Contains(to, id) {
			to = append(to, id)
		}
	}
	s.mu.Unlock()
	for _, id := range to {
		if err := s.transport.Send(id, m); err != nil {
			s.opts.Log.Debug("heartbeat_not_sent", zap.String("peer", id), zap.Error(err))
		}
	}
}

// Heartbeat returns the next heartbeat to send.
func (s *Service) Heartbeat() *peerpb.Heartbeat {
	bundle, vmList := s.opts.Versions()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	s.sentAt[s.sequence%sentAtCapacity] = boottime.Now()
	return &peerpb.Heartbeat{
		Sequence: s.sequence, BundleVersion: bundle, VmListRevision: vmList,
		Incarnation: s.detector.Incarnation(), Statuses: s.detector.Statuses(time.Now()), EntryVmsRevision: s.entryVMsRevision(),
		QuarantineDigest: callDigest(s.opts.QuarantineDigest), DeparturesDigest: callDigest(s.opts.DeparturesDigest),
		LimitsDigest: callDigest(s.opts.LimitsDigest), EvacuationsVersion: s.evacuationsVersion(),
	}
}

// callDigest returns the digest of a part of the state, 0 if the VM does not announce it.
func callDigest(digest func() uint64) uint64 {
	if digest == nil {
		return 0
	}
	return digest()
}

// entryVMsRevision returns the announced revision of the entry VMs, or 0 if there
// is none.
func (s *Service) entryVMsRevision() int64 {
	if s.opts.EntryVMsRevision == nil {
		return 0
	}
	return s.opts.EntryVMsRevision()
}

// evacuationsVersion returns the announced version of the evacuated zones, or 0 if there is none.
func (s *Service) evacuationsVersion() int64 {
	if s.opts.EvacuationsVersion == nil {
		return 0
	}
	return s.opts.EvacuationsVersion()
}

// Ack returns the acknowledgement of a heartbeat.
//
// The confirmation is read before the version, since a new version may come into force
// between the two: an older confirmation holds for a newer version, but not the reverse.
func (s *Service) Ack(from string, h *peerpb.Heartbeat) *peerpb.HeartbeatAck {
	confirmation := s.confirmation()
	bundle, vmList := s.opts.Versions()
	s.mu.Lock()
	defer s.mu.Unlock()
	return &peerpb.HeartbeatAck{
		BundleVersion: bundle, VmListRevision: vmList, Incarnation: s.detector.Incarnation(),
		Statuses:     s.detector.Corrections(from, h.GetIncarnation(), h.GetStatuses()),
		Confirmation: confirmation, EntryVmsRevision: s.entryVMsRevision(),
		QuarantineDigest: callDigest(s.opts.QuarantineDigest), DeparturesDigest: callDigest(s.opts.DeparturesDigest),
		LimitsDigest: callDigest(s.opts.LimitsDigest), EvacuationsVersion: s.evacuationsVersion(),
	}
}

// SetExtraTargets replaces the peers that receive heartbeats in addition to the
// successors in the rings.
func (s *Service) SetExtraTargets(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extraTargets = ids
}

// Receive processes a heartbeat or an acknowledgement from a peer.
func (s *Service) Receive(from string, m *peerpb.Membership) {
	if h := m.GetHeartbeat(); h != nil {
		s.receive(from, h.GetIncarnation(), h.GetStatuses(), h.GetBundleVersion(), h.GetVmListRevision())
		s.handleDigests(from, digests{h.GetQuarantineDigest(), h.GetDeparturesDigest(), h.GetLimitsDigest()})
	}
	if a := m.GetHeartbeatAck(); a != nil {
		s.receive(from, a.GetIncarnation(), a.GetStatuses(), a.GetBundleVersion(), a.GetVmListRevision())
		s.handleConfirmation(from, a)
		s.handleDigests(from, digests{a.GetQuarantineDigest(), a.GetDeparturesDigest(), a.GetLimitsDigest()})
	}
}

// digests are those of the parts of the state that a peer announces.
type digests struct{ quarantine, departures, limits uint64 }

func (s *Service) handleDigests(from string, d digests) {
	if s.opts.OnQuarantineDigest != nil {
		s.opts.OnQuarantineDigest(from, d.quarantine)
	}
	if s.opts.OnDeparturesDigest != nil {
		s.opts.OnDeparturesDigest(from, d.departures)
	}
	if s.opts.OnLimitsDigest != nil {
		s.opts.OnLimitsDigest(from, d.limits)
	}
}

// Targets returns the peers to which heartbeats are sent in the rings. The caller must not
// modify them. It takes no lock: the receiver of OnChange may call it while OnChange waits
// for that receiver.
func (s *Service) Targets() []string {
	if targets := s.targets.Load(); targets != nil {
		return *targets
	}
	return nil
}

func (s *Service) receive(from string, incarnation uint64, statuses []*peerpb.Status, bundle, vmList int64) {
	now := time.Now()
	s.apply(func() Effects {
		s.lastHeard = now
		s.peers[from] = PeerView{VM: from, BundleVersion: bundle, VMListRevision: vmList, Heard: now}
		return s.detector.Receive(now, from, incarnation, statuses)
	})
}

// SetVMs replaces the ids of the entry VMs.
func (s *Service) SetVMs(ids []string) {
	s.apply(func() Effects {
		for id := range s.peers {
			if !slices.Contains(ids, id) {
				delete(s.peers, id)
			}
		}
		if !s.hasPeers && slices.ContainsFunc(ids, func(id string) bool { return id != s.opts.VM }) {
			s.hasPeers, s.lastHeard = true, time.Now()
		}
		e := s.detector.SetVMs(time.Now(), ids)
		targets := s.detector.Targets()
		s.targets.Store(&targets)
		return e
	})
}

// Announced records that this VM has become known to its peers, which refuse its
// sessions until then. Calls after the first one do nothing.
func (s *Service) Announced() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.announced {
		return
	}
	s.announced, s.lastHeard = true, time.Now()
	s.detector.Announced(s.lastHeard)
}

// Isolated reports whether no peer has been heard from for the suspicion timeout. The
// time before this VM knows its peers and they know it does not count: in an overload
// of the platform it is long, and all starting VMs would read for themselves.
func (s *Service) Isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastHeard) > s.opts.SuspectAfter
}

// View returns the latest state of the peers and the ids of suspect VMs, both
// sorted by id.
func (s *Service) View() (peers []PeerView, suspects []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b PeerView) int { return cmp.Compare(a.VM, b.VM) })
	return peers, s.detector.Suspects()
}
