package membership

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// FuzzReceive guards against a peer message that causes a panic or decreases an
// incarnation. A VM with a decreased incarnation could not refute a suspicion.
func FuzzReceive(f *testing.F) {
	add := func(from string, m *peerpb.Heartbeat) {
		data, err := proto.Marshal(&peerpb.Membership{Message: &peerpb.Membership_Heartbeat{Heartbeat: m}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(from, data)
	}
	add("b", &peerpb.Heartbeat{Incarnation: 5, Statuses: []*peerpb.Status{{Vm: "a", Incarnation: 10, Suspect: true}, {}}})
	add("a", &peerpb.Heartbeat{Incarnation: math.MaxUint64})
	add("b", &peerpb.Heartbeat{Statuses: []*peerpb.Status{{Vm: "a", Incarnation: math.MaxUint64, Suspect: true}}})
	add("x", &peerpb.Heartbeat{Statuses: []*peerpb.Status{{Vm: "c", Incarnation: 9, Suspect: true}, {Vm: "c", Incarnation: 3}}})
	f.Fuzz(func(t *testing.T, from string, data []byte) {
		var m peerpb.Membership
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		now := time.Unix(1000, 0)
		s := NewService(Options{
			VM: "a", Fanout: 2, SuspectAfter: time.Second,
			Versions: func() (int64, int64) { return 1, 1 }, OnChange: func([]Change) {},
		})
		s.SetVMs([]string{"a", "b", "c"})
		own, other := s.detector.Incarnation(), s.detector.records["c"].incarnation
		for range 2 {
			s.Receive(from, &m)
			s.Ack(from, m.GetHeartbeat())
			s.detector.Tick(now)
			s.Heartbeat()
			if s.detector.Incarnation() < own || s.detector.records["c"].incarnation < other {
				t.Fatalf("incarnations decreased from %d and %d to %d and %d", own, other, s.detector.Incarnation(), s.detector.records["c"].incarnation)
			}
			own, other = s.detector.Incarnation(), s.detector.records["c"].incarnation
		}
	})
}
