package soak

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"
)

// stopTimes holds when processes were asked to stop.
type stopTimes struct {
	mu        sync.Mutex
	requested map[*process]time.Time
}

func (t *stopTimes) record(p *process) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requested == nil {
		t.requested = map[*process]time.Time{}
	}
	t.requested[p] = time.Now()
}

func (t *stopTimes) lookup(p *process) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.requested[p]
	return at, ok
}

// refusals holds the keys that each process has refused after it served them. A
// revoked key that is served after that shows that the configuration reverted.
type refusals struct {
	mu   sync.Mutex
	keys map[refusal]time.Time
}

type refusal struct {
	process *process
	key     string
}

// recordRefusal notes an answer that refuses a key. A key that is refused before it
// is known may be served later, so only keys that were served before count.
func (s *refusals) recordRefusal(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, served := s.keys[refusal{r.process, r.key}]; served {
		s.keys[refusal{r.process, r.key}] = r.done
	}
}

// servedAfterRefusal notes an answer that honours a key, and reports whether it
// was asked for after the same process had refused the key again.
func (s *refusals) servedAfterRefusal(r *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == nil {
		s.keys = map[refusal]time.Time{}
	}
	at, known := s.keys[refusal{r.process, r.key}]
	if !known {
		s.keys[refusal{r.process, r.key}] = time.Time{}
	}
	return !at.IsZero() && r.sent.After(at)
}

// outcomeCounts counts requests by kind and outcome.
type outcomeCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *outcomeCounts) count(r *request) {
	outcome := fmt.Sprintf("%d", r.status)
	switch {
	case r.canceled:
		outcome = "caller left"
	case r.err != nil && r.status == http.StatusOK:
		outcome = "cut"
	case r.err != nil:
		outcome = "no answer"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	t.counts[r.kind.String()+" "+outcome]++
}

func (t *outcomeCounts) all() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.counts)
}
