package frontend

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/retry"
	"github.com/vanillaarch/vanillaarch/serverstate"
)

// Limits of resumes. A resume that yields tokens resets the count.
const (
	// maxResumes with their backoff bridge half a second of broken connections. When
	// they are used up, the answer is lost. Before the first token fewer are made,
	// since another engine can serve the request instead.
	maxResumes                 = 6
	maxResumesBeforeFirstToken = 3
	// maxSilentTimeouts bounds the time without a token, in multiples of the idle
	// timeout. It covers the first wait and three resumes of a stalled stream. It does
	// not shrink with the idle timeout of the engine, which may preempt a stream for
	// several seconds.
	maxSilentTimeouts = 4
	resumeBackoffBase = 50 * time.Millisecond
	resumeBackoffMax  = 500 * time.Millisecond
)

// resumeCount counts the resumes since the last token by cause: a stalled stream or
// a broken connection.
type resumeCount struct{ stalled, broken int }

func (n *resumeCount) add(err error) {
	if _, ok := errors.Into[*backend.StalledError](err); ok {
		n.stalled++
		return
	}
	n.broken++
}

// streamWithResumes opens the generation and relays its tokens. When the stream
// stalls or breaks, it resumes over a new connection.
func (r *relay) streamWithResumes(open func(context.Context) (*backend.Stream, error)) error {
	r.tokenGaps = r.f.Engines.Gaps(r.target)
	r.resumes, r.waitingSince = resumeCount{}, time.Time{}
	err := r.relayConnection("engine.stream", open)
	for err != nil && resumable(err) && r.c.ctx.Err() == nil {
		r.resumes.add(err)
		if !r.mayResume() {
			break
		}
		r.f.counter.resumes.Inc(1)
		r.c.log.Warn("stream_resumed", zap.String("backend", r.target.ID), zap.Int("offset", r.offset), zap.Error(err))
		r.f.Engines.CloseIdle()
		if n := r.resumes.stalled + r.resumes.broken; n > 1 && !wait.Sleep(r.c.ctx, retry.Backoff(n-1, resumeBackoffBase, resumeBackoffMax)) {
			return err
		}
		before := r.offset
		err = r.relayConnection("engine.resume", r.reopen)
		if r.offset > before {
			r.resumes = resumeCount{}
		}
	}
	return err
}

// mayResume reports whether another resume is allowed. Before the first token the
// number of resumes is limited. After it, the time without a token is limited, and
// for broken connections the number too.
func (r *relay) mayResume() bool {
	if r.waitingSince.IsZero() {
		return r.resumes.stalled+r.resumes.broken <= maxResumesBeforeFirstToken
	}
	limit := maxResumes
	if !r.delivered {
		limit = maxResumesBeforeFirstToken
	}
	return r.resumes.broken <= limit && time.Since(r.waitingSince) < maxSilentTimeouts*r.f.Config.Timeouts.StreamIdle.Std()
}

// reopen resumes the generation after the last received token.
func (r *relay) reopen(ctx context.Context) (*backend.Stream, error) {
	if err := r.awaitPause(ctx); err != nil {
		return nil, err
	}
	ctx, end := r.f.unlessPaused(ctx, r.target)
	defer end()
	idle := r.f.Config.Timeouts.StreamIdle.Std()
	return r.f.Engines.Resume(ctx, r.target, r.generation, r.offset, backend.Backoff(r.idleTimeout(), r.resumes.stalled, idle), idle)
}

// awaitPause waits while the engine wants nothing, as long as a resume may take. It returns
// a *backend.NotSentError if the pause is longer, or if another engine can serve the
// request instead. Resumes are sent to engines that leave: generations end there.
func (r *relay) awaitPause(ctx context.Context) error {
	limit := boottime.Now() + maxSilentTimeouts*r.f.Config.Timeouts.StreamIdle.Std()
	if !r.waitingSince.IsZero() {
		limit -= time.Since(r.waitingSince)
	}
	for {
		err := r.f.checkTarget(r.target)
		paused, ok := errors.Into[*serverstate.PausedError](err)
		if !ok {
			return nil
		}
		if !r.delivered || paused.Until > limit || !wait.Sleep(ctx, paused.Until-boottime.Now()) {
			return err
		}
	}
}

// idleTimeout returns how long a stream may be idle before it is resumed.
func (r *relay) idleTimeout() time.Duration {
	idle := r.f.Config.Timeouts.StreamIdle.Std()
	if r.waitingSince.IsZero() {
		return idle
	}
	return r.tokenGaps.IdleTimeout(time.Now(), idle)
}
