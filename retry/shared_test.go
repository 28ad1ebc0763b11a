package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against VMs that together spend more repeats in a window than the
// bound, while VMs come and go and the load differs between them.
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
			for _, e := range events { // The window or the one before, whichever has more.
				if e.at >= first.at-window && e.at < first.at+window && !e.retry {
					requests++
				}
			}
			if float64(retries) > ratio*float64(requests)+slack {
				t.Fatalf("%d repeats for %d requests from %v", retries, requests, first.at)
			}
		}
	})
}

// Guards against a budget that never refills, or allows nothing at all.
func TestSharedBudgetRefills(t *testing.T) {
	b := NewSharedBudget(0.2, 40, 10*time.Second)
	b.SetVMs(2)
	spend := func(now time.Duration) (n int) {
		for b.Take("s", now) {
			n++
		}
		return n
	}
	if n := spend(time.Hour); n != 8 { // 0.8 of 40 by 4 VMs
		t.Errorf("%d repeats at first", n)
	}
	if n := spend(time.Hour + 5*time.Second); n != 0 {
		t.Errorf("%d repeats within the window", n)
	}
	if n := spend(time.Hour + 11*time.Second); n != 8 {
		t.Errorf("%d repeats in the next window", n)
	}
	if !b.Take("other", time.Hour) {
		t.Error("services share a budget")
	}
}
