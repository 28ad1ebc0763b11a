// Package question limits how often backend servers are asked for their load. A question is a
// health request that a VM sends as a load probe, beside its other requests. Each one costs
// money, so that a VM sends only a small number of them for its requests.
package question

import (
	"sync"
	"time"
)

const (
	// perRequest is the number of questions that a VM may ask for each of its requests.
	perRequest = 0.02
	// maxStored is the burst of the token bucket that limits the questions of a VM.
	maxStored = 2.0
	// minInterval is the shortest time between two questions to one server.
	minInterval = 500 * time.Millisecond
)

// Budget limits the questions of a VM. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	stored  float64
	askedAt map[string]time.Duration
}

// NewBudget returns a Budget that allows no question before requests were sent.
func NewBudget() *Budget { return &Budget{askedAt: map[string]time.Duration{}} }

// Request records a request of the VM.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stored = min(b.stored+perRequest, maxStored)
}

// Take reports whether a server may be asked now and, if so, counts the question.
func (b *Budget) Take(now time.Duration, server string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, asked := b.askedAt[server]
	if b.stored < 1 || asked && now-at < minInterval {
		return false
	}
	b.stored--
	b.askedAt[server] = now
	b.forget(now)
	return true
}

// forget removes the servers that were last asked too long ago to matter.
func (b *Budget) forget(now time.Duration) {
	for server, at := range b.askedAt {
		if now-at >= minInterval {
			delete(b.askedAt, server)
		}
	}
}
