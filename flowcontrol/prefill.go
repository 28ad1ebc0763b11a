package flowcontrol

import "time"

const (
	// engineObservationWeight is the weight of the latest observation of an engine's pace.
	engineObservationWeight = 0.3
	// poolObservationWeight is the same for the mean of the pool.
	poolObservationWeight = 0.02
	// newEngineFactor is how much slower an engine is taken to be that has joined
	// the pool and has not started a run yet. Engines load and compile at first.
	newEngineFactor = 2
)

// PoolPrefillTime is the mean time in which the engines of a pool process a prompt
// token, in seconds, 0 while it is not known.
type PoolPrefillTime struct{ meanSeconds float64 }

// EnginePrefillTime is the time in which one engine processes a prompt token, from the
// grant of a run to its first token. It includes what the runs of the engine take
// meanwhile.
type EnginePrefillTime struct {
	seconds float64
	// joinedRunningPool says that the engine joinedRunningPool a pool that was at work.
	joinedRunningPool bool
}

// NewEngine returns the pace of an engine that has not started a run yet.
func (p *PoolPrefillTime) NewEngine() EnginePrefillTime {
	return EnginePrefillTime{joinedRunningPool: p.meanSeconds > 0}
}

// Observe takes the time from a grant to its first token. tokens are those of the
// prompts that the engine had to process until then, its own included.
func (p *PoolPrefillTime) Observe(engine *EnginePrefillTime, tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	observed := took.Seconds() / float64(tokens)
	if engine.seconds == 0 {
		engine.seconds = observed
	}
	engine.seconds += engineObservationWeight * (observed - engine.seconds)
	if p.meanSeconds == 0 {
		p.meanSeconds = observed
	}
	p.meanSeconds += poolObservationWeight * (observed - p.meanSeconds)
}

// Estimate returns how long an engine is expected to take for prompt tokens, zero
// while nothing is known of the pool.
func (p *PoolPrefillTime) Estimate(engine EnginePrefillTime, tokens int) time.Duration {
	seconds := engine.seconds
	if seconds == 0 {
		seconds = p.meanSeconds
		if engine.joinedRunningPool {
			seconds *= newEngineFactor
		}
	}
	return time.Duration(seconds * float64(tokens) * float64(time.Second))
}
