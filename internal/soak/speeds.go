package soak

import (
	"math/rand/v2"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// Servers whose speed changes.
const (
	// One seed in seedsPerSpeedFault has such servers, from the first part of the run on.
	seedsPerSpeedFault  = 2
	speedFaultBeginPart = 4
	speedFaultDuration  = 12 * time.Second
	// minSpeedTime and maxSpeedTime bound the time for which a server keeps a speed.
	minSpeedTime, maxSpeedTime = 20 * time.Millisecond, 200 * time.Millisecond
	speedsPerServer            = 16
	minSlowdown, maxSlowdown   = 0.7, 12
	// maxSafeRuns is the number of servers that may run a safe call: maxAttempts of its route.
	maxSafeRuns = 2
)

// speedChanges is a fault that is drawn apart from all others, so that the other faults of a seed
// do not depend on it.
var speedChanges = fault{name: "servers change their speed", apply: (*harness).changeSpeeds}

// speedFaultsOf draws the servers of a seed that change their speed. A run that is restricted to
// some faults has them if they are among these.
func speedFaultsOf(seed uint64, length time.Duration, kinds []fault) []fault {
	r := rand.New(rand.NewPCG(seed, 5))
	if !hasKind(kinds, speedChanges) || len(kinds) > len(faultKinds) && r.IntN(seedsPerSpeedFault) > 0 {
		return nil
	}
	f := speedChanges
	f.at, f.seed, f.duration = time.Duration(r.Int64N(int64(length/speedFaultBeginPart))), r.Uint64(), speedFaultDuration
	return []fault{f}
}

// changeSpeeds makes the plain servers change their speed, and report it, for a while.
func (h *harness) changeSpeeds(r *rand.Rand, d time.Duration) {
	h.mu.Lock()
	servers := h.serversOfKind(false)
	h.mu.Unlock()
	for _, x := range servers {
		speeds := randomSpeeds(r)
		h.recordFault("%s changes its speed every %v", x.ID(), speeds.Every.Round(time.Millisecond))
		x.SetSpeeds(speeds)
		defer x.SetSpeeds(nil)
	}
	h.sleepDuringFaults(d)
}

func randomSpeeds(r *rand.Rand) *userplatform.Speeds {
	s := &userplatform.Speeds{Every: uniform(r, minSpeedTime, maxSpeedTime)}
	for range speedsPerServer {
		// Most work takes about the usual time.
		part := r.Float64()
		s.Slowdowns = append(s.Slowdowns, minSlowdown+(maxSlowdown-minSlowdown)*part*part*part)
	}
	return s
}

// checkSafeRuns checks that a safe call ran on no more servers than its route allows, whether it
// was repeated or sent to two servers at once.
func (h *harness) checkSafeRuns(r *request, runs []string) {
	if !r.kind.streams() && !r.kind.runsOnce() && len(runs) > maxSafeRuns {
		h.violations.add(invariantAttempts, "%s to %s ran on %v", r.id, r.vm.name, runs)
	}
}
