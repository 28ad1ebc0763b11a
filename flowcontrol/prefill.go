package flowcontrol

import "time"

const (
	// engineObservationWeight is the weight of a new observation in an engine's
	// prefill time.
	engineObservationWeight = 0.3
	// poolObservationWeight is the weight of a new observation in the mean of the
	// pool.
	poolObservationWeight = 0.02
	// newEngineFactor is how much slower than the mean an engine is assumed to be that
	// has joined a running pool and has not started a run yet. New engines still load
	// and compile at first.
	newEngineFactor = 2
)

// PoolPrefillTime is the mean processing time per prompt token over the engines of a
// pool, in seconds. It is 0 until it is known.
type PoolPrefillTime struct{ meanSeconds float64 }

// EnginePrefillTime is the processing time per prompt token of one engine, measured
// from the grant of a run to its first token. It includes the time that the engine
// spends on its other runs in between.
type EnginePrefillTime struct {
	seconds float64
	// joinedRunningPool reports whether the engine joined a pool with known prefill
	// times.
	joinedRunningPool bool
	// relativeTime is the last value of SetRelativeTime, 0 if there is none.
	relativeTime float64
}

// SetRelativeTime sets the engine's time per token relative to the mean of the pool. An
// engine that becomes slower does so for prompts, too. The measured time is therefore kept
// as that of the engine at the mean speed, and estimates follow the current one.
func (e *EnginePrefillTime) SetRelativeTime(relativeTime float64) { e.relativeTime = relativeTime }

// scale returns the relative time, 1 if it is unknown.
func (e *EnginePrefillTime) scale() float64 {
	if e.relativeTime == 0 {
		return 1
	}
	return e.relativeTime
}

// NewEngine returns the prefill time of an engine that has not started a run yet.
func (p *PoolPrefillTime) NewEngine() EnginePrefillTime {
	return EnginePrefillTime{joinedRunningPool: p.meanSeconds > 0}
}

// Observe records the time from a grant to the first token. tokens is the number of
// prompt tokens that the engine had to process in that time, including those of the
// granted run.
func (p *PoolPrefillTime) Observe(engine *EnginePrefillTime, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	observed := took.Seconds() / float64(tokens) / engine.scale()
	if engine.seconds == 0 {
		engine.seconds = observed
	}
	engine.seconds += engineObservationWeight * (observed - engine.seconds)
	if p.meanSeconds == 0 {
		p.meanSeconds = observed
	}
	p.meanSeconds += poolObservationWeight * (observed - p.meanSeconds)
}

// Estimate returns the time that an engine is expected to need for a number of prompt
// tokens, or zero if nothing is known about the pool yet.
func (p *PoolPrefillTime) Estimate(engine EnginePrefillTime, tokens int) time.Duration {
	seconds := engine.seconds
	if seconds == 0 {
		seconds = p.meanSeconds
		if engine.joinedRunningPool {
			seconds *= newEngineFactor
		}
	}
	return time.Duration(seconds * engine.scale() * float64(tokens) * float64(time.Second))
}
