package platform_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// restartUnseen restarts an engine under its id with another version while no VM reaches the store. Like
// Pause, it keeps the copies of runs at the engine, which takes parts of backups after its start as well.
func (s *versionSite) restartUnseen(e *userplatform.Server, version string) {
	s.t.Helper()
	s.refuseAllCalls()
	time.Sleep(100 * time.Millisecond)
	e.Pause()
	e.SetSoftwareVersion(version)
	if err := e.Resume(); err != nil {
		s.t.Fatal(err)
	}
	e.Restart()
}

// Guards against streams that are joined from two software versions since the list of the VM is some
// seconds old: an engine of their version has started again under its id, with another one.
func TestNewStartThatIsNotYetListedDoesNotJoinVersions(t *testing.T) {
	t.Parallel()
	for name, newRequest := range map[string]func() request{"resumable": check, "backup": draft} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newVersionSite(t, 1, runInterval, "aa")
			streams := s.startStreams(6, newRequest)
			time.Sleep(600 * time.Millisecond)
			s.restartUnseen(s.of(oldVersion)[1], "b")
			s.of(oldVersion)[0].Crash()
			for _, st := range streams {
				<-st.done
				if err := checkOutcome(st.response, 0, oldVersion, cut); err != nil {
					t.Errorf("%s, begun at %s: %v", st.id, st.engine.ID(), err)
				}
			}
		})
	}
	t.Run("take-up", func(t *testing.T) {
		t.Parallel()
		s := newVersionSite(t, 1, takeUpInterval, "aa")
		streams := s.beginStreams(takenUpStreams, s.vms[0], oldVersion)
		for _, e := range s.of(oldVersion) {
			s.restartUnseen(e, "b")
		}
		s.takeUpAll(s.vms[0], streams, nil, func(st begun, got takenUp) error {
			if got.err == nil && got.status == http.StatusServiceUnavailable {
				return nil
			}
			return checkOutcome(got.response, st.last, st.version, cut)
		})
	})
}
