package userplatform

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// pageItems is the maximum number of items per page. It is smaller than the
// platform's, so that tests read several pages.
const pageItems = 50

func (s *Store) getKey(w http.ResponseWriter, r *http.Request) {
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

func (s *Store) listRange(w http.ResponseWriter, r *http.Request) {
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
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64) // 0, the start of the history, if absent
	ms, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	stalls, ended := s.watchCounts()
	for {
		events, revision, gone, changed := s.eventsAfter(q.Get("pathPrefix"), after)
		stallsNow, endedNow := s.watchCounts()
		if stallsNow > stalls {
			<-r.Context().Done()
			return
		}
		if endedNow > ended {
			drop(w)
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

// watchCounts returns how often pending watches were stalled and ended.
func (s *Store) watchCounts() (stalls, ended int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalls, s.watchesEnded
}

func (s *Store) eventsAfter(prefix string, after int64) (events []event, revision int64, gone bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.history {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, after < s.compacted || after > s.revision, s.changed
}
