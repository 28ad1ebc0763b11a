package backend

import (
	"math"
	"sync"
	"time"
)

// Parameters of the stream idle limit.
const (
	// gapWindow is the time for which a gap counts in full; it is forgotten
	// after at most twice that time.
	gapWindow = 30 * time.Second
	// minSamples is the number of gaps below which the greatest limit holds. With
	// fewer, the quantile is only the greatest gap seen.
	minSamples = 64
	// gapQuantile is the quantile of the gaps from which the limit follows.
	gapQuantile = 0.99
	// idleTimeoutFactor is the idle limit as a multiple of the gap quantile. In the
	// replay 4 gave up to 1.6 times as many resumes without a stalled connection
	// at no less stall time, and 16 gave up to 1.4 times the p99 stall time.
	idleTimeoutFactor = 8
	// samplesPerRefresh is the number of gaps after which the quantile is computed anew.
	samplesPerRefresh = 16
	// minIdleTimeout is the least limit. A resume costs a connection, and shorter
	// gaps hardly count as stalls.
	minIdleTimeout = 300 * time.Millisecond
	// gapBuckets cover 1 ms to 16 s at bucketsPerOctave, that is steps of 19%.
	gapBuckets       = 14 * bucketsPerOctave
	bucketsPerOctave = 4
)

// histogram counts gaps by logarithmic buckets.
type histogram struct {
	counts [gapBuckets]uint32
	total  uint32
}

// GapTracker derives the idle limit of an engine's streams from the gaps between
// their recent tokens. It is safe for concurrent use.
type GapTracker struct {
	mu                sync.Mutex
	current, previous histogram
	started           time.Time
	// sinceRefresh counts gaps since the quantile was computed.
	sinceRefresh int
	quantile     time.Duration
}

// Observe records the gap before a token that arrived at now.
func (g *GapTracker) Observe(now time.Time, gap time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate(now)
	g.current.counts[bucketOf(gap)]++
	g.current.total++
	if g.sinceRefresh++; g.sinceRefresh >= samplesPerRefresh {
		g.refresh()
	}
}

// IdleTimeout returns the time of silence after which a stream is resumed, at most
// the given greatest limit.
func (g *GapTracker) IdleTimeout(now time.Time, greatest time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate(now)
	if g.quantile == 0 {
		return greatest
	}
	return min(max(idleTimeoutFactor*g.quantile, minIdleTimeout), greatest)
}

// Backoff returns the limit after a number of consecutive resumes that brought
// no token. It doubles each time, so that a silent engine is not flooded.
func Backoff(limit time.Duration, silent int, greatest time.Duration) time.Duration {
	for ; silent > 0 && limit < greatest; silent-- {
		limit *= 2
	}
	return min(limit, greatest)
}

func (g *GapTracker) rotate(now time.Time) {
	age := now.Sub(g.started)
	if age < gapWindow {
		return
	}
	g.previous = g.current
	if age >= 2*gapWindow {
		g.previous = histogram{}
	}
	g.current, g.started = histogram{}, now
	g.refresh()
}

func (g *GapTracker) refresh() {
	g.sinceRefresh, g.quantile = 0, 0
	total := g.current.total + g.previous.total
	if total < minSamples {
		return
	}
	above := uint32(float64(total) * (1 - gapQuantile))
	for i := gapBuckets - 1; i >= 0; i-- {
		n := g.current.counts[i] + g.previous.counts[i]
		if n > above {
			g.quantile = bucketUpperBound(i)
			return
		}
		above -= n
	}
}

func bucketOf(gap time.Duration) int {
	if gap <= time.Millisecond {
		return 0
	}
	octaves := math.Log2(float64(gap) / float64(time.Millisecond))
	return min(int(octaves*bucketsPerOctave), gapBuckets-1)
}

func bucketUpperBound(i int) time.Duration {
	return time.Duration(math.Exp2(float64(i+1)/bucketsPerOctave) * float64(time.Millisecond))
}

// GapTable holds the gaps of each engine. It is safe for concurrent use; its
// zero value is empty.
type GapTable struct {
	mu      sync.Mutex
	engines map[string]*GapTracker
}

// GetOrCreate returns the gaps of an engine. When an engine is new, those without a
// recent token are forgotten.
func (t *GapTable) GetOrCreate(now time.Time, engine string) *GapTracker {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g, ok := t.engines[engine]; ok {
		return g
	}
	if t.engines == nil {
		t.engines = map[string]*GapTracker{}
	}
	for id, g := range t.engines {
		if g.expired(now) {
			delete(t.engines, id)
		}
	}
	g := &GapTracker{started: now}
	t.engines[engine] = g
	return g
}

// Engines returns the number of engines held.
func (t *GapTable) Engines() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.engines)
}

func (g *GapTracker) expired(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.started) >= 2*gapWindow
}
