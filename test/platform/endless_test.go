package platform_test

import (
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// heapPeak returns the largest live heap until stop is closed. It collects
// garbage before each sample, so that garbage of earlier tests does not count.
func heapPeak(stop <-chan struct{}) uint64 {
	var peak uint64
	for {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapAlloc)
		select {
		case <-stop:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// Guards against backend servers that send an unbounded response head or body,
// which exhausted the memory of the VM and blocked callers until their deadline.
// Repeatable requests are served by other servers, non-repeatable ones run once,
// and no request that ran is reported as not run.
func TestBytesWithoutEnd(t *testing.T) {
	const (
		callers = 40
		// maxHeapBytes is a third of the memory of a VM of 120 MB, because the
		// garbage collector lets the heap double.
		maxHeapBytes = 40 << 20
		// maxDuration is below the request deadline of 20 s.
		maxDuration = 10 * time.Second
	)
	for name, fault := range map[string]userplatform.ServerFaults{"head": {EndlessHead: true}, "body": {EndlessBody: true}} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, options{vms: 1, engines: 2, plainServers: 2, events: 3, interval: time.Millisecond})
			s.plainServers[0].SetFaults(fault)
			s.engines[0].SetFaults(fault)
			stop, peak := make(chan struct{}), make(chan uint64)
			go func() { peak <- heapPeak(stop) }()
			begin := time.Now()
			var served, runs atomic.Int64
			var group sync.WaitGroup
			for i := range callers {
				a := []request{book(), look(), check()}[i%3]
				group.Go(func() {
					got := s.send(s.vms[0], a)
					if got.status == http.StatusOK && got.err == nil {
						served.Add(1)
					}
					ran := len(s.fleet.Runs(got.id))
					runs.Add(int64(ran))
					if a.path == book().path && ran > 1 {
						t.Errorf("a booking ran %d times", ran)
					}
					if ran > 0 && got.status == http.StatusServiceUnavailable {
						t.Errorf("%s ran but is reported as not run: %+v", a.path, got)
					}
				})
			}
			group.Wait()
			if took := time.Since(begin); took > maxDuration {
				t.Errorf("the requests took %v", took)
			}
			close(stop)
			if p := <-peak; p > maxHeapBytes {
				t.Errorf("live heap peaked at %d MB", p>>20)
			}
			if n := served.Load(); n < callers/2 {
				t.Errorf("only %d of %d requests were served", n, callers)
			}
		})
	}
}
