package backend

import (
	"sync"
	"sync/atomic"
)

// failureThreshold is the number of consecutive failures that open the breaker of
// a backend server. A single lost poll is common under load.
const failureThreshold = 3

// Breaker tracks backend servers that do not respond although the VM list
// calls them live. An open entry closes with the next response. It is safe for
// concurrent use.
type Breaker struct {
	mu       sync.Mutex
	failures map[string]int
	version  atomic.Uint64
}

// NewBreaker returns a breaker without entries.
func NewBreaker() *Breaker { return &Breaker{failures: map[string]int{}} }

// RecordFailure counts a request without a response. It opens the entry after
// several in a row.
func (b *Breaker) RecordFailure(id string) { b.add(id, 1) }

// Trip opens the entry of a backend server that accepted no connection.
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

// RecordResponse closes the entry.
func (b *Breaker) RecordResponse(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures[id] == failureThreshold {
		b.version.Add(1)
	}
	delete(b.failures, id)
}

// Allowed reports whether the backend server may get new work.
func (b *Breaker) Allowed(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures[id] < failureThreshold
}

// Open returns the ids of all open entries.
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

// Retain drops the entries of backend servers that are no longer listed.
func (b *Breaker) Retain(listed func(id string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.failures {
		if !listed(id) {
			delete(b.failures, id)
		}
	}
}

// Version changes whenever an entry opens or closes.
func (b *Breaker) Version() uint64 { return b.version.Load() }
