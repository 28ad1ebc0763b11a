package balance

import (
	"testing"
	"time"
)

func servers(slots int, ids ...string) []Server {
	var out []Server
	for _, id := range ids {
		out = append(out, Server{ID: id, Zone: id[:1], Slots: slots})
	}
	return out
}

// countPicks counts the choices among servers over simulated time.
func countPicks(b *Balancer, now time.Duration, n int, candidates []Server, o func(id string) Outcome) map[string]int {
	counts := map[string]int{}
	for i := range n {
		at := now + time.Duration(i)*20*time.Millisecond
		s, ok := b.Pick(at, candidates, nil)
		if !ok {
			break
		}
		counts[s.ID]++
		b.Start(at, s.ID)
		b.Finish(at, s.ID, o(s.ID))
	}
	return counts
}

func answered(string) Outcome { return Answered }

// Guards against bytes between zones while the own zone has free slots, and
// against a full server that gets work because it is near. Pattern: bookings at
// a steady pace, one server in each zone.
func TestOwnZoneUntilItIsBusy(t *testing.T) {
	b := New("a", 1)
	all := servers(6, "a1", "b1", "c1")
	if n := countPicks(b, 0, 100, all, answered)["a1"]; n != 100 {
		t.Errorf("the own zone got %d of 100", n)
	}
	for range 5 {
		b.Start(0, "a1")
	}
	if s, _ := b.Pick(0, all, nil); s.ID == "a1" {
		t.Error("a server with five of six slots taken was chosen")
	}
}

// Guards against a server whose told load is ignored, or believed for ever.
// Pattern: a burst that other VMs send to one server.
func TestToldLoad(t *testing.T) {
	b := New("a", 1)
	all := servers(6, "a1", "b1")
	b.Report(0, "a1", 6)
	if s, _ := b.Pick(0, all, nil); s.ID != "b1" {
		t.Errorf("chose %s", s.ID)
	}
	if s, _ := b.Pick(loadReportTTL, all, nil); s.ID != "a1" {
		t.Errorf("an old load still counts: %s", s.ID)
	}
}

// Guards against a server that fails requests while its health is good and
// keeps its work, and against one that never gets any again. Pattern: a grey
// server that fails 40% for some seconds.
func TestFailingServerLosesWorkAndGetsItBack(t *testing.T) {
	b := New("a", 1)
	all := servers(6, "a1", "b1")
	n := 0
	flaky := func(id string) Outcome {
		if n++; id == "a1" && n%5 < 2 {
			return Failed
		}
		return Answered
	}
	if got := countPicks(b, 0, 200, all, flaky)["a1"]; got > 60 {
		t.Errorf("the failing server got %d of 200", got)
	}
	if got := countPicks(b, 30*time.Second, 200, all, answered)["a1"]; got < 190 {
		t.Errorf("it got %d of 200 after it had recovered", got)
	}
}

// Guards against a dead server that is tried with each request, and against no
// choice at all when all are silent. Pattern: a server crashes without a word.
func TestSilentServersAreEjected(t *testing.T) {
	b := New("a", 1)
	all := servers(6, "a1", "b1")
	dead := func(id string) Outcome {
		if id == "a1" {
			return Unreachable
		}
		return Answered
	}
	if got := countPicks(b, 0, 500, all, dead)["a1"]; got > 8 {
		t.Errorf("the silent server got %d of 500 requests in 10 s", got)
	}
	if _, ok := b.Pick(0, servers(6, "a1"), nil); !ok {
		t.Error("an ejected server is not chosen although there is no other")
	}
	if _, ok := b.Pick(0, servers(6, "a1"), []string{"a1"}); ok {
		t.Error("an excluded server was chosen")
	}
}

// Guards against state of servers that are gone.
func TestRetain(t *testing.T) {
	b := New("a", 1)
	b.Report(0, "old", 1)
	b.Start(0, "busy")
	b.Retain(func(string) bool { return false })
	if len(b.servers) != 1 || b.servers["busy"] == nil {
		t.Errorf("%v", b.servers)
	}
}
