package soak

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Limits that servers name in their answers.
const (
	minLimitPerS, maxLimitPerS = 0.5, 20
	// minLimitTime is the shortest time for which a server names a limit. The rule applies
	// from contactBound on.
	minLimitTime = contactBound + 500*time.Millisecond
)

// nameLimit makes one server name a limit for a while.
func (h *harness) nameLimit(r *rand.Rand, d time.Duration) {
	h.nameLimitsOf(r, []*server{h.pickServer(r, false)}, d)
}

// nameLimits makes several servers of a service name limits, at times all of them.
func (h *harness) nameLimits(r *rand.Rand, d time.Duration) {
	h.nameLimitsOf(r, h.severalServers(r), d)
}

// nameLimitsOf makes servers name a limit, and at times another one afterwards, or the same
// one again after a break.
func (h *harness) nameLimitsOf(r *rand.Rand, servers []*server, d time.Duration) {
	same := r.IntN(2) == 0
	name := func() { h.setLimits(servers, randomLimits(r, len(servers), same)) }
	defer h.setLimits(servers, nil)
	name()
	h.sleepDuringFaults(minLimitTime + d/2)
	switch r.IntN(3) {
	case 0:
		name()
	case 1:
		h.setLimits(servers, nil)
		h.sleepDuringFaults(d / 2)
		name()
	default:
		return
	}
	h.sleepDuringFaults(minLimitTime + d/2)
}

// sleepDuringFaults waits for a time, but no longer than faults are injected.
func (h *harness) sleepDuringFaults(d time.Duration) {
	time.Sleep(min(d, time.Until(h.started.Add(h.opts.Duration))))
}

// randomLimits returns rates whose logarithms are evenly distributed, all the same if same
// is set.
func randomLimits(r *rand.Rand, n int, same bool) []string {
	out := make([]string, n)
	for i := range out {
		rate := minLimitPerS * math.Pow(maxLimitPerS/minLimitPerS, r.Float64())
		out[i] = strconv.FormatFloat(rate, 'f', 1, 64)
		if same {
			out[i] = out[0]
		}
	}
	return out
}

// setLimits makes each server name its limit, or none if limits is nil.
func (h *harness) setLimits(servers []*server, limits []string) {
	for i, x := range servers {
		if limits == nil {
			h.recordFault("%s names no limit", x.ID())
			x.SetLimit()
			continue
		}
		h.recordFault("%s names a limit of %s requests a second", x.ID(), limits[i])
		x.SetLimit(limits[i])
		h.recordLimited(x)
	}
}

func (h *harness) recordLimited(x *server) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !slices.Contains(h.limited, x) {
		h.limited = append(h.limited, x)
	}
}
