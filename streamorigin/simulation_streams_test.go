package streamorigin

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

// simStream is a stream whose request is sent to servers of the versions in turn.
type simStream struct {
	request  string
	vm       *simVM
	entry    *entry
	lifetime time.Duration
	versions []vmlist.SoftwareVersion
	// pauses holds the time before each further version, and last that before the first event.
	pauses []time.Duration
	last   time.Duration
	// beganAt is when it was sent to the latest server, and passed the version that brought its
	// first event, "" before it.
	beganAt  time.Duration
	passed   vmlist.SoftwareVersion
	passedAt time.Duration
}

// begin begins a stream at a VM that runs.
func (s *simulation) begin(st *simStream, place int) {
	st.vm, st.beganAt = s.vms[place], s.now
	st.entry = st.vm.begin(s.now, st.request, Origin{Version: st.versions[0]}, st.lifetime)
	s.logf("VM %d begins %s at %s", place, st.request, st.versions[0])
	s.streams = append(s.streams, st)
	s.goOn(st, 1)
	s.pump(st.vm)
}

// goOn plans what follows an attempt of a stream.
func (s *simulation) goOn(st *simStream, attempts int) {
	if attempts < len(st.versions) {
		s.after(st.pauses[attempts-1], func() {
			if st.vm.killed {
				return
			}
			s.logf("%s is sent to %s", st.request, st.versions[attempts])
			st.beganAt = s.now
			st.vm.replace(st.entry, Origin{Version: st.versions[attempts]})
			s.goOn(st, attempts+1)
			s.pump(st.vm)
		})
		return
	}
	s.after(st.last, func() { s.firstEvent(st) })
}

// firstEvent passes the first event on as soon as the record is settled.
func (s *simulation) firstEvent(st *simStream) {
	if st.vm.killed {
		return
	}
	select {
	case <-st.entry.settled:
	default:
		s.after(20*ms, func() { s.firstEvent(st) })
		return
	}
	st.passed, st.passedAt = st.versions[len(st.versions)-1], s.now
	s.logf("the first event of %s comes from %s", st.request, st.passed)
	if s.tellsPassed {
		st.vm.firstEventPassed(st.entry)
	}
	s.check()
	s.pump(st.vm)
}

// check fails if a VM would find another version than the one that a stream began at.
func (s *simulation) check() {
	lists := s.store.lists()
	for _, st := range s.streams {
		if st.passed == "" {
			continue
		}
		if o, err := originFromRecords(st.request, lists[st.entry.prefix]); err == nil && o.Version != st.passed {
			s.fatalf("%s began at %s and is found at %s", st.request, st.passed, o.Version)
		}
		if st.vm.killed {
			continue
		}
		if o, known, err := st.vm.find(s.now, st.request); known && err == nil && o.Version != st.passed {
			s.fatalf("%s began at %s, and its VM knows %s", st.request, st.passed, o.Version)
		}
	}
}

// isFound reports whether the store tells the version of a stream.
func (s *simulation) isFound(st *simStream) bool {
	o, err := originFromRecords(st.request, s.store.lists()[st.entry.prefix])
	return err == nil && o.Version == st.passed
}

var simVersions = []vmlist.SoftwareVersion{"v1", "v2", "v3"}

func (s *simulation) drawStream(number int, lifetime, pause time.Duration) *simStream {
	st := &simStream{request: fmt.Sprint("request-", number), lifetime: lifetime}
	for i := range 1 + max(0, rapid.IntRange(-2, 3).Draw(s.t, "replacements")) {
		st.versions = append(st.versions, rapid.SampledFrom(simVersions).Draw(s.t, "version"))
		if i > 0 {
			st.pauses = append(st.pauses, s.draw("pause", pause))
		}
	}
	st.last = s.draw("first event after", pause)
	return st
}
