package permit

import (
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/serverstate"
)

// avoided holds the servers for which a permit was denied, with the times until which this
// VM uses others.
type avoided struct {
	mu    sync.Mutex
	times map[serverstate.Server]time.Duration
}

func (a *avoided) add(s serverstate.Server, until time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.times == nil {
		a.times = map[serverstate.Server]time.Duration{}
	}
	a.times[s] = until
}

func (a *avoided) until(now time.Duration, s serverstate.Server) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, ok := a.times[s]
	if ok && now >= until {
		delete(a.times, s)
		return 0, false
	}
	return until, ok
}

// all returns the servers that are avoided at a time, and forgets the others.
func (a *avoided) all(now time.Duration) map[serverstate.Server]time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	current := make(map[serverstate.Server]time.Duration, len(a.times))
	for s, until := range a.times {
		if now >= until {
			delete(a.times, s)
			continue
		}
		current[s] = until
	}
	return current
}
