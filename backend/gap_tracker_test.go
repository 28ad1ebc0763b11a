package backend_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/backend"
)

const maxTimeout = 3 * time.Second

// TestIdleTimeout guards against waiting seconds for a stalled stream of a fast
// engine, treating the normal gaps of a slow engine as stalls, and deriving the
// timeout from too few or expired gaps.
func TestIdleTimeout(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for name, tc := range map[string]struct {
		gap      time.Duration
		count    int
		age      time.Duration
		from, to time.Duration
	}{
		"fast":                   {20 * time.Millisecond, 200, 0, 300 * time.Millisecond, 300 * time.Millisecond},
		"middle":                 {80 * time.Millisecond, 200, 0, 640 * time.Millisecond, 800 * time.Millisecond},
		"slow":                   {300 * time.Millisecond, 200, 0, 2400 * time.Millisecond, maxTimeout},
		"beyond the fixed limit": {time.Minute, 200, 0, maxTimeout, maxTimeout},
		"few gaps":               {20 * time.Millisecond, 20, 0, maxTimeout, maxTimeout},
		"a while ago":            {20 * time.Millisecond, 200, 25 * time.Second, 300 * time.Millisecond, 300 * time.Millisecond},
		"long ago":               {20 * time.Millisecond, 200, 2 * time.Minute, maxTimeout, maxTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			gaps := new(backend.GapTable).GetOrCreate(start, "engine-1")
			for range tc.count {
				gaps.Observe(start, tc.gap)
			}
			if got := gaps.IdleTimeout(start.Add(tc.age), maxTimeout); got < tc.from || got > tc.to {
				t.Errorf("got %s, want %s to %s", got, tc.from, tc.to)
			}
		})
	}
}

// TestIdleTimeoutAdapts guards against a timeout that stays short when an engine slows
// down, which would resume its streams repeatedly.
func TestIdleTimeoutAdapts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	gaps := new(backend.GapTable).GetOrCreate(now, "engine-1")
	for range 1000 {
		gaps.Observe(now, 20*time.Millisecond)
	}
	for range 50 {
		gaps.Observe(now, 400*time.Millisecond)
	}
	if got := gaps.IdleTimeout(now, maxTimeout); got != maxTimeout {
		t.Errorf("got %s, want %s", got, maxTimeout)
	}
}

// TestBackoff guards against resuming the streams of an unresponsive engine at the
// short timeout each time.
func TestBackoff(t *testing.T) {
	sum := time.Duration(0)
	for failedResumes := range 5 {
		sum += backend.Backoff(300*time.Millisecond, failedResumes, maxTimeout)
	}
	if want := 7500 * time.Millisecond; sum != want {
		t.Errorf("five waits take %s, want %s", sum, want)
	}
	if got := backend.Backoff(300*time.Millisecond, 1000, maxTimeout); got != maxTimeout {
		t.Errorf("got %s, want %s", got, maxTimeout)
	}
}

// TestGapTable guards against retaining trackers of engines that are gone, and
// against losing the gaps of an engine in use.
func TestGapTable(t *testing.T) {
	var table backend.GapTable
	now := time.Unix(1_000_000, 0)
	kept := table.GetOrCreate(now, "kept")
	for i := range 1000 {
		now = now.Add(time.Second)
		table.GetOrCreate(now, "engine-"+strconv.Itoa(i))
		kept.Observe(now, 20*time.Millisecond)
	}
	if table.GetOrCreate(now, "kept") != kept {
		t.Error("the tracker of an engine in use was removed")
	}
	if n := table.Engines(); n > 100 {
		t.Errorf("the table holds %d engines, want at most 100", n)
	}
}
