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
	"github.com/vanillaarch/vanillaarch/retry"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// Bounds of attempts. A resume that brings tokens starts the count anew.
const (
	maxAttempts = 3
	// maxResumes rides out half a second of broken connections, after which
	// the answer would be lost. Before the first token another engine can take
	// over, so fewer resumes are worth the wait.
	maxResumes           = 6
	maxResumesFirstToken = 3
	// maxSilentResumes bounds resumes of a silent stream, counted in idle timeouts.
	maxSilentResumes = 3
	resumeBase       = 50 * time.Millisecond
	resumeLimit      = 500 * time.Millisecond
	cancelTimeout    = 2 * time.Second
	// progressStep is the number of tokens between progress reports.
	progressStep = 16
)

// relay carries the tokens of one request from an engine to its caller.
type relay struct {
	f       *Frontend
	c       *call
	request api.CompletionRequest
	ask     dispatch.Ask
	sink    sink

	ticket     dispatch.Ticket
	target     backend.Target
	generation api.GenerationID
	offset     int
	// seen says that the caller has received a token, after which only the
	// same generation may go on.
	seen bool
	// mayHaveRun says that an attempt may have started a generation, after
	// which the request cannot end with the outcome not_run.
	mayHaveRun bool
	started    time.Time
	lastToken  time.Time
}

// run obtains tickets and relays until the answer is complete. It starts
// another generation only while the caller has seen no token.
func (r *relay) run() error {
	r.started = time.Now()
	for attempt := 1; ; attempt++ {
		err := r.attempt()
		if err == nil {
			return r.sink.finish()
		}
		if r.c.ctx.Err() != nil {
			return r.callerLeft()
		}
		if r.seen {
			return r.sink.fail(r.interrupted(err))
		}
		if !restartable(err) || attempt == maxAttempts {
			return r.failure(err)
		}
		if !r.f.budget.Take(r.c.identity.Organisation) {
			return r.failure(&retry.ExhaustedError{Organisation: r.c.identity.Organisation, Cause: err})
		}
		r.f.counter.restarts.Inc(1)
		r.c.log.Warn("generation_restarted", zap.String("backend", r.target.ID),
			zap.String("generation", r.generation.String()), zap.Error(err))
		if !slices.Contains(r.ask.Excluded, r.target.ID) {
			r.ask.Excluded = append(r.ask.Excluded, r.target.ID)
		}
	}
}

// attempt runs one generation.
func (r *relay) attempt() error {
	ctx, span := r.f.Tracer.Start(r.c.ctx, "dispatch.acquire")
	ticket, err := r.f.Admission.Acquire(ctx, r.ask)
	span.End()
	if err != nil {
		return err
	}
	r.ticket, r.target = ticket, ticket.Backend()
	r.generation, r.offset = api.NewGenerationID(r.target.ID), 0
	r.sink.reset()
	r.c.generation = r.generation.String()
	defer func() { ticket.Release(r.offset) }()
	started := false
	err = r.stream(func(ctx context.Context) (*backend.Stream, error) {
		stream, err := r.f.Engines.Start(ctx, r.target, r.request, backend.StartOptions{
			Generation: r.generation, Organisation: r.c.identity.Organisation, Priority: ticket.Priority(),
			FirstToken: r.f.Config.Timeouts.FirstToken.Std(), Idle: r.f.Config.Timeouts.StreamIdle.Std(),
		})
		started = err == nil || !notStarted(err)
		return stream, err
	})
	r.mayHaveRun = r.mayHaveRun || started
	if err != nil && !r.seen && started {
		r.cancelGeneration()
	}
	return err
}

// failure maps the error of the last attempt in view of the earlier ones.
func (r *relay) failure(err error) *api.Problem {
	p := asFailure(err)
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

// stream opens the generation and follows it, resuming over new connections
// when it stalls or breaks.
func (r *relay) stream(open func(context.Context) (*backend.Stream, error)) error {
	err := r.follow("engine.stream", open)
	progress := time.Now()
	for resumes := 1; err != nil && resumable(err) && r.c.ctx.Err() == nil && r.mayResume(resumes, progress); resumes++ {
		r.f.counter.resumes.Inc(1)
		r.c.log.Warn("stream_resumed", zap.String("backend", r.target.ID), zap.Int("offset", r.offset), zap.Error(err))
		r.f.Engines.CloseIdle()
		if resumes > 1 && !pause(r.c.ctx, retry.Backoff(resumes-1, resumeBase, resumeLimit)) {
			return err
		}
		before := r.offset
		err = r.follow("engine.resume", r.reopen)
		if r.offset > before {
			resumes, progress = 0, time.Now()
		}
	}
	return err
}

func (r *relay) mayResume(resumes int, progress time.Time) bool {
	if !r.seen {
		return resumes <= maxResumesFirstToken
	}
	return resumes <= maxResumes && time.Since(progress) < maxSilentResumes*r.f.Config.Timeouts.StreamIdle.Std()
}

func (r *relay) reopen(ctx context.Context) (*backend.Stream, error) {
	return r.f.Engines.Resume(ctx, r.target, r.generation, r.offset,
		r.f.Config.Timeouts.StreamIdle.Std(), r.f.Config.Timeouts.StreamIdle.Std())
}

// resumeOnly serves a caller that lost its connection to a generation.
func (r *relay) resumeOnly() error {
	err := r.stream(r.reopen)
	switch {
	case err == nil:
		return r.sink.finish()
	case r.c.ctx.Err() != nil:
		return r.callerLeft()
	case r.sink.started():
		return r.sink.fail(r.interrupted(err))
	}
	if rejected, ok := errors.Into[*backend.RejectedError](err); ok && rejected.Status == http.StatusNotFound {
		return generationGone(err)
	}
	return r.interrupted(err)
}

// follow reads one connection until it ends.
func (r *relay) follow(name string, open func(context.Context) (*backend.Stream, error)) error {
	ctx, span := r.f.Tracer.Start(r.c.ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		telemetry.AttrBackend.String(r.target.ID), telemetry.AttrGeneration.String(r.generation.String()),
		telemetry.AttrOffset.Int(r.offset)))
	defer func() {
		span.SetAttributes(telemetry.AttrTokens.Int(r.offset))
		span.End()
	}()
	stream, err := open(ctx)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := r.forward(token); err != nil {
			return err
		}
	}
}

func (r *relay) forward(token backend.Token) error {
	r.observe(token)
	if err := r.sink.token(r.generation, token); err != nil {
		return err
	}
	r.offset = token.Offset
	r.c.tokens++
	r.seen = r.seen || r.sink.started()
	if r.ticket != nil && r.offset%progressStep == 0 {
		r.ticket.Progress(r.offset)
	}
	return nil
}

func (r *relay) observe(token backend.Token) {
	now := time.Now()
	if r.lastToken.IsZero() {
		r.f.counter.firstToken.Update(now.Sub(r.started).Microseconds())
	} else {
		r.f.counter.gap.Update(now.Sub(r.lastToken).Microseconds())
	}
	r.lastToken = now
	r.f.counter.tokens.Inc(1)
	if token.Preempted {
		r.f.counter.preemptions.Inc(1)
		if r.ticket != nil {
			r.ticket.Preempted()
		}
	}
}

// callerLeft ends a request whose caller is gone. A streamed generation goes
// on for a while, so that the caller can resume it on any VM; an answer that
// was not streamed cannot be resumed and is cancelled.
func (r *relay) callerLeft() error {
	if !r.seen && r.generation.Backend != "" {
		r.cancelGeneration()
	}
	return api.NewProblem(api.ProblemStreamInterrupted, statusClientClosedRequest, api.OutcomeUnknown,
		"the caller closed the connection").WithCause(r.c.ctx.Err())
}

// statusClientClosedRequest is only logged; nobody is left to receive it.
const statusClientClosedRequest = 499

func (r *relay) cancelGeneration() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.c.ctx), cancelTimeout)
	target, generation := r.target, r.generation
	r.f.background.Go(func() {
		defer cancel()
		if err := r.f.Engines.Cancel(ctx, target, generation); err != nil {
			r.c.log.Debug("cancel_failed", zap.String("backend", target.ID), zap.Error(err))
		}
	})
}

func (r *relay) interrupted(cause error) *api.Problem {
	return api.NewProblem(api.ProblemStreamInterrupted, http.StatusBadGateway, api.OutcomeFailed,
		"the generation ended before it was complete").WithCause(cause)
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
