package platform_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// Guards against a second run of a stream that must not be repeated, when its engine
// crashes before the first event and the engine with its backup accepts no connection.
func TestStreamRunsOnceWhenItsBackupIsUnreachable(t *testing.T) {
	s := newSite(t, options{vms: 1, engines: 4, events: 2, interval: 400 * time.Millisecond})
	const id = "runs-once"
	ended := s.startDraft(id)
	primary, backup := s.engineOf(id), s.backupOf(id)
	if primary == nil || backup == nil {
		t.Fatalf("the draft runs on %v with backup %v", primary, backup)
	}
	backup.Pause()
	primary.Crash()
	got := <-ended
	if runs := s.fleet.Runs(id); len(runs) != 1 {
		t.Errorf("ran on %v", runs)
	}
	if got.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502, which does not promise that it has not run: %s", got.status, got.body)
	}
}

// startDraft sends a draft through the first VM and waits until it runs. The returned
// channel receives the response.
func (s *site) startDraft(id string) <-chan response {
	s.t.Helper()
	return s.startDraftAt(s.vms[0], id)
}

// engineOf returns the engine that ran a request first, nil if there is none.
func (s *site) engineOf(request string) *userplatform.Server {
	for _, e := range s.engines {
		if runs := s.fleet.Runs(request); len(runs) > 0 && runs[0] == e.ID() {
			return e
		}
	}
	return nil
}

// backupOf returns the engine that the run of a request is replicated to, nil if
// there is none.
func (s *site) backupOf(request string) *userplatform.Server {
	primary := s.engineOf(request)
	if primary == nil {
		return nil
	}
	address := primary.Header(request).Get("Kv-Backup")
	for _, e := range s.engines {
		if e.Address() == address {
			return e
		}
	}
	return nil
}

// Guards against a run on which two engines work: the one that leaves, and the one that
// goes on from a copy but whose response is read late.
func TestRunLeavesItsEngineBeforeItGoesOn(t *testing.T) {
	const headDelay = 700 * time.Millisecond
	s := newSite(t, options{vms: 1, engines: 3, events: 200, interval: 20 * time.Millisecond})
	const id = "goes-on-once"
	ended := s.startDraft(id)
	first := s.engineOf(id)
	for _, e := range s.engines {
		if e != first {
			e.SetFaults(userplatform.ServerFaults{HeadDelay: headDelay})
		}
	}
	first.Register("draining")
	got := <-ended
	if got.status != http.StatusOK || strings.Count(got.body, "id: ") != 200 {
		t.Errorf("status %d with %d of 200 events", got.status, strings.Count(got.body, "id: "))
	}
	executions := s.fleet.Executions(id)
	if len(executions) != 2 {
		t.Fatalf("%d executions, want 2: %v", len(executions), executions)
	}
	if overlap := executions[0].End.Sub(executions[1].Begin); overlap > headDelay/2 {
		t.Errorf("%s still worked %v after %s went on with the run", executions[0].Server, overlap, executions[1].Server)
	}
}
