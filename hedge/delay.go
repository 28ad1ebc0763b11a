// Package hedge sends a request that may run any number of times to a second server if the
// first one has not answered within the usual time. It decides when and how often, and runs
// both attempts. It does no network I/O.
package hedge

import (
	"slices"
	"sync"
	"time"
)

const (
	// delayQuantile is the part of the recent answers that come before the delay.
	delayQuantile = 0.95
	// answerWindow is the number of recent answers of a route from which the delay is taken.
	answerWindow = 64
	// minAnswers is the number of answers without which the usual time is unknown.
	minAnswers = 20
	// targetFraction is the part of the target latency after which a request is hedged even if
	// answers usually take longer. Later, the second answer would be late as well.
	targetFraction = 0.5
	// minDelay is the shortest delay: answers that differ by less differ by chance.
	minDelay = 10 * time.Millisecond
	// maxRatio limits the hedges to a part of the requests of a route. Failed requests need
	// the retry budget as well, of which this is half.
	maxRatio = 0.1
	// maxStored is the burst of the token bucket that limits the hedges of a route.
	maxStored = 3.0
)

// Policy decides when requests are hedged. It is safe for concurrent use.
type Policy struct {
	mu     sync.Mutex
	routes map[string]*history
}

// history holds what is known of the requests of a route.
type history struct {
	answers [answerWindow]time.Duration
	count   int
	// stored is the number of tokens in the bucket: the hedges that the route may make now.
	stored float64
}

// NewPolicy returns a Policy that knows no answers.
func NewPolicy() *Policy { return &Policy{routes: map[string]*history{}} }

func (p *Policy) history(route string) *history {
	h := p.routes[route]
	if h == nil {
		h = &history{}
		p.routes[route] = h
	}
	return h
}

// Request records a request of a route that may be hedged. It returns the delay after which it
// is to be hedged: the usual time of an answer, or a part of the target latency if that is
// shorter. It returns false if too few answers are known and the target is 0.
func (p *Policy) Request(route string, target time.Duration) (delay time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.history(route)
	h.stored = min(h.stored+maxRatio, maxStored)
	usual, known := h.usual()
	delay = time.Duration(targetFraction * float64(target))
	switch {
	case known && target > 0:
		delay = min(delay, usual)
	case known:
		delay = usual
	}
	return max(delay, minDelay), known || target > 0
}

// usual returns the time that most of the recent answers took, and false if too few are known.
func (h *history) usual() (time.Duration, bool) {
	if h.count < minAnswers {
		return 0, false
	}
	known := slices.Clone(h.answers[:min(h.count, answerWindow)])
	slices.Sort(known)
	return known[int(delayQuantile*float64(len(known)-1))], true
}

// Answered records the time from the first attempt of a request to its answer.
func (p *Policy) Answered(route string, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.history(route)
	h.answers[h.count%answerWindow] = elapsed
	h.count++
}

// Take reports whether a request of the route may be hedged now and, if so, counts it.
func (p *Policy) Take(route string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.history(route)
	if h.stored < 1 {
		return false
	}
	h.stored--
	return true
}
