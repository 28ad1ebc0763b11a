package quarantine

import (
	"net/http"

	"github.com/vanillaarch/vanillaarch/api"
)

// Problem returns the answer to a request that is refused and has not run.
func (e *RefusedError) Problem() *api.Problem {
	kind, detail := api.ProblemPromptQuarantined, "requests with the same parts of the prompt have crashed engines"
	if e.Request {
		kind, detail = api.ProblemRequestQuarantined, "the same request has crashed backend servers"
	}
	return api.NewProblem(kind, http.StatusServiceUnavailable, api.OutcomeNotRun, detail).WithRetryAfter(e.RetryAfter).WithCause(e)
}
