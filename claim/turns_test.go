package claim

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"testing"
	"time"
)

// turnStep is the granularity of all times in a simulation.
const turnStep = 10 * time.Microsecond

// turns gives each operation of a simulation an instant of its own. Goroutines that
// wake at the same instant run in an order that no seed decides, so that a failing
// history could not be repeated.
//
// All pauses are multiples of turnStep. The operations that arrive during a step wait
// for its end. Operation n of the simulation then runs n ns later. From there on its
// goroutine differs from all others in the time below turnStep.
type turns struct {
	mu      sync.Mutex
	arrived []*arrival
	taken   int
	// ties decide the order of operations that arrive in the same step.
	ties []int
}

// arrival is an operation that waits for its turn. The attempt tells apart attempts
// that waited for the same lease, and delayed a delayed write from its caller.
type arrival struct {
	at      time.Time
	attempt int
	delayed bool
	// after is the time from the end of the step to the turn, 0 until it is decided.
	after time.Duration
}

// simulated is the part of an attempt that its context carries to the store.
type simulated struct {
	attempt int
	// writeDelay delays the next write.
	writeDelay time.Duration
}

type simulatedKey struct{}

// simulatedAttempt returns the number of the attempt that ctx belongs to, -1 if it
// belongs to none.
func simulatedAttempt(ctx context.Context) int {
	if s, ok := ctx.Value(simulatedKey{}).(*simulated); ok {
		return s.attempt
	}
	return -1
}

// take waits for the turn of an operation.
func (t *turns) take(attempt int, delayed bool) {
	a := &arrival{at: time.Now(), attempt: attempt, delayed: delayed}
	t.mu.Lock()
	t.arrived = append(t.arrived, a)
	t.mu.Unlock()
	time.Sleep(time.Until(a.at.Truncate(turnStep).Add(turnStep)))
	time.Sleep(t.decide(a))
}

// decide returns the time from the end of the step to the turn of an operation. The
// first call at the end of a step decides for all operations of the step.
func (t *turns) decide(a *arrival) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.after == 0 {
		// The next step begins at this instant, and may have arrivals already.
		next := slices.DeleteFunc(slices.Clone(t.arrived), a.inStepOf)
		t.arrived = slices.DeleteFunc(t.arrived, func(other *arrival) bool { return !a.inStepOf(other) })
		slices.SortFunc(t.arrived, (*arrival).compare)
		t.shuffle()
		for _, other := range t.arrived {
			t.taken++
			other.after = time.Duration(t.taken)
		}
		t.arrived = next
	}
	if a.after >= turnStep {
		panic("claim: more operations than a simulation can tell apart")
	}
	return a.after
}

func (a *arrival) inStepOf(b *arrival) bool {
	return a.at.Truncate(turnStep).Equal(b.at.Truncate(turnStep))
}

// compare orders the operations of a step before they are shuffled. It panics if
// nothing tells two of them apart, since their order would not be repeatable.
func (a *arrival) compare(b *arrival) int {
	if order := cmp.Or(a.at.Compare(b.at), cmp.Compare(a.attempt, b.attempt)); order != 0 || a == b {
		return order
	}
	if a.delayed == b.delayed {
		panic("claim: two operations of a simulation cannot be told apart")
	}
	if a.delayed {
		return 1
	}
	return -1
}

// shuffle puts the operations of a step in the order that the ties name.
func (t *turns) shuffle() {
	for i := 0; i < len(t.arrived)-1 && len(t.ties) > 0; i++ {
		j := i + t.ties[0]%(len(t.arrived)-i)
		t.arrived[i], t.arrived[j] = t.arrived[j], t.arrived[i]
		t.ties = t.ties[1:]
	}
}

// TestTurnsOfOneStepDoNotDependOnTheNext guards against an order that depends on whether an operation
// that arrives at the end of a step is counted with it: ties would be used up earlier or later.
func TestTurnsOfOneStepDoNotDependOnTheNext(t *testing.T) {
	begin := time.Unix(0, 0)
	for name, nextArrives := range map[string]bool{"before the decision": true, "after the decision": false} {
		t.Run(name, func(t *testing.T) {
			simulation := turns{ties: []int{1}}
			first := &arrival{at: begin, attempt: 2}
			next := &arrival{at: begin.Add(turnStep), attempt: 1}
			last := &arrival{at: next.at, attempt: 3}
			simulation.arrived = []*arrival{first}
			if nextArrives {
				simulation.arrived = append(simulation.arrived, next)
			}
			simulation.decide(first)
			if !nextArrives {
				simulation.arrived = append(simulation.arrived, next)
			}
			simulation.arrived = append(simulation.arrived, last)
			simulation.decide(next)
			if first.after != 1 || last.after != 2 || next.after != 3 {
				t.Errorf("turns %d, %d, %d, want 1, 2 and 3 for the operations of attempts 2, 3 and 1", first.after, last.after, next.after)
			}
		})
	}
}
