package userplatform

import (
	"slices"
	"strings"
	"time"
)

// EngineCrash is the crash of an engine by a request.
type EngineCrash struct {
	Request, Engine string
	At              time.Time
}

// SetCrashingParts makes every engine crash when it is about to write the first event
// of a run whose prompt has one of the given parts anywhere but in the last place.
// The engine starts again after the downtime, with a new start time.
func (f *Fleet) SetCrashingParts(downtime time.Duration, parts ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashingParts, f.crashDowntime = parts, downtime
}

// EngineCrashes returns the crashes by requests so far.
func (f *Fleet) EngineCrashes() []EngineCrash {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.engineCrashes)
}

// CrashingArrivals returns the arrivals at engines of requests with a part that crashes
// engines, including rejected ones.
func (f *Fleet) CrashingArrivals() []Arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.crashingArrivals)
}

// recordArrival records the arrival of a request if its prompt crashes engines.
func (f *Fleet) recordArrival(request, prefix string) {
	if !f.crashesEngines(prefix) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashingArrivals = append(f.crashingArrivals, Arrival{Request: request, At: time.Now()})
}

// crashesEngines reports whether a prompt has a part that crashes engines.
func (f *Fleet) crashesEngines(prefix string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries := strings.Split(prefix, ",")
	return slices.ContainsFunc(entries[:len(entries)-1], func(entry string) bool {
		id, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		return slices.Contains(f.crashingParts, id)
	})
}

// crashAndRestart crashes the engine on behalf of a request, and starts it again after
// the downtime. Requests that would crash it during the downtime have no effect.
func (s *Server) crashAndRestart(request string) {
	s.lifeMu.Lock()
	defer s.lifeMu.Unlock()
	if s.stopped || s.restarting {
		return
	}
	s.restarting = true
	s.closeListener()
	s.fleet.dropCopies(s.Address())
	downtime := s.fleet.recordCrash(request, s.ID())
	time.AfterFunc(downtime, s.startAfterCrash)
}

// startAfterCrash ends the downtime, unless the server was stopped meanwhile. A server
// that had announced its departure does not become ready again.
func (s *Server) startAfterCrash() {
	s.lifeMu.Lock()
	if !s.restarting {
		s.lifeMu.Unlock()
		return // Resume was called meanwhile.
	}
	s.restarting = false
	if s.renamed {
		s.rename()
	}
	listens := !s.stopped && s.listenAgain() == nil
	s.started = time.Now().UnixMilli()
	state := s.state
	s.lifeMu.Unlock()
	if listens && state != "" {
		s.Register(state)
	}
}

func (f *Fleet) recordCrash(request, engine string) (downtime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engineCrashes = append(f.engineCrashes, EngineCrash{Request: request, Engine: engine, At: time.Now()})
	return f.crashDowntime
}
