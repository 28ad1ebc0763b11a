package retry

import (
	"sync"
	"time"
)

// SharedBudget bounds the repeats of all VMs together without a message for
// each of them. In any window, a service may get repeats of at most a ratio of
// its requests plus a slack. Each VM spends the ratio of its own requests and
// an equal part of the slack. The parts are computed for more VMs than are
// known, so that the sum holds while VMs come and go.
type SharedBudget struct {
	ratio  float64
	slack  float64
	window time.Duration

	mu       sync.Mutex
	vms      int
	services map[string]*usage
}

// Safety margins of a shared budget.
const (
	// unknownVMs is the number of VMs that may run without being known.
	unknownVMs = 2
	// spendFraction is the part of the budget that is spent. The rest covers
	// requests that arrive twice for reasons that this VM does not see.
	spendFraction = 0.8
	// windowSlots is the number of parts of a window in which events are counted.
	windowSlots = 20
)

// usage counts events of one service in slots of time.
type usage struct {
	requests, retries [windowSlots]int
	slot              int64
}

// NewSharedBudget returns a budget of ratio repeats for each request and slack
// repeats for all VMs in each window.
func NewSharedBudget(ratio, slack float64, window time.Duration) *SharedBudget {
	return &SharedBudget{ratio: ratio, slack: slack, window: window, vms: 1, services: map[string]*usage{}}
}

// SetVMs tells how many VMs share the budget.
func (b *SharedBudget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(n, 1)
}

// Request counts a first attempt. Times are on a clock that neither jumps nor
// stands still.
func (b *SharedBudget) Request(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(service, now)
	u.requests[u.slot%windowSlots]++
}

// Take reports whether a repeat is allowed, and charges it.
func (b *SharedBudget) Take(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(service, now)
	if float64(sum(u.retries)+1) > b.allowance(u) {
		return false
	}
	u.retries[u.slot%windowSlots]++
	return true
}

// Charge counts a repeat that is made in any case.
func (b *SharedBudget) Charge(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(service, now)
	u.retries[u.slot%windowSlots]++
}

func (b *SharedBudget) allowance(u *usage) float64 {
	return spendFraction * (b.ratio*float64(sum(u.requests)) + b.slack/float64(b.vms+unknownVMs))
}

// usage returns the counts of a service with the slots that have passed cleared.
func (b *SharedBudget) usage(service string, now time.Duration) *usage {
	slot := int64(now / (b.window / windowSlots))
	u := b.services[service]
	if u == nil {
		u = &usage{slot: slot}
		b.services[service] = u
	}
	if slot < u.slot || slot-u.slot >= windowSlots {
		*u = usage{slot: slot}
		return u
	}
	for u.slot < slot {
		u.slot++
		u.requests[u.slot%windowSlots], u.retries[u.slot%windowSlots] = 0, 0
	}
	return u
}

func sum(counts [windowSlots]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
