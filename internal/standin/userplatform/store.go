// Package userplatform implements test doubles of the users' platform: its store
// and backend servers that register in it. They use the platform's protocol, and
// faults can be injected while they run.
package userplatform

import (
	"encoding/base64"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin"
)

// StoreFaults are the failures that can be injected into a Store.
type StoreFaults struct {
	// Refuse lists the clients (see HandlerFor; "*" for all) that get
	// RefuseStatus, and Silent those that get no response.
	Refuse, Silent []string
	RefuseStatus   int
	// Delay delays each request.
	Delay time.Duration
	// LoseWrites closes the connection after a transaction took effect, without a
	// response.
	LoseWrites bool
	// Lapse lets leases expire while the store is unavailable to all clients.
	Lapse bool
}

// event is a change to a key, or its current value.
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

// Store is an in-memory implementation of the platform's store.
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
	// stalls counts calls of StallPendingWatches.
	stalls int
	// era is the era of the store, watchesEnded counts the calls of Restore, which end
	// pending watches.
	era          int64
	watchesEnded int
	evacuations  []*Evacuation
	changed      chan struct{}
	calls        map[string]int
	done         chan struct{}
}

// NewStore returns an empty store. The caller must close it.
func NewStore() *Store {
	s := &Store{
		mux: http.NewServeMux(), items: map[string]event{}, leases: map[int64]*lease{},
		changed: make(chan struct{}), calls: map[string]int{}, done: make(chan struct{}),
	}
	s.handle("GET /kv-key", s.getKey)
	s.handle("GET /kv-range", s.listRange)
	s.handle("GET /kv-watch", s.watch)
	s.handle("POST /kv-txn", s.transaction)
	s.handle("POST /kv-lease", s.grant)
	s.handle("POST /kv-keep/{id}", s.keepAlive)
	s.handle("DELETE /kv-lease-end/{id}", s.revoke)
	go s.expire()
	return s
}

// Close stops the expiry of leases.
func (s *Store) Close() { close(s.done) }

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// HandlerFor returns a handler that attributes requests to a client, so that faults
// can apply to this client alone.
func (s *Store) HandlerFor(caller string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set(callerHeader, caller)
		s.mux.ServeHTTP(w, r)
	})
}

// callerHeader is the request header in which HandlerFor sets the client.
const callerHeader = "X-Caller"

// SetFaults replaces the active faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of requests by path pattern.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Put sets a key without a lease, as the operator and the backend servers do.
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

// StallPendingWatches leaves the pending watches without a response until their
// clients disconnect, as if the responses were lost. Later watches are served.
func (s *Store) StallPendingWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalls++
	s.notify()
}

// Keys returns the keys under a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys(prefix)
}

// Compact discards the history. Watches from an earlier revision get status 410.
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

// expire removes expired leases until Close. While the store is unavailable to all
// clients, leases do not expire unless the fault Lapse is set. Leases of single
// clients that are refused do expire.
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
	unavailable := slices.Contains(s.faults.Refuse, "*") || slices.Contains(s.faults.Silent, "*")
	if unavailable && !s.faults.Lapse {
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
		s.setEra(w.Header())
		isAffected := func(names []string) bool { return slices.Contains(names, "*") || slices.Contains(names, caller) }
		switch {
		case isAffected(f.Silent):
			<-r.Context().Done()
			return
		case isAffected(f.Refuse):
			w.WriteHeader(f.RefuseStatus)
			return
		}
		time.Sleep(f.Delay)
		h(w, r)
	})
}

// Has reports whether the store has a key.
func (s *Store) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

func writeJSON(w http.ResponseWriter, v any) { standin.WriteJSON(w, v) }

func drop(w http.ResponseWriter) { standin.Drop(w) }
