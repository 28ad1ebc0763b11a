package membership

import (
	"time"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// confirmation returns when the platform last confirmed the configuration in force, nil if that is
// not known.
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

// handleConfirmation reports a peer's confirmation to OnConfirmed. Its age is
// counted back from the time at which this VM sent the heartbeat, because the
// acknowledgement may have been delayed.
func (s *Service) handleConfirmation(from string, a *peerpb.HeartbeatAck) {
	if a.GetConfirmation() == nil || s.opts.OnConfirmed == nil {
		return
	}
	s.mu.Lock()
	known := a.GetSequence() <= s.sequence && s.sequence-a.GetSequence() < sentAtCapacity
	asked := s.sentAt[a.GetSequence()%sentAtCapacity]
	s.mu.Unlock()
	if known {
		s.opts.OnConfirmed(from, a.GetBundleVersion(), a.GetVmListRevision(), asked-time.Duration(a.GetConfirmation().GetAgeMs())*time.Millisecond)
	}
}
