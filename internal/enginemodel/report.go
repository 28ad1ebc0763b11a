package enginemodel

import (
	"sort"
	"time"

	"github.com/vanillaarch/vanillaarch/dispatch"
)

// maxCacheEvents limits the cache events kept for readers. Older ones are dropped.
const maxCacheEvents = 4096

// sample is the load at one time.
type sample struct {
	at     time.Time
	report dispatch.LoadReport
}

// recordSample records the load for delayed load reports.
func (e *Engine) recordSample(now time.Time) {
	// Only the newest sample older than the lag is needed.
	horizon := now.Add(-e.settings.LoadLag)
	for len(e.samples) > 1 && !e.samples[1].at.After(horizon) {
		e.samples = e.samples[1:]
	}
	e.samples = append(e.samples, sample{at: now, report: e.currentLoad(now)})
}

func (e *Engine) currentLoad(now time.Time) dispatch.LoadReport {
	return dispatch.LoadReport{
		At: now, Running: len(e.running), Waiting: len(e.waiting),
		BlocksUsed: e.memory.used(), BlocksTotal: e.settings.Blocks, BlockTokens: e.settings.BlockTokens,
		Preemptions: e.preemptions,
	}
}

// Load returns the engine's report, which describes the state of LoadLag ago.
func (e *Engine) Load(now time.Time) dispatch.LoadReport {
	horizon := now.Add(-e.settings.LoadLag)
	r := dispatch.LoadReport{At: horizon, BlocksTotal: e.settings.Blocks, BlockTokens: e.settings.BlockTokens}
	for _, s := range e.samples {
		if s.at.After(horizon) {
			break
		}
		r = s.report
		r.At = horizon
	}
	return r
}

// Preemptions returns the number of preemptions so far, without delay.
func (e *Engine) Preemptions() int64 { return e.preemptions }

// CacheEvents returns the visible cache events after a sequence number. Some
// are missing, as set by CacheEventLoss.
func (e *Engine) CacheEvents(now time.Time, after uint64) []dispatch.CacheEvent {
	var events []dispatch.CacheEvent
	horizon := now.Add(-e.settings.CacheEventLag)
	first := sort.Search(len(e.memory.events), func(i int) bool { return e.memory.events[i].Sequence > after })
	for _, x := range e.memory.events[first:] {
		if x.at.After(horizon) {
			break
		}
		events = append(events, x.CacheEvent)
	}
	return events
}

// publish combines the cache changes of a step into one event.
func (m *memory) publish(now time.Time) {
	if len(m.changes.Stored) == 0 && len(m.changes.Evicted) == 0 {
		return
	}
	m.sequence++
	m.changes.Sequence = m.sequence
	if !m.isEventLost(m.sequence) {
		m.events = append(m.events, timedEvent{at: now, CacheEvent: m.changes})
	}
	if len(m.events) > maxCacheEvents {
		m.events = m.events[1:]
	}
	m.changes = dispatch.CacheEvent{}
}

// isEventLost reports whether an event is dropped, decided by a hash of seed and
// sequence (the finaliser of splitmix64).
func (m *memory) isEventLost(sequence uint64) bool {
	if m.settings.CacheEventLoss == 0 {
		return false
	}
	x := m.settings.Seed + sequence*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (x^x>>31)%uint64(m.settings.CacheEventLoss) == 0
}
