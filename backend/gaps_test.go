package backend_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/backend"
)

const greatest = 3 * time.Second

// TestGapLimit guards against a fast engine whose stalls are waited out for
// seconds, a slow one whose gaps are taken for stalls, and a limit that follows
// from too few or from old gaps.
func TestGapLimit(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for name, tc := range map[string]struct {
		gap      time.Duration
		count    int
		age      time.Duration
		from, to time.Duration
	}{
		"fast":                   {20 * time.Millisecond, 200, 0, 300 * time.Millisecond, 300 * time.Millisecond},
		"middle":                 {80 * time.Millisecond, 200, 0, 640 * time.Millisecond, 800 * time.Millisecond},
		"slow":                   {300 * time.Millisecond, 200, 0, 2400 * time.Millisecond, greatest},
		"beyond the fixed limit": {time.Minute, 200, 0, greatest, greatest},
		"few gaps":               {20 * time.Millisecond, 20, 0, greatest, greatest},
		"a while ago":            {20 * time.Millisecond, 200, 25 * time.Second, 300 * time.Millisecond, 300 * time.Millisecond},
		"long ago":               {20 * time.Millisecond, 200, 2 * time.Minute, greatest, greatest},
	} {
		t.Run(name, func(t *testing.T) {
			gaps := new(backend.GapTable).GetOrCreate(start, "engine-1")
			for range tc.count {
				gaps.Observe(start, tc.gap)
			}
			if got := gaps.IdleTimeout(start.Add(tc.age), greatest); got < tc.from || got > tc.to {
				t.Errorf("got %s, want %s to %s", got, tc.from, tc.to)
			}
		})
	}
}

// TestGapLimitFollows guards against a limit that stays short when an engine
// becomes slow, which would resume its streams over and over.
func TestGapLimitFollows(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	gaps := new(backend.GapTable).GetOrCreate(now, "engine-1")
	for range 1000 {
		gaps.Observe(now, 20*time.Millisecond)
	}
	for range 50 {
		gaps.Observe(now, 400*time.Millisecond)
	}
	if got := gaps.IdleTimeout(now, greatest); got != greatest {
		t.Errorf("got %s, want %s", got, greatest)
	}
}

// TestBackoff guards against a silent engine that gets resumes at the short limit.
func TestBackoff(t *testing.T) {
	sum := time.Duration(0)
	for silent := range 5 {
		sum += backend.Backoff(300*time.Millisecond, silent, greatest)
	}
	if want := 7500 * time.Millisecond; sum != want {
		t.Errorf("five waits take %s, want %s", sum, want)
	}
	if got := backend.Backoff(300*time.Millisecond, 1000, greatest); got != greatest {
		t.Errorf("got %s, want %s", got, greatest)
	}
}

// TestGapTable guards against memory held for engines that are gone, and
// against gaps lost while an engine is in use.
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
		t.Error("the gaps of an engine in use are forgotten")
	}
	if n := table.Engines(); n > 100 {
		t.Errorf("%d engines are held", n)
	}
}
