package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item as calls of the store return it.
type storeItem struct {
	Key        string `json:"key"`
	Value      string `json:"value,omitempty"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"createdRev,omitempty"`
	Lease      int64  `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

// store is a sound metadata store that keeps its whole history.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]storeItem
	history []storeItem
	changed chan struct{}
	leases  map[int64]*storeLease
	nextID  int64
	addr    string
	server  *http.Server
}

// Limits of a page.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// newStore starts a store whose revisions begin above first.
func newStore(first int64) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rev: first, items: map[string]storeItem{}, changed: make(chan struct{}), leases: map[int64]*storeLease{}, nextID: 70000, addr: l.Addr().String()}
	s.server = &http.Server{Handler: s.handler()}
	go s.server.Serve(l)
	go s.expire()
	return s, nil
}

func (s *store) close() { s.server.Close() }

// put writes a key as the operator or a worker does, and returns its revision.
func (s *store) put(key string, value any) int64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, base64.StdEncoding.EncodeToString(b), 0)
	return s.rev
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.erase(key)
}

// write must be called with the lock held.
func (s *store) write(key, value string, lease int64) {
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.CreatedRev
	}
	item := storeItem{Key: key, Value: value, Revision: s.rev, CreatedRev: created, Lease: lease}
	s.items[key] = item
	s.publish(item)
}

// erase must be called with the lock held.
func (s *store) erase(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.rev++
	s.publish(storeItem{Key: key, Revision: s.rev, Tombstone: true})
}

func (s *store) publish(i storeItem) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	for range time.Tick(100 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.erase(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		json.NewEncoder(w).Encode(body)
	}
}

func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /kv-key", s.get)
	m.HandleFunc("GET /kv-range", s.list)
	m.HandleFunc("GET /kv-watch", s.watch)
	m.HandleFunc("POST /kv-txn", s.txn)
	m.HandleFunc("POST /kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			TTLMS int64 `json:"ttlMs"`
		}
		json.NewDecoder(r.Body).Decode(&in)
		ttl := time.Duration(max(in.TTLMS, 1000)) * time.Millisecond
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		s.leases[id] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]int64{"lease": id, "ttlMs": ttl.Milliseconds()})
	})
	m.HandleFunc("POST /kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			reply(w, 404, nil)
			return
		}
		l.expires = time.Now().Add(l.ttl)
		reply(w, 200, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
	})
	m.HandleFunc("DELETE /kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
		reply(w, 200, struct{}{})
	})
	return m
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, 404, nil)
		return
	}
	reply(w, 200, struct {
		storeItem
		CurrentRev int64 `json:"currentRev"`
	}{i, s.rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	out := struct {
		Items      []storeItem `json:"items"`
		MorePages  bool        `json:"morePages"`
		CurrentRev int64       `json:"currentRev"`
	}{Items: []storeItem{}, CurrentRev: s.rev}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out.Items = append(out.Items, i)
		}
	}
	sort.Slice(out.Items, func(a, b int) bool { return out.Items[a].Key < out.Items[b].Key })
	bytes := 0
	for n, i := range out.Items {
		bytes += len(i.Value)
		if n == maxPageItems || n > 0 && bytes > maxPageBytes {
			out.Items, out.MorePages = out.Items[:n], true
			break
		}
	}
	reply(w, 200, out)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	until := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("pathPrefix")) {
				events = append(events, i)
			}
		}
		changed, rev := s.changed, s.rev
		s.mu.Unlock()
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-until:
				ended = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || ended {
			reply(w, 200, map[string]any{"events": events, "currentRev": rev})
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expectedRev"`
		Puts []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, items := true, []storeItem{}
	for _, e := range in.ExpectedRev {
		i, ok := s.items[e.Key]
		if ok {
			items = append(items, i)
		}
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		reply(w, 412, map[string]any{"items": items})
		return
	}
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, nil)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, nil)
			return
		}
	}
	for _, p := range in.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Deletes {
		s.erase(key)
	}
	reply(w, 200, map[string]int64{"revision": s.rev})
}
