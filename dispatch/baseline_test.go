package dispatch

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// Guards against baseline VMs that share state, exceed the fixed stream limit of an
// engine, or serve requests out of order. Each of these would invalidate every ratio
// to the baseline.
func TestBaselineVMsDecideAlone(t *testing.T) {
	now := time.Time{}
	b := NewBaselineWith(BaselineOptions{VMs: 4, StreamLimit: 6, QueueLimit: 3})
	submit := func(n int, excluded ...string) error {
		return b.Submit(now, Request{ID: RequestID{Sequence: uint64(n)}, AdmissionRequest: AdmissionRequest{Organisation: "o", Excluded: excluded}})
	}
	var none *NoBackendError
	if err := submit(0); !errors.As(err, &none) {
		t.Fatalf("Submit without engines: %v", err)
	}
	b.SetBackends(now, []Backend{{ID: "e1"}, {ID: "e2"}})
	byEngine, granted := map[string]int{}, map[uint64]string{}
	for n := 1; n <= 24; n++ {
		if err := submit(n); err != nil {
			t.Fatal(err)
		}
		for _, g := range b.Next(now) {
			byEngine[g.Backend]++
			granted[g.Request.Sequence] = g.Backend
		}
	}
	// Each VM may use 1 or 2 of the 6 streams of an engine, 3 in total on both engines.
	if byEngine["e1"] != 6 || byEngine["e2"] != 6 || b.Waiting()["o"] != 12 {
		t.Fatalf("granted %v, waiting %v", byEngine, b.Waiting())
	}
	var full *QueueFullError
	if err := submit(25); !errors.As(err, &full) {
		t.Fatalf("Submit with 3 requests waiting on each VM: %v", err)
	}
	// Requests 2 and 14 are on the same VM, so finishing 2 admits only 14.
	b.Finish(now, RequestID{Sequence: 2}, 10)
	grants := b.Next(now)
	if len(grants) != 1 || grants[0].Request.Sequence != 14 || grants[0].Backend != granted[2] || grants[0].Priority != 0 {
		t.Fatalf("grants after request 2 finished on %s: %+v", granted[2], grants)
	}
	b.Withdraw(now, RequestID{Sequence: 18})
	b.Finish(now, RequestID{Sequence: 14}, 10)
	if grants := b.Next(now); len(grants) != 1 || grants[0].Request.Sequence != 22 {
		t.Fatalf("grants after request 18 was withdrawn: %+v", grants)
	}
	if err := submit(26, "e1", "e2"); !errors.As(err, &none) {
		t.Fatalf("Submit with both engines excluded: %v", err)
	}
}
