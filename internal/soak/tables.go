package soak

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"
)

// stopTimes records when each process was asked to stop.
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

// refusals holds the keys that each process has rejected after accepting them. If
// a process accepts such a key again, its configuration was rolled back.
type refusals struct {
	mu   sync.Mutex
	keys map[refusal]time.Time
}

type refusal struct {
	process *process
	key     string
}

// recordRefusal records a response that rejects a key. Only keys that the process
// has accepted before count, since a key may be rejected before the process has
// received the configuration that adds it.
func (s *refusals) recordRefusal(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, served := s.keys[refusal{r.process, r.key}]; served {
		s.keys[refusal{r.process, r.key}] = r.done
	}
}

// servedAfterRefusal records a response that accepts a key, and reports whether
// its request was sent after the same process had rejected the key.
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

// outcomeCounts counts requests by kind and outcome. It is safe for concurrent
// use.
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
	case r.quarantined() && r.crashingPart == "":
		outcome = "quarantined, though sound"
	case r.quarantined():
		outcome = "quarantined"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	kind := r.kind.String()
	if r.takesUp != nil {
		kind = "take-up"
	}
	t.counts[kind+" "+outcome]++
}

func (t *outcomeCounts) all() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.counts)
}
