package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against more retries of all VMs in a window than the limit allows. VMs
// know of fewer VMs than there are, and the load differs between them.
func TestSharedBudgetHoldsOverAllVMs(t *testing.T) {
	const ratio, slack, window = 0.2, 129.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "vms")
		vms := make([]*SharedBudget, n)
		for i := range vms {
			vms[i] = NewSharedBudget(ratio, slack, window)
			vms[i].SetVMs(max(n-rapid.IntRange(0, unknownVMs).Draw(t, "unknown"), 1))
		}
		type event struct {
			at    time.Duration
			retry bool
		}
		var events []event
		now := time.Hour
		for range rapid.IntRange(1, 1500).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond
			b := vms[rapid.IntRange(0, n-1).Draw(t, "vm")]
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				b.Request("s", now)
				events = append(events, event{now, false})
			} else if b.Take("s", now) {
				events = append(events, event{now, true})
			}
		}
		for i, first := range events {
			requests, retries := 0, 0
			for _, e := range events[i:] {
				if e.at-first.at >= window {
					break
				}
				if e.retry {
					retries++
				}
			}
			for _, e := range events { // The window and the one before it.
				if e.at >= first.at-window && e.at < first.at+window && !e.retry {
					requests++
				}
			}
			if float64(retries) > ratio*float64(requests)+slack {
				t.Fatalf("%d retries for %d requests in the window from %v", retries, requests, first.at)
			}
		}
	})
}

// Guards against a budget that is not refilled after a window, allows nothing, or
// is shared between services.
func TestSharedBudgetRefills(t *testing.T) {
	b := NewSharedBudget(0.2, 40, 10*time.Second)
	b.SetVMs(2)
	spend := func(now time.Duration) (n int) {
		for b.Take("s", now) {
			n++
		}
		return n
	}
	if n := spend(time.Hour); n != 8 { // 0.8 of 40, divided by 4 VMs: 2 known and 2 unknown
		t.Errorf("%d retries in the first window, want 8", n)
	}
	if n := spend(time.Hour + 5*time.Second); n != 0 {
		t.Errorf("%d more retries in the same window, want 0", n)
	}
	if n := spend(time.Hour + 11*time.Second); n != 8 {
		t.Errorf("%d retries in the next window, want 8", n)
	}
	if !b.Take("other", time.Hour) {
		t.Error("retries of one service are deducted from the budget of another")
	}
}
