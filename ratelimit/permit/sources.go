package permit

import (
	"sync"

	"github.com/vanillaarch/vanillaarch/ratelimit"
	"github.com/vanillaarch/vanillaarch/serverstate"
)

// Sources of limits.
const (
	SourceAnswer = "answer"
	SourcePeer   = "peer"
)

// KnownLimit is a limit that a server names.
type KnownLimit struct {
	ratelimit.Limit
	// Source tells how this VM has learned it, "" if that is not known any more.
	Source string
}

// Limits returns the limits that servers name, in the order of the servers.
func (m *Manager) Limits() []KnownLimit {
	var known []KnownLimit
	for _, l := range m.table.Limits() {
		if l.Named {
			known = append(known, KnownLimit{l, m.sources.of(l)})
		}
	}
	return known
}

// maxSources bounds the servers whose source is kept, for queries only.
const maxSources = 4096

// sources tells how the VM has learned the limits that servers name.
type sources struct {
	mu       sync.Mutex
	byServer map[serverstate.Server]limitSource
}

// limitSource is how a version of a limit was learned.
type limitSource struct {
	version uint64
	source  string
}

func (s *sources) set(l ratelimit.Limit, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !l.Named {
		delete(s.byServer, l.Server)
		return
	}
	if s.byServer == nil || len(s.byServer) >= maxSources {
		s.byServer = map[serverstate.Server]limitSource{}
	}
	if last := s.byServer[l.Server]; last.version < l.Version {
		s.byServer[l.Server] = limitSource{l.Version, source}
	}
}

func (s *sources) of(l ratelimit.Limit) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.byServer[l.Server]; known.version == l.Version {
		return known.source
	}
	return ""
}
