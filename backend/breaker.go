package backend

import (
	"sync"
	"sync/atomic"
)

// failureThreshold is the number of consecutive failures that open a circuit.
// Isolated lost polls are common under load.
const failureThreshold = 3

// Breaker is a circuit breaker with one circuit per backend server. It excludes
// servers that do not respond although the VM list reports them as live. An open
// circuit closes with the next response. A Breaker is safe for concurrent use.
type Breaker struct {
	mu       sync.Mutex
	failures map[string]int
	version  atomic.Uint64
}

// NewBreaker returns a breaker with all circuits closed.
func NewBreaker() *Breaker { return &Breaker{failures: map[string]int{}} }

// RecordFailure records a request without a response. failureThreshold consecutive
// failures open the circuit.
func (b *Breaker) RecordFailure(id string) { b.add(id, 1) }

// Trip opens the circuit at once, for a backend server that accepts no connections.
func (b *Breaker) Trip(id string) { b.add(id, failureThreshold) }

func (b *Breaker) add(id string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.failures[id]
	b.failures[id] = min(before+n, failureThreshold)
	if before < failureThreshold && b.failures[id] == failureThreshold {
		b.version.Add(1)
	}
}

// RecordResponse records a response, which closes the circuit.
func (b *Breaker) RecordResponse(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures[id] == failureThreshold {
		b.version.Add(1)
	}
	delete(b.failures, id)
}

// Allowed reports whether the backend server may receive new requests.
func (b *Breaker) Allowed(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures[id] < failureThreshold
}

// Open returns the ids of the backend servers with an open circuit.
func (b *Breaker) Open() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id, n := range b.failures {
		if n == failureThreshold {
			ids = append(ids, id)
		}
	}
	return ids
}

// Retain removes the backend servers that are no longer listed.
func (b *Breaker) Retain(listed func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.failures {
		if !listed(id) {
			delete(b.failures, id)
		}
	}
}

// Version changes whenever a circuit opens or is closed by a response.
func (b *Breaker) Version() uint64 { return b.version.Load() }
