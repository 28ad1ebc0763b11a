package retry

import (
	"sync"
	"time"
)

// SharedBudget limits the retries of all VMs together without a message per
// retry. In any window, the retries sent to a service are at most a ratio of its
// requests plus a slack. Each VM may spend the ratio of its own requests and an
// equal part of the slack. The slack is divided by more VMs than are known, so
// that the limit holds while VMs join and leave.
type SharedBudget struct {
	ratio  float64
	slack  float64
	window time.Duration

	mu       sync.Mutex
	vms      int
	services map[string]*usage
}

// Safety margins and resolution of a shared budget.
const (
	// unknownVMs is the number of VMs that may run before the others know of them.
	unknownVMs = 2
	// spendFraction is the fraction of the budget that is spent. The rest covers
	// requests that are duplicated without the knowledge of this VM.
	spendFraction = 0.8
	// windowSlots is the number of slots into which a sliding window is divided.
	windowSlots = 20
)

// usage counts the requests and retries of one service in each slot of the
// sliding window.
type usage struct {
	requests, retries [windowSlots]int
	slot              int64
}

// NewSharedBudget returns a SharedBudget that allows, in each window, ratio
// retries per request and slack retries for all VMs together.
func NewSharedBudget(ratio, slack float64, window time.Duration) *SharedBudget {
	return &SharedBudget{ratio: ratio, slack: slack, window: window, vms: 1, services: map[string]*usage{}}
}

// SetVMs sets the number of VMs that share the budget.
func (b *SharedBudget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms = max(n, 1)
}

// Request records a first attempt. Times are of a monotonic clock that also runs
// while the machine is suspended.
func (b *SharedBudget) Request(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(service, now)
	u.requests[u.slot%windowSlots]++
}

// Take reports whether a retry is allowed and, if so, deducts it.
func (b *SharedBudget) Take(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(service, now)
	if !b.allows(u) {
		return false
	}
	u.retries[u.slot%windowSlots]++
	return true
}

// Allows reports whether Take would allow a retry.
func (b *SharedBudget) Allows(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.usage(service, now))
}

// Charge records a retry that is sent whether or not the budget allows it.
func (b *SharedBudget) Charge(service string, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(service, now)
	u.retries[u.slot%windowSlots]++
}

func (b *SharedBudget) allows(u *usage) bool { return float64(sum(u.retries)+1) <= b.allowance(u) }

func (b *SharedBudget) allowance(u *usage) float64 {
	return spendFraction * (b.ratio*float64(sum(u.requests)) + b.slack/float64(b.vms+unknownVMs))
}

// usage returns the counts of a service after it has cleared the expired slots.
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
