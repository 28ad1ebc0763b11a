package streamorigin

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/vanillaarch/vanillaarch/kv"
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
		s.call(vm, execute, func(o writeOutcome) { vm.granted(s.now, id, storeError(o)) })
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
