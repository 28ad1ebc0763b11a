package flowcontrol

import (
	"math"
	"time"
)

const (
	// recentTime and lastingTime are the times in which observations of the recent and of
	// the lasting speed of an engine lose most of their weight.
	recentTime  = 2 * time.Second
	lastingTime = 20 * time.Second
	// idleLastingTime is that time while the engine produces no tokens. Slow engines are
	// idle while others have room.
	idleLastingTime = time.Minute
	// recentPrior and lastingPrior are the weights of an engine at the mean among the
	// observations, in seconds of stream time. An engine that produces no tokens returns to
	// the mean, the later the more is known about it.
	recentPrior  = 1
	lastingPrior = 10
	// maxObservedTime bounds the stream time for which a single observation counts.
	maxObservedTime = time.Second
)

// Logarithms of relative times. Within the first two, differences are taken for noise: prompts
// of other runs delay the tokens of an engine for a second or two, but not for long.
var (
	maxRecentNoise  = math.Log(1.45)
	maxLastingNoise = math.Log(1.25)
	// maxRatio bounds single observations, for instance of a stream that waits for memory.
	maxRatio = math.Log(3)
	// maxLasting bounds the observations of the lasting speed. Engines that differ more
	// from the mean do so for seconds only.
	maxLasting = math.Log(1.75)
)

// PoolSpeed learns how much longer than the mean of their pool engines take for a token.
// The zero value knows no differences.
type PoolSpeed struct {
	// tokens is the time for a token, by streams and by prompt tokens that are processed
	// meanwhile. firstTokens is that until the first token, by prompt tokens and streams.
	tokens, firstTokens linearModel
	recent, lasting     timeRatios
	observedAt          time.Time
}

// EngineSpeed is the time per token of one engine relative to the mean of its pool, at
// equal work: 1 is the mean, 2 an engine that takes twice as long. The zero value is an
// engine that has produced no tokens, which is at the mean.
type EngineSpeed struct {
	// recent follows the engine within seconds, lasting within some ten seconds.
	recent, lasting timeRatios
	observedAt      time.Time
	// overdue are the times of streams that have not reported tokens for longer than
	// expected.
	overdue timeRatios
	// differs is set if one of them was not within noise at observedAt. Without
	// observations both approach the mean.
	differs bool
}

// StreamTime is the time that a stream took for a part of its work.
type StreamTime struct {
	// Tokens is the number of tokens produced, 0 for the time from the grant to the first
	// token.
	Tokens int
	Took   time.Duration
	// Streams is the batch size of the engine.
	Streams int
	// PromptTokens is the number of prompt tokens that the engine processed meanwhile.
	PromptTokens int
}

// timeRatios is a mean of the times that streams took relative to the expected ones, on a
// logarithmic scale and with exponential forgetting. Each counts with stream time in seconds.
type timeRatios struct{ sum, weight float64 }

// add adds the logarithm of a ratio, with the part that is kept of the earlier ones.
func (r *timeRatios) add(kept, ratio, weight float64) {
	r.sum, r.weight = r.sum*kept+ratio*weight, r.weight*kept+weight
}

// logMean returns the logarithm of the mean, with a part that is kept of the ratios and the
// weight of an engine at the mean.
func (r *timeRatios) logMean(kept, prior float64) float64 {
	return r.sum * kept / (r.weight*kept + prior)
}

// expected returns the time in seconds that the mean engine takes for the work of a stream,
// or false if it is not known yet.
func (p *PoolSpeed) expected(t *StreamTime) (float64, bool) {
	if t.Tokens == 0 {
		return p.firstTokens.expected(float64(t.PromptTokens), float64(t.Streams))
	}
	perToken, ok := p.tokens.expected(float64(t.Streams), float64(t.PromptTokens)/float64(t.Tokens))
	return perToken * float64(t.Tokens), ok
}

// observe adds the time that the mean engine takes for the work of a stream.
func (p *PoolSpeed) observe(t *StreamTime, seconds float64) {
	if t.Tokens == 0 {
		p.firstTokens.observe(float64(t.PromptTokens), float64(t.Streams), seconds)
		return
	}
	perToken := 1 / float64(t.Tokens)
	p.tokens.observe(float64(t.Streams), float64(t.PromptTokens)*perToken, seconds*perToken)
}

// Observe records what a stream of an engine took.
func (p *PoolSpeed) Observe(now time.Time, e *EngineSpeed, t StreamTime) {
	if t.Took <= 0 {
		return
	}
	seconds := t.Took.Seconds()
	if expected, ok := p.expected(&t); ok {
		p.learn(now, e, logRatio(seconds, expected), min(seconds, maxObservedTime.Seconds()))
	}
	p.observe(&t, seconds/e.RelativeTokenTime(now))
}

// logRatio returns the logarithm of a ratio within the bounds of an observation.
func logRatio(taken, expected float64) float64 {
	return min(max(math.Log(taken/expected), -maxRatio), maxRatio)
}

// learn updates the speeds of an engine and of the pool.
func (p *PoolSpeed) learn(now time.Time, e *EngineSpeed, ratio, weight float64) {
	sincePool, sinceEngine := now.Sub(p.observedAt), now.Sub(e.observedAt)
	p.observedAt, e.observedAt = now, now
	p.recent.add(decay(sincePool, recentTime), ratio, weight)
	p.lasting.add(decay(sincePool, lastingTime), ratio, weight)
	e.recent.add(decay(sinceEngine, recentTime), ratio-p.recent.logMean(1, 0), weight)
	lasting := ratio - p.lasting.logMean(1, 0)
	e.lasting.add(lastingDecay(sinceEngine), min(max(lasting, -maxLasting), maxLasting), weight)
	e.update(now)
}

// SetOverdue replaces the work for which streams of an engine have taken a time without
// reporting its end. They show that the engine has become slower before their next reports
// do.
func (p *PoolSpeed) SetOverdue(now time.Time, e *EngineSpeed, streams []StreamTime) {
	overdue := timeRatios{}
	for i := range streams {
		seconds := streams[i].Took.Seconds()
		if expected, ok := p.expected(&streams[i]); ok && expected < seconds && p.recent.weight > 0 {
			overdue.add(1, logRatio(seconds, expected)-p.recent.logMean(1, 0), min(seconds, maxObservedTime.Seconds()))
		}
	}
	if overdue != e.overdue {
		e.overdue = overdue
		e.update(now)
	}
}

// update determines whether an engine differs from the mean.
func (e *EngineSpeed) update(now time.Time) {
	e.differs = true
	e.differs = e.RelativeTokenTime(now) != 1
}

// RelativeTokenTime returns the engine's time per token relative to the mean. It is exactly
// 1 if the difference is within noise.
func (e *EngineSpeed) RelativeTokenTime(now time.Time) float64 {
	if !e.differs {
		return 1
	}
	idle := now.Sub(e.observedAt)
	kept := decay(idle, recentTime)
	recent := timeRatios{e.recent.sum*kept + e.overdue.sum, e.recent.weight*kept + e.overdue.weight}
	if r := recent.logMean(1, recentPrior); math.Abs(r) > maxRecentNoise {
		return math.Exp(r)
	}
	if r := e.lasting.logMean(lastingDecay(idle), lastingPrior); math.Abs(r) > maxLastingNoise {
		return math.Exp(r)
	}
	return 1
}

// lastingDecay returns the weight that remains of the lasting speed of an engine some time
// after its last observation.
func lastingDecay(elapsed time.Duration) float64 {
	observed := min(elapsed, maxObservedTime)
	return decay(observed, lastingTime) * decay(elapsed-observed, idleLastingTime)
}

// decay returns the weight that remains after a time.
func decay(elapsed, constant time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp(-float64(elapsed) / float64(constant))
}
