package userplatform

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// What a cold server takes, as in Config and in the settings of the platform.
const (
	ColdPerS  = 22
	ColdOver  = 1.5
	ColdSlack = 5
	// ColdAllowed is the number of requests in a second above which a cold server crashes.
	ColdAllowed = ColdPerS*ColdOver + ColdSlack
)

// coldSpan is the time over which a cold server counts its requests.
const coldSpan = time.Second

// coldState is the cold period of a server.
type coldState struct {
	mu sync.Mutex
	// until is the end of the period, the zero value if the server was never cold.
	until    time.Time
	arrivals []time.Time
	most     int
	crashes  int
}

// begin starts a period.
func (c *coldState) begin(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until, c.arrivals = time.Now().Add(d), nil
}

// remaining returns the remaining time of the period.
func (c *coldState) remaining() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.until.IsZero() {
		return 0
	}
	return max(time.Until(c.until), 0)
}

// arrive counts a request. It reports whether the server crashes under it.
func (c *coldState) arrive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !now.Before(c.until) {
		return false
	}
	c.arrivals = slices.DeleteFunc(c.arrivals, func(at time.Time) bool { return now.Sub(at) >= coldSpan })
	c.arrivals = append(c.arrivals, now)
	c.most = max(c.most, len(c.arrivals))
	if len(c.arrivals) <= ColdAllowed {
		return false
	}
	c.crashes++
	return true
}

// Cool makes the server cold for a time from now on, as its entry tells.
func (s *Server) Cool(d time.Duration) {
	s.cold.begin(d)
	s.Register("ready")
}

// ColdCrashes returns how often the server crashed because it got more requests than a cold
// server takes, and the most requests that it got in a second while it was cold.
func (s *Server) ColdCrashes() (crashes, most int) {
	s.cold.mu.Lock()
	defer s.cold.mu.Unlock()
	return s.cold.crashes, s.cold.most
}

// crashCold crashes a cold server that gets too many requests. It returns false if the
// server goes on. A request for another server does not count.
func (s *Server) crashCold(w http.ResponseWriter, r *http.Request) bool {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.ID() || !s.cold.arrive() {
		return false
	}
	go s.Crash()
	drop(w)
	return true
}
