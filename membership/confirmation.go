package membership

import (
	"time"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// Confirmation tells when the platform has confirmed a version, on the clock of package boottime.
type Confirmation struct {
	// At is the start time of the latest read that found the version. Newest is that of the latest
	// one which shows that it was the newest, 0 if there is none: a platform that has come back
	// from a copy may lack a newer one.
	At, Newest time.Duration
	// Evacuations is the version of the list of evacuated zones that a peer announces with it.
	Evacuations int64
}

// confirmation returns when the platform last confirmed the configuration in force, nil if that is
// not known.
func (s *Service) confirmation() *peerpb.Confirmation {
	if s.opts.ConfirmedAt == nil {
		return nil
	}
	c, ok := s.opts.ConfirmedAt()
	if !ok {
		return nil
	}
	now := boottime.Now()
	p := &peerpb.Confirmation{AgeMs: ageMs(now, c.At)}
	if c.Newest > 0 {
		p.NewestAgeMs = ageMs(now, c.Newest)
	}
	return p
}

// ageMs returns the time since at in milliseconds, rounded up and at least 1.
func ageMs(now, at time.Duration) uint64 { return uint64(max(now-at, 0)/time.Millisecond) + 1 }

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
	if !known {
		return
	}
	c := Confirmation{Evacuations: a.GetEvacuationsVersion(), At: asked - time.Duration(a.GetConfirmation().GetAgeMs())*time.Millisecond}
	if age := a.GetConfirmation().GetNewestAgeMs(); age > 0 {
		c.Newest = asked - time.Duration(age)*time.Millisecond
	}
	s.opts.OnConfirmed(from, a.GetBundleVersion(), a.GetVmListRevision(), c)
}
