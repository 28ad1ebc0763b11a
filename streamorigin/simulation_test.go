package streamorigin

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

const (
	ms = time.Millisecond
	// simTrip is the time to the store, or back.
	simTrip = 2 * ms
	// simTimeout is the time after which a VM gives a call up.
	simTimeout = 300 * ms
	// simLatest is the time after which a write without an answer is no longer executed.
	simLatest = 6 * time.Second
	// simEraPoll is the time within which a VM learns the era without a call of its own.
	simEraPoll = time.Second
)

// simValue is a key in the simulated store.
type simValue struct {
	value []byte
	lease kv.LeaseID
}

// simState is what a copy of the simulated store holds.
type simState struct {
	values    map[string]simValue
	leases    map[kv.LeaseID]time.Duration // by id, when they end
	lastLease kv.LeaseID
}

func (s simState) clone() simState {
	return simState{maps.Clone(s.values), maps.Clone(s.leases), s.lastLease}
}

// simStore is the store, as it is described in the platform's rules.
type simStore struct {
	simState
	era    kv.Era
	copies []simState // one each simCopyInterval
}

const simCopyInterval = 250 * ms

func (s *simStore) expire(now time.Duration) {
	for id, end := range s.leases {
		if now >= end {
			s.endLease(id)
		}
	}
}

func (s *simStore) endLease(id kv.LeaseID) {
	delete(s.leases, id)
	maps.DeleteFunc(s.values, func(_ string, v simValue) bool { return v.lease == id })
}

// write executes a transaction. It reports whether the lease exists.
func (s *simStore) write(puts []kv.Put, lease kv.LeaseID) bool {
	if _, ok := s.leases[lease]; !ok {
		return false
	}
	for _, p := range puts {
		s.values[p.Key] = simValue{p.Value, lease}
	}
	return true
}

// lists returns the listings of all requests, by prefix.
func (s *simStore) lists() map[string]kv.Listing {
	lists := map[string]kv.Listing{}
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		prefix := key[:strings.LastIndex(key, "/")+1]
		l := lists[prefix]
		l.Era, l.Entries = s.era, append(l.Entries, kv.Entry{Key: key, Value: s.values[key].value})
		lists[prefix] = l
	}
	return lists
}

// The kinds of faults of the store.
const (
	// faultDown refuses all calls, faultRefuse those of one VM.
	faultDown, faultRefuse = "down", "refuses a VM"
	// faultLost loses answers and executes writes, faultLate executes them seconds later, and
	// faultSlow answers late, in part after the VM has given the call up.
	faultLost, faultLate, faultSlow = "loses answers", "executes late", "slow"
)

// simFault is a fault of the store in a period.
type simFault struct {
	kind       string
	begin, end time.Duration
	vm         int
}

// simEvent is something that happens at a time.
type simEvent struct {
	at time.Duration
	do func()
}

// simVM is a VM, from its start until it is killed.
type simVM struct {
	number int
	*machine
	killed bool
	// frozenUntil is when the VM runs again if it is frozen.
	frozenUntil time.Duration
	// wake is when the next step is asked for.
	wake time.Duration
}

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

// simulation plays several VMs at one store.
type simulation struct {
	t       *rapid.T
	now     time.Duration
	events  []simEvent
	store   simStore
	vms     []*simVM
	started int
	faults  []simFault
	streams []*simStream
	// vmCount and writesPerSecond determine the interval between writes.
	vmCount, writesPerSecond int
	writes                   int
	// tellsPassed is set if VMs record that the first event was passed on.
	tellsPassed bool
	log         []string
}

func newSimulation(t *rapid.T, vms int) *simulation {
	s := &simulation{t: t, vmCount: vms, writesPerSecond: defaultWritesPerSecond, tellsPassed: true}
	s.store.simState = simState{values: map[string]simValue{}, leases: map[kv.LeaseID]time.Duration{}}
	for range vms {
		s.startVM(len(s.vms))
	}
	return s
}

func (s *simulation) logf(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

func (s *simulation) fatalf(format string, args ...any) {
	s.t.Fatalf("%v: %s\n%s", s.now, fmt.Sprintf(format, args...), strings.Join(s.log, "\n"))
}

func (s *simulation) at(t time.Duration, do func()) { s.events = append(s.events, simEvent{t, do}) }

func (s *simulation) after(d time.Duration, do func()) { s.at(s.now+d, do) }

// run plays the events until a time.
func (s *simulation) run(until time.Duration) {
	for {
		next := -1
		for i, e := range s.events {
			if e.at <= until && (next < 0 || e.at < s.events[next].at) {
				next = i
			}
		}
		if next < 0 {
			s.now = until
			return
		}
		e := s.events[next]
		s.events = slices.Delete(s.events, next, next+1)
		s.now = max(s.now, e.at)
		s.store.expire(s.now)
		e.do()
	}
}

// startVM starts a VM at a place among the VMs, at which none runs.
func (s *simulation) startVM(place int) {
	s.started++
	m := newMachine(fmt.Sprint("vm", s.started), func() time.Duration { return writeInterval(s.vmCount, s.writesPerSecond) })
	m.backoff = func(failures int) time.Duration { return min(pauseMin<<min(failures-1, 10), pauseMax) }
	m.eraChanged(s.store.era)
	vm := &simVM{number: place, machine: m}
	if place == len(s.vms) {
		s.vms = append(s.vms, vm)
	} else {
		s.vms[place] = vm
	}
}

func (s *simulation) kill(place int) {
	s.logf("VM %d is killed", place)
	s.vms[place].killed = true
	s.startVM(place)
}

// takeCopies takes copies of the store until a time.
func (s *simulation) takeCopies(until time.Duration) {
	for t := time.Duration(0); t < until; t += simCopyInterval {
		s.at(t, func() { s.store.copies = append(s.store.copies, s.store.clone()) })
	}
}

// restore makes the store come back from a copy.
func (s *simulation) restore(age time.Duration) {
	back := min(int(age/simCopyInterval), len(s.store.copies)-1)
	s.store.simState = s.store.copies[len(s.store.copies)-1-back].clone()
	s.store.copies = s.store.copies[:len(s.store.copies)-back]
	s.store.era++
	s.logf("the store comes back in era %d, from the copy %d before the latest", s.store.era, back)
	s.check()
	for place, vm := range s.vms {
		s.after(s.draw("era is seen", simEraPoll), func() { s.see(vm, place) })
	}
}

func (s *simulation) see(vm *simVM, place int) {
	if !vm.killed {
		s.logf("VM %d sees era %d", place, s.store.era)
		vm.eraChanged(s.store.era)
		s.pump(vm)
	}
}

func (s *simulation) draw(name string, limit time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(0, int(limit/ms)).Draw(s.t, name)) * ms
}

// pump does what the machine of a VM wants.
func (s *simulation) pump(vm *simVM) {
	if vm.killed {
		return
	}
	if s.now < vm.frozenUntil {
		s.at(vm.frozenUntil, func() { s.pump(vm) })
		return
	}
	switch step := vm.next(s.now); step.kind {
	case stepWait:
		if step.until > 0 && step.until != vm.wake {
			vm.wake = step.until
			s.at(step.until, func() { s.pump(vm) })
		}
	case stepGrant:
		id := kv.LeaseID(0)
		execute := func() bool {
			s.store.lastLease++
			id = s.store.lastLease
			s.store.leases[id] = s.now + step.ttl
			return true
		}
		s.call(vm, execute, func(o writeOutcome) {
			var err error
			if o != writeAcknowledged {
				err = &kv.UnavailableError{}
			}
			vm.granted(s.now, id, err)
		})
	case stepWrite:
		s.writes++
		if len(step.puts) == 0 || len(step.puts) > batchSize {
			s.fatalf("a write of %d records", len(step.puts))
		}
		execute := func() bool {
			done := s.store.write(step.puts, step.lease)
			s.logf("%d records of VM %d are written under lease %d: %v", len(step.puts), vm.number, step.lease, done)
			s.check()
			return done
		}
		s.call(vm, execute, func(o writeOutcome) { vm.written(s.now, o) })
	}
}

func (s *simulation) fault(vm *simVM) string {
	for _, f := range s.faults {
		if s.now >= f.begin && s.now < f.end && (f.kind != faultRefuse || f.vm == vm.number) {
			return f.kind
		}
	}
	return ""
}

// call makes a call of a VM to the store.
func (s *simulation) call(vm *simVM, execute func() bool, result func(writeOutcome)) {
	var answer func(d time.Duration, o writeOutcome, answered bool)
	answer = func(d time.Duration, o writeOutcome, answered bool) {
		s.after(d, func() {
			if vm.killed {
				return
			}
			if s.now < vm.frozenUntil {
				answer(vm.frozenUntil-s.now, o, answered)
				return
			}
			if answered {
				vm.eraChanged(s.store.era)
			}
			result(o)
			s.pump(vm)
		})
	}
	delay, answered := simTrip, true
	switch s.fault(vm) {
	case faultDown, faultRefuse:
		answer(2*simTrip, writeFailed, false)
		return
	case faultLost:
		answered = false
	case faultLate:
		delay, answered = s.draw("late", simLatest), false
	case faultSlow:
		delay = s.draw("slow", 2*simTimeout)
	}
	if delay+simTrip > simTimeout || !answered {
		answer(simTimeout, writeFailed, false)
		s.after(delay, func() { execute() })
		return
	}
	s.after(delay, func() {
		o := writeAcknowledged
		if !execute() {
			o = writeLeaseMissing
		}
		answer(simTrip, o, true)
	})
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
		if o, err := meaning(st.request, lists[st.entry.prefix]); err == nil && o.Version != st.passed {
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
	o, err := meaning(st.request, s.store.lists()[st.entry.prefix])
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
