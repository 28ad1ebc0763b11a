// Package userplatform has test doubles of the users' platform: its store, and
// backend servers that register there. They speak the platform's protocol, and
// their faults can be switched while they run.
package userplatform

import (
	"encoding/base64"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin"
)

// StoreFaults are the failures that a Store can produce.
type StoreFaults struct {
	// Refuse lists the callers (see HandlerFor, "*" for all) that get RefuseStatus, and
	// Silent those that get no answer.
	Refuse, Silent []string
	RefuseStatus   int
	// Delay is added to each answer.
	Delay time.Duration
	// LoseWrites drops the connection after a write took effect.
	LoseWrites bool
	// Lapse removes keys with a lease while calls are refused.
	Lapse bool
}

// pageItems is the number of items of a page. It is smaller than that of the
// platform, so that tests read several.
const pageItems = 50

// event is a change of a key.
type event struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"createdRev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is the platform's store in memory.
type Store struct {
	mux *http.ServeMux

	mu        sync.Mutex
	faults    StoreFaults
	revision  int64
	items     map[string]event
	leases    map[int64]*lease
	history   []event
	compacted int64
	lastLease int64
	// muted counts calls of StallPendingWatches.
	muted   int
	changed chan struct{}
	calls   map[string]int
	done    chan struct{}
}

// NewStore returns an empty store. Close must be called.
func NewStore() *Store {
	s := &Store{
		mux: http.NewServeMux(), items: map[string]event{}, leases: map[int64]*lease{},
		changed: make(chan struct{}), calls: map[string]int{}, done: make(chan struct{}),
	}
	s.handle("GET /kv-key", s.key)
	s.handle("GET /kv-range", s.list)
	s.handle("GET /kv-watch", s.watch)
	s.handle("POST /kv-txn", s.transaction)
	s.handle("POST /kv-lease", s.grant)
	s.handle("POST /kv-keep/{id}", s.keepAlive)
	s.handle("DELETE /kv-lease-end/{id}", s.revoke)
	go s.expire()
	return s
}

// Close ends the expiry of leases.
func (s *Store) Close() { close(s.done) }

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// HandlerFor returns a handler whose calls count as those of a caller, which faults can name.
func (s *Store) HandlerFor(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(callerHeader, caller)
		s.mux.ServeHTTP(w, r)
	})
}

// callerHeader names the caller between HandlerFor and the faults.
const callerHeader = "X-Caller"

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls by path.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Put writes a key as the operator and the backend servers do.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, base64.StdEncoding.EncodeToString(value), 0)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// StallPendingWatches makes the watches that wait now wait for ever, as if their answers
// were lost on the way. Later watches are answered.
func (s *Store) StallPendingWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted++
	s.notify()
}

// Keys returns the keys under a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys(prefix)
}

// Compact drops the history and ends all watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.notify()
}

func (s *Store) keys(prefix string) []string {
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *Store) put(key, value string, leaseID int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	e := event{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = e
	s.history = append(s.history, e)
	s.notify()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, event{Key: key, Revision: s.revision, Tombstone: true})
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends leases. While all calls are refused, leases pause unless the faults
// say otherwise. Those of single callers that are refused expire.
func (s *Store) expire() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
			s.expireAt(time.Now())
		}
	}
}

func (s *Store) expireAt(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	down := slices.Contains(s.faults.Refuse, "*") || slices.Contains(s.faults.Silent, "*")
	if down && !s.faults.Lapse {
		for _, l := range s.leases {
			l.expires = l.expires.Add(20 * time.Millisecond)
		}
		return
	}
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, e := range s.items {
		if e.Lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) handle(pattern string, h http.HandlerFunc) {
	_, path, _ := strings.Cut(pattern, " ")
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[path]++
		f := s.faults
		s.mu.Unlock()
		caller := r.Header.Get(callerHeader)
		matches := func(names []string) bool { return slices.Contains(names, "*") || slices.Contains(names, caller) }
		switch {
		case matches(f.Silent):
			<-r.Context().Done()
			return
		case matches(f.Refuse):
			w.WriteHeader(f.RefuseStatus)
			return
		}
		time.Sleep(f.Delay)
		h(w, r)
	})
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	e, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		event
		CurrentRev int64 `json:"currentRev"`
	}{e, revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := struct {
		Items      []event `json:"items"`
		MorePages  bool    `json:"morePages"`
		CurrentRev int64   `json:"currentRev"`
	}{Items: []event{}, CurrentRev: s.revision}
	for _, k := range s.keys(q.Get("pathPrefix")) {
		if k <= q.Get("after") {
			continue
		}
		if len(out.Items) == pageItems {
			out.MorePages = true
			break
		}
		out.Items = append(out.Items, s.items[k])
	}
	writeJSON(w, out)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64) // A missing number is 0, the start of the history.
	ms, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	muted := s.mutings()
	for {
		events, revision, gone, changed := s.since(q.Get("pathPrefix"), after)
		if s.mutings() > muted {
			<-r.Context().Done()
			return
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, map[string]any{"events": []event{}, "currentRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) mutings() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.muted
}

func (s *Store) since(prefix string, after int64) (events []event, revision int64, gone bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, after < s.compacted, s.changed
}

func writeJSON(w http.ResponseWriter, v any) { standin.WriteJSON(w, v) }

func drop(w http.ResponseWriter) { standin.Drop(w) }
