package standby

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against intervals that violate the time limits of a deployment: a
// standby must distribute a change in time, or two VMs must read, and every VM
// must probe the store before revoked keys have to be rejected.
func TestIntervalsMeetTheLimits(t *testing.T) {
	const revoke = 5 * time.Second
	for _, change := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 19 * time.Second} {
		x := IntervalsFor(change, revoke, heartbeat)
		if x.Readers == 1 && x.TakeoverAge+propagationTime >= change {
			t.Errorf("limit %v: one reader, but standbys take over only after %v", change, x.TakeoverAge)
		}
		if x.Poll > change/2 {
			t.Errorf("limit %v: poll interval %v, want at most half of the limit", change, x.Poll)
		}
		for rank := range 510 {
			if p := x.ProbeAge(rank); p < x.TakeoverAge || p > max(x.TakeoverAge, revoke-revokeMargin) {
				t.Errorf("limit %v: rank %d probes after %v", change, rank, p)
			}
			if rank > 0 && (x.ProbeAge(rank) < x.ProbeAge(rank-1) || x.TakeoverDelay(rank) < x.TakeoverDelay(rank-1)) {
				t.Errorf("limit %v: rank %d probes or takes over before the rank above it", change, rank)
			}
		}
	}
}

// fleet simulates a region. Each VM receives the confirmations of the readers
// within a heartbeat, and those of other VMs within maxPropagation. The store
// rejects the calls of refused VMs, and dead VMs do nothing.
type fleet struct {
	intervals       Intervals
	selectors       []*DutySelector
	refused, dead   map[int]bool
	down            bool
	now             time.Duration
	confirmed, next []time.Duration
	// pending holds the confirmations that some VMs may not have received yet.
	pending []confirmation
	// polls counts calls to the store, and lists the times that a VM began to read.
	polls, lists int
	reading      []bool
	random       *rand.Rand
}

type confirmation struct {
	at     time.Duration
	origin int
}

const (
	tick      = 20 * time.Millisecond
	heartbeat = 500 * time.Millisecond
	// maxPropagation is the time in which a confirmation reaches all VMs over
	// several heartbeats.
	maxPropagation = time.Second
	retryPause     = 700 * time.Millisecond
)

func newFleet(vms int, seed uint64) *fleet {
	f := &fleet{
		intervals: IntervalsFor(4*time.Second, 5*time.Second, heartbeat), refused: map[int]bool{}, dead: map[int]bool{},
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Second, reading: make([]bool, vms),
		confirmed: make([]time.Duration, vms), next: make([]time.Duration, vms),
	}
	for i := range vms {
		f.selectors = append(f.selectors, NewDutySelector(f.intervals))
		f.confirmed[i] = f.now
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += tick {
		for i := range f.selectors {
			if !f.dead[i] {
				f.step(i)
			}
		}
	}
}

// step runs one VM: it receives confirmations, decides its duty and calls the
// store.
func (f *fleet) step(i int) {
	f.deliver(i)
	duty := f.selectors[i].Duty(View{Now: f.now, Confirmed: f.confirmed[i], Rank: i})
	if duty == Read && !f.reading[i] {
		f.lists++
	}
	f.reading[i] = duty == Read
	if duty == Idle || f.now < f.next[i] {
		return
	}
	f.polls++
	if f.down || f.refused[i] {
		f.next[i] = f.now + retryPause + time.Duration(f.random.Int64N(int64(retryPause)))
		return
	}
	f.next[i] = f.now + f.intervals.PollInterval(i)
	f.confirmed[i] = f.now
	f.pending = append(f.pending, confirmation{f.now, i})
	if duty == Probe {
		f.selectors[i].ProbeSucceeded(f.now)
	}
}

// deliver applies the confirmations that have reached a VM.
func (f *fleet) deliver(i int) {
	for len(f.pending) > 0 && f.now-f.pending[0].at > 2*maxPropagation {
		f.pending = f.pending[1:]
	}
	const distances = 17
	for _, n := range f.pending {
		longest := maxPropagation
		if n.origin < f.intervals.Readers {
			longest = heartbeat
		}
		if n.at+longest*time.Duration(i%distances+1)/distances <= f.now {
			f.confirmed[i] = max(f.confirmed[i], n.at)
		}
	}
}

// oldest returns the greatest age of the last confirmation among the live VMs.
func (f *fleet) oldest() (age time.Duration) {
	for i, at := range f.confirmed {
		if !f.dead[i] {
			age = max(age, f.now-at)
		}
	}
	return age
}

// Guards against a number of store calls that grows with the fleet. With three
// readers that polled every 0.8 s, and VMs that called the store as soon as their
// confirmation was 1.7 s old, these calls were the largest cost of 300 VMs.
func TestQuietFleetHasOneReader(t *testing.T) {
	for _, vms := range []int{1, 20, 97, 295, 510} {
		f := newFleet(vms, 1)
		f.run(60 * time.Second)
		if most := int(60*time.Second/f.intervals.Poll) + 1; f.polls > most || f.lists != 1 {
			t.Errorf("%d VMs: %d polls, want at most %d; %d VMs listed, want 1", vms, f.polls, most, f.lists)
		}
		if f.oldest() > f.intervals.TakeoverAge {
			t.Errorf("%d VMs: oldest confirmation is %v old", vms, f.oldest())
		}
	}
}

// Guards against standbys that take over too late from a reader, and against a
// fleet whose VMs then all call the store at once. The store rejects the calls of
// the first 1, 3 or 6 ranks and of a third of the VMs from rank 12 on for 9 s.
func TestStandbysTakeOver(t *testing.T) {
	const vms, longest = 295, 9 * time.Second
	for _, refusedRanks := range []int{1, 3, 6} {
		f := newFleet(vms, 2)
		f.run(5 * time.Second)
		for i := range vms {
			f.refused[i] = i < refusedRanks || i >= 12 && f.random.IntN(3) == 0
		}
		polls, lists := f.polls, f.lists
		begin := f.now
		for f.now < begin+longest {
			f.run(100 * time.Millisecond)
			if limit := f.intervals.MaxAge + f.intervals.GroupDelay + maxPropagation; f.oldest() > limit {
				t.Fatalf("%d ranks refused: oldest confirmation is %v old, limit %v", refusedRanks, f.oldest(), limit)
			}
		}
		// A refused VM retries every 1.05 s on average. VMs of the groups before
		// the one that succeeds keep calling the store while they wait.
		if n := f.lists - lists; n < 1 || n > 4 {
			t.Errorf("%d ranks refused: %d VMs took over, want 1 to 4", refusedRanks, n)
		}
		if n := f.polls - polls; n > 60 {
			t.Errorf("%d ranks refused: %d calls in %v, want at most 60", refusedRanks, n, longest)
		}
	}
}

// Guards against a thundering herd when the store recovers from an outage: each
// VM whose last confirmation was 1.7 s old listed and watched all backend servers.
func TestFewTakeOverAfterAnOutage(t *testing.T) {
	const vms, most = 295, 8
	for seed := range uint64(20) {
		f := newFleet(vms, seed)
		f.run(5 * time.Second)
		f.down = true
		f.run(14 * time.Second)
		f.down = false
		lists := f.lists
		f.run(10 * time.Second)
		if n := f.lists - lists; n > most {
			t.Errorf("seed %d: %d of %d VMs listed the servers after the outage", seed, n, vms)
		}
	}
}

// Guards against a region without a reader after the VMs of the first ten ranks
// have crashed, while the other VMs do not suspect them yet.
func TestDeadReadersAreReplaced(t *testing.T) {
	f := newFleet(295, 3)
	f.run(5 * time.Second)
	for i := range 10 {
		f.dead[i] = true
	}
	begin, limit := f.now, f.intervals.MaxAge+f.intervals.GroupDelay<<4+maxPropagation
	for f.now < begin+10*time.Second {
		f.run(100 * time.Millisecond)
		if f.oldest() > limit {
			t.Fatalf("oldest confirmation is %v old, limit %v", f.oldest(), limit)
		}
	}
}
