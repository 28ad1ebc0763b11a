package dispatch

import "time"

// Weights of the scorers in a routing decision.
const (
	freeMemoryWeight     = 1.0
	freeBatchSlotsWeight = 1.0
	cachedPrefixWeight   = 1.0
	// firstTokenLatencyWeight makes one second of time to first token count as much as
	// all of an engine's memory being free.
	firstTokenLatencyWeight = 1.0
	// warmWeight is the fraction of free memory that a warm engine may have less than a cold
	// one and be chosen. It is small, so that only engines of about equal load differ by it.
	warmWeight = 0.1
	// sameZoneWeight is the fraction of free memory that running in the preferred zone
	// is worth. The tokens of a run in another zone cross zones for the whole duration
	// of the run.
	sameZoneWeight = 0.6
	// runTimeWeight makes ten seconds by which a run takes longer on an engine than at the
	// mean speed count as much as all of an engine's memory being free.
	runTimeWeight = 0.1
)

// tuning holds the policy parameters that are derived from the tenants' weights of the
// three metrics.
type tuning struct {
	// lengthQuantile is the quantile of the remaining length that is used to project
	// the memory of streams.
	lengthQuantile float64
	// tokenRateFraction limits the batch size of an engine: it is the fraction of the
	// engine's maximum token rate that the batch may reach.
	tokenRateFraction float64
	// maxWait is the expected wait above which a request is rejected instead of
	// queued.
	maxWait time.Duration
}

// Bounds of the tuning. A higher weight of preemptions projects streams at a longer
// remaining length. A higher weight of inter-token latency limits batches, at the cost
// of queueing. A higher weight of stall time rejects requests sooner.
const (
	minLengthQuantile, maxLengthQuantile       = 0.38, 0.98
	minTokenRateFraction, maxTokenRateFraction = 0.50, 0.80
	minWait, maxWait                           = 2500 * time.Millisecond, 3500 * time.Millisecond
)

// newTuning averages the weights over the tenants, weighted by share.
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

// lerp interpolates linearly from low at 0 to high at 1.
func lerp(low, high, fraction float64) float64 { return low + (high-low)*fraction }
