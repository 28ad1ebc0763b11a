package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/kv"
)

// KV is an in-memory key-value service with leases and watches.
type KV struct {
	faultInjector
	mux *http.ServeMux

	mu          sync.Mutex
	revision    int64
	entries     map[string]kvEntry
	leases      map[kv.LeaseID]*kvLease
	lastLeaseID kv.LeaseID
	changed     chan struct{}
	calls       map[string]int64
}

type kvEntry struct {
	value    []byte
	revision int64
	lease    kv.LeaseID
}

type kvLease struct {
	ttl     time.Duration
	expires time.Time
}

// NewKV returns an empty key-value service.
func NewKV() *KV {
	s := &KV{
		mux: http.NewServeMux(), entries: map[string]kvEntry{}, leases: map[kv.LeaseID]*kvLease{},
		changed: make(chan struct{}), calls: map[string]int64{},
	}
	s.mux.HandleFunc("PUT "+faultsPath, s.serveFaults)
	s.mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, s.Calls()) })
	s.handle("GET /v1/kv/{key}", "get", s.get)
	s.handle("PUT /v1/kv/{key}", "put", s.put)
	s.handle("POST /v1/leases", "lease", s.grantLease)
	s.handle("PUT /v1/leases/{id}", "lease", s.renewLease)
	s.handle("DELETE /v1/leases/{id}", "lease", s.revokeLease)
	return s
}

func (s *KV) handle(pattern, kind string, h http.HandlerFunc) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		s.countCall(kind, r)
		if !s.applyFaults(w, r) {
			return
		}
		h(w, r)
	})
}

func (s *KV) countCall(kind string, r *http.Request) {
	if r.URL.Query().Has("after") {
		kind = "watch"
	}
	s.mu.Lock()
	s.calls[kind]++
	s.mu.Unlock()
}

// Calls returns the number of requests by kind: get, put, watch, lease.
func (s *KV) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// ServeHTTP implements http.Handler.
func (s *KV) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// expireLeases removes expired leases and their keys. s.mu must be held.
func (s *KV) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.removeLease(id)
		}
	}
}

func (s *KV) removeLease(id kv.LeaseID) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id {
			delete(s.entries, key)
		}
	}
}

func (s *KV) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expireLeases(time.Now())
		e, ok := s.entries[key]
		changed := s.changed
		s.mu.Unlock()
		if !query.Has("after") || (ok && e.revision > after) {
			writeEntry(w, e, ok)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeEntry(w http.ResponseWriter, e kvEntry, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(kv.HeaderRevision, strconv.FormatInt(e.revision, 10))
	_, _ = w.Write(e.value)
}

func (s *KV) put(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, kv.MaxValueBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	prev, err := strconv.ParseInt(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	lease, _ := strconv.ParseInt(r.Header.Get(kv.HeaderLease), 10, 64)
	status, revision := s.compareAndSwap(key, value, prev, kv.LeaseID(lease))
	if s.CurrentFaults().LoseAnswers {
		Drop(w)
		return
	}
	w.Header().Set(kv.HeaderRevision, strconv.FormatInt(revision, 10))
	w.WriteHeader(status)
}

func (s *KV) compareAndSwap(key string, value []byte, prev int64, lease kv.LeaseID) (status int, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	current := s.entries[key]
	if current.revision != prev {
		return http.StatusPreconditionFailed, current.revision
	}
	if _, ok := s.leases[lease]; lease != 0 && !ok {
		return http.StatusNotFound, 0
	}
	s.revision++
	s.entries[key] = kvEntry{value: value, revision: s.revision, lease: lease}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, s.revision
}

type leaseBody struct {
	ID    kv.LeaseID `json:"id"`
	TTLMS int64      `json:"ttl_ms"`
}

func (s *KV) grantLease(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTLMS <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.lastLeaseID++
	ttl := time.Duration(body.TTLMS) * time.Millisecond
	body.ID = s.lastLeaseID
	s.leases[body.ID] = &kvLease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	if s.CurrentFaults().LoseAnswers {
		Drop(w)
		return
	}
	WriteJSON(w, body)
}

func (s *KV) renewLease(w http.ResponseWriter, r *http.Request) {
	s.withLease(w, r, func(l *kvLease, _ kv.LeaseID) { l.expires = time.Now().Add(l.ttl) })
}

func (s *KV) revokeLease(w http.ResponseWriter, r *http.Request) {
	s.withLease(w, r, func(_ *kvLease, id kv.LeaseID) { s.removeLease(id) })
}

func (s *KV) withLease(w http.ResponseWriter, r *http.Request, apply func(*kvLease, kv.LeaseID)) {
	n, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	id := kv.LeaseID(n)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	l, ok := s.leases[id]
	if ok {
		apply(l, id)
	}
	switch {
	case s.CurrentFaults().LoseAnswers:
		Drop(w)
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	}
}
