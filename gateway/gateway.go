package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/retry"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// Options are the collaborators of a Gateway.
type Options struct {
	VM, Zone string
	// MemoryBytes is the memory of the VM, 0 if it is not known.
	MemoryBytes int64
	// Bounds returns the bounds in force.
	Bounds    func() *config.Bounds
	Snapshot  func() *control.Snapshot
	Admission dispatch.Admission
	Exchanges *backend.HTTPClient
	// Breaker tracks engines that accept no connection.
	Breaker *backend.Breaker
	Engines edge.EngineClient
	Edge    edge.Codec
	Log     *zap.Logger
	Metrics *Metrics
}

// Gateway handles requests of callers.
type Gateway struct {
	Options
	budget   *retry.SharedBudget
	services *serviceLoad
	runs     *runTable
	replaced replacedServers
	drain    drainState
	held     *heldMemory
	// background tracks calls that outlive their request.
	background sync.WaitGroup
}

// New returns a gateway.
func New(o Options) *Gateway {
	return &Gateway{
		Options:  o,
		budget:   retry.NewSharedBudget(o.Bounds().RetryRatio, o.Bounds().RetrySlack, o.Bounds().RetryWindow),
		services: newServiceLoad(o.Zone),
		runs:     newRunTable(),
		held:     newHeldMemory(o.MemoryBytes),
	}
}

// Times of requests.
const (
	// confirmMargin is subtracted from the greatest age of a confirmed
	// configuration. It covers the time from the check to the backend server.
	confirmMargin = 400 * time.Millisecond
	// answerGrace is how long beyond the timeout of a route an answer is awaited
	// that its backend server gives at its own time limit.
	answerGrace = 100 * time.Millisecond
	// defaultPatience applies to callers that state no deadline.
	defaultPatience = 60 * time.Second
)

// call is the state of one request.
type call struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	log   *zap.Logger
	facts edge.Facts
	snap  *control.Snapshot
	route *route.Route
	// service is the target of the route that the request was assigned to.
	service      *route.Service
	organisation *route.Organisation
	body         []byte
	// hold is the memory of answers that the caller does not have yet.
	hold hold
	// arrived and deadline are on the clock of package boottime. deadline is
	// the earlier one of the caller's and the route's.
	arrived, deadline time.Duration
	// sends counts the requests that left for a backend server and reached it.
	sends int
	// mayHaveRun says that a backend server may have run the request.
	mayHaveRun bool
	status     int
	events     int
	// queued is the time spent on waiting for an engine, firstEvent the time to
	// the first event, longestPause the longest one between two events.
	queued, firstEvent, longestPause time.Duration
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{g: g, w: w, r: r, arrived: boottime.Now(), facts: g.Edge.Decode(r.Header), snap: g.Snapshot()}
	c.log = g.Log.With(zap.String("request", c.facts.ID))
	c.hold.memory = g.held
	defer c.hold.release()
	release := g.drain.enter()
	defer release()
	if g.drain.stopping() {
		w.Header().Set("Connection", "close")
	}
	err := c.serve()
	if errors.Is(err, errAborted) {
		c.finish(nil, "aborted")
		panic(http.ErrAbortHandler)
	}
	p := asProblem(err)
	if p != nil && c.r.Context().Err() == nil {
		c.reject(p)
	}
	c.finish(p, "")
}

// serve admits and answers the request.
func (c *call) serve() error {
	if err := c.admit(); err != nil {
		return err
	}
	if err := c.readBody(); err != nil {
		return err
	}
	// The configuration may have aged while the body arrived.
	if err := c.checkConfirmed(); err != nil {
		return err
	}
	if err := c.checkStopping(); err != nil {
		return err
	}
	c.g.budget.Request(c.service.Name, boottime.Now())
	if c.route.Kind == route.Stream {
		return c.stream()
	}
	return c.plain()
}

// admit finds the route and checks the key.
func (c *call) admit() error {
	if c.snap.Routes == nil {
		return notReady("no configuration is in force on this VM")
	}
	path, _, _ := strings.Cut(c.target(), "?")
	var ok bool
	if c.route, ok = c.snap.Routes.Match(c.r.Host, path); !ok {
		if err := c.checkFresh(); err != nil {
			return err // A newer configuration may have the route.
		}
		return api.NewProblem(api.ProblemUnknownRoute, http.StatusNotFound, api.OutcomeNotRun, "no route matches")
	}
	if err := c.identify(); err != nil {
		return err
	}
	patience := c.facts.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	c.deadline = c.arrived + min(patience, c.route.Timeout)
	c.service = c.snap.Routes.Service(c.pickTarget())
	if c.service == nil {
		return api.NewProblem(api.ProblemNoBackend, http.StatusServiceUnavailable, api.OutcomeNotRun,
			"the service of the route is unknown").WithRetryAfter(time.Second)
	}
	return c.checkConfirmed()
}

// identify finds the organisation of the caller's key.
func (c *call) identify() error {
	if !c.snap.Routes.NeedsKey(c.route) {
		return nil
	}
	if err := c.checkFresh(); err != nil {
		return err // A newer configuration may have the key, or no longer have it.
	}
	var ok bool
	if c.organisation, ok = c.snap.Routes.Identify(c.facts.Key); !ok {
		return api.NewProblem(api.ProblemUnauthorised, http.StatusUnauthorized, api.OutcomeNotRun,
			"the API key is missing or unknown")
	}
	return nil
}

// checkConfirmed refuses requests with a key while the configuration is too old
// to tell whether the key has been revoked. It is called again right before a
// request leaves, since the VM may have been suspended.
func (c *call) checkConfirmed() error {
	if c.organisation == nil {
		return nil
	}
	return c.checkFresh()
}

func (c *call) checkFresh() error {
	snap := c.g.Snapshot()
	if c.g.confirmed(snap) {
		return nil
	}
	c.log.Debug("configuration_unconfirmed", zap.Duration("age", boottime.Now()-snap.RoutesConfirmed),
		zap.Int64("version", snap.Routes.Version))
	return notReady("the configuration has not been confirmed recently")
}

// confirmed reports whether the configuration is known to have been the newest
// one recently enough for requests with a key.
func (g *Gateway) confirmed(snap *control.Snapshot) bool {
	bound := g.Bounds().Revoke
	return bound == 0 || boottime.Now()-snap.RoutesConfirmed <= bound-confirmMargin
}

// pickTarget returns the service of the route, by weight if it is split.
func (c *call) pickTarget() string {
	targets := c.route.Targets
	if len(targets) == 1 {
		return targets[0].Service
	}
	total := 0.0
	for _, t := range targets {
		total += t.Weight
	}
	// The id spreads evenly, and the attempts of a caller may go elsewhere.
	at := hashFraction(c.facts.ID) * total
	for _, t := range targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return targets[len(targets)-1].Service
}

// target returns path and query as the caller sent them.
func (c *call) target() string {
	if strings.HasPrefix(c.r.RequestURI, "/") {
		return c.r.RequestURI
	}
	return c.r.URL.RequestURI()
}

// readBody reads the whole body, so that an attempt can be repeated and does
// not depend on the pace of the caller.
func (c *call) readBody() error {
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return nil
	}
	control := http.NewResponseController(c.w)
	if err := control.SetReadDeadline(time.Now().Add(c.remaining())); err != nil {
		c.log.Debug("read_deadline_failed", telemetry.Error(err))
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, c.snap.Routes.Limits.BodyBytes))
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		c.log.Debug("read_deadline_failed", telemetry.Error(err))
	}
	if tooLarge, ok := errors.Into[*http.MaxBytesError](err); ok {
		return api.NewProblem(api.ProblemBodyTooLarge, http.StatusRequestEntityTooLarge, api.OutcomeNotRun,
			"the body exceeds the limit").WithCause(tooLarge)
	}
	if err != nil {
		return api.NewProblem(api.ProblemBodyTimeout, http.StatusRequestTimeout, api.OutcomeNotRun,
			"the body did not arrive").WithCause(err)
	}
	c.body = body
	return nil
}

// remaining is the time that is left for the answer.
func (c *call) remaining() time.Duration { return c.deadline - boottime.Now() }

// context returns the context of the attempts. It ends shortly after the
// deadline, and when the caller leaves unless the work must go on.
func (c *call) context(followsCaller bool) (context.Context, context.CancelFunc) {
	parent := c.r.Context()
	if !followsCaller {
		parent = context.WithoutCancel(parent)
	}
	return context.WithTimeout(parent, c.remaining()+answerGrace)
}

func (c *call) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}

// finish writes the line of the request.
func (c *call) finish(p *api.Problem, outcome string) {
	fields := []zap.Field{
		zap.Int("status", c.status), zap.Int("events", c.events), zap.Int("sends", c.sends),
		zap.Duration("elapsed", c.elapsed()),
	}
	if c.events > 0 {
		fields = append(fields, zap.Duration("queued", c.queued), zap.Duration("first_event", c.firstEvent),
			zap.Duration("longest_pause", c.longestPause), zap.Int("prompt_tokens", c.facts.PromptTokens),
			zap.Int("max_tokens", c.facts.MaxTokens), zap.Int("expected_tokens", c.facts.ExpectedTokens))
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name), zap.String("organisation", c.organisationName()))
	}
	if c.snap.Routes != nil {
		fields = append(fields, zap.Int64("version", c.snap.Routes.Version))
	}
	if c.r.Context().Err() != nil && outcome == "" {
		outcome = "caller_left"
	}
	switch {
	case p != nil:
		outcome = string(p.Outcome)
		fields = append(fields, zap.String("problem", string(p.Kind())), zap.String("detail", p.Detail))
		if p.Cause != nil {
			fields = append(fields, telemetry.NamedError("cause", p.Cause))
		}
	case outcome == "":
		outcome = "answered"
	}
	c.g.Metrics.finished(c, outcome)
	c.log.Info("request_done", append(fields, zap.String("outcome", outcome))...)
}

func (c *call) elapsed() time.Duration { return boottime.Now() - c.arrived }
