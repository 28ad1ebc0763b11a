package flowcontrol

import "math"

const (
	// bucketsPerOctave sets the resolution of a length histogram: bucket bounds grow
	// by a factor of 2^(1/4), that is by 19%.
	bucketsPerOctave = 4
	// maxLengthOctaves limits recorded lengths to 2^16 tokens.
	maxLengthOctaves = 16
	lengthBuckets    = bucketsPerOctave*maxLengthOctaves + 1
	// minSamples is the number of finished generations, at least as long as the
	// current one, that a histogram needs before it is used.
	minSamples = 16
	// maxSamples is the total weight at which all counts of a histogram are halved, so
	// that it adapts to changes within some hundred generations.
	maxSamples = 1024
	// priorMedianTokens is the median length in tokens that is assumed without
	// samples.
	priorMedianTokens = 256
)

// lengthBounds holds the upper bound of each bucket in tokens.
var lengthBounds = func() (bounds [lengthBuckets]float64) {
	for i := range bounds {
		bounds[i] = math.Exp2(float64(i) / bucketsPerOctave)
	}
	return bounds
}()

func lengthBucket(tokens float64) int {
	if tokens <= 1 {
		return 0
	}
	return min(int(math.Ceil(math.Log2(tokens)*bucketsPerOctave)), lengthBuckets-1)
}

// lengthHistogram is a histogram of output lengths with a fixed number of log-spaced
// buckets.
type lengthHistogram struct {
	counts [lengthBuckets]float64
	total  float64
}

func (l *lengthHistogram) observe(tokens int) {
	l.counts[lengthBucket(float64(tokens))]++
	l.total++
	if l.total < maxSamples {
		return
	}
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

// quantile returns the length that a generation of more than tokens tokens does not
// exceed with probability q. It returns false if there are too few samples.
func (l *lengthHistogram) quantile(tokens int, q float64) (float64, bool) {
	first := lengthBucket(float64(tokens) + 1)
	var tail float64
	for i := first; i < lengthBuckets; i++ {
		tail += l.counts[i]
	}
	if tail < minSamples {
		return 0, false
	}
	left := tail * q
	for i := first; i < lengthBuckets; i++ {
		if left <= l.counts[i] {
			return interpolate(i, left/l.counts[i]), true
		}
		left -= l.counts[i]
	}
	return lengthBounds[lengthBuckets-1], true
}

func interpolate(bucket int, fraction float64) float64 {
	low := 0.0
	if bucket > 0 {
		low = lengthBounds[bucket-1]
	}
	return low + (lengthBounds[bucket]-low)*fraction
}

type lengthKey struct{ organisation, model string }

// LengthEstimator predicts the remaining length of a generation from the number of
// tokens produced so far. It keeps one histogram for each pair of organisation and
// model, falls back to the histogram of the model, and then to a heavy-tailed prior.
type LengthEstimator struct {
	organisations map[lengthKey]*lengthHistogram
	models        map[string]*lengthHistogram
}

// NewLengthEstimator returns an estimator without samples.
func NewLengthEstimator() *LengthEstimator {
	return &LengthEstimator{organisations: map[lengthKey]*lengthHistogram{}, models: map[string]*lengthHistogram{}}
}

// Retain removes the histograms of organisations that are not entitled.
func (e *LengthEstimator) Retain(entitled func(organisation string) bool) {
	for key := range e.organisations {
		if !entitled(key.organisation) {
			delete(e.organisations, key)
		}
	}
}

// Observe adds the length of a finished generation.
func (e *LengthEstimator) Observe(organisation, model string, tokens int) {
	if tokens <= 0 {
		return
	}
	key := lengthKey{organisation, model}
	if e.organisations[key] == nil {
		e.organisations[key] = &lengthHistogram{}
	}
	if e.models[model] == nil {
		e.models[model] = &lengthHistogram{}
	}
	e.organisations[key].observe(tokens)
	e.models[model].observe(tokens)
}

// RemainingTokens returns the number of further tokens that a generation does not
// exceed with probability q, given how many it has produced. The result is at least 1.
func (e *LengthEstimator) RemainingTokens(organisation, model string, tokens int, q float64) float64 {
	for _, l := range [...]*lengthHistogram{e.organisations[lengthKey{organisation, model}], e.models[model]} {
		if l == nil {
			continue
		}
		if length, ok := l.quantile(tokens, q); ok {
			return max(1, length-float64(tokens))
		}
	}
	return priorRemaining(tokens, q)
}

// priorRemaining returns the conditional quantile of the prior distribution, for which
// P(length > x) = 1/(1 + x/priorMedianTokens).
func priorRemaining(tokens int, q float64) float64 {
	return max(1, (priorMedianTokens+float64(tokens))*q/(1-q))
}
