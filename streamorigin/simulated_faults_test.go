package streamorigin

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a stream that goes on at another version than the one that began it: whatever the
// store does, and whichever VMs are killed, all of them included. Once the store is sound, the
// origins of streams whose VM runs are found again.
func TestNoWrongVersionInAnyTrouble(t *testing.T) {
	const (
		troubleEnd = 20 * time.Second
		quiet      = 8 * time.Second
	)
	kinds := []string{faultDown, faultRefuse, faultLost, faultLate, faultSlow}
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(1, 3).Draw(t, "VMs"))
		s.tellsPassed = rapid.Bool().Draw(t, "tells of first events")
		forgets := false
		s.takeCopies(troubleEnd)
		for range rapid.IntRange(0, 3).Draw(t, "faults") {
			begin := s.draw("begin", troubleEnd)
			s.faults = append(s.faults, simFault{
				kind: rapid.SampledFrom(kinds).Draw(t, "kind"), begin: begin,
				end: min(begin+s.draw("length", 8*time.Second), troubleEnd), vm: rapid.IntRange(0, len(s.vms)-1).Draw(t, "VM"),
			})
		}
		for range rapid.IntRange(0, 2).Draw(t, "returns") {
			s.at(s.draw("return", troubleEnd), func() { s.restore(s.draw("age", 5*time.Second)) })
		}
		for range rapid.IntRange(0, 2).Draw(t, "kills") {
			all := rapid.Bool().Draw(t, "all")
			place := rapid.IntRange(0, len(s.vms)-1).Draw(t, "VM")
			s.at(s.draw("kill", troubleEnd), func() {
				for i := range s.vms {
					if all || i == place {
						s.kill(i)
					}
				}
			})
		}
		if rapid.IntRange(0, 3).Draw(t, "forgets leases") == 0 {
			forgets = true
			s.at(s.draw("forgets", troubleEnd), func() {
				s.logf("the store forgets its leases")
				for id := range s.store.leases {
					s.store.endLease(id)
				}
			})
		}
		lifetimes := []time.Duration{2 * time.Second, 60 * time.Second, time.Hour}
		for i := range rapid.IntRange(1, 6).Draw(t, "streams") {
			st := s.drawStream(i, rapid.SampledFrom(lifetimes).Draw(t, "lifetime"), 4*time.Second)
			place := rapid.IntRange(0, len(s.vms)-1).Draw(t, "VM")
			s.at(s.draw("begin", troubleEnd), func() { s.begin(st, place) })
			if rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
				s.at(s.draw("end", troubleEnd), func() {
					if st.entry != nil && st.passed != "" {
						s.logf("%s ends", st.request)
						st.vm.end(st.entry)
					}
				})
			}
		}
		s.run(troubleEnd + quiet)
		for _, st := range s.streams {
			if st.passed != "" && !st.vm.killed && s.now < st.entry.until && !st.entry.ended && !forgets && !s.isFound(st) {
				s.fatalf("%s is not found while the store is sound", st.request)
			}
		}
	})
}

// Guards against streams that can't be taken up although the store is sound: each whose first event
// came a second or more after its request was sent is found, and the writes stay within their share
// of the store's capacity.
func TestOriginsAreFoundWithASoundStore(t *testing.T) {
	const (
		length     = 6 * time.Second
		foundAfter = time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 1)
		s.vmCount = rapid.IntRange(1, 40).Draw(t, "VMs at the store")
		for i := range rapid.IntRange(1, 40).Draw(t, "streams") {
			st := s.drawStream(i, 60*time.Second, 2*time.Second)
			s.at(s.draw("begin", length/4), func() { s.begin(st, 0) })
		}
		s.run(length)
		most := int(length/writeInterval(s.vmCount, s.writesPerSecond)) + 1
		if s.writes > most {
			s.fatalf("%d writes, at most %d are due", s.writes, most)
		}
		for _, st := range s.streams {
			if st.passedAt-st.beganAt >= foundAfter && !s.isFound(st) {
				s.fatalf("%s is not found", st.request)
			}
		}
		s.kill(0)
		s.run(length + 60*time.Second - length/4)
	})
}
