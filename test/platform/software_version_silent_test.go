package platform_test

import (
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// Guards against streams of a VM that has just started which get no event while the store is silent: no call of
// the VM has failed when they begin, so that they wait for their records.
func TestStreamsBeginThoughTheStoreFallsSilentAfterAStart(t *testing.T) {
	s := newVersionSite(t, 2, 50*time.Millisecond, "aa")
	v := s.mustStartVM("late")
	s.eventually(5*time.Second, "the VM knows the engines", func() bool {
		snap := v.Snapshot()
		return snap.Routes != nil && len(snap.Backends) >= len(s.engines)
	})
	s.store.SetFaults(userplatform.StoreFaults{Silent: []string{v.Name}})
	var all sync.WaitGroup
	defer all.Wait()
	for range 15 {
		time.Sleep(100 * time.Millisecond)
		all.Go(func() {
			if _, err := s.beginStream(v, 1); err != nil { // It gives up after three seconds.
				t.Error(err)
			}
		})
	}
}
