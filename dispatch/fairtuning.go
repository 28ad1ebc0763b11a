package dispatch

import "time"

// Weights of the scorers in a routing decision.
const (
	freeMemoryWeight     = 1.0
	freeBatchSlotsWeight = 1.0
	cachedPrefixWeight   = 1.0
	// firstTokenLatencyWeight makes one second to the first token count like all of the
	// free memory.
	firstTokenLatencyWeight = 1.0
	// sameZoneWeight is the part of free memory that the zone is worth. The tokens
	// of a run in another zone cross between zones for as long as it lasts.
	sameZoneWeight = 0.6
)

// tuning holds the decisions that follow from the tenants' weights of the three metrics.
type tuning struct {
	// lengthQuantile of the remaining length at which streams count against a window.
	lengthQuantile float64
	// tokenRateFraction is the part of an engine's greatest token rate at which its
	// batch is limited.
	tokenRateFraction float64
	// maxWait is the expected wait beyond which a request is rejected instead of queued.
	maxWait time.Duration
}

// Bounds of the tuning. A high weight of preemptions counts streams at a longer
// remainder. A high weight of the gap between tokens limits batches, at the cost
// of queueing. A high weight of stall time rejects sooner.
const (
	minLengthQuantile, maxLengthQuantile       = 0.38, 0.98
	minTokenRateFraction, maxTokenRateFraction = 0.50, 0.80
	minWait, maxWait                           = 2500 * time.Millisecond, 3500 * time.Millisecond
)

// newTuning averages the weights over tenants by share.
func newTuning(shares []TenantShare) tuning {
	var stall, preemptions, gap float64
	for _, s := range shares {
		if total := s.StallTime + s.Preemptions + s.InterTokenLatency; total > 0 {
			stall += s.Share * s.StallTime / total
			preemptions += s.Share * s.Preemptions / total
			gap += s.Share * s.InterTokenLatency / total
		}
	}
	total := stall + preemptions + gap
	if total == 0 {
		stall, preemptions, gap, total = 1, 1, 1, 3
	}
	return tuning{
		lengthQuantile:    lerp(minLengthQuantile, maxLengthQuantile, preemptions/total),
		tokenRateFraction: lerp(maxTokenRateFraction, minTokenRateFraction, gap/total),
		maxWait:           time.Duration(lerp(float64(maxWait), float64(minWait), stall/total)),
	}
}

// lerp interpolates from low at 0 to high at 1.
func lerp(low, high, part float64) float64 { return low + (high-low)*part }
