package userplatform

import (
	"encoding/base64"
	"net/http"
	"time"
)

// evacuationPrefix is the key prefix of the availability zones that the operator evacuates.
const evacuationPrefix = "op/evacuate/"

// evacuationValue is the value of such a key.
const evacuationValue = "{}"

// Evacuation is the time during which the operator had ordered the evacuation of a zone.
type Evacuation struct {
	Zone string
	// From is when the store answered the order, To when it answered the deletion, the zero time
	// before that. A return of the store from a copy changes neither.
	From, To time.Time
}

// Evacuate orders, as the operator, that nothing more be sent to the servers of a zone. The returned
// function ends the evacuation.
func (s *Store) Evacuate(zone string) (end func()) {
	s.Put(evacuationPrefix+zone, []byte(evacuationValue))
	s.mu.Lock()
	defer s.mu.Unlock()
	e := &Evacuation{Zone: zone, From: time.Now()}
	s.evacuations = append(s.evacuations, e)
	return func() {
		s.mu.Lock()
		e.To = time.Now() // Requests may reach the zone from the deletion on.
		s.mu.Unlock()
		s.Delete(evacuationPrefix + zone)
	}
}

// Evacuations returns the evacuations in the order in which they were ordered.
func (s *Store) Evacuations() []Evacuation {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Evacuation
	for _, e := range s.evacuations {
		out = append(out, *e)
	}
	return out
}

// rewriteEvacuations writes, after a return from a copy, the evacuations that are ordered and deletes
// those that have ended. The caller holds s.mu.
func (s *Store) rewriteEvacuations() {
	ordered := map[string]bool{}
	for _, e := range s.evacuations {
		if e.To.IsZero() {
			ordered[evacuationPrefix+e.Zone] = true
		}
	}
	for _, key := range s.keys(evacuationPrefix) {
		if !ordered[key] {
			s.remove(key)
		}
		delete(ordered, key)
	}
	for key := range ordered {
		s.put(key, base64.StdEncoding.EncodeToString([]byte(evacuationValue)), 0)
	}
}

// covers reports whether a request to a zone was to be stopped at a time.
func (e Evacuation) covers(zone string, at time.Time, bound time.Duration) bool {
	return e.Zone == zone && at.Sub(e.From) > bound && (e.To.IsZero() || at.Before(e.To))
}

// LateArrival is a request that reached an evacuated zone.
type LateArrival struct {
	Exchange   Exchange
	Evacuation Evacuation
}

// LateArrivals returns the requests that reached a zone later than the bound after its evacuation was
// ordered, and before it ended. Requests that were answered with status 421 and management calls do
// not count.
func LateArrivals(evacuations []Evacuation, exchanges []Exchange, bound time.Duration) []LateArrival {
	var late []LateArrival
	for _, x := range exchanges {
		if x.Request == "" || x.Status == http.StatusMisdirectedRequest {
			continue
		}
		for _, e := range evacuations {
			if e.covers(x.Zone, x.ArrivedAt, bound) {
				late = append(late, LateArrival{Exchange: x, Evacuation: e})
			}
		}
	}
	return late
}
