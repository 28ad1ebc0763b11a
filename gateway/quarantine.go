package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// minSuccessEvents is the number of events from which a run counts as having written. The
// first one may leave an engine that is about to crash.
const minSuccessEvents = 2

// crashCheckTimeout bounds the connection by which a VM tells a server that has crashed from
// one that lost an answer. Zones are a few milliseconds apart.
const crashCheckTimeout = 100 * time.Millisecond

// content returns what identifies the request, and the parts of its prompt if it is a stream.
func (c *call) content() quarantine.Content {
	content := quarantine.Content{
		Method: c.r.Method, Target: c.target(), Organisation: c.organisationName(), Body: c.body, Prompt: promptOf(c.info),
	}
	if c.route.Kind == route.Stream {
		content.Pool, content.Parts = c.poolName(), sharedParts(c.info.Prefix)
	}
	return content
}

// promptOf returns the model and the ids of all parts of a prompt.
func promptOf(info edge.RequestInfo) []string {
	prompt := []string{info.Model}
	for _, part := range info.Prefix {
		prompt = append(prompt, part.ID)
	}
	return prompt
}

// sharedParts returns the ids of the parts of a prompt that other requests may share.
func sharedParts(prefix []edge.PromptPart) []string {
	var ids []string
	for _, part := range prefix[:max(len(prefix)-1, 0)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// poolName returns the name of the engines that may run the request.
func (c *call) poolName() string { return route.PoolName(c.service.Name, c.info.Model) }

// checkQuarantine returns a *quarantine.RefusedError if the request must not be sent. A run
// that has written may continue.
func (c *call) checkQuarantine() error {
	if c.run != nil && c.run.succeeded {
		return nil
	}
	return c.g.Quarantine.Check(c.identity)
}

// untilRefused returns a context for waiting for a backend server. It ends with parent, and
// when a rule on the request is added, with a *quarantine.RefusedError as its cause.
func (c *call) untilRefused(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := c.g.Quarantine.Watch(c.identity, cancel)
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// whileAllowed returns a context in which a request to a plain service waits for a server. It
// ends when the caller leaves, when the request would not end before the VM stops, and when
// a rule on the request is added, which release keeps as the cause.
func (c *call) whileAllowed() (waiting context.Context, release func()) {
	fits, releaseFits := c.whileFits(c.r.Context())
	waiting, cancel := c.untilRefused(fits)
	return waiting, func() {
		c.refusedWaiting = refusedWhileWaiting(waiting)
		cancel()
		releaseFits()
	}
}

// refusedWhileWaiting returns the *quarantine.RefusedError that ended a context of
// untilRefused, nil if there is none.
func refusedWhileWaiting(ctx context.Context) error {
	if refused, ok := errors.Into[*quarantine.RefusedError](context.Cause(ctx)); ok {
		return refused
	}
	return nil
}

// isQuarantined reports whether a request was not sent since a rule refuses it.
func isQuarantined(err error) bool {
	_, refused := errors.Into[*quarantine.RefusedError](err)
	return refused
}

// reportAttempt tells the quarantine what became of an attempt at a plain server. Any
// complete answer shows that the server has survived the request.
func (c *call) reportAttempt(vm vmlist.VM, started time.Duration, answer *plainResponse, err error) {
	switch {
	case err == nil && !answer.info.NotRun && !c.fromOtherServer(answer.status):
		c.g.Quarantine.RunSucceeded(c.identity)
	case backend.ConnectionLost(err):
		c.logFailedRun(vm, err)
		c.g.Quarantine.RunFailed(c.identity, vm, started)
	}
}

// mayRepeatAfter reports whether the request may be sent to another server after an attempt
// that ended with err. A request that may have crashed its server is left to the caller: a
// repeat could take the next server from all callers a moment later. A server that lost an
// answer still accepts connections.
func (c *call) mayRepeatAfter(ctx context.Context, vm vmlist.VM, err error) bool {
	if !backend.ConnectionLost(err) {
		return true
	}
	if !c.g.Quarantine.MayRepeat(c.identity) {
		c.log.Info("repeat_withheld", zap.String("backend", vm.ID), zap.String("reason", "other crashes"))
		return false
	}
	if err := backend.CheckListening(ctx, backend.TargetOf(vm), crashCheckTimeout); err != nil {
		c.log.Info("repeat_withheld", zap.String("backend", vm.ID), zap.String("reason", "server gone"), telemetry.Error(err))
		return false
	}
	return true
}

// reportRunFailure reports a run whose engine broke the connection before it had written.
func (s *stream) reportRunFailure(seg *segment, err error) {
	if s.succeeded || s.ctx.Err() != nil || !brokenOff(err) {
		return
	}
	s.failedBeforeSuccess = true
	s.g.Quarantine.RunFailed(s.identity, seg.vm, seg.started)
}

// reportRunSuccess reports once that the run has written.
func (s *stream) reportRunSuccess() {
	if s.succeeded {
		return
	}
	s.succeeded = true
	s.g.Quarantine.RunSucceeded(s.identity)
}

// brokenOff reports whether an engine closed or reset the connection of a run, or ended
// its response within an event.
func brokenOff(err error) bool {
	_, partial := errors.Into[*PartialEventError](err)
	return partial || backend.ConnectionLost(err)
}

// quarantineProblem returns the problem of a request that is in quarantine and has not run.
func quarantineProblem(refused *quarantine.RefusedError) *api.Problem {
	kind, detail := api.ProblemPromptQuarantined, "requests with the same parts of the prompt have crashed engines"
	if refused.Request {
		kind, detail = api.ProblemRequestQuarantined, "the same request has crashed backend servers"
	}
	return api.NewProblem(kind, http.StatusServiceUnavailable, api.OutcomeNotRun, detail).
		WithRetryAfter(refused.RetryAfter).WithCause(refused)
}

// logFailedRun logs a request whose server broke the connection. The content is the same for
// each repeat of the request, whatever its id.
func (c *call) logFailedRun(vm vmlist.VM, err error) {
	c.log.Info("server_failed_run", zap.String("backend", vm.ID), zap.Duration("server_age", serverAge(vm)),
		zap.String("organisation", c.organisationName()), c.contentField(), telemetry.Error(err))
}

// contentField returns the log field with the id of the whole request.
func (c *call) contentField() zap.Field {
	return zap.String("content", strconv.FormatUint(uint64(c.identity.Whole), 16))
}
