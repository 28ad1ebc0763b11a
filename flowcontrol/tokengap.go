package flowcontrol

import (
	"math"
	"time"
)

// gapDecay is the factor by which each observation discounts the earlier ones. They
// lose their weight within some thousand tokens.
const gapDecay = 0.9995

// minGapSamples is the total weight of observations needed before the model is used.
const minGapSamples = 200

// TokenGapModel learns how the gap between the tokens of a stream depends on the batch
// size of its engine: gap = base + slope * streams. It is a least-squares fit with
// exponential forgetting, in constant time and memory.
type TokenGapModel struct{ weight, sumX, sumY, sumXX, sumXY float64 }

// Observe adds the mean gap between tokens produced in a batch of the given number of
// streams.
func (g *TokenGapModel) Observe(streams int, gap time.Duration) {
	x, y := float64(streams), gap.Seconds()
	g.weight = g.weight*gapDecay + 1
	g.sumX = g.sumX*gapDecay + x
	g.sumY = g.sumY*gapDecay + y
	g.sumXX = g.sumXX*gapDecay + x*x
	g.sumXY = g.sumXY*gapDecay + x*y
}

// Fit returns base and slope in seconds. It returns false until the observations
// determine both as positive.
func (g *TokenGapModel) Fit() (base, slope float64, ok bool) {
	d := g.weight*g.sumXX - g.sumX*g.sumX
	if g.weight < minGapSamples || d < 1e-3*g.weight*g.weight {
		return 0, 0, false
	}
	slope = (g.weight*g.sumXY - g.sumX*g.sumY) / d
	base = (g.sumY - slope*g.sumX) / g.weight
	return base, slope, base > 0 && slope > 0
}

// Gap returns the expected gap in a batch of the given number of streams, or zero if
// it is not known yet.
func (g *TokenGapModel) Gap(streams int) time.Duration {
	base, slope, ok := g.Fit()
	if !ok {
		return 0
	}
	return time.Duration((base + slope*float64(streams)) * float64(time.Second))
}

// Expected returns the expected gap in a batch of the given number of streams. If the
// observations do not tell how it depends on the batch, that is their mean. It returns
// false if there are too few.
func (g *TokenGapModel) Expected(streams int) (time.Duration, bool) {
	if g.weight < minGapSamples {
		return 0, false
	}
	gap := g.Gap(streams)
	if gap <= 0 {
		gap = time.Duration(g.sumY / g.weight * float64(time.Second))
	}
	return gap, gap > 0
}

// BatchLimit returns the number of streams at which an engine reaches the given part
// of its maximum token rate, which it approaches as the batch grows. It returns false
// if the gap is not known yet.
func (g *TokenGapModel) BatchLimit(fraction float64) (int, bool) {
	base, slope, ok := g.Fit()
	if !ok {
		return 0, false
	}
	return max(1, int(fraction/(1-fraction)*base/slope)), true
}

// BatchLimitAt returns the number of streams for an engine with the given relative token
// time. One more stream adds as much to its token rate as to that of an engine at the mean
// with BatchLimit streams.
func (g *TokenGapModel) BatchLimitAt(fraction, relativeTime float64) (int, bool) {
	if relativeTime == 1 {
		return g.BatchLimit(fraction)
	}
	base, slope, ok := g.Fit()
	if !ok {
		return 0, false
	}
	// The rate of n streams is n/(r*(base+slope*n)). Its derivative by n is
	// base/(r*(base+slope*n)^2), and base+slope*n is base/(1-fraction) at the mean.
	gap := base / (1 - fraction) / math.Sqrt(relativeTime)
	return max(1, int((gap-base)/slope)), true
}

// StreamsWithin returns the largest batch in which an engine with the given relative token
// time keeps the gap within a limit, at least 1. It returns false if the gap is not known
// yet.
func (g *TokenGapModel) StreamsWithin(limit time.Duration, relativeTime float64) (int, bool) {
	base, slope, ok := g.Fit()
	if !ok {
		return 0, false
	}
	streams := (limit.Seconds()/relativeTime - base) / slope
	return int(min(max(streams, 1), math.MaxInt32)), true
}
