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

// countPicks sends n requests, one every 20 ms of simulated time, and returns how
// many each server got.
func countPicks(b *Balancer, now time.Duration, n int, candidates []Server, result func(id string) Result) map[string]int {
	counts := map[string]int{}
	for i := range n {
		at := now + time.Duration(i)*20*time.Millisecond
		s, ok := b.Pick(at, candidates, nil)
		if !ok {
			break
		}
		counts[s.ID]++
		b.Start(at, s.ID)
		b.Finish(at, s.ID, result(s.ID))
	}
	return counts
}

func answered(string) Result { return Answered }

// Guards against traffic to other zones while the own zone has free slots, and
// against picking a busy server because it is in the own zone. The requests come
// one after another, with one server in each zone.
func TestOwnZoneUntilItIsBusy(t *testing.T) {
	b := New("a", 1)
	all := servers(6, "a1", "b1", "c1")
	if n := countPicks(b, 0, 100, all, answered)["a1"]; n != 100 {
		t.Errorf("the server in the own zone got %d of 100 requests", n)
	}
	for range 5 {
		b.Start(0, "a1")
	}
	if s, _ := b.Pick(0, all, nil); s.ID == "a1" {
		t.Error("picked a server with five of six slots in use")
	}
}

// Guards against ignoring the load that a server reports, and against using a
// report that has expired. The load comes from other VMs that send a burst to
// one server.
func TestReportedLoad(t *testing.T) {
	b := New("a", 1)
	all := servers(6, "a1", "b1")
	b.Report(0, "a1", 6)
	if s, _ := b.Pick(0, all, nil); s.ID != "b1" {
		t.Errorf("picked %s in spite of its reported load", s.ID)
	}
	if s, _ := b.Pick(loadReportTTL, all, nil); s.ID != "a1" {
		t.Errorf("picked %s, so an expired load report is still used", s.ID)
	}
}

// Guards against a server that passes health checks, fails requests and still
// gets its full share, and against one that gets no requests after it has
// recovered. The server fails 40% of its requests for some seconds.
func TestFailingServerLosesWorkAndGetsItBack(t *testing.T) {
	b := New("a", 1)
	all := servers(6, "a1", "b1")
	n := 0
	flaky := func(id string) Result {
		if n++; id == "a1" && n%5 < 2 {
			return Failed
		}
		return Answered
	}
	if got := countPicks(b, 0, 200, all, flaky)["a1"]; got > 60 {
		t.Errorf("the failing server got %d of 200 requests", got)
	}
	if got := countPicks(b, 30*time.Second, 200, all, answered)["a1"]; got < 190 {
		t.Errorf("the server got %d of 200 requests after it had recovered", got)
	}
}

// Guards against sending every request to a crashed server first, and against
// picking none when all servers are ejected.
func TestUnreachableServersAreEjected(t *testing.T) {
	b := New("a", 1)
	all := servers(6, "a1", "b1")
	dead := func(id string) Result {
		if id == "a1" {
			return Unreachable
		}
		return Answered
	}
	if got := countPicks(b, 0, 500, all, dead)["a1"]; got > 8 {
		t.Errorf("the unreachable server got %d of 500 requests in 10 s", got)
	}
	if _, ok := b.Pick(0, servers(6, "a1"), nil); !ok {
		t.Error("an ejected server was not picked although there is no other")
	}
	if _, ok := b.Pick(0, servers(6, "a1"), []string{"a1"}); ok {
		t.Error("picked an excluded server")
	}
}

// Guards against a memory leak: the state of servers that are no longer listed
// must be removed, except while requests are in flight.
func TestRetain(t *testing.T) {
	b := New("a", 1)
	b.Report(0, "old", 1)
	b.Start(0, "busy")
	b.Retain(func(string) bool { return false })
	if len(b.servers) != 1 || b.servers["busy"] == nil {
		t.Errorf("state of servers %v, want only that of the busy one", b.servers)
	}
}
