package userplatform

import (
	"slices"
	"time"
)

// headerLimit names the requests a second that a server takes from all VMs together.
const headerLimit = "Server-Limit"

// SetLimit makes the server name a limit in all its answers, in one header for each value.
// The values may be invalid. Without a value it names none. Restart clears it.
func (s *Server) SetLimit(values ...string) {
	s.announcer.mu.Lock()
	defer s.announcer.mu.Unlock()
	s.announcer.limit = values
	s.announcer.limitChanges = append(s.announcer.limitChanges, LimitChange{At: time.Now(), Values: values})
}

// LimitChange is a call of SetLimit, or of Restart.
type LimitChange struct {
	At time.Time
	// Values are what the server names from then on, nil if nothing.
	Values []string
}

// LimitChanges returns all changes of the limit in their order.
func (s *Server) LimitChanges() []LimitChange {
	s.announcer.mu.Lock()
	defer s.announcer.mu.Unlock()
	return slices.Clone(s.announcer.limitChanges)
}

// namedLimit returns the values of the limit, nil if the server names none.
func (a *announcer) namedLimit() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit
}

// MostArrivals returns the largest number of exchanges that arrived within a span of the
// given length which begins at from or later, and the first of them. The exchanges are in
// the order of their arrival, as Fleet.Exchanges returns them, and counts selects those
// that are counted.
func MostArrivals(exchanges []Exchange, from time.Time, length time.Duration, counts func(Exchange) bool) (most int, first Exchange) {
	var counted []Exchange
	begin := 0
	for _, e := range exchanges {
		if e.ArrivedAt.Before(from) || !counts(e) {
			continue
		}
		counted = append(counted, e)
		for e.ArrivedAt.Sub(counted[begin].ArrivedAt) >= length {
			begin++
		}
		if n := len(counted) - begin; n > most {
			most, first = n, counted[begin]
		}
	}
	return most, first
}
