package frontend

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/retry"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// Limits of the attempts at a request.
const (
	maxAttempts   = 3
	cancelTimeout = 2 * time.Second
	// progressInterval is the number of tokens between progress reports to the
	// dispatcher.
	progressInterval = 16
)

// relay forwards the tokens of one request from an engine to the caller.
type relay struct {
	f                *Frontend
	c                *call
	request          api.CompletionRequest
	admissionRequest dispatch.AdmissionRequest
	sink             sink

	ticket     dispatch.Ticket
	target     backend.Target
	generation api.GenerationID
	offset     int
	// delivered says that the caller has received a token. The answer can then only
	// be continued by the same generation.
	delivered bool
	// mayHaveRun says that an attempt may have started a generation. The outcome of
	// the request can then no longer be not_run.
	mayHaveRun  bool
	startedAt   time.Time
	lastTokenAt time.Time
	// waitingSince is when the relay began to wait for the next token of the
	// generation. It is zero before the first token.
	waitingSince time.Time
	// tokenGaps derives the idle timeout from recent token gaps of the target.
	tokenGaps *backend.GapTracker
	resumes   resumeCount

	// identity is checked before each attempt; it is nil for a relay that only resumes.
	// succeeded is set once a generation has written, engineLost if the engine broke the
	// connection of the current one before its first token.
	identity              *quarantine.Request
	succeeded, engineLost bool
}

// run obtains tickets and relays tokens until the answer is complete. It starts
// another generation only while the caller has received no token.
func (r *relay) run() error {
	r.startedAt = time.Now()
	for attempt := 1; ; attempt++ {
		err := r.attempt()
		if err == nil {
			return r.sink.finish()
		}
		if r.c.ctx.Err() != nil {
			return r.callerDisconnected()
		}
		if r.delivered {
			return r.sink.fail(r.interruptedProblem(err))
		}
		if !restartable(err) || attempt == maxAttempts || !r.mayRepeat() {
			return r.attemptProblem(err)
		}
		if !r.f.budget.Take(r.c.identity.Organisation) {
			return r.attemptProblem(&retry.ExhaustedError{Organisation: r.c.identity.Organisation, Cause: err})
		}
		r.f.counter.restarts.Inc(1)
		r.c.log.Warn("generation_restarted", zap.String("backend", r.target.ID),
			zap.String("generation", r.generation.String()), zap.Error(err))
		r.exclude(r.target.ID)
	}
}

// attempt obtains a ticket and runs one generation under it. An engine that becomes
// unusable before anything is sent to it counts for nothing, and another one is taken.
func (r *relay) attempt() error {
	for {
		started, err := r.attemptOnce()
		if started || !isUnusable(err) || r.c.ctx.Err() != nil {
			return err
		}
		if isLeaving(err) {
			r.exclude(r.target.ID)
		}
	}
}

// exclude keeps the request from an engine.
func (r *relay) exclude(engine string) {
	if !slices.Contains(r.admissionRequest.Excluded, engine) {
		r.admissionRequest.Excluded = append(r.admissionRequest.Excluded, engine)
	}
}

// attemptOnce is an attempt at one engine. started says that it may have started a
// generation.
func (r *relay) attemptOnce() (started bool, err error) {
	if err := r.f.Quarantine.Check(r.identity); err != nil {
		return false, err
	}
	ticket, err := r.acquire()
	if err != nil {
		return false, err
	}
	r.ticket, r.target = ticket, ticket.Backend()
	r.generation, r.offset = api.NewGenerationID(r.target.ID, r.c.identity.Organisation), 0
	r.sink.reset()
	r.c.generation = r.generation.String()
	defer func() { ticket.Release(r.offset) }()
	start := func(ctx context.Context) (*backend.Stream, error) {
		// A rule may have been added while the request waited for the ticket.
		if err := r.f.Quarantine.Check(r.identity); err != nil {
			return nil, err
		}
		if err := r.f.checkTarget(r.target); err != nil {
			return nil, err
		}
		request := sending{f: r.f, target: r.target}
		stream, err := r.f.Engines.Start(ctx, r.target, r.request, backend.StartOptions{
			Generation: r.generation, Organisation: r.c.identity.Organisation, Priority: ticket.Priority(),
			FirstTokenTimeout: r.f.Config.Timeouts.FirstToken.Std(), IdleTimeout: r.f.Config.Timeouts.StreamIdle.Std(),
			BeforeSend: request.begin,
		})
		request.finish(err == nil)
		started = err == nil || !provesNotStarted(err)
		return stream, err
	}
	err = r.runGeneration(func() error { return r.streamWithResumes(start) })
	r.mayHaveRun = r.mayHaveRun || started
	if started && err != nil && r.offset == 0 && r.c.ctx.Err() == nil {
		ticket.Failed()
	}
	if err != nil && !r.delivered && started {
		r.cancelGeneration()
	}
	return started, err
}

// acquire obtains a ticket. It returns a *quarantine.RefusedError if a rule on the
// request is added while it waits.
func (r *relay) acquire() (dispatch.Ticket, error) {
	ctx, span := r.f.Tracer.Start(r.c.ctx, "dispatch.acquire")
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer r.f.Quarantine.Watch(r.identity, cancel)()
	ticket, err := r.acquireUnpaused(ctx)
	if refused, ok := errors.Into[*quarantine.RefusedError](context.Cause(ctx)); ok && err != nil {
		return nil, refused
	}
	return ticket, err
}

// acquireUnpaused obtains a ticket. While all engines are paused, it waits for the first
// one if that leaves most of the time for which requests may queue, and returns a
// *dispatch.PausedError if not.
func (r *relay) acquireUnpaused(ctx context.Context) (dispatch.Ticket, error) {
	deadline := boottime.Now() + r.f.Config.Timeouts.Queue.Std()
	for {
		ticket, err := r.f.Admission.Acquire(ctx, r.admissionRequest)
		paused, ok := errors.Into[*dispatch.PausedError](err)
		if !ok {
			return ticket, err
		}
		now := boottime.Now()
		advice := serverstate.AdviseReturn(now, paused.ResumeAt, deadline, deadline)
		if advice.Action != serverstate.Wait || !wait.Sleep(ctx, advice.Until-now) {
			return nil, err
		}
	}
}

// attemptProblem maps the error of the last attempt to a problem. The outcome is unknown
// instead of not_run if any attempt may have started a generation.
func (r *relay) attemptProblem(err error) *api.Problem {
	p := failureProblem(err)
	if p.Outcome != api.OutcomeNotRun || !r.mayHaveRun {
		return p
	}
	kind := api.ProblemBackendUnavailable
	if p.Kind() == api.ProblemRetryBudget {
		kind = api.ProblemRetryBudget
	}
	return api.NewProblem(kind, http.StatusBadGateway, api.OutcomeUnknown,
		"an attempt may have started a generation").WithCause(err)
}

// resumeOnly resumes a generation for a caller that lost its connection. It never
// starts another generation.
func (r *relay) resumeOnly() error {
	err := r.streamWithResumes(r.reopen)
	switch {
	case err == nil:
		return r.sink.finish()
	case r.c.ctx.Err() != nil:
		return r.callerDisconnected()
	case r.sink.started():
		return r.sink.fail(r.interruptedProblem(err))
	}
	if rejected, ok := errors.Into[*backend.RejectedError](err); ok && rejected.Status == http.StatusNotFound {
		return generationGone(err)
	}
	if _, ok := errors.Into[*serverstate.PausedError](err); ok {
		return notRunProblem(api.ProblemBackendUnavailable, http.StatusServiceUnavailable,
			"the engine has asked for a pause", retryAfterPause(err), err)
	}
	return r.interruptedProblem(err)
}

// relayConnection forwards the tokens of one connection until it ends. name is that
// of the span.
func (r *relay) relayConnection(name string, open func(context.Context) (*backend.Stream, error)) error {
	ctx, span := r.f.Tracer.Start(r.c.ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		telemetry.AttrBackend.String(r.target.ID), telemetry.AttrGeneration.String(r.generation.String()),
		telemetry.AttrOffset.Int(r.offset)))
	defer func() {
		span.SetAttributes(telemetry.AttrTokens.Int(r.offset))
		span.End()
	}()
	stream, err := open(ctx)
	if err != nil {
		r.observeError(err)
		return err
	}
	defer stream.Close()
	for {
		stream.SetIdleTimeout(r.idleTimeout())
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			r.observeError(err)
			return err
		}
		if err := r.forward(token); err != nil {
			return err
		}
	}
}

func (r *relay) forward(token backend.Token) error {
	r.recordToken(token)
	if err := r.sink.token(r.generation, token); err != nil {
		return err
	}
	// Set after the write, so that the time a slow caller takes to read is not
	// counted as a token gap of the engine.
	r.waitingSince = time.Now()
	r.offset = token.Offset
	if r.offset >= minSuccessTokens {
		r.reportRunSuccess()
	}
	r.c.tokens++
	r.delivered = r.delivered || r.sink.started()
	if r.ticket != nil && r.offset%progressInterval == 0 {
		r.ticket.Progress(r.offset)
	}
	return nil
}

// recordToken updates metrics and the token gaps of the target.
func (r *relay) recordToken(token backend.Token) {
	now := time.Now()
	if r.lastTokenAt.IsZero() {
		r.f.counter.firstToken.Update(now.Sub(r.startedAt).Microseconds())
	} else {
		r.f.counter.gap.Update(now.Sub(r.lastTokenAt).Microseconds())
	}
	if !r.waitingSince.IsZero() {
		r.tokenGaps.Observe(now, now.Sub(r.waitingSince))
	}
	r.lastTokenAt = now
	r.f.counter.tokens.Inc(1)
	if token.Preempted {
		r.f.counter.preemptions.Inc(1)
		if r.ticket != nil {
			r.ticket.Preempted()
		}
	}
}

// callerDisconnected ends a request whose caller closed the connection. If the
// caller received a token, the generation goes on for a while, so that the caller
// can resume it on any VM. Otherwise, as with every answer that is not streamed, the
// generation is cancelled, since the caller cannot resume it.
func (r *relay) callerDisconnected() error {
	if !r.delivered && r.generation.Backend != "" {
		r.cancelGeneration()
	}
	if !r.delivered && !r.mayHaveRun {
		return notRunProblem(api.ProblemBackendUnavailable, http.StatusServiceUnavailable,
			"the caller closed its half of the connection before the request was sent", retryAfterBackend, r.c.ctx.Err())
	}
	return api.NewProblem(api.ProblemStreamInterrupted, statusClientClosedRequest, api.OutcomeUnknown,
		"the caller closed the connection").WithCause(r.c.ctx.Err())
}

// statusClientClosedRequest is the status that nginx logs for this case. Only a caller that
// has closed no more than its half of the connection may receive it.
const statusClientClosedRequest = 499

// cancelGeneration cancels the generation in the background. During a pause of its engine
// nothing is sent: a generation without a reader ends by itself.
func (r *relay) cancelGeneration() {
	if _, paused := errors.Into[*serverstate.PausedError](r.f.checkTarget(r.target)); paused {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.c.ctx), cancelTimeout)
	target, generation := r.target, r.generation
	r.f.background.Go(func() {
		defer cancel()
		ctx, end := r.f.unlessPaused(ctx, target)
		defer end()
		if err := r.f.Engines.Cancel(ctx, target, generation); err != nil {
			r.c.log.Debug("cancel_failed", zap.String("backend", target.ID), zap.Error(err))
		}
	})
}

func (r *relay) interruptedProblem(cause error) *api.Problem {
	return api.NewProblem(api.ProblemStreamInterrupted, http.StatusBadGateway, api.OutcomeFailed,
		"the generation ended before it was complete").WithCause(cause)
}
