package platform_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// Guards against interrupting a slow but healthy stream, and against a stalled
// stream that never ends because it still sends occasional bytes. A stalled
// stream must end at the deadline of its request, without looking complete, after
// a single run.
func TestSlowStreamsLastAndStalledOnesEnd(t *testing.T) {
	const (
		events   = 6
		interval = 450 * time.Millisecond
		deadline = 4 * time.Second
		// tolerance is the permitted difference between the end of a stalled
		// stream and its deadline.
		tolerance = 500 * time.Millisecond
	)
	s := newSite(t, options{vms: 1, engines: 1, events: events, interval: interval})
	a := draft()
	a.header["Deadline-Ms"] = strconv.FormatInt(deadline.Milliseconds(), 10)
	if err := checkStream(s.send(s.vms[0], a), events); err != nil {
		t.Errorf("slow stream: %v", err)
	}
	s.engines[0].SetFaults(userplatform.ServerFaults{TrickleAfter: 2})
	begin := time.Now()
	got := s.send(s.vms[0], a)
	if took := time.Since(begin); took < deadline-tolerance || took > deadline+tolerance {
		t.Errorf("the stalled stream ended after %v, its deadline is %v", took, deadline)
	}
	if got.status != http.StatusOK || got.err == nil {
		t.Errorf("the stalled stream looks complete: %+v", got)
	}
	if runs := s.fleet.Runs(got.id); len(runs) != 1 {
		t.Errorf("it ran on %v", runs)
	}
}
