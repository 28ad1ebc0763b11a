package gateway

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/route"
)

// minSuccessEvents is the number of events from which a run counts as having written. The
// first one may leave an engine that is about to crash.
const minSuccessEvents = 2

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

// sharedParts returns the ids of the parts of a prompt that other requests may share: all but
// the last one.
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
// a rule on the request is added. release sets c.refusedWaiting if it was the rule.
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

// attempts reports the attempts of the request at plain servers.
func (c *call) attempts() quarantine.Attempts {
	return quarantine.Attempts{Guard: c.g.Quarantine, Request: c.identity, Log: c.log}
}

// hasRun reports whether a complete answer shows that its server has run the request.
func (c *call) hasRun(answer *plainResponse) bool {
	return answer != nil && !answer.info.NotRun && !c.fromOtherServer(answer.status)
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
