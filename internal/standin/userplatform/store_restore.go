package userplatform

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// headerEra is the response header with the era of the store. It rises by one each time the
// store comes back from a copy.
const headerEra = "Store-Era"

// StoreCopy is the state of a store at one moment.
type StoreCopy struct {
	takenAt   time.Time
	revision  int64
	compacted int64
	lastLease int64
	items     map[string]event
	leases    map[int64]lease
	history   []event
}

// Copy returns a copy of the state, from which the store can come back.
func (s *Store) Copy() *StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &StoreCopy{
		takenAt: time.Now(), revision: s.revision, compacted: s.compacted, lastLease: s.lastLease,
		items: maps.Clone(s.items), history: slices.Clone(s.history), leases: map[int64]lease{},
	}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// Restore makes the store come back from a copy, in the next era. Revisions and leases after
// the copy are given out again, and pending watches end. What the operator and the servers have
// written since the copy is written again after rewriteAfter, unless they write the key before.
// The entries of servers that have left since, and evacuations that have ended, are removed then.
func (s *Store) Restore(c *StoreCopy, rewriteAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.items
	s.era++
	s.revision, s.compacted, s.lastLease = c.revision, c.compacted, c.lastLease
	s.items, s.history = maps.Clone(c.items), slices.Clone(c.history)
	s.leases = map[int64]*lease{}
	away := time.Since(c.takenAt)
	for id, l := range c.leases {
		l.expires = l.expires.Add(away)
		s.leases[id] = &l
	}
	s.watchesEnded++
	s.notify()
	era := s.era
	time.AfterFunc(rewriteAfter, func() { s.rewrite(c, lost, era) })
}

// rewrite writes what the operator and the servers had written after the copy.
func (s *Store) rewrite(c *StoreCopy, lost map[string]event, era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era != era {
		return // The next return writes what is lost by then.
	}
	isTheirs := func(key string) bool {
		isOperators := strings.HasPrefix(key, "op/") && !strings.HasPrefix(key, evacuationPrefix)
		return isOperators || strings.HasPrefix(key, "servers/")
	}
	for key, e := range lost {
		current, listed := s.items[key]
		if isTheirs(key) && (!listed || current.Revision <= c.revision && current.Value != e.Value) {
			s.put(key, e.Value, 0)
		}
	}
	s.rewriteEvacuations()
	for _, key := range s.keys("servers/") {
		if _, known := lost[key]; !known && s.items[key].Revision <= c.revision {
			s.remove(key)
		}
	}
}

// setEra adds the era to an answer. In era 0 it behaves as an older store, which has none.
func (s *Store) setEra(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era > 0 {
		h.Set(headerEra, strconv.FormatInt(s.era, 10))
	}
}

// SetEra sets the era, which is 0 for a new store.
func (s *Store) SetEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Era returns the current era.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
