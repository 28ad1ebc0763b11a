// Package retry provides retry budgets and backoff.
package retry

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// maxStoredRetries limits the retries that an organisation can accumulate.
const maxStoredRetries = 10

// Budget limits the retries of each organisation to a ratio of its first
// attempts, so that retries do not overload a pool that is failing.
type Budget struct {
	ratio float64

	mu     sync.Mutex
	stored map[string]float64
}

// NewBudget returns a Budget that allows ratio retries per first attempt.
func NewBudget(ratio float64) *Budget {
	return &Budget{ratio: ratio, stored: map[string]float64{}}
}

// Attempt records a first attempt. The organisation must be one of the bundle,
// since the entry that it gets here is never removed.
func (b *Budget) Attempt(organisation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	stored, ok := b.stored[organisation]
	if !ok {
		stored = 1 // Allow a retry of the first failure of each organisation.
	}
	b.stored[organisation] = min(stored+b.ratio, maxStoredRetries)
}

// Take reports whether a retry is allowed and, if so, deducts it.
func (b *Budget) Take(organisation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stored[organisation] < 1 {
		return false
	}
	b.stored[organisation]--
	return true
}

// Organisations returns the number of organisations with an entry in the budget.
func (b *Budget) Organisations() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.stored)
}

// ExhaustedError reports that a failed attempt was not retried because the retry
// budget of its organisation is exhausted.
type ExhaustedError struct {
	Organisation string
	// Cause is the error of the attempt.
	Cause error
}

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("retry budget of organisation %s is exhausted: %v", e.Organisation, e.Cause)
}

func (e *ExhaustedError) Unwrap() error { return e.Cause }

// Backoff returns the delay before the given retry, counted from 1. Half of the
// exponential step is fixed and the other half is jittered. With full jitter, all
// delays of a series can be so short that a brief fault outlasts the last retry.
func Backoff(retry int, base, limit time.Duration) time.Duration {
	step := limit
	if retry < 16 {
		step = min(base<<(retry-1), limit)
	}
	return step/2 + time.Duration(rand.Int64N(int64(step-step/2)+1))
}
