package membership

import (
	"slices"
	"testing"
	"time"
)

// largeFleet is the size of a large deployment, designSize the one to design for.
const (
	largeFleet = 295
	designSize = 510
)

// suspectingSet returns how many running VMs suspect exactly the given ones, in any order.
func (w *network) suspectingSet(want []string) int {
	slices.Sort(want)
	return w.suspecting(want...)
}

// Guards against deaths that part of a large fleet does not hear of: a message
// holds 64 statuses, and a burst must not crowd out those that are told last.
// Pattern: 50 of 295 VMs die at the same moment, and a zone of 102 of 510.
func TestSimultaneousFailuresAreSuspectedByAll(t *testing.T) {
	for _, c := range []struct{ vms, deaths int }{{largeFleet, 50}, {designSize, 50}, {designSize, 102}} {
		w := newNetwork(c.vms)
		w.run(5 * time.Second)
		var dead []string
		for i := range c.deaths {
			id := w.ids[i*c.vms/c.deaths]
			w.frozen[id] = true
			dead = append(dead, id)
		}
		// Suspicion takes testSuspectAfter, and the news a few heartbeats.
		const limit = testSuspectAfter + 4*testHeartbeat
		w.run(limit)
		if got, alive := w.suspectingSet(dead), c.vms-c.deaths; got != alive {
			t.Errorf("%d VMs, %d dead: %d of %d know all after %v", c.vms, c.deaths, got, alive, limit)
		}
	}
}

// Guards against a fleet that stays divided after a cut, and against suspicions of
// VMs that were only unreachable. Pattern: 17 % of 295 VMs are cut off from the
// others for 5.5 s.
func TestPartitionHeals(t *testing.T) {
	w := newNetwork(largeFleet)
	w.run(5 * time.Second)
	part := largeFleet * 17 / 100
	for i, a := range w.ids {
		for j, b := range w.ids {
			if (i < part) != (j < part) {
				w.blocked[[2]string{a, b}] = true
			}
		}
	}
	w.run(5500 * time.Millisecond)
	clear(w.blocked)
	const limit = 2 * time.Second
	w.run(limit)
	if got := w.suspecting(); got != largeFleet {
		t.Errorf("%d of %d VMs suspect nobody %v after the cut", got, largeFleet, limit)
	}
}

// Guards against heartbeats that grow with the fleet when many VMs die or are
// cut off: each change is sent at once, and a hundred changes must not be a
// hundred messages. Pattern: 50 of 295 VMs die at the same moment.
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
		// A step of the network joins the changes that come together.
		if most := 4 * usual; n > most {
			t.Errorf("%s sent %d heartbeats in %v, want at most %d", id, n, span, most)
		}
	}
}
