package platform_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// Guards against an engine that resets each run, while its reports and entry say
// that it is well, and that gets its part of the work or more on all VMs. It may
// cost the two runs that show it, one granted meanwhile, and the trials after 1
// and 3 s. It gets work again once it serves.
func TestEngineThatResetsRunsLosesItsWork(t *testing.T) {
	const (
		requests = 120
		pause    = 25 * time.Millisecond
		maxLost  = 5
	)
	s := newSite(t, options{vms: 3, engines: 4, events: 2, interval: 5 * time.Millisecond})
	s.engines[0].SetFaults(userplatform.ServerFaults{Reset: true})
	// The next request after a loss goes to another VM, so that two see it.
	lost, at := 0, 0
	for range requests {
		if got := s.send(s.vms[at%len(s.vms)], draft()); got.status != http.StatusOK {
			lost++
			at++
		}
		time.Sleep(pause)
	}
	t.Logf("%d of %d requests lost", lost, requests)
	if lost == 0 || lost > maxLost {
		t.Errorf("%d of %d requests lost, want 1 to %d", lost, requests, maxLost)
	}
	s.engines[0].SetFaults(userplatform.ServerFaults{})
	last := s.engines[0].LastArrival()
	s.eventually(10*time.Second, "the engine gets work again", func() bool {
		s.send(s.vms[0], draft())
		return s.engines[0].LastArrival() != last
	})
}
