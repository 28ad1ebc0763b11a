package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/httphead"
	"github.com/vanillaarch/vanillaarch/internal/listen"
	"github.com/vanillaarch/vanillaarch/membudget"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// admit finds the route, authenticates the caller, sets the deadline and selects
// the service.
func (c *call) admit() error {
	if c.snap.Routes == nil {
		return notReady("no configuration is in force on this VM")
	}
	path, _, _ := strings.Cut(c.target(), "?")
	var ok bool
	if c.route, ok = c.snap.Routes.Match(c.r.Host, path); !ok {
		if err := c.checkFresh(); err != nil {
			return err // A newer configuration may contain the route.
		}
		return api.NewProblem(api.ProblemUnknownRoute, http.StatusNotFound, api.OutcomeNotRun, "no route matches")
	}
	if err := c.authenticate(); err != nil {
		return err
	}
	timeout := c.info.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.deadline = c.arrived + min(timeout, c.route.Timeout)
	c.service = c.snap.Routes.Service(c.pickTarget())
	if c.service == nil {
		return api.NewProblem(api.ProblemNoBackend, http.StatusServiceUnavailable, api.OutcomeNotRun,
			"the service of the route is unknown").WithRetryAfter(time.Second)
	}
	if err := c.checkConfirmed(); err != nil {
		return err
	}
	return c.adoptRegions()
}

// authenticate sets the organisation of the caller's API key.
func (c *call) authenticate() error {
	if !c.snap.Routes.NeedsKey(c.route) {
		return nil
	}
	if err := c.checkFresh(); err != nil {
		return err // A newer configuration may have added or revoked the key.
	}
	var ok bool
	if c.organisation, ok = c.snap.Routes.OrganisationByKey(c.info.Key); !ok {
		return api.NewProblem(api.ProblemUnauthorised, http.StatusUnauthorized, api.OutcomeNotRun,
			"the API key is missing or unknown")
	}
	return nil
}

// checkConfirmed rejects an authenticated request while the configuration is too
// old to tell whether its key has been revoked. It is called again right before a
// request is sent, since the VM may have been suspended in between.
func (c *call) checkConfirmed() error {
	if c.organisation == nil {
		return nil
	}
	return c.checkFresh()
}

// checkFresh rejects the request if the configuration has not been confirmed
// recently enough.
func (c *call) checkFresh() error {
	snap := c.g.Snapshot()
	if c.g.confirmed(snap) {
		return nil
	}
	c.log.Debug("configuration_unconfirmed", zap.Duration("age", boottime.Now()-snap.RoutesConfirmed),
		zap.Int64("version", snap.Routes.Version))
	return notReady("the configuration has not been confirmed recently")
}

// confirmed reports whether the configuration was confirmed as the newest one
// recently enough for requests with a key. A bound of 0 disables the check.
func (g *Gateway) confirmed(snap *control.Snapshot) bool {
	bound := g.Bounds().Revoke
	return bound == 0 || snap.ConfirmedWithin(boottime.Now(), bound-confirmMargin)
}

// pickTarget returns the service of the route. If the traffic is split, it selects
// by weight.
func (c *call) pickTarget() string {
	targets := c.route.Targets
	if len(targets) == 1 {
		return targets[0].Service
	}
	total := 0.0
	for _, t := range targets {
		total += t.Weight
	}
	// The hash of the request id is uniformly distributed. A retry by the caller has
	// another id and may go to another service.
	point := hashFraction(c.info.ID) * total
	for _, t := range targets {
		if point -= t.Weight; point < 0 {
			return t.Service
		}
	}
	return targets[len(targets)-1].Service
}

// readBody buffers the whole body, so that an attempt can be retried and a slow
// caller does not slow down a backend server.
func (c *call) readBody() error {
	if c.r.Body == nil || c.r.Body == http.NoBody {
		if err := c.memory.AddHead(c.headMemory()); err != nil {
			return c.noMemory(err)
		}
		return nil
	}
	control := http.NewResponseController(c.w)
	limited, release := c.g.drain.limit(c.r.Context(), noTime)
	defer release()
	defer context.AfterFunc(limited, func() { c.endRead(control) })()
	if err := control.SetReadDeadline(time.Now().Add(c.remaining())); err != nil {
		c.log.Debug("read_deadline_failed", telemetry.Error(err))
	}
	body, err := c.bufferBody(limited)
	if err == nil {
		c.clearReadDeadline(control)
	}
	if tooLarge, ok := errors.Into[*http.MaxBytesError](err); ok {
		return api.NewProblem(api.ProblemBodyTooLarge, http.StatusRequestEntityTooLarge, api.OutcomeNotRun,
			"the body exceeds the limit").WithCause(tooLarge)
	}
	if full, ok := errors.Into[*membudget.ExceededError](err); ok {
		return c.noMemory(full)
	}
	if err != nil {
		c.recordBodyError(err)
		listen.ExpectInput(c.r.Context())
		// http.Server would wait for the rest of the body before it sends the answer.
		c.w.Header().Set("Connection", "close")
		c.expireRead(control)
		return api.NewProblem(api.ProblemBodyTimeout, http.StatusRequestTimeout, api.OutcomeNotRun,
			"the body did not arrive").WithCause(err)
	}
	c.body = body
	return nil
}

// headMemory returns the memory that the request takes beside its body. The header exists
// twice while an attempt is in progress.
func (c *call) headMemory() int64 { return requestBaseBytes + 2*httphead.Size(c.r.Header) }

// noMemory returns the problem of a request for which the VM has no memory.
func (c *call) noMemory(cause error) error {
	c.log.Warn("request_memory_refused", zap.Int64("bytes", c.r.ContentLength), zap.Int64("head_bytes", c.headMemory()),
		zap.Int64("used", c.g.requestBudget.Used()), telemetry.Error(cause))
	c.g.Metrics.requestsWithoutMemory.Inc(1)
	return notReady("the VM has no memory for the request").WithCause(cause)
}

// bufferBody reads the body into memory of the budget for requests. Without memory it reads
// and drops the body, since a caller that is still sending may not see an answer, and returns
// a *membudget.ExceededError.
func (c *call) bufferBody(ctx context.Context) ([]byte, error) {
	limit := c.snap.Routes.Limits.BodyBytes
	reader := http.MaxBytesReader(c.w, c.r.Body, limit)
	size := initialBufferBytes
	if n := c.r.ContentLength; n >= 0 && n <= limit {
		size = int(n) + bytes.MinRead // The end of the body is read without a larger buffer.
	}
	err := c.memory.AddHead(c.headMemory())
	if err == nil {
		err = awaitMemory(ctx, c.memory, size)
	}
	if err == nil {
		var body []byte
		if body, err = readInto(c.memory, make([]byte, 0, size), reader, int(limit)); err == nil {
			return body, nil
		}
	}
	if _, ok := errors.Into[*membudget.ExceededError](err); ok {
		if _, dropErr := io.Copy(io.Discard, reader); dropErr != nil {
			c.recordBodyError(dropErr)
			c.log.Debug("body_not_dropped", telemetry.Error(dropErr))
		}
	}
	return nil, err
}

// recordBodyError records an error of a read of the body. http.Server ends the context of the
// request after any, also after one of a time limit of this VM.
func (c *call) recordBodyError(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.bodyLate.Store(true)
	}
}

// clearReadDeadline ends the time limit for the body, which must not end the watch for the
// caller's leaving.
func (c *call) clearReadDeadline(control *http.ResponseController) {
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		c.log.Debug("read_deadline_failed", telemetry.Error(err))
	}
}

// discardBody reads the rest of the body of a request that is refused before its body was read.
func (c *call) discardBody() {
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return
	}
	if err := listen.DiscardBody(c.w, c.r, c.untilStop); err != nil {
		c.recordBodyError(err)
		c.log.Debug("body_not_dropped", telemetry.Error(err))
	}
}

// endRead ends the read of a body because the VM stops, or after the caller has disconnected. The
// body may have ended in the same moment. What fails then is the read by which http.Server
// watches for the caller's leaving.
func (c *call) endRead(control *http.ResponseController) {
	if c.r.Context().Err() == nil {
		c.bodyLate.Store(true)
	}
	c.expireRead(control)
}

// expireRead ends the read of a body, so that a request of which the rest does not arrive
// gets its answer.
func (c *call) expireRead(control *http.ResponseController) {
	if err := control.SetReadDeadline(time.Unix(1, 0)); err != nil {
		c.log.Debug("read_deadline_failed", telemetry.Error(err))
	}
}
