package membership

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/peer"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// ticksPerHeartbeat is how often silence is checked in a heartbeat interval.
// It bounds the delay of a suspicion to a quarter of the interval.
const ticksPerHeartbeat = 4

// Options configure a Service.
type Options struct {
	VM                              string
	Fanout                          int
	HeartbeatInterval, SuspectAfter time.Duration
	// Versions returns the versions that heartbeats offer.
	Versions func() (bundle, vmList int64)
	// EntryVMsRevision returns the revision of the list of entry VMs that heartbeats
	// offer, where it is a document of its own. Nil means that it is not.
	EntryVMsRevision func() int64
	// ConfirmedAt returns when the platform was asked that last confirmed the
	// offered bundle version, on the clock of package boottime. Nil or false
	// means that it is not known.
	ConfirmedAt func() (at time.Duration, ok bool)
	// OnConfirmed is called when a peer tells that the platform has confirmed a
	// version. It may be nil.
	OnConfirmed func(version int64, at time.Duration)
	// OnChange is called with the changes of suspicions that come together.
	OnChange func([]Change)
	Log      *zap.Logger
}

// PeerView is what a peer said last.
type PeerView struct {
	VM             string    `json:"vm"`
	BundleVersion  int64     `json:"bundle_version"`
	VMListRevision int64     `json:"vm_list_revision"`
	Heard          time.Time `json:"heard"`
}

// Service runs the decisions against the clock and the transport.
type Service struct {
	opts      Options
	transport peer.Transport
	started   time.Time
	push      chan struct{}

	mu        sync.Mutex
	detector  *Detector
	sequence  uint64
	peers     map[string]PeerView
	lastHeard time.Time
	// extraTargets holds peers that get heartbeats in addition to those of the core.
	extraTargets []string
	// sentAt holds the times of the last heartbeats by sequence modulo its
	// length, on the clock of package boottime.
	sentAt [sentAtCapacity]time.Duration
}

// sentAtCapacity is the number of heartbeats whose time is remembered. An answer
// that is older tells nothing.
const sentAtCapacity = 64

// NewService returns a service; Run must be called to send heartbeats.
func NewService(o Options) *Service {
	now := time.Now()
	return &Service{
		opts: o, started: now, lastHeard: now, push: make(chan struct{}, 1), peers: map[string]PeerView{},
		// The start time rises from run to run without being stored.
		detector: NewDetector(o.VM, o.Fanout, o.SuspectAfter, uint64(now.UnixMilli())),
	}
}

// Run sends heartbeats and checks for silence until ctx ends.
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

// applyStatus runs an event and carries out its effects. Changes are reported under
// the lock, so that they arrive in order.
func (s *Service) apply(event func() Effects) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := event()
	if len(e.Changes) > 0 {
		s.opts.OnChange(e.Changes)
	}
	if e.Push {
		s.Push()
	}
}

// Push sends a heartbeat to all targets at once. Several calls in a row are one.
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

// Heartbeat returns a heartbeat of this VM.
func (s *Service) Heartbeat() *peerpb.Heartbeat {
	bundle, vmList := s.opts.Versions()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	s.sentAt[s.sequence%sentAtCapacity] = boottime.Now()
	return &peerpb.Heartbeat{
		Sequence: s.sequence, BundleVersion: bundle, VmListRevision: vmList,
		Incarnation: s.detector.Incarnation(), Statuses: s.detector.Statuses(time.Now()), EntryVmsRevision: s.entryVMsRevision(),
	}
}

// entryVMsRevision returns the offered revision of the entry VMs, 0 if there is none.
func (s *Service) entryVMsRevision() int64 {
	if s.opts.EntryVMsRevision == nil {
		return 0
	}
	return s.opts.EntryVMsRevision()
}

// Ack returns the answer to a heartbeat.
func (s *Service) Ack(from string, h *peerpb.Heartbeat) *peerpb.HeartbeatAck {
	bundle, vmList := s.opts.Versions()
	s.mu.Lock()
	defer s.mu.Unlock()
	return &peerpb.HeartbeatAck{
		BundleVersion: bundle, VmListRevision: vmList, Incarnation: s.detector.Incarnation(),
		Statuses:     s.detector.Corrections(from, h.GetIncarnation(), h.GetStatuses()),
		Confirmation: s.confirmation(), EntryVmsRevision: s.entryVMsRevision(),
	}
}

func (s *Service) confirmation() *peerpb.Confirmation {
	if s.opts.ConfirmedAt == nil {
		return nil
	}
	at, ok := s.opts.ConfirmedAt()
	if !ok {
		return nil
	}
	return &peerpb.Confirmation{AgeMs: uint64(max(boottime.Now()-at, 0)/time.Millisecond) + 1}
}

// handleConfirmation takes the confirmation of a peer. It is aged from the moment at which
// the peer was asked, since the answer may have been on its way for long.
func (s *Service) handleConfirmation(a *peerpb.HeartbeatAck) {
	if a.GetConfirmation() == nil || s.opts.OnConfirmed == nil {
		return
	}
	s.mu.Lock()
	known := a.GetSequence() <= s.sequence && s.sequence-a.GetSequence() < sentAtCapacity
	asked := s.sentAt[a.GetSequence()%sentAtCapacity]
	s.mu.Unlock()
	if known {
		s.opts.OnConfirmed(a.GetBundleVersion(), asked-time.Duration(a.GetConfirmation().GetAgeMs())*time.Millisecond)
	}
}

// SetExtraTargets replaces the peers that get heartbeats in addition to those that the
// arrangement of VMs gives.
func (s *Service) SetExtraTargets(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extraTargets = ids
}

// Receive takes a heartbeat or an acknowledgement from a peer.
func (s *Service) Receive(from string, m *peerpb.Membership) {
	if h := m.GetHeartbeat(); h != nil {
		s.receive(from, h.GetIncarnation(), h.GetStatuses(), h.GetBundleVersion(), h.GetVmListRevision())
	}
	if a := m.GetHeartbeatAck(); a != nil {
		s.receive(from, a.GetIncarnation(), a.GetStatuses(), a.GetBundleVersion(), a.GetVmListRevision())
		s.handleConfirmation(a)
	}
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
		return s.detector.SetVMs(time.Now(), ids)
	})
}

// Isolated reports that no peer was heard for the suspicion time.
func (s *Service) Isolated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastHeard) > s.opts.SuspectAfter
}

// View returns what peers said last, and the suspect VMs, in order.
func (s *Service) View() (peers []PeerView, suspects []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b PeerView) int { return cmp.Compare(a.VM, b.VM) })
	return peers, s.detector.Suspects()
}
