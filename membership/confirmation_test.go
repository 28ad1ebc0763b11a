package membership

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// TestAckConfirmsNoSupersededVersion guards against a peer that takes a superseded
// configuration for the newest one: an acknowledgement named the old version together with
// the confirmation of the new one, which came into force while it was built. Revoked keys
// would be accepted for longer than allowed.
func TestAckConfirmsNoSupersededVersion(t *testing.T) {
	version, confirmedAt := int64(1), boottime.Now()-time.Minute
	// Each read is followed by a read of the platform that finds a new version.
	supersede := func() { version, confirmedAt = version+1, boottime.Now() }
	s := NewService(Options{
		VM: "a", Fanout: 2, HeartbeatInterval: time.Second, SuspectAfter: time.Second,
		Versions: func() (int64, int64) {
			defer supersede()
			return version, 0
		},
		ConfirmedAt: func() (Confirmation, bool) {
			defer supersede()
			return Confirmation{At: confirmedAt, Newest: confirmedAt}, true
		},
		OnChange: func([]Change) {}, Log: zap.NewNop(),
	})
	ack := s.Ack("b", &peerpb.Heartbeat{})
	age := time.Duration(ack.GetConfirmation().GetAgeMs()) * time.Millisecond
	newest := time.Duration(ack.GetConfirmation().GetNewestAgeMs()) * time.Millisecond
	if ack.GetBundleVersion() == 1 && min(age, newest) < time.Minute {
		t.Errorf("version 1 is confirmed %v ago, which was the confirmation of version 2", min(age, newest))
	}
}

// TestAckTellsWhatACopyHasConfirmed guards against a peer that takes a read of a copy, which may lack
// a newer version, for one that shows the newest one.
func TestAckTellsWhatACopyHasConfirmed(t *testing.T) {
	read := Confirmation{At: boottime.Now() - time.Second, Newest: boottime.Now() - time.Minute}
	for _, newest := range []time.Duration{read.Newest, 0} {
		read.Newest = newest
		var got Confirmation
		s := NewService(Options{
			VM: "a", Fanout: 2, HeartbeatInterval: time.Second, SuspectAfter: time.Second,
			Versions:    func() (int64, int64) { return 1, 0 },
			ConfirmedAt: func() (Confirmation, bool) { return read, true },
			OnConfirmed: func(_ string, _, _ int64, c Confirmation) { got = c },
			OnChange:    func([]Change) {}, Log: zap.NewNop(),
		})
		s.sequence, s.sentAt[1] = 1, boottime.Now()
		ack := s.Ack("b", &peerpb.Heartbeat{})
		ack.Sequence = 1
		s.handleConfirmation("b", ack)
		if late := read.At - got.At; late < 0 || late > 100*time.Millisecond {
			t.Errorf("read %v too early", late)
		}
		if late := read.Newest - got.Newest; newest == 0 && got.Newest != 0 || late < 0 || late > 100*time.Millisecond {
			t.Errorf("newest %v, want %v", got.Newest, read.Newest)
		}
	}
}
