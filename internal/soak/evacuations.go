package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// Evacuations of availability zones. Servers are in two zones if evacuations are allowed.
const (
	// ownZone is the zone of the VMs.
	ownZone     = "z"
	foreignZone = "y"
	// evacuationBound is the time after which an evacuated zone gets no request, outerBound what is
	// added to it if the store or a VM had a fault meanwhile.
	evacuationBound = 5 * time.Second
	outerBound      = 6 * time.Second
	// maxEvacuations is the largest number of evacuations in a seed.
	maxEvacuations                       = 2
	minEvacuationTime, maxEvacuationTime = 4 * time.Second, 14 * time.Second
)

// zoneEvacuations is a fault that is drawn apart from all others, so that the other faults of a seed
// do not depend on it.
var zoneEvacuations = fault{name: "zone evacuated", apply: (*harness).evacuateZone}

// evacuationsOf draws the evacuations of a seed.
func evacuationsOf(seed uint64, length time.Duration, kinds []fault) []fault {
	if !hasKind(kinds, zoneEvacuations) {
		return nil
	}
	r := rand.New(rand.NewPCG(seed, 4))
	n := r.IntN(maxEvacuations + 1)
	if len(kinds) == 1 {
		n = maxEvacuations
	}
	var out []fault
	for range n {
		out = append(out, zoneEvacuations.draw(r, length, minEvacuationTime, maxEvacuationTime))
	}
	return out
}

// zoneOf returns the zone of the nth server. All are in that of the VMs if the seed has no evacuation.
func (h *harness) zoneOf(n int) string {
	if n%2 == 0 && len(evacuationsOf(h.opts.Seed, h.opts.Duration, h.kinds)) > 0 {
		return foreignZone
	}
	return ownZone
}

// evacuateZone evacuates a zone for a time, unless it is evacuated.
func (h *harness) evacuateZone(r *rand.Rand, d time.Duration) {
	zone := []string{ownZone, foreignZone}[r.IntN(2)]
	if !h.claimZone(zone) {
		return
	}
	h.recordFault("zone %s is evacuated", zone)
	defer h.faults.begin(scopeServers)()
	end := h.store.Evacuate(zone)
	time.Sleep(d)
	end()
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.evacuatedZones, zone)
}

// claimZone reports whether a zone is not evacuated, and records that it will be.
func (h *harness) claimZone(zone string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.evacuatedZones[zone] {
		return false
	}
	if h.evacuatedZones == nil {
		h.evacuatedZones = map[string]bool{}
	}
	h.evacuatedZones[zone] = true
	return true
}

// EvacuationSummary describes the requests that reached evacuated zones.
type EvacuationSummary struct {
	Evacuations int
	// After holds the times from the orders to the requests. Those of disturbed VMs are excused.
	After DurationSummary
}

func (s EvacuationSummary) String() string {
	return fmt.Sprintf("%d, requests after the orders: %v", s.Evacuations, s.After)
}

// evacuationClasses are the upper bounds of the histogram of EvacuationSummary.
var evacuationClasses = []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, evacuationBound}

// checkEvacuations checks that evacuated zones get no request. All times are read from one clock.
func (h *harness) checkEvacuations(exchanges []userplatform.Exchange) {
	evacuations := h.store.Evacuations()
	h.evacuations = EvacuationSummary{Evacuations: len(evacuations), After: newDurationSummary(evacuationClasses)}
	for _, late := range userplatform.LateArrivals(evacuations, exchanges, 0) {
		x, from := late.Exchange, late.Evacuation.From
		after, bound := x.ArrivedAt.Sub(from), evacuationBound
		disturbed := h.faults.active(from, x.ArrivedAt, scopeStore, scopeVM(x.VM))
		if disturbed {
			bound += outerBound
		}
		h.evacuations.After.add(after, disturbed)
		if after > bound {
			h.violations.add(invariantEvacuation, "%s from %s reached %s of zone %s %v after the order, status %d", x.Request, x.VM, x.Server,
				x.Zone, after.Round(time.Millisecond), x.Status)
		}
	}
}
