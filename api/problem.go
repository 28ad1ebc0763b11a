package api

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome states what is known about the execution of a failed request.
type Outcome string

const (
	// OutcomeNotRun means that the request was not executed.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have been executed, or may still be
	// running.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means that the request was executed but did not complete.
	OutcomeFailed Outcome = "failed"
)

// ProblemType identifies a kind of failure. It is the last segment of the
// problem document's type URI.
type ProblemType string

// Problem types of the caller API.
const (
	ProblemInvalidRequest      ProblemType = "invalid-request"
	ProblemBodyTooLarge        ProblemType = "body-too-large"
	ProblemBodyTimeout         ProblemType = "body-timeout"
	ProblemNotFound            ProblemType = "not-found"
	ProblemUnauthorised        ProblemType = "unauthorised"
	ProblemUnknownModel        ProblemType = "unknown-model"
	ProblemUnknownRoute        ProblemType = "unknown-route"
	ProblemNoBundle            ProblemType = "no-bundle"
	ProblemDraining            ProblemType = "draining"
	ProblemNoMemory            ProblemType = "no-memory"
	ProblemQueueFull           ProblemType = "queue-full"
	ProblemQueueTimeout        ProblemType = "queue-timeout"
	ProblemNoBackend           ProblemType = "no-backend"
	ProblemRetryBudget         ProblemType = "retry-budget-exhausted"
	ProblemBackendUnavailable  ProblemType = "backend-unavailable"
	ProblemBackendFailed       ProblemType = "backend-failed"
	ProblemStreamInterrupted   ProblemType = "stream-interrupted"
	ProblemGenerationGone      ProblemType = "generation-gone"
	ProblemOutcomeUnknown      ProblemType = "outcome-unknown"
	ProblemClaimUnavailable    ProblemType = "claim-unavailable"
	ProblemIdempotencyKey      ProblemType = "idempotency-key-invalid"
	ProblemIdempotencyExpired  ProblemType = "idempotency-key-expired"
	ProblemIdempotencyMismatch ProblemType = "idempotency-key-reused"
	ProblemAnswerTooLarge      ProblemType = "answer-too-large"
	ProblemPromptQuarantined   ProblemType = "prompt-quarantined"
	ProblemRequestQuarantined  ProblemType = "request-quarantined"
	ProblemInternal            ProblemType = "internal"
)

// problemURIPrefix makes problem types absolute URIs, as RFC 9457 recommends.
const problemURIPrefix = "urn:vanillaarch:problem:"

// Problem is an RFC 9457 problem document with the outcome of the request.
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
	TraceID string  `json:"trace_id,omitempty"`
	// RetryAfter is sent as the Retry-After header. The frontend rounds it up to whole
	// seconds; the gateway sends hundredths of a second.
	RetryAfter time.Duration `json:"-"`
	// Cause is the underlying error. It is logged, but never sent to the caller.
	Cause error `json:"-"`
}

// NewProblem returns a problem document of the given type, HTTP status and outcome.
func NewProblem(t ProblemType, status int, outcome Outcome, detail string) *Problem {
	return &Problem{
		Type:    problemURIPrefix + string(t),
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome,
	}
}

// Kind returns the last segment of the problem's type URI.
func (p *Problem) Kind() ProblemType {
	if len(p.Type) < len(problemURIPrefix) {
		return ProblemType(p.Type)
	}
	return ProblemType(p.Type[len(problemURIPrefix):])
}

// WithCause sets the underlying error and returns p.
func (p *Problem) WithCause(err error) *Problem {
	p.Cause = err
	return p
}

// WithRetryAfter sets the Retry-After header and returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

func (p *Problem) Error() string {
	return fmt.Sprintf("%s (outcome %s): %s", p.Kind(), p.Outcome, p.Detail)
}

func (p *Problem) Unwrap() error { return p.Cause }
