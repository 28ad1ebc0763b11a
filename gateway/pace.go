package gateway

import (
	"sync"
	"time"
)

// enginePace is how long the engines of a service take for a stream.
type enginePace struct {
	// firstEvent is the time from the send to the first event, tokenInterval the mean time
	// between two tokens after that.
	firstEvent, tokenInterval time.Duration
}

// assumedPace is the least that a stop expects of engines.
var assumedPace = enginePace{firstEvent: assumedFirstEventDelay, tokenInterval: assumedTokenInterval}

// slower returns the larger of each of the times.
func (p enginePace) slower(other enginePace) enginePace {
	return enginePace{max(p.firstEvent, other.firstEvent), max(p.tokenInterval, other.tokenInterval)}
}

// timeFor returns the time that a stream takes.
func (p enginePace) timeFor(tokens int) time.Duration {
	return p.firstEvent + time.Duration(tokens)*p.tokenInterval
}

// paceWindow is the time for which the slowest stream counts, at least; it counts for up to
// twice as long. Engines are slow for about as long as a burst of requests lasts.
const paceWindow = 10 * time.Second

// paceRecord holds the slowest pace of a service in the window that began at a time, and in
// the one before.
type paceRecord struct {
	began             time.Duration
	current, previous enginePace
}

// advance begins a new window if the current one is over.
func (r *paceRecord) advance(now time.Duration) {
	switch age := now - r.began; {
	case age < paceWindow:
	case age < 2*paceWindow:
		*r = paceRecord{began: r.began + paceWindow, previous: r.current}
	default:
		*r = paceRecord{began: now}
	}
}

// paceTable holds how slow the engines of each service were lately.
type paceTable struct {
	mu       sync.Mutex
	services map[string]*paceRecord
}

func newPaceTable() *paceTable { return &paceTable{services: map[string]*paceRecord{}} }

// record adds the pace of one stream. Times that are 0 are not known.
func (t *paceTable) record(service string, seen enginePace, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.services[service]
	if r == nil {
		t.dropOld(now)
		r = &paceRecord{began: now}
		t.services[service] = r
	}
	r.advance(now)
	r.current = r.current.slower(seen)
}

// dropOld removes services without a stream in the last windows. The caller holds t.mu.
func (t *paceTable) dropOld(now time.Duration) {
	for name, r := range t.services {
		if now-r.began >= 2*paceWindow {
			delete(t.services, name)
		}
	}
}

// slowest returns the slowest pace of a service lately, and at least assumedPace.
func (t *paceTable) slowest(service string, now time.Duration) enginePace {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.services[service]
	if r == nil {
		return assumedPace
	}
	r.advance(now)
	return assumedPace.slower(r.current).slower(r.previous)
}

// paceSampleEvents is the number of events of a stream after which its pace is recorded, again
// and again.
const paceSampleEvents = 4

// recordPace records the pace of the stream at an event that has just arrived in a segment.
func (s *stream) recordPace(seg *segment, now time.Duration) {
	events := s.eventCount.Load()
	if events == 1 {
		s.g.pace.record(s.service.Name, enginePace{firstEvent: now - seg.started}, now)
		return
	}
	if s.service.Engine == nil || events%paceSampleEvents != 1 {
		return
	}
	tokens := time.Duration(events-1) * time.Duration(max(s.service.Engine.TokensPerEvent, 1))
	mean := (now - time.Duration(s.firstEventAt.Load())) / tokens
	s.g.pace.record(s.service.Name, enginePace{tokenInterval: mean}, now)
}
