package tracker

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/serverstate"
)

// pauseRetention is how long a server stays among the candidates of Paused after it may
// be used again. It gets few requests for some seconds after a pause.
const pauseRetention = 30 * time.Second

// pauses holds the servers that have recently asked for a pause or must be asked first.
// Paused is called for each request, and the table also holds all servers that have left.
type pauses struct {
	mu sync.Mutex
	// until holds when a server is forgotten.
	until map[serverstate.Server]time.Duration
}

func (p *pauses) add(s serverstate.Server, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.until == nil {
		p.until = map[serverstate.Server]time.Duration{}
	}
	p.until[s] = max(p.until[s], until)
}

// servers returns the servers and forgets those whose time is over.
func (p *pauses) servers(now time.Duration) []serverstate.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	var servers []serverstate.Server
	for s, until := range p.until {
		if now >= until {
			delete(p.until, s)
			continue
		}
		servers = append(servers, s)
	}
	return servers
}

// Paused returns the ids of the listed servers to which this VM must send nothing for now
// since they have asked for a pause, or may be the start that has said that it leaves, with
// the times at which it may.
func (t *Tracker) Paused() map[string]time.Duration {
	now := boottime.Now()
	servers := t.pauses.servers(now)
	if len(servers) == 0 {
		return nil
	}
	backends := t.opts.Loop.Snapshot().Backends
	paused := map[string]time.Duration{}
	for _, s := range servers {
		vm, listed := backends[s.ID]
		if !listed {
			continue
		}
		if e, ok := errors.Into[*serverstate.PausedError](t.table.Check(now, ServerOf(vm))); ok {
			paused[s.ID] = e.Until
		}
	}
	return paused
}

// isUnverified reports whether a server must be asked before it is used.
func isUnverified(err error) bool {
	paused, ok := errors.Into[*serverstate.PausedError](err)
	return ok && paused.Unverified
}
