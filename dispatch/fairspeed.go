package dispatch

import (
	"time"

	"github.com/vanillaarch/vanillaarch/flowcontrol"
	"github.com/vanillaarch/vanillaarch/scheduling"
)

const (
	// longRunTime is the expected time from the first token to the last above which a run
	// avoids slow engines.
	longRunTime = time.Second
	// maxFastWait is how long a long run waits for an engine that is not slow and has room,
	// but still processes the prompt of another run.
	maxFastWait = 150 * time.Millisecond
	// slowCapacityFactor reduces the free capacity of slow engines in the capacity index, so
	// that the engines with the most free capacity are others as long as those have any.
	slowCapacityFactor = 0.01
	// speedReportInterval and minSpeedChange limit the reports of an engine's speed.
	speedReportInterval = 5 * time.Second
	minSpeedChange      = 1.25
	// speedRefreshInterval is the time between two updates of the speed of an engine
	// without new observations. They include a search for overdue streams.
	speedRefreshInterval = 250 * time.Millisecond
	// reportDelay bounds the time from the tokens of a stream to their report.
	reportDelay = 400 * time.Millisecond
	// maxActivityGap is the time without use after which reports may be delayed.
	maxActivityGap = 300 * time.Millisecond
)

// refreshSpeed updates the speed of an engine without new observations, which changes slowly.
func (f *fairPolicy) refreshSpeed(now time.Time, e *engine) {
	if now != f.activeAt {
		f.recordActivity(now)
	}
	if now.Sub(e.refreshedAt) < speedRefreshInterval {
		return
	}
	e.refreshedAt = now
	f.observeOverdue(now, e)
	f.updateSpeed(now, e)
}

// updateSpeed updates what depends on the learned speed of an engine.
func (f *fairPolicy) updateSpeed(now time.Time, e *engine) {
	r := e.speed.RelativeTokenTime(now)
	if r != e.relativeTime {
		e.relativeTime = r
		e.prefillTime.SetRelativeTime(r)
	}
	f.reportSpeed(now, e)
}

// reportSpeed calls OnSpeed if the speed of an engine has changed much.
func (f *fairPolicy) reportSpeed(now time.Time, e *engine) {
	if e.relativeTime == e.reportedTime {
		return
	}
	change := e.relativeTime / e.reportedTime
	if change < minSpeedChange && change > 1/minSpeedChange || now.Sub(e.speedReportedAt) < speedReportInterval {
		return
	}
	e.reportedTime, e.speedReportedAt = e.relativeTime, now
	f.opts.OnSpeed(e.id, e.relativeTime)
}

// observeFirstToken learns from the time from the grant of a stream to its first token, unless
// its report may have been delayed.
func (f *fairPolicy) observeFirstToken(now time.Time, s *stream) {
	if now.Before(f.reportsCompleteAt) {
		return
	}
	f.speeds.Observe(now, &s.engine.speed, flowcontrol.StreamTime{
		Took: now.Sub(s.grantedAt), Streams: s.engine.memory.Streams(), PromptTokens: s.prefillTokensAtGrant,
	})
	f.updateSpeed(now, s.engine)
}

// observeSpeed learns from the tokens that a stream has produced since its last progress.
// Those of a spare copy are produced by another engine.
func (f *fairPolicy) observeSpeed(now time.Time, s *stream, added int) {
	if s.tokensAt.IsZero() || !now.After(s.tokensAt) {
		return
	}
	e, took := s.engine, now.Sub(s.tokensAt)
	gap := took / time.Duration(added)
	if !s.spare && !now.Before(f.reportsCompleteAt) {
		f.speeds.Observe(now, &e.speed, flowcontrol.StreamTime{
			Tokens: added, Took: took, Streams: e.memory.Streams(), PromptTokens: e.prefilledTokens - s.prefilledTokens,
		})
		if f.updateSpeed(now, e); e.relativeTime != 1 {
			gap = time.Duration(float64(gap) / e.relativeTime)
		}
	}
	f.tokenGaps.Observe(e.memory.Streams(), gap)
}

// observeOverdue looks for streams of an engine that have not reported tokens for longer than
// expected.
func (f *fairPolicy) observeOverdue(now time.Time, e *engine) {
	f.overdue = f.overdue[:0]
	for _, s := range e.streams {
		if t, ok := f.unreportedTime(now, s); ok {
			f.overdue = append(f.overdue, t)
		}
	}
	f.speeds.SetOverdue(now, &e.speed, f.overdue)
}

// unreportedTime returns the work that a stream has not reported, with the time that it has
// taken for it at least. It returns false if that is not known.
func (f *fairPolicy) unreportedTime(now time.Time, s *stream) (flowcontrol.StreamTime, bool) {
	e := s.engine
	t := flowcontrol.StreamTime{Streams: e.memory.Streams()}
	switch {
	case s.spare || now.Before(f.reportsCompleteAt):
		return t, false
	case s.pendingPrefillTokens > 0:
		t.Took, t.PromptTokens = now.Sub(s.grantedAt)-reportDelay, s.prefillTokensAtGrant
	case !s.tokensAt.IsZero():
		t.Took, t.Tokens = now.Sub(s.tokensAt)-reportDelay, UnreportedTokens(s.tokens)
		t.PromptTokens = e.prefilledTokens + e.pendingPrefillTokens - s.prefilledTokens
	}
	return t, t.Took > 0
}

// recordActivity records that this policy is used. After a pause, for instance of
// the dispatcher's process, reports that were sent meanwhile have yet to arrive.
func (f *fairPolicy) recordActivity(now time.Time) {
	if now.Sub(f.activeAt) > maxActivityGap {
		f.reportsCompleteAt = now.Add(reportDelay)
	}
	f.activeAt = now
}

// slow reports whether an engine takes longer for a token than the mean.
func (e *engine) slow() bool { return e.relativeTime > 1 }

// extraRunTime returns how much longer than at the mean a number of tokens take.
func (f *fairPolicy) extraRunTime(e *engine, tokens float64) time.Duration {
	if e.relativeTime == 1 {
		return 0
	}
	gap, _ := f.tokenGaps.Expected(e.memory.Streams() + 1)
	return time.Duration((e.relativeTime - 1) * tokens * float64(gap))
}

// avoidsSlow reports whether a request must not run on slow engines while others have room.
func (f *fairPolicy) avoidsSlow(r *waitingRequest) bool {
	for i := range f.candidates {
		if f.candidates[i].Slow {
			gap, _ := f.tokenGaps.Expected(1)
			return f.expectedTokens(&r.AdmissionRequest)*gap.Seconds() >= longRunTime.Seconds()
		}
	}
	return false
}

// awaitsFast reports whether a request that avoids slow engines waits for another one, which
// has room and will soon have processed the prompt of an earlier run. Copies are granted at
// once or not at all.
func (f *fairPolicy) awaitsFast(now time.Time, r *waitingRequest, request *scheduling.Request) bool {
	if r.Spare || r.Resumed || now.Sub(r.submitted) >= maxFastWait {
		return false
	}
	for i := range f.candidates {
		if c := f.candidates[i]; c.Prefilling {
			c.Prefilling = false
			if f.chain.Eligible(request, &c) {
				return true
			}
		}
	}
	return false
}

// EngineSpeed is the learned speed of an engine.
type EngineSpeed struct {
	Engine string `json:"engine"`
	// RelativeTime is the time per token relative to the mean of the pool at equal batch
	// size.
	RelativeTime float64 `json:"relative_time"`
	// StreamLimit is the batch limit that follows from it.
	StreamLimit int `json:"stream_limit"`
}

// SpeedReporter is implemented by policies that learn the speed of engines.
type SpeedReporter interface {
	// EngineSpeeds returns the engines that differ from the mean of the pool by more than
	// noise.
	EngineSpeeds(now time.Time) []EngineSpeed
}

// EngineSpeeds implements SpeedReporter.
func (f *fairPolicy) EngineSpeeds(now time.Time) []EngineSpeed {
	var speeds []EngineSpeed
	for _, e := range f.liveEngines {
		if f.refreshSpeed(now, e); e.relativeTime != 1 {
			speeds = append(speeds, EngineSpeed{Engine: e.id, RelativeTime: e.relativeTime, StreamLimit: f.streamLimit(e, 0)})
		}
	}
	return speeds
}

// poolUsage returns the usage of a stream for the projection of the pool, in which streams
// grow at the speed of their engine.
func poolUsage(s *stream) flowcontrol.Usage {
	u := s.usage
	u.RelativeTime = s.relativeTime
	return u
}
