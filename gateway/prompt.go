package gateway

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/route"
)

// minSuccessEvents is the number of events from which a run counts as having written. The
// first one may leave an engine that is about to crash.
const minSuccessEvents = 2

// newQuarantineRequest returns a stream to a pool of engines as package quarantine knows it.
func newQuarantineRequest(pool string, info edge.RequestInfo) *quarantine.Request {
	return quarantine.NewRequest(info.ID, quarantine.Content{Pool: pool, Parts: sharedParts(info.Prefix)})
}

// sharedParts returns the ids of the parts of a prompt that other requests may share.
func sharedParts(prefix []edge.PromptPart) []string {
	var ids []string
	for _, part := range prefix[:max(len(prefix)-1, 0)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// checkPrompt returns a *quarantine.RefusedError if the request must not be sent. A run
// that has written may continue.
func (s *stream) checkPrompt() error {
	if s.succeeded {
		return nil
	}
	return s.g.Prompts.Check(s.prompt)
}

// reportPromptFailure reports a run whose engine broke the connection before it had
// written.
func (s *stream) reportPromptFailure(seg *segment, err error) {
	if s.succeeded || s.ctx.Err() != nil || !brokenOff(err) {
		return
	}
	s.failedBeforeSuccess = true
	s.g.Prompts.RunFailed(s.prompt, seg.vm, seg.started)
}

// reportPromptSuccess reports once that the run has written.
func (s *stream) reportPromptSuccess() {
	if s.succeeded {
		return
	}
	s.succeeded = true
	s.g.Prompts.RunSucceeded(s.prompt)
}

// brokenOff reports whether an engine closed or reset the connection of a run, or ended
// its response within an event.
func brokenOff(err error) bool {
	_, partial := errors.Into[*PartialEventError](err)
	return partial || backend.ConnectionLost(err)
}

// promptRefused returns the problem of a request that is in quarantine and has not run.
func promptRefused(refused *quarantine.RefusedError) *api.Problem {
	return api.NewProblem(api.ProblemPromptQuarantined, http.StatusServiceUnavailable, api.OutcomeNotRun,
		"requests with the same parts of the prompt have crashed engines").WithRetryAfter(refused.RetryAfter).WithCause(refused)
}

// poolName returns the name of the engines that may run the request.
func (s *stream) poolName() string { return route.PoolName(s.service.Name, s.info.Model) }
