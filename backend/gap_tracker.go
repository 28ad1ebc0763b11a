package backend

import (
	"math"
	"sync"
	"time"
)

// Parameters of the idle timeout of streams.
const (
	// gapWindow is the length of an observation window. The quantile covers the
	// current and the previous window, so a gap expires after at most twice this
	// time.
	gapWindow = 30 * time.Second
	// minSamples is the number of gaps required to derive a timeout; with fewer,
	// the maximum timeout applies. The quantile of few gaps is just the largest gap
	// observed.
	minSamples = 64
	// gapQuantile is the quantile of the gaps that the timeout is derived from.
	gapQuantile = 0.99
	// idleTimeoutFactor is the ratio of the idle timeout to the gap quantile. In the
	// replay, 4 caused up to 1.6 times as many resumes without a stalled connection
	// and no lower stall time; 16 increased the p99 stall time by a factor of up to
	// 1.4.
	idleTimeoutFactor = 8
	// samplesPerRefresh is the number of gaps after which the quantile is recomputed.
	samplesPerRefresh = 16
	// minIdleTimeout is the lower bound of the timeout. A resume costs a connection,
	// and shorter gaps are hardly perceived as stalls.
	minIdleTimeout = 300 * time.Millisecond
	// gapBuckets covers 1 ms to 16 s. bucketsPerOctave gives steps of 19%.
	gapBuckets       = 14 * bucketsPerOctave
	bucketsPerOctave = 4
)

// histogram counts gaps in logarithmic buckets.
type histogram struct {
	counts [gapBuckets]uint32
	total  uint32
}

// GapTracker derives the idle timeout of an engine's streams from the gaps between
// their recent tokens. It is safe for concurrent use.
type GapTracker struct {
	mu                sync.Mutex
	current, previous histogram
	started           time.Time
	// sinceRefresh counts the gaps since the quantile was last computed.
	sinceRefresh int
	quantile     time.Duration
}

// Observe records the gap that preceded a token received at now.
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

// IdleTimeout returns the time without a token after which a stream is resumed, at
// most maximum.
func (g *GapTracker) IdleTimeout(now time.Time, maximum time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate(now)
	if g.quantile == 0 {
		return maximum
	}
	return min(max(idleTimeoutFactor*g.quantile, minIdleTimeout), maximum)
}

// Backoff returns the idle timeout after a number of consecutive resumes without a
// token. Each one doubles the timeout, up to maximum, so that an unresponsive
// engine is not flooded with resumes.
func Backoff(timeout time.Duration, failedResumes int, maximum time.Duration) time.Duration {
	for ; failedResumes > 0 && timeout < maximum; failedResumes-- {
		timeout *= 2
	}
	return min(timeout, maximum)
}

// rotate starts a new window once the current one has ended, and discards expired gaps.
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

// refresh recomputes the quantile, 0 if there are too few gaps.
func (g *GapTracker) refresh() {
	g.sinceRefresh, g.quantile = 0, 0
	total := g.current.total + g.previous.total
	if total < minSamples {
		return
	}
	remaining := uint32(float64(total) * (1 - gapQuantile))
	for i := gapBuckets - 1; i >= 0; i-- {
		n := g.current.counts[i] + g.previous.counts[i]
		if n > remaining {
			g.quantile = bucketUpperBound(i)
			return
		}
		remaining -= n
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

// GapTable holds a GapTracker per engine. It is safe for concurrent use; its zero
// value is ready to use.
type GapTable struct {
	mu      sync.Mutex
	engines map[string]*GapTracker
}

// GetOrCreate returns the tracker of an engine. Creating one also removes the
// trackers of engines without a recent token.
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

// Engines returns the number of engines in the table.
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
