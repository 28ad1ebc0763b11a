package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
	"github.com/vanillaarch/vanillaarch/internal/wait"
)

const (
	// takeUpTime is the time from the end of a request for which its caller asks for the rest of a stream.
	// It is longer than all VMs are away at once.
	takeUpTime = 5 * time.Second
	// takeUpPause is the time until a caller asks for the rest of a stream that broke off, or again.
	takeUpPause = 250 * time.Millisecond
)

// takenUp is a stream of which a caller asks for the rest.
type takenUp struct {
	// first is the id of the request that brought its first event, version the software version of
	// that event.
	first, version string
	// last is the number of the last event that the caller has.
	last int
}

// brokenOff returns the stream whose response broke off, as far as its caller has it, or nil if the caller
// does not ask for the rest.
func (r *request) brokenOff() *takenUp {
	if r.kind != kindCheck || r.canceled || r.status != http.StatusOK || r.err == nil {
		return nil
	}
	events := userplatform.ParseEvents(r.body)
	switch {
	case len(events) == 0:
		return r.takesUp
	case r.takesUp == nil:
		return &takenUp{first: r.id, version: events[0].Version, last: len(events)}
	default:
		return &takenUp{first: r.takesUp.first, version: r.takesUp.version, last: r.takesUp.last + len(events)}
	}
}

// takeUp asks for the rest of the stream of a request as long as it breaks off, at one VM after the
// other, the next one first. It takes no value from the caller's source of random numbers, so that the
// requests of a seed stay the same.
func (c *caller) takeUp(ctx, faultCtx context.Context, r *request) {
	t := r.brokenOff()
	at := slices.Index(c.harness.vms, r.vm)
	for n := 1; t != nil && time.Since(r.done) < takeUpTime && wait.Sleep(faultCtx, takeUpPause); n++ {
		v := c.harness.vms[(at+n)%len(c.harness.vms)]
		x := &request{
			id: requestID(v, fmt.Sprintf("%s.up-%d", strings.ReplaceAll(r.id, ".", "-"), n)), kind: r.kind, vm: v, key: r.key, prompt: r.prompt,
			crashingPart: r.crashingPart, target: r.path(), crashes: r.crashes, takesUp: t,
		}
		c.transmit(ctx, x, callerTimeout)
		c.harness.check(x)
		c.harness.countTakeUp(x)
		if x.status == http.StatusOK {
			t = x.brokenOff()
		}
	}
}

// TakeUpSummary counts the requests for the rest of a stream that broke off.
type TakeUpSummary struct {
	// WentOn counts those that brought an event, Refused those with status 503 and a time to return.
	TakeUps, WentOn, Refused int
}

func (s TakeUpSummary) String() string {
	return fmt.Sprintf("%d, %d went on, %d refused with 503 and Retry-After", s.TakeUps, s.WentOn, s.Refused)
}

func (h *harness) countTakeUp(r *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.takeUps.TakeUps++
	switch {
	case r.status == http.StatusOK && len(userplatform.ParseEvents(r.body)) > 0:
		h.takeUps.WentOn++
	case r.status == http.StatusServiceUnavailable && r.returnable:
		h.takeUps.Refused++
	}
}

// checkVersions checks that the events of a stream are of one software version, those that its caller
// had before as well.
func (h *harness) checkVersions(r *request) {
	if !r.kind.streams() || r.status != http.StatusOK {
		return
	}
	events := userplatform.ParseEvents(r.body)
	if len(events) == 0 {
		return
	}
	began := events[0].Version
	if r.takesUp != nil {
		began = r.takesUp.version
	}
	for _, e := range events {
		if e.Version != began {
			h.violations.add(invariantOneVersion, "%s to %s: event %d is of %s, the first one of %s: %s", r.id, r.vm.name, e.ID, e.Version, began,
				describe(h.fleet.Executions(r.id)))
			return
		}
	}
}
