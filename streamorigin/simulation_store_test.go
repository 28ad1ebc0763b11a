package streamorigin

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/vanillaarch/vanillaarch/kv"
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

// takeCopies takes copies of the store until a time.
func (s *simulation) takeCopies(until time.Duration) {
	for t := time.Duration(0); t < until; t += simCopyInterval {
		s.at(t, func() { s.store.copies = append(s.store.copies, s.store.clone()) })
	}
}

// rewindStore makes the store come back from a copy.
func (s *simulation) rewindStore(age time.Duration) {
	back := min(int(age/simCopyInterval), len(s.store.copies)-1)
	s.store.simState = s.store.copies[len(s.store.copies)-1-back].clone()
	s.store.copies = s.store.copies[:len(s.store.copies)-back]
	s.store.era++
	s.logf("the store comes back in era %d, from the copy %d before the latest", s.store.era, back)
}

// restore makes the store come back from a copy, which the VMs learn of one after the other.
func (s *simulation) restore(age time.Duration) {
	s.rewindStore(age)
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

// storeError returns the error of a call with an outcome, nil if it was acknowledged.
func storeError(o writeOutcome) error {
	if o == writeAcknowledged {
		return nil
	}
	return &kv.UnavailableError{}
}
