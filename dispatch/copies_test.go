package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// Guards against runs that are lost because their copies are sent to the same engine
// and queue on its link. This happens when many engines leave at once and their runs
// move while newly joined engines have the most free memory. On quiet-1 of
// tilbod-fleet-large, 21 drafts were lost: their copies were planned to take 0.3 to
// 1.6 s and were incomplete when the source engines were gone.
func TestCopiesSpreadOverLinks(t *testing.T) {
	const (
		zones, engines, joined, moving = 4, 24, 2, 40
		// maxCopiesPerEngine is twice the mean.
		maxCopiesPerEngine = 2 * moving / engines
		// minInZoneFraction is the fraction of copies that must stay in the zone of
		// their source, since copies to other zones take twice as long.
		minInZoneFraction = 0.8
	)
	f := newTestFair()
	backends, zoneOf := zonedBackends(engines, zones)
	f.SetBackends(epoch, backends[joined:])
	now := epoch
	for i := range uint64(engines * 4) {
		now = now.Add(100 * time.Millisecond)
		r := request(i, "c")
		r.PromptTokens = 3000
		if err := f.Submit(now, r); err != nil {
			t.Fatal(err)
		}
		for _, g := range f.Next(now) {
			f.Progress(now.Add(50*time.Millisecond), g.Request, 1)
		}
	}
	f.SetBackends(now, backends)
	perEngine, inZone := map[string]int{}, 0
	for i := range uint64(moving) {
		r := request(1000+i, "c")
		r.PromptTokens, r.Resumed, r.Zone = 4000, true, fmt.Sprintf("z%d", i%zones)
		if err := f.Submit(now, r); err != nil {
			t.Fatalf("no engine has capacity for copy %d: %v", i, err)
		}
		for _, g := range f.Next(now) {
			perEngine[g.Backend]++
			if zoneOf[g.Backend] == r.Zone {
				inZone++
			}
		}
	}
	if inZoneFraction := float64(inZone) / moving; inZoneFraction < minInZoneFraction {
		t.Errorf("fraction of copies in their zone is %.2f, want at least %.2f", inZoneFraction, minInZoneFraction)
	}
	t.Logf("copies per engine: %v", perEngine)
	for id, n := range perEngine {
		if n > maxCopiesPerEngine {
			t.Errorf("%d of %d copies were placed on %s, want at most %d", n, moving, id, maxCopiesPerEngine)
		}
	}
}
