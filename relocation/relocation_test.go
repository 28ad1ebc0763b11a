package relocation

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// link copies a run of 3,500 tokens in 0.19 s.
var link = Link{BytesPerToken: 163_840, Mbps: 24_000}

// Guards against a wrong unit in the duration of a copy, and against a division
// by zero if the bandwidth is unknown.
func TestCopyTime(t *testing.T) {
	if d := link.CopyTime(3500); d < 185*time.Millisecond || d > 195*time.Millisecond {
		t.Errorf("3,500 tokens take %v, want about 190 ms", d)
	}
	if d := (Link{}).CopyTime(3500); d != 0 {
		t.Errorf("copy time %v without a bandwidth, want 0", d)
	}
}

// Guards against a plan that copies fewer runs than the time allows. An engine
// with eight runs of different sizes leaves 1.5 s after its notice.
func TestSmallRunsFirst(t *testing.T) {
	var runs []Run
	for i := range 8 {
		runs = append(runs, Run{ID: string(rune('a' + i)), Tokens: 5000 - 500*i})
	}
	fits := 0
	plan := Plan(runs, link, 1500*time.Millisecond)
	for _, o := range plan {
		if o.Fits {
			fits++
		}
	}
	if fits != 7 || plan["a"].Fits || plan["h"].CopyAt != 0 {
		t.Errorf("%d copies fit, want 7: %+v", fits, plan)
	}
}

// Guards against plans that depend on the order of runs in the report, omit a
// run, or start two copies at the same time.
func TestPlanIsTheSameOnEachVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,4}"), 0, 12, rapid.ID[string]).Draw(t, "ids")
		var runs []Run
		for _, id := range ids {
			runs = append(runs, Run{ID: id, Tokens: rapid.IntRange(0, 9000).Draw(t, "tokens")})
		}
		available := time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
		first := Plan(runs, link, available)
		second := Plan(rapid.Permutation(runs).Draw(t, "again"), link, available)
		starts := map[time.Duration]bool{}
		for _, r := range runs {
			o, ok := first[r.ID]
			if !ok || o != second[r.ID] || starts[o.CopyAt] || o.Fits && o.CopiedAt > available {
				t.Fatalf("planned %+v, and %+v from a permuted report", o, second[r.ID])
			}
			starts[o.CopyAt] = true
		}
	})
}
