// Package frontend serves the caller API. It authenticates callers, obtains tickets
// for engines, relays tokens, resumes interrupted streams and drains the VM.
package frontend

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/claim"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/listen"
	"github.com/vanillaarch/vanillaarch/internal/recovery"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/requestbody"
	"github.com/vanillaarch/vanillaarch/retry"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// Options are the dependencies of a Frontend.
type Options struct {
	Config *config.Config
	// MemoryBytes is the memory of the VM, 0 if unknown.
	MemoryBytes int64
	// MaxStreams bounds the HTTP/2 requests in progress, 0 is no limit.
	MaxStreams int
	Snapshot   func() *control.Snapshot
	Admission  dispatch.Admission
	Engines    *backend.EngineClient
	Services   *backend.ServiceClient
	Claims     *claim.Manager
	// Quarantine tells which requests must not be sent to a backend server.
	Quarantine quarantine.Guard
	Servers    Servers
	Log        *zap.Logger
	Tracer     trace.Tracer
	Metrics    metrics.Registry
}

// Frontend handles the requests of callers on one VM.
type Frontend struct {
	Options
	budget  *retry.Budget
	drain   drainState
	counter counters
	// requests is the memory of requests in progress.
	requests *requestbody.Memory
	// streams is the number of HTTP/2 requests in progress.
	streams atomic.Int64
	// serviceCursor selects the first backend server of a service call, round robin.
	serviceCursor atomic.Uint64
	// background tracks cancellations of generations that may outlast their request.
	background sync.WaitGroup
}

// New returns a Frontend. Register adds its routes to a server.
func New(o Options) *Frontend {
	f := &Frontend{
		Options:  o,
		budget:   retry.NewBudget(o.Config.Limits.RetryRatio),
		counter:  newCounters(o.Metrics),
		requests: newRequestMemory(o.MemoryBytes, o.Config.Limits),
	}
	metrics.NewRegisteredFunctionalGauge("frontend.request_memory_bytes", o.Metrics, f.requests.Used)
	return f
}

// Close waits for cancellations of generations to end.
func (f *Frontend) Close() { f.background.Wait() }

// Register adds the routes and the error handler of the caller API to e.
func (f *Frontend) Register(e *echo.Echo) {
	e.HTTPErrorHandler = f.handleRoutingError
	e.Pre(f.limitStreams, f.limitUnreadBody)
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", f.readyz)
	e.POST("/v1/completions", f.instrumented("frontend.completion", f.completion))
	e.GET("/v1/generations/:generation", f.instrumented("frontend.resume", f.resumeByID))
	e.POST("/v1/services/:route", f.instrumented("frontend.service", f.service))
}

// handleRoutingError responds to requests that match no route.
func (f *Frontend) handleRoutingError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	f.discardBody(c)
	p := asProblem(err)
	if httpErr, ok := errors.Into[*echo.HTTPError](err); ok && httpErr.Code < http.StatusInternalServerError {
		p = api.NewProblem(api.ProblemNotFound, httpErr.Code, api.OutcomeNotRun, "no such path or method")
	}
	p.TraceID = telemetry.TraceID(telemetry.Extract(c.Request().Context(), c.Request().Header))
	_ = writeProblem(c, p) // A failed write means that the connection is closed.
}

// call is the state of one request of a caller.
type call struct {
	echo.Context
	ctx      context.Context
	index    *bundle.Index
	identity bundle.Identity
	span     trace.Span
	log      *zap.Logger
	// body is the body of a request that starts work, as sent.
	body []byte
	// answerLimit bounds a response that is not streamed, in bytes.
	answerLimit int64
	// bodyRead is set once the body of the request is read, or the read has failed.
	bodyRead bool
	// memory is what the request holds of the memory of requests, nil before readBody.
	memory *requestbody.Request
	// generation and tokens are set for the log line of the request.
	generation string
	tokens     int
}

type handler func(c *call) error

// instrumented wraps a handler with drain tracking, authentication, metrics, a span
// and the log line of the request.
func (f *Frontend) instrumented(name string, h handler) echo.HandlerFunc {
	return func(ec echo.Context) error {
		start := time.Now()
		ctx, span := f.Tracer.Start(telemetry.Extract(ec.Request().Context(), ec.Request().Header), name,
			trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(telemetry.AttrVM.String(f.Config.VMID)))
		defer span.End()
		open := listen.BeginRequest(ctx)
		defer listen.EndRequest(ctx)
		c := &call{
			Context: ec, ctx: ctx, span: span, answerLimit: f.Config.Limits.AnswerBytes,
			log: f.Log.With(zap.String("trace", telemetry.TraceID(ctx))),
		}
		f.counter.requests.Inc(1)
		if f.drain.draining() {
			// Callers then connect to another VM, and none sends a request over an
			// idle connection while the server closes it.
			ec.Response().Header().Set("Connection", "close")
		}
		err := recovery.Call(func() error {
			if !open {
				return f.noMemory(c, nil)
			}
			return f.admit(c, name, h)
		})
		if panicked, ok := errors.Into[*recovery.PanicError](err); ok {
			c.log.Error("request_panicked", zap.Error(panicked), zap.ByteString("stack", panicked.Stack))
			if ec.Response().Committed {
				panic(http.ErrAbortHandler)
			}
		}
		problem := asProblem(err)
		cut := problem != nil && problem.Status == statusClientClosedRequest && ec.Response().Committed
		if problem != nil {
			problem.TraceID = telemetry.TraceID(ctx)
			span.SetAttributes(telemetry.AttrOutcome.String(string(problem.Outcome)))
			f.counter.countFailure(problem.Outcome)
			if !ec.Response().Committed {
				if !c.bodyRead {
					f.discardBody(ec)
				}
				err = writeProblem(ec, problem)
			} else {
				err = nil
			}
		}
		f.logRequest(c, name, problem, time.Since(start))
		if cut {
			// http.Server would write the end of a whole answer, which a caller that has closed
			// only its half of the connection would take for one.
			panic(http.ErrAbortHandler)
		}
		return err
	}
}

// admit registers the request for the drain, authenticates its caller and runs h.
func (f *Frontend) admit(c *call, name string, h handler) error {
	release, ok := f.drain.enter(name + " " + telemetry.TraceID(c.ctx))
	if !ok {
		return api.NewProblem(api.ProblemDraining, http.StatusServiceUnavailable, api.OutcomeNotRun,
			"the VM is draining").WithRetryAfter(time.Second)
	}
	defer release()
	defer func() { c.memory.Release() }()
	if err := f.authenticate(c); err != nil {
		return err
	}
	return h(c)
}

func (f *Frontend) authenticate(c *call) error {
	c.index = f.Snapshot().Bundle
	if c.index == nil {
		return api.NewProblem(api.ProblemNoBundle, http.StatusServiceUnavailable, api.OutcomeNotRun,
			"no bundle is in force on this VM").WithRetryAfter(time.Second)
	}
	scheme, key, _ := strings.Cut(c.Request().Header.Get("Authorization"), " ")
	identity, ok := c.index.Identify(key)
	if !strings.EqualFold(scheme, "Bearer") || !ok {
		return api.NewProblem(api.ProblemUnauthorised, http.StatusUnauthorized, api.OutcomeNotRun,
			"the API key is missing or unknown")
	}
	c.identity = identity
	c.span.SetAttributes(telemetry.AttrOrganisation.String(identity.Organisation))
	return nil
}

func (f *Frontend) logRequest(c *call, name string, p *api.Problem, elapsed time.Duration) {
	fields := []zap.Field{
		zap.String("kind", name), zap.String("organisation", c.identity.Organisation),
		zap.String("generation", c.generation), zap.Int("tokens", c.tokens), zap.Duration("elapsed", elapsed),
	}
	if p == nil {
		c.log.Info("request_done", fields...)
		return
	}
	fields = append(fields, zap.String("problem", string(p.Kind())), zap.String("outcome", string(p.Outcome)),
		zap.String("detail", p.Detail))
	if p.Cause != nil {
		fields = append(fields, zap.NamedError("cause", p.Cause))
	}
	c.log.Warn("request_failed", fields...)
}

// asProblem returns the problem document of an error, or nil if err is nil.
func asProblem(err error) *api.Problem {
	if err == nil {
		return nil
	}
	if p, ok := errors.Into[*api.Problem](err); ok {
		return p
	}
	return api.NewProblem(api.ProblemInternal, http.StatusInternalServerError, api.OutcomeUnknown,
		"internal error").WithCause(err)
}

func (f *Frontend) readyz(c echo.Context) error {
	switch {
	case f.drain.draining():
		return c.String(http.StatusServiceUnavailable, "draining\n")
	case f.Snapshot().Bundle == nil:
		return c.String(http.StatusServiceUnavailable, "no bundle\n")
	default:
		return c.String(http.StatusOK, "ready\n")
	}
}

type counters struct {
	requests, tokens, restarts, resumes, preemptions, notRun, unknown, failed metrics.Counter
	withoutMemory, bodiesEvicted, streamsRefused                              metrics.Counter
	firstToken, gap                                                           metrics.Histogram
}

// sampleSize and sampleAlpha are the usual parameters of exponentially decaying
// samples in go-metrics, which give most weight to the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

func newCounters(r metrics.Registry) counters {
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return counters{
		requests:       metrics.GetOrRegisterCounter("frontend.requests", r),
		tokens:         metrics.GetOrRegisterCounter("frontend.tokens", r),
		restarts:       metrics.GetOrRegisterCounter("frontend.restarts", r),
		resumes:        metrics.GetOrRegisterCounter("frontend.resumes", r),
		preemptions:    metrics.GetOrRegisterCounter("frontend.preemptions", r),
		notRun:         metrics.GetOrRegisterCounter("frontend.outcome.not_run", r),
		unknown:        metrics.GetOrRegisterCounter("frontend.outcome.unknown", r),
		failed:         metrics.GetOrRegisterCounter("frontend.outcome.failed", r),
		withoutMemory:  metrics.GetOrRegisterCounter("frontend.requests_without_memory", r),
		bodiesEvicted:  metrics.GetOrRegisterCounter("frontend.bodies_evicted", r),
		streamsRefused: metrics.GetOrRegisterCounter("frontend.streams_refused", r),
		firstToken:     histogram("frontend.first_token_us"),
		gap:            histogram("frontend.token_gap_us"),
	}
}

func (c *counters) countFailure(o api.Outcome) {
	switch o {
	case api.OutcomeNotRun:
		c.notRun.Inc(1)
	case api.OutcomeUnknown:
		c.unknown.Inc(1)
	default:
		c.failed.Inc(1)
	}
}
