package membership

import (
	"slices"
	"testing"
	"time"
)

const (
	// largeFleet is the number of VMs of a large deployment.
	largeFleet = 295
	// designSize is the number of VMs for which the system is designed.
	designSize = 510
)

// suspectingSet returns how many running VMs suspect exactly the given ones, in
// any order.
func (w *network) suspectingSet(want []string) int {
	slices.Sort(want)
	return w.suspecting(want...)
}

// Guards against failures that some VMs of a large fleet never learn of: a
// message holds 64 statuses, and a burst of failures must not starve the statuses
// that do not fit. Scenarios: 50 of 295 VMs, 50 of 510 VMs, and an availability
// zone of 102 of 510 VMs fail at the same time.
func TestSimultaneousFailuresAreSuspectedByAll(t *testing.T) {
	for _, c := range []struct{ vms, failures int }{{largeFleet, 50}, {designSize, 50}, {designSize, 102}} {
		w := newNetwork(c.vms)
		w.run(5 * time.Second)
		var failed []string
		for i := range c.failures {
			id := w.ids[i*c.vms/c.failures]
			w.frozen[id] = true
			failed = append(failed, id)
		}
		// A suspicion takes testSuspectAfter, its dissemination a few heartbeats.
		const limit = testSuspectAfter + 4*testHeartbeat
		w.run(limit)
		if got, running := w.suspectingSet(failed), c.vms-c.failures; got != running {
			t.Errorf("%d VMs, %d failed: %d of %d suspect all failed VMs after %v", c.vms, c.failures, got, running, limit)
		}
	}
}

// Guards against VMs that still suspect each other after a network partition has
// healed, although they were only unreachable. Scenario: 17 % of 295 VMs are
// partitioned from the others for 5.5 s.
func TestPartitionHeals(t *testing.T) {
	w := newNetwork(largeFleet)
	w.run(5 * time.Second)
	minority := largeFleet * 17 / 100
	for i, a := range w.ids {
		for j, b := range w.ids {
			if (i < minority) != (j < minority) {
				w.blocked[[2]string{a, b}] = true
			}
		}
	}
	w.run(5500 * time.Millisecond)
	clear(w.blocked)
	const limit = 2 * time.Second
	w.run(limit)
	if got := w.suspecting(); got != largeFleet {
		t.Errorf("%d of %d VMs have no suspects %v after the partition healed", got, largeFleet, limit)
	}
}

// Guards against a number of heartbeats that grows with the fleet when many VMs
// fail or are partitioned: each change is sent immediately, and 100 changes must
// not cause 100 messages. Scenario: 50 of 295 VMs fail at the same time.
func TestFailureBurstSendsBoundedHeartbeats(t *testing.T) {
	const span = 10 * time.Second
	w := newNetwork(largeFleet)
	w.run(5 * time.Second)
	for i := range 50 {
		w.frozen[w.ids[i*largeFleet/50]] = true
	}
	clear(w.sent)
	w.run(span)
	usual := int(span/testHeartbeat) * 4
	for id, n := range w.sent {
		// Changes that arrive in the same step are sent in one heartbeat.
		if limit := 4 * usual; n > limit {
			t.Errorf("%s sent %d heartbeats in %v, want at most %d", id, n, span, limit)
		}
	}
}
