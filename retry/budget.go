// Package retry bounds repeated attempts.
package retry

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// maxStoredRetries bounds the retries that an idle organisation saves up.
const maxStoredRetries = 10

// Budget allows retries in proportion to first attempts, for each
// organisation, so that a failing pool does not get more load from retries.
type Budget struct {
	ratio float64

	mu     sync.Mutex
	stored map[string]float64
}

// NewBudget returns a budget of ratio retries for each first attempt.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, stored: map[string]float64{}}
}

// Attempt records a first attempt. Only organisations of the bundle may be
// passed, since each of them takes an entry.
func (b *Budget) Attempt(organisation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	stored, ok := b.stored[organisation]
	if !ok {
		stored = 1 // The first failure of an organisation may always be retried.
	}
	b.stored[organisation] = min(stored+b.ratio, maxStoredRetries)
}

// Take reports whether a retry is allowed, and charges it.
func (b *Budget) Take(organisation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stored[organisation] < 1 {
		return false
	}
	b.stored[organisation]--
	return true
}

// Organisations returns the number of organisations that the budget holds.
func (b *Budget) Organisations() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.stored)
}

// ExhaustedError reports that a failed attempt was not repeated because the
// retry budget of its organisation is used up.
type ExhaustedError struct {
	Organisation string
	// Cause is the error of the attempt.
	Cause error
}

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("retry budget of organisation %s is used up: %v", e.Organisation, e.Cause)
}

func (e *ExhaustedError) Unwrap() error { return e.Cause }

// Backoff returns the pause before the given retry, counted from 1: at least
// half of an exponential step, the rest with jitter. Full jitter can make all
// pauses of a series short, so that a brief fault outlasts every retry.
func Backoff(retry int, base, limit time.Duration) time.Duration {
	step := limit
	if retry < 16 {
		step = min(base<<(retry-1), limit)
	}
	return step/2 + time.Duration(rand.Int64N(int64(step-step/2)+1))
}
