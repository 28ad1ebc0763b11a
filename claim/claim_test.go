package claim

import (
	"context"
	"flag"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// attemptPlan describes one attempt at the call by one VM.
type attemptPlan struct {
	VM int
	// Start is the time before the attempt, WriteDelay a pause between the check of
	// the key and the first write, and Pause one between the claim and the action.
	Start, WriteDelay, Pause time.Duration
	Action                   int // 0 sends the call, 1 cannot reach the backend server, 2 crashes holding the claim
}

// vmConfig describes one VM: the error of its clock, and when its first lease was
// granted, relative to the creation of the key. Without a negative LeaseGrant, the VM
// has no lease at the start.
type vmConfig struct{ Skew, LeaseGrant time.Duration }

// history is the input of one run of TestClaimRunsAtMostOnce.
type history struct {
	opts Options
	// callerSkew is the difference between the caller's clock and the true time.
	callerSkew time.Duration
	vms        []vmConfig
	plans      []attemptPlan
	store      *faultyStore
}

// Options of histories whose leases expire during the run, and of those whose leases
// do not.
var shortRetention, longRetention = Options{Retention: 20 * time.Second, ClockTolerance: 2 * time.Second, Rotation: 5 * time.Second},
	Options{Retention: 10 * time.Minute, ClockTolerance: 2 * time.Second, Rotation: 5 * time.Second}

// timeStep is the granularity of times in histories whose leases expire. With few
// distinct values, a key and a lease often expire at the same time.
const timeStep = 500 * time.Millisecond

func drawHistory(rt *rapid.T) history {
	drawDuration := func(label string, lowest, highest time.Duration) time.Duration {
		return lowest + turnStep*time.Duration(rapid.Int64Range(0, int64((highest-lowest)/turnStep)).Draw(rt, label))
	}
	h := history{opts: longRetention, store: &faultyStore{}}
	maxStart, longestDelay, maxWriteDelay, maxFaults := 2*time.Second, maxDelay, time.Duration(0), 24
	if rapid.Bool().Draw(rt, "short retention") {
		h.opts = shortRetention
		maxStart, longestDelay, maxFaults = h.opts.Retention, h.opts.leaseTTL(), rapid.SampledFrom([]int{0, 4, 24}).Draw(rt, "max faults")
		maxWriteDelay = h.opts.leaseTTL()
		drawDuration = func(label string, lowest, highest time.Duration) time.Duration {
			return lowest + timeStep*time.Duration(rapid.IntRange(0, int((highest-lowest)/timeStep)).Draw(rt, label))
		}
	}
	for _, f := range rapid.SliceOfN(rapid.IntRange(0, int(faultCount)-1), 0, maxFaults).Draw(rt, "faults") {
		h.store.script = append(h.store.script, fault(f))
		h.store.delays = append(h.store.delays, drawDuration("delay", 0, longestDelay))
	}
	maxSkew := h.opts.ClockTolerance / 2                              // The clocks of two VMs differ by at most the tolerance.
	h.callerSkew = drawDuration("caller skew", -3*maxSkew, 3*maxSkew) // VMs reject a key whose time is outside the tolerance.
	for range 3 {
		h.vms = append(h.vms, vmConfig{Skew: drawDuration("skew", -maxSkew, maxSkew), LeaseGrant: drawDuration("lease grant", -h.opts.leaseTTL(), h.opts.Rotation)})
	}
	for range rapid.IntRange(1, 4).Draw(rt, "attempts") {
		p := attemptPlan{
			VM: rapid.IntRange(0, len(h.vms)-1).Draw(rt, "vm"), Start: drawDuration("start", 0, maxStart),
			Pause: drawDuration("pause", 0, 2*time.Second), Action: rapid.IntRange(0, 2).Draw(rt, "action"),
		}
		if rapid.Bool().Draw(rt, "delay write") {
			p.WriteDelay = drawDuration("write delay", 0, maxWriteDelay)
		}
		h.plans = append(h.plans, p)
	}
	h.store.turns.ties = rapid.SliceOfN(rapid.IntRange(0, 3), 0, 8).Draw(rt, "ties")
	return h
}

// result is the outcome of an attempt.
type result struct {
	ran, notRun bool
	err         error
}

func (h history) runAttempt(number int, p attemptPlan, m *Manager, key string) (r result) {
	time.Sleep(p.Start)
	h.store.turns.take(number, false)
	ctx := context.WithValue(context.Background(), simulatedKey{}, &simulated{attempt: number, writeDelay: p.WriteDelay})
	c, err := m.Begin(ctx, "org", key, "digest")
	if err != nil {
		_, r.notRun = errors.Into[*UnavailableError](err)
		r.err = err
		return r
	}
	time.Sleep(p.Pause) // A paused holder keeps its claim.
	switch p.Action {
	case 0:
		r.ran = true
		_ = c.Complete(context.Background(), Result{Status: 200})
	case 1:
		r.notRun = true
		c.Abandon()
	}
	return r
}

// rapidChecks is the number of histories that TestClaimRunsAtMostOnce tries. The default of
// 100 often misses a delayed replacement of an abandoned claim. 2000 miss a write
// that takes effect between the expiries of two leases.
const rapidChecks = "5000"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", rapidChecks)
	os.Exit(m.Run())
}

// TestClaimRunsAtMostOnce guards against a second run of a call under lost responses, delayed
// writes, outages, pauses, clock skew and claims that expire with their leases. It
// also guards against a claim that stays held although every attempt ended with
// not_run, so that a retry could never run.
func TestClaimRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		var results []result
		synctest.Test(t, func(*testing.T) { results = h.run() })
		checkAttempts(rt, results)
	})
}

// TestSimulationOfClaimsRepeats guards against a simulation that depends on more than
// its history. A seed that fails could then not be repeated.
func TestSimulationOfClaimsRepeats(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if rapid.IntRange(0, 9).Draw(rt, "run if 0") > 0 {
			return // Each history runs twice, so most are left out.
		}
		first := drawHistory(rt)
		second := first
		second.store = first.store.unused()
		synctest.Test(t, func(*testing.T) { first.run() })
		synctest.Test(t, func(*testing.T) { second.run() })
		if !slices.Equal(first.store.log, second.store.log) {
			rt.Errorf("the first run gave\n%s\nthe second\n%s", strings.Join(first.store.log, "\n"), strings.Join(second.store.log, "\n"))
		}
	})
}

// run runs the planned attempts concurrently, and one more after all faults.
func (h history) run() []result {
	id, _ := uuid.NewV7()
	results := make([]result, len(h.plans))
	var wg sync.WaitGroup
	managers := make([]*Manager, len(h.vms))
	time.Sleep(h.opts.leaseTTL()) // Lets leases be granted before the key is created.
	key := keyAt(id, time.Now().Add(h.callerSkew))
	created := time.Now()
	script := h.store.script
	h.store.script = nil // Leases granted before the key exists see no faults.
	for i, vm := range h.vms {
		opts := h.opts
		opts.Now = func() time.Time { return time.Now().Add(vm.Skew) }
		managers[i] = NewManager(h.store, opts)
		defer managers[i].Close()
		if vm.LeaseGrant < 0 {
			_, _ = managers[i].rotator.current(context.Background())
			managers[i].rotator.requestedAt = opts.Now().Add(vm.LeaseGrant)
			h.store.leaseExpiries[len(h.store.leaseExpiries)-1] = created.Add(vm.LeaseGrant + opts.leaseTTL())
		}
	}
	h.store.script = script
	for i, p := range h.plans {
		wg.Go(func() { results[i] = h.runAttempt(i, p, managers[p.VM], key) })
	}
	wg.Wait()
	time.Sleep(2 * abandonTimeout)
	h.store.pending.Wait()
	h.store.clearFaults()
	results = append(results, h.runAttempt(len(h.plans), attemptPlan{}, managers[0], key))
	time.Sleep(h.opts.leaseTTL())
	if entry, err := h.store.Get(context.Background(), key); err == nil {
		results = append(results, result{err: &remainingClaimError{value: string(entry.Value)}})
	}
	return results
}

// remainingClaimError reports a claim that outlives its lease.
type remainingClaimError struct{ value string }

func (e *remainingClaimError) Error() string { return "claim left: " + e.value }

func checkAttempts(rt *rapid.T, results []result) {
	runs, allNotRun := 0, true
	if _, ok := errors.Into[*remainingClaimError](results[len(results)-1].err); ok {
		rt.Fatal(results[len(results)-1].err)
	}
	last := results[len(results)-1]
	for i, r := range results {
		if r.ran {
			runs++
		}
		if exists, ok := errors.Into[*ExistsError](r.err); ok && exists.Record.State == StateAbandoned {
			rt.Errorf("attempt %d got the outcome unknown for an abandoned claim", i)
		}
		if i < len(results)-1 {
			allNotRun = allNotRun && r.notRun
		}
	}
	if runs > 1 {
		rt.Errorf("the call ran %d times", runs)
	}
	if _, expired := errors.Into[*ExpiredKeyError](last.err); allNotRun && !last.ran && !expired {
		rt.Errorf("a retry could not run although every attempt ended with not_run: %v", last.err)
	}
}

// TestClaimOutlastsKey guards against a claim that expires while its key is still
// accepted, so that the call could run again. It covers the limits: a lease at the
// end of its rotation period, and the largest clock skew allowed between VMs and
// caller. After that the claim must have expired.
func TestClaimOutlastsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, maxSkew := &faultyStore{}, shortRetention.ClockTolerance/2
		vm := func(skew time.Duration) *Manager {
			opts := shortRetention
			opts.Now = func() time.Time { return time.Now().Add(skew) }
			return NewManager(store, opts)
		}
		holder, late := vm(maxSkew), vm(-maxSkew)
		defer holder.Close()
		defer late.Close()
		if _, err := holder.rotator.current(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(shortRetention.Rotation - 2*operationLatency)
		id, _ := uuid.NewV7()
		key := keyAt(id, time.Now().Add(maxSkew+shortRetention.ClockTolerance))
		c, err := holder.Begin(t.Context(), "org", key, "digest")
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Complete(t.Context(), Result{Status: 200}); err != nil {
			t.Fatal(err)
		}
		for refused := false; !refused; time.Sleep(50 * time.Millisecond) {
			if _, err := late.Begin(t.Context(), "org", key, "digest"); err == nil {
				t.Fatal("the call could run again")
			} else {
				_, refused = errors.Into[*ExpiredKeyError](err)
			}
		}
		time.Sleep(shortRetention.Rotation)
		if entry, err := store.Get(t.Context(), key); err == nil {
			t.Errorf("claim remains after its lease expired: %s", entry.Value)
		}
	})
}

// TestCloseAbandonsClaims guards against a claim that stays held when the VM stops
// right after it rejected a call with not_run, so that a retry could never run.
func TestCloseAbandonsClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &faultyStore{}
		opts := Options{Retention: 24 * time.Hour, ClockTolerance: time.Hour, Now: time.Now}
		id, _ := uuid.NewV7()
		key := keyAt(id, time.Now())
		stopped := NewManager(store, opts)
		c, err := stopped.Begin(t.Context(), "org", key, "digest")
		if err != nil {
			t.Fatal(err)
		}
		c.Abandon()
		stopped.Close()
		other := NewManager(store, opts)
		defer other.Close()
		if _, err := other.Begin(t.Context(), "org", key, "digest"); err != nil {
			t.Errorf("a retry got %v", err)
		}
	})
}

// TestDelayedReplacementIsAbandoned guards against a claim that stays held after its
// attempt was rejected with not_run: its replacement of an abandoned claim takes effect
// only after the attempt has read the earlier claim back, so that a retry could never
// run.
func TestDelayedReplacementIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &faultyStore{}
		vm := func(name string) *Manager {
			opts := longRetention
			opts.VM, opts.Now = name, time.Now
			m := NewManager(store, opts)
			t.Cleanup(m.Close)
			return m
		}
		id, _ := uuid.NewV7()
		key := keyAt(id, time.Now())
		c, err := vm("first").Begin(t.Context(), "org", key, "digest")
		if err != nil {
			t.Fatal(err)
		}
		c.Abandon()
		time.Sleep(time.Second)
		// The lease, the conflict and its read, a write of 5 s and its read, a rejected
		// write, and the lost request of the first write that abandons the claim.
		store.mu.Lock()
		store.script = []fault{noFault, noFault, noFault, delayed, noFault, rejected, requestLost}
		store.delays = []time.Duration{0, 0, 0, maxDelay, 0, 0, 0}
		store.mu.Unlock()
		if _, err := vm("second").Begin(t.Context(), "org", key, "digest"); err == nil {
			t.Fatal("the claim was created")
		}
		time.Sleep(maxDelay + 2*abandonInterval)
		if _, err := vm("third").Begin(t.Context(), "org", key, "digest"); err != nil {
			t.Errorf("a retry got %v", err)
		}
	})
}

// keyAt returns a version 7 UUID created at the given time.
func keyAt(id uuid.UUID, at time.Time) string {
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

// TestCheckKey guards against a late retry that runs again after its claim has
// expired, and against keys that carry no reliable time.
func TestCheckKey(t *testing.T) {
	now := time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)
	m := NewManager(nil, Options{Retention: 24 * time.Hour, ClockTolerance: 5 * time.Minute, Now: func() time.Time { return now }})
	defer m.Close()
	v7, _ := uuid.NewV7()
	for age, want := range map[time.Duration]any{
		0: nil, 23 * time.Hour: nil, -time.Minute: nil,
		24*time.Hour - time.Minute: &ExpiredKeyError{}, 48 * time.Hour: &ExpiredKeyError{}, -time.Hour: &InvalidKeyError{},
	} {
		err := m.CheckKey(keyAt(v7, now.Add(-age)))
		_, expired := errors.Into[*ExpiredKeyError](err)
		_, invalid := errors.Into[*InvalidKeyError](err)
		_, wantExpired := want.(*ExpiredKeyError)
		_, wantInvalid := want.(*InvalidKeyError)
		if expired != wantExpired || invalid != wantInvalid {
			t.Errorf("key of age %s: got %v, want %T", age, err, want)
		}
	}
	for _, key := range []string{"", "x", uuid.NewString()} {
		if _, ok := errors.Into[*InvalidKeyError](m.CheckKey(key)); !ok {
			t.Errorf("key %q is accepted", key)
		}
	}
}
