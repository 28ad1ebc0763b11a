package ratelimit

import (
	"time"
)

// asker identifies requests that compete by themselves: a denial concerns a VM, an
// organisation and a priority.
type asker struct {
	vm, organisation string
	priority         int
}

// askers counts those who asked lately, in the current and the last period.
type askers struct {
	current, last map[asker]struct{}
	rotatedAt     time.Duration
}

func newAskers() askers { return askers{current: map[asker]struct{}{}, last: map[asker]struct{}{}} }

func (a *askers) add(now time.Duration, vm, organisation string, priority int) {
	a.rotate(now)
	if len(a.current) < maxAskers {
		a.current[asker{vm, organisation, priority}] = struct{}{}
	}
}

func (a *askers) rotate(now time.Duration) {
	if now-a.rotatedAt >= askersPeriod {
		a.rotatedAt = now
		a.current, a.last = a.last, a.current
		clear(a.current)
	}
}

// count returns the number of askers, at least 1.
func (a *askers) count() int { return max(len(a.current), len(a.last), 1) }
