// Package scheduling selects the engine that runs a request, using filters, scorers
// and a picker.
package scheduling

import (
	"slices"
	"time"
)

// Request holds the properties of a request that the selection depends on.
type Request struct {
	// Prefix holds the chained hashes of the prompt's blocks.
	Prefix []uint64
	// Zone is preferred, "" if none is.
	Zone string
	// Excluded lists engines that must not run the request.
	Excluded []string
	// AvoidFailing is set if engines whose last outcome is a failure must not run the request.
	AvoidFailing bool
	// AvoidSlow is set if engines that are slower than the mean must not run the request.
	AvoidSlow bool
}

// Candidate is an engine that may be selected.
type Candidate struct {
	ID   string
	Zone string
	// Handle identifies the engine to the caller.
	Handle int
	// Free is the projected free fraction of memory with the request admitted. It is
	// negative if the request does not fit.
	Free float64
	// Streams and StreamLimit are the current batch size and its limit.
	Streams, StreamLimit int
	// PrefixBlocks is the number of leading prompt blocks that the engine has cached.
	PrefixBlocks int
	// TimeToFirstToken is the expected time to the first token of the request,
	// including the prompts that the engine still has to process before it.
	TimeToFirstToken time.Duration
	// Prefilling is set while the engine processes the prompt of an earlier request.
	Prefilling bool
	// Suspended is set while the engine must not get runs because it failed others.
	Suspended bool
	// Failing is set while the last outcome of the engine is a recent failure.
	Failing bool
	// Slow is set if the engine takes longer for a token than the mean of its pool.
	Slow bool
	// ExtraRunTime is how much longer than at the mean the tokens of the request are
	// expected to take. It is negative for a faster engine.
	ExtraRunTime time.Duration
	// Cold is set while the engine takes few requests, ColdFull while it has got those of the
	// moment.
	Cold, ColdFull bool
}

// Filter removes engines that cannot run a request.
type Filter interface {
	Keep(r *Request, c *Candidate) bool
}

// Scorer rates an engine for a request. Higher is better.
type Scorer interface {
	Score(r *Request, c *Candidate) float64
}

// Picker selects one of the scored engines. It returns the engine's index, or -1 if
// there is none.
type Picker interface {
	Pick(candidates []Candidate, scores []float64) int
}

// WeightedScorer is a scorer with its weight.
type WeightedScorer struct {
	Scorer
	Weight float64
}

// Chain applies filters, a weighted sum of scorers, and a picker. It is not safe for
// concurrent use.
type Chain struct {
	Filters  []Filter
	Scorers  []WeightedScorer
	Picker   Picker
	eligible []Candidate
	scores   []float64
}

// Choose returns the selected candidate, or false if no candidate passes the filters.
func (c *Chain) Choose(r *Request, candidates []Candidate) (Candidate, bool) {
	c.eligible, c.scores = c.eligible[:0], c.scores[:0]
	for i := range candidates {
		if !c.Eligible(r, &candidates[i]) {
			continue
		}
		score := 0.0
		for _, s := range c.Scorers {
			score += s.Weight * s.Score(r, &candidates[i])
		}
		c.eligible = append(c.eligible, candidates[i])
		c.scores = append(c.scores, score)
	}
	best := c.Picker.Pick(c.eligible, c.scores)
	if best < 0 {
		return Candidate{}, false
	}
	return c.eligible[best], true
}

// Eligible reports whether a candidate passes the filters.
func (c *Chain) Eligible(r *Request, candidate *Candidate) bool {
	for _, f := range c.Filters {
		if !f.Keep(r, candidate) {
			return false
		}
	}
	return true
}

// NotExcluded removes engines on the request's exclusion list.
type NotExcluded struct{}

// Keep implements Filter.
func (NotExcluded) Keep(r *Request, c *Candidate) bool { return !slices.Contains(r.Excluded, c.ID) }

// NotSuspended removes engines that an OutlierDetector has suspended.
type NotSuspended struct{}

// Keep implements Filter.
func (NotSuspended) Keep(_ *Request, c *Candidate) bool { return !c.Suspended }

// NotFailing removes engines whose last outcome is a failure from requests that avoid them.
type NotFailing struct{}

// Keep implements Filter.
func (NotFailing) Keep(r *Request, c *Candidate) bool { return !r.AvoidFailing || !c.Failing }

// NotSlow removes slow engines from requests that avoid them.
type NotSlow struct{}

// Keep implements Filter.
func (NotSlow) Keep(r *Request, c *Candidate) bool { return !r.AvoidSlow || !c.Slow }

// NotColdFull removes cold engines that take no request at the moment.
type NotColdFull struct{}

// Keep implements Filter.
func (NotColdFull) Keep(_ *Request, c *Candidate) bool { return !c.ColdFull }

// Warm scores by whether the engine is cold. The score of a warm engine is 0, so that it
// changes nothing where no engine is cold.
type Warm struct{}

// Score implements Scorer.
func (Warm) Score(_ *Request, c *Candidate) float64 {
	if c.Cold {
		return -1
	}
	return 0
}

// HasCapacity removes engines whose projected memory is exhausted or that have reached
// their stream limit. An idle engine always passes, so that a request of any size
// makes progress.
type HasCapacity struct{}

// Keep implements Filter.
func (HasCapacity) Keep(_ *Request, c *Candidate) bool {
	return c.Streams == 0 || (c.Free >= 0 && c.Streams < c.StreamLimit)
}

// NotPrefilling removes engines that are processing the prompt of an earlier request.
// Several prompts in one step would increase the gap between tokens of all streams of
// the engine.
type NotPrefilling struct{}

// Keep implements Filter.
func (NotPrefilling) Keep(_ *Request, c *Candidate) bool { return c.Streams == 0 || !c.Prefilling }

// FreeMemory scores by projected free memory.
type FreeMemory struct{}

// Score implements Scorer.
func (FreeMemory) Score(_ *Request, c *Candidate) float64 { return c.Free }

// FreeBatchSlots scores by the free fraction of the batch.
type FreeBatchSlots struct{}

// Score implements Scorer.
func (FreeBatchSlots) Score(_ *Request, c *Candidate) float64 {
	return 1 - float64(c.Streams)/float64(max(c.StreamLimit, 1))
}

// CachedPrefix scores by the fraction of the prompt that is cached.
type CachedPrefix struct{}

// Score implements Scorer.
func (CachedPrefix) Score(r *Request, c *Candidate) float64 {
	if len(r.Prefix) == 0 {
		return 0
	}
	return float64(c.PrefixBlocks) / float64(len(r.Prefix))
}

// FirstTokenLatency scores by the expected time to the first token, in seconds. An
// engine processes prompts one after another, so many runs granted to an empty engine
// would queue behind each other.
type FirstTokenLatency struct{}

// Score implements Scorer.
func (FirstTokenLatency) Score(_ *Request, c *Candidate) float64 {
	return -c.TimeToFirstToken.Seconds()
}

// RunTime scores by the additional time that the run takes because of the engine's speed,
// in seconds.
type RunTime struct{}

// Score implements Scorer.
func (RunTime) Score(_ *Request, c *Candidate) float64 { return -c.ExtraRunTime.Seconds() }

// SameZone prefers engines in the zone of the request. Traffic between zones adds
// latency and cost.
type SameZone struct{}

// Score implements Scorer.
func (SameZone) Score(r *Request, c *Candidate) float64 {
	if r.Zone == "" || r.Zone != c.Zone {
		return 0
	}
	return 1
}

// HighestScore selects the highest score. The lower handle wins a tie.
type HighestScore struct{}

// Pick implements Picker.
func (HighestScore) Pick(candidates []Candidate, scores []float64) int {
	best := -1
	for i := range candidates {
		if best < 0 || scores[i] > scores[best] ||
			(scores[i] == scores[best] && candidates[i].Handle < candidates[best].Handle) {
			best = i
		}
	}
	return best
}
