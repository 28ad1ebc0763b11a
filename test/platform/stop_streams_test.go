package platform_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/config"
)

// Guards against streams that a stopping VM takes since it expects engines to be faster than
// they are: they are passed on and cut at the end of the grace period. Streams that were taken
// before the stop show how fast the engines are.
func TestStopTakesNoStreamThatItWouldCut(t *testing.T) {
	for _, test := range []struct {
		name             string
		prompt, interval time.Duration
	}{
		{name: "slow prompts", prompt: 4200 * time.Millisecond, interval: 15 * time.Millisecond},
		{name: "slow tokens", interval: 120 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			stopBesideSlowEngines(t, test.prompt, test.interval)
		})
	}
}

// stopBesideSlowEngines sends streams late in a stop. They take 4.8 s. By the least that a stop
// expects, 160 tokens take 4.1 s, for which the VM has time.
func stopBesideSlowEngines(t *testing.T, prompt, interval time.Duration) {
	const (
		grace = 8 * time.Second
		// late is when the streams are sent. No sentence of the users excuses a cut of streams
		// that come later than 3 s after the signal.
		late    = 3100 * time.Millisecond
		callers = 6
		events  = 40
	)
	s := newSite(t, options{
		vms: 1, engines: 2, events: events, interval: interval, bounds: func(b *config.Bounds) { b.Grace = grace },
	})
	s.fleet.SetPromptTime(prompt, false)
	vm := s.vms[0]
	stream := check()
	stream.header["Token-Count"] = "3000,160"
	if err := checkStream(s.send(vm, stream), events); err != nil {
		t.Fatal(err)
	}
	vm.Stop()
	time.Sleep(late)
	results := make(chan response, callers)
	for range callers {
		go func() { results <- s.send(vm, stream) }()
	}
	for range callers {
		r := <-results
		runs := s.fleet.Runs(r.id)
		switch {
		case r.err == nil && r.status == http.StatusServiceUnavailable && len(runs) == 0:
		case checkStream(r, events) == nil:
		default:
			t.Errorf("%s ran on %v: status %d, %v, %d bytes", r.id, runs, r.status, r.err, len(r.body))
		}
	}
	<-vm.Done
}
