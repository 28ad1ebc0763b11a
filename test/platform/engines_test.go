package platform_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// Guards against an engine that resets every run but keeps its full share of the
// requests on all VMs, because its reports and entry show it as healthy. It may
// fail the two runs that reveal the fault, one granted in the meantime, and the
// probes after 1 and 3 s. It gets requests again once it serves.
func TestEngineThatResetsRunsLosesItsWork(t *testing.T) {
	const (
		requests = 120
		pause    = 25 * time.Millisecond
		maxLost  = 5
	)
	s := newSite(t, options{vms: 3, engines: 4, events: 2, interval: 5 * time.Millisecond})
	s.engines[0].SetFaults(userplatform.ServerFaults{Reset: true})
	// Each failure moves the next request to another VM, so that two VMs see the fault.
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
	s.eventually(10*time.Second, "the engine gets requests again", func() bool {
		s.send(s.vms[0], draft())
		return s.engines[0].LastArrival() != last
	})
}

// Guards against engines that are taken out of use, on a VM that asked each of them in turn,
// since a caller expects other weights than they have. They answer as if another server had
// their address.
func TestCallerThatExpectsOtherWeightsTakesNoEngineOut(t *testing.T) {
	const events = 5
	s := newSite(t, options{vms: 1, engines: 3, events: events, interval: 5 * time.Millisecond})
	vm := s.vms[0]
	for _, a := range []request{check(), draft()} {
		a.header["Expect-Version"] = "2"
		if r := s.send(vm, a); r.err != nil || r.status != http.StatusServiceUnavailable {
			t.Errorf("%s for other weights: status %d, %v", a.path, r.status, r.err)
		}
		a.header["Expect-Version"] = userplatform.WeightsVersion
		if err := checkStream(s.send(vm, a), events); err != nil {
			t.Errorf("%s for the right weights: %v", a.path, err)
		}
	}
	for range 20 {
		for _, a := range []request{check(), draft()} {
			if err := checkStream(s.send(vm, a), events); err != nil {
				t.Error(err)
			}
		}
	}
}
