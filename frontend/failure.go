package frontend

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/retry"
	"github.com/vanillaarch/vanillaarch/serverstate"
)

// Retry-After values of rejected requests.
const (
	retryAfterQueue   = 2 * time.Second
	retryAfterBackend = time.Second
)

// provesNotStarted reports whether an error from Admission.Acquire or Engines.Start
// proves that no generation is running. Errors of a resume never prove that, so
// relay.attemptProblem also checks mayHaveRun.
func provesNotStarted(err error) bool {
	if _, ok := errors.Into[*backend.NotSentError](err); ok {
		return true
	}
	if rejected, ok := errors.Into[*backend.RejectedError](err); ok {
		return rejected.ProvesNotStarted()
	}
	return isAdmissionError(err) || isQuarantined(err)
}

// isAdmissionError reports whether err means that no ticket for an engine was granted.
func isAdmissionError(err error) bool {
	if _, ok := errors.Into[*dispatch.QueueFullError](err); ok {
		return true
	}
	if _, ok := errors.Into[*dispatch.QueueTimeoutError](err); ok {
		return true
	}
	_, ok := errors.Into[*dispatch.NoBackendError](err)
	return ok
}

// restartable reports whether the request may succeed on another engine.
func restartable(err error) bool {
	return !isAdmissionError(err) && !isAnswerTooLarge(err) && !isQuarantined(err)
}

// isQuarantined reports whether err means that the request is in quarantine.
func isQuarantined(err error) bool {
	_, ok := errors.Into[*quarantine.RefusedError](err)
	return ok
}

func isAnswerTooLarge(err error) bool {
	p, ok := errors.Into[*api.Problem](err)
	return ok && p.Kind() == api.ProblemAnswerTooLarge
}

// resumable reports whether the same generation may be continued over a new
// connection.
func resumable(err error) bool {
	if _, ok := errors.Into[*backend.StalledError](err); ok {
		return true
	}
	if _, ok := errors.Into[*backend.TruncatedError](err); ok {
		return true
	}
	if _, ok := errors.Into[*backend.UncertainError](err); ok {
		return true
	}
	_, ok := errors.Into[*backend.UnexpectedEventError](err)
	return ok
}

// failureProblem maps an error to a problem. It is used only before the first byte
// of the response is sent.
func failureProblem(err error) *api.Problem {
	if p, ok := errors.Into[*api.Problem](err); ok {
		return p
	}
	if exhausted, ok := errors.Into[*retry.ExhaustedError](err); ok {
		p := failureProblem(exhausted.Cause)
		return api.NewProblem(api.ProblemRetryBudget, p.Status, p.Outcome, "not repeated, since the retry budget is used up: "+p.Detail).
			WithRetryAfter(p.RetryAfter).WithCause(err)
	}
	if _, ok := errors.Into[*backend.ResponseTooLargeError](err); ok {
		return api.NewProblem(api.ProblemAnswerTooLarge, http.StatusBadGateway, api.OutcomeUnknown,
			"the call was sent and its answer is too large").WithCause(err)
	}
	if _, ok := errors.Into[*dispatch.QueueFullError](err); ok {
		return notRunProblem(api.ProblemQueueFull, http.StatusTooManyRequests, "too many requests are waiting", retryAfterQueue, err)
	}
	if _, ok := errors.Into[*dispatch.QueueTimeoutError](err); ok {
		return notRunProblem(api.ProblemQueueTimeout, http.StatusServiceUnavailable, "no engine had room in time", retryAfterQueue, err)
	}
	if _, ok := errors.Into[*dispatch.NoBackendError](err); ok {
		return notRunProblem(api.ProblemNoBackend, http.StatusServiceUnavailable, "no backend server is available", retryAfterPause(err), err)
	}
	if refused, ok := errors.Into[*quarantine.RefusedError](err); ok {
		return refused.Problem()
	}
	if provesNotStarted(err) {
		return notRunProblem(api.ProblemBackendUnavailable, http.StatusServiceUnavailable, "the backend server refused the request", retryAfterBackend, err)
	}
	if _, ok := errors.Into[*backend.GenerationFailedError](err); ok {
		return api.NewProblem(api.ProblemBackendFailed, http.StatusBadGateway, api.OutcomeFailed,
			"the backend server reported a failure").WithCause(err)
	}
	return api.NewProblem(api.ProblemBackendUnavailable, http.StatusBadGateway, api.OutcomeUnknown,
		"the backend server stopped answering").WithCause(err)
}

// retryAfterPause returns when a request that failed with err may be sent again: not before
// the first of the servers that have asked for a pause may be used.
func retryAfterPause(err error) time.Duration {
	if paused, ok := errors.Into[*dispatch.PausedError](err); ok {
		return max(paused.ResumeAt-boottime.Now(), retryAfterBackend)
	}
	if paused, ok := errors.Into[*serverstate.PausedError](err); ok {
		return max(paused.Until-boottime.Now(), retryAfterBackend)
	}
	return retryAfterBackend
}

// notRunProblem returns a problem with the outcome not_run.
func notRunProblem(t api.ProblemType, status int, detail string, retryAfter time.Duration, cause error) *api.Problem {
	return api.NewProblem(t, status, api.OutcomeNotRun, detail).WithRetryAfter(retryAfter).WithCause(cause)
}
