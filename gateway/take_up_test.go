package gateway

import (
	"fmt"
	"testing"

	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/route"
)

// Guards against a stream that is taken up at another service of a split route than the one that began
// it: its new request has another id, by which the split is decided.
func TestTakenUpStreamStaysAtItsService(t *testing.T) {
	split := &route.Route{Targets: []route.Target{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	target := func(info edge.RequestInfo) string { return (&call{route: split, info: info}).pickTarget() }
	services := map[string]int{}
	for i := range 64 {
		first := fmt.Sprintf("first-%d", i)
		service := target(edge.RequestInfo{ID: first})
		services[service]++
		if got := target(edge.RequestInfo{ID: fmt.Sprintf("again-%d", i), Resumes: first, LastEvent: "3"}); got != service {
			t.Errorf("%s began at %s and is taken up at %s", first, service, got)
		}
	}
	if services["a"] == 0 || services["b"] == 0 {
		t.Errorf("no split: %v", services)
	}
}
