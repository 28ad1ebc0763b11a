package platform_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// maxRunOverlap is the time for which the users allow two engines to work on a run.
const maxRunOverlap = 400 * time.Millisecond

// checkOneEngine checks that a run went on at another engine, and never at two for longer than the
// users allow.
func (s *site) checkOneEngine(id string) {
	s.t.Helper()
	executions := s.fleet.Executions(id)
	if len(executions) < 2 {
		s.t.Errorf("%d executions, want 2: %v", len(executions), executions)
	}
	for i, next := range executions {
		for _, previous := range executions[:i] {
			overlap := previous.End.Sub(next.Begin)
			if previous.Server != next.Server && (previous.End.IsZero() || overlap > maxRunOverlap) {
				s.t.Errorf("%s works on beside %s for %v (it ended at %v)", previous.Server, next.Server, overlap, previous.End)
			}
		}
	}
}

// endedRun is a draft at an engine that works on after its connection has closed.
type endedRun struct {
	*site
	id    string
	first *userplatform.Server
	ended <-chan response
}

const endedRunEvents = 250

func newEndedRunSite(t *testing.T) *site {
	t.Helper()
	return newSite(t, options{vms: 1, engines: 3, events: endedRunEvents, interval: 10 * time.Millisecond})
}

// startEndedRun starts a draft whose engine has the given faults. The others have none.
func (s *site) startEndedRun(f userplatform.ServerFaults) *endedRun {
	s.t.Helper()
	f.KeepsRuns = true
	for _, e := range s.engines {
		e.SetFaults(f)
	}
	r := &endedRun{site: s, id: "one-at-a-time"}
	r.ended = s.startDraft(r.id)
	r.first = s.engineOf(r.id)
	for _, e := range s.engines {
		if e != r.first {
			e.SetFaults(userplatform.ServerFaults{})
		}
	}
	return r
}

func (r *endedRun) check() {
	r.t.Helper()
	if err := checkStream(<-r.ended, endedRunEvents); err != nil {
		r.t.Error(err)
	}
	r.checkOneEngine(r.id)
}

// leaveIdleConnections leaves idle connections from the VM to its engines.
func (s *site) leaveIdleConnections() {
	for _, e := range s.engines {
		e.SetFaults(userplatform.ServerFaults{EndAfter: 2})
	}
	s.sendChecks(24)
}

// sendChecks sends short requests to the engines at once, and waits for their answers.
func (s *site) sendChecks(n int) {
	var all sync.WaitGroup
	for range n {
		all.Go(func() { s.send(s.vms[0], check()) })
	}
	all.Wait()
}

// Guards against a run that works at two engines since the only call that ends it at the first one
// is sent over a connection that the engine has dropped.
func TestRunIsEndedAtAnEngineThatDropsIdleConnections(t *testing.T) {
	for name, test := range map[string]struct {
		faults userplatform.ServerFaults
		leaves bool
	}{
		"from a moved copy":           {faults: userplatform.ServerFaults{BackupDelay: time.Minute}, leaves: true},
		"after its connection breaks": {faults: userplatform.ServerFaults{BreakAfter: 150}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newEndedRunSite(t)
			s.leaveIdleConnections()
			r := s.startEndedRun(test.faults)
			if test.leaves {
				r.first.Register("draining")
				r.eventually(time.Second, "the run is copied", func() bool { return r.first.Moves() > 0 })
			}
			test.faults.KeepsRuns, test.faults.DropIdleAfter = true, 10*time.Millisecond
			r.first.SetFaults(test.faults)
			r.check()
		})
	}
}

// Guards against a run that works at two engines since the first one has asked for a pause when its
// connection breaks, and against more calls in the pause than the users allow.
func TestRunIsEndedAtAnEngineThatPauses(t *testing.T) {
	const maxPauseCalls = 2
	r := newEndedRunSite(t).startEndedRun(userplatform.ServerFaults{BreakAfter: 150})
	r.fleet.RecordExchanges(func(string) string { return "" })
	r.first.Announce(userplatform.Announcement{RetryAfter: []string{"3"}})
	go r.sendChecks(9)
	r.check()
	pausedAt := r.refusedAt()
	if pausedAt.IsZero() {
		t.Fatal("no request was refused")
	}
	calls := 0
	for _, e := range r.fleet.Exchanges() {
		since := e.ArrivedAt.Sub(pausedAt)
		if e.Server == r.first.ID() && since > 500*time.Millisecond && since < 3*time.Second {
			calls++
		}
	}
	if calls > maxPauseCalls {
		t.Errorf("%d calls in the pause, at most %d are allowed", calls, maxPauseCalls)
	}
}

// refusedAt returns when the first engine first refused a request, zero if it has not.
func (r *endedRun) refusedAt() time.Time {
	for _, e := range r.fleet.Exchanges() {
		if e.Server == r.first.ID() && len(e.RetryAfter) > 0 && !e.AnsweredAt.IsZero() {
			return e.AnsweredAt
		}
	}
	return time.Time{}
}

// Guards against a run that works at two engines since a call that ends it has failed: for each way
// in which one may fail, alone and in a row, in a planned move and after a broken connection.
func TestRunIsEndedAlthoughCallsFail(t *testing.T) {
	ways := map[string]userplatform.ServerFaults{
		"planned move":      {BackupDelay: time.Minute},
		"broken connection": {BreakAfter: 50},
	}
	rows := [][]userplatform.EndFault{
		{userplatform.EndAnswerLost},
		{userplatform.EndUnread},
		{userplatform.EndConflict},
		{userplatform.EndRefused},
		{userplatform.EndLimited},
		{userplatform.EndFailed},
		{userplatform.EndGarbled},
		{userplatform.EndSlow, userplatform.EndSlow, userplatform.EndSlow},
		{userplatform.EndUnread, userplatform.EndConflict, userplatform.EndRefused, userplatform.EndLimited, userplatform.EndFailed},
		{userplatform.EndUnread, userplatform.EndUnread, userplatform.EndUnread, userplatform.EndAnswerLost},
		{userplatform.EndConflict, userplatform.EndConflict, userplatform.EndConflict, userplatform.EndConflict},
	}
	for way, faults := range ways {
		for _, row := range rows {
			t.Run(way+"/"+strings.Trim(fmt.Sprint(row), "[]"), func(t *testing.T) {
				t.Parallel()
				f := faults
				f.EndFaults = row
				r := newEndedRunSite(t).startEndedRun(f)
				if way == "planned move" {
					r.first.Register("draining")
				}
				r.check()
			})
		}
	}
}

// Guards against a run that is lost in a planned move since its engine does not end it: the engine is
// sound, and the run stays there.
func TestRunStaysAtAnEngineThatDoesNotEndIt(t *testing.T) {
	refusals := make([]userplatform.EndFault, 1000)
	for i := range refusals {
		refusals[i] = userplatform.EndRefused
	}
	r := newEndedRunSite(t).startEndedRun(userplatform.ServerFaults{BackupDelay: time.Minute, EndFaults: refusals})
	r.first.Register("draining")
	if err := checkStream(<-r.ended, endedRunEvents); err != nil {
		t.Error(err)
	}
	if executions := r.fleet.Executions(r.id); len(executions) != 1 {
		t.Errorf("%d executions, want 1: %v", len(executions), executions)
	}
	if n := r.first.EndCalls(); n == 0 || n > 20 {
		t.Errorf("the engine was asked %d times, want some", n)
	}
}

// Guards against a VM that forgets the engine that a run has left first when the next one fails, too.
func TestRunIsEndedAtEachEngineThatItHasLeft(t *testing.T) {
	s := newSite(t, options{vms: 1, engines: 4, events: endedRunEvents, interval: 10 * time.Millisecond})
	faults := userplatform.ServerFaults{
		KeepsRuns: true, EndFaults: []userplatform.EndFault{userplatform.EndUnread, userplatform.EndRefused, userplatform.EndAnswerLost},
	}
	faults.BreakAfter = 80
	for _, e := range s.engines {
		e.SetFaults(faults)
	}
	r := &endedRun{site: s, id: "left-twice"}
	r.ended = s.startDraft(r.id)
	r.first = s.engineOf(r.id)
	faults.BreakAfter = 170
	for _, e := range s.engines {
		if e != r.first {
			e.SetFaults(faults)
		}
	}
	s.eventually(5*time.Second, "the run goes on at its second engine", func() bool { return len(s.fleet.Executions(r.id)) > 1 })
	second := s.fleet.Executions(r.id)[1].Server
	for _, e := range s.engines {
		if e != r.first && e.ID() != second {
			e.SetFaults(userplatform.ServerFaults{})
		}
	}
	r.check()
	if executions := s.fleet.Executions(r.id); len(executions) < 3 {
		t.Errorf("%d executions, want 3: %v", len(executions), executions)
	}
}
