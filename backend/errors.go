// Package backend has the HTTP clients for inference engines and plain
// services. Neither client repeats a request by itself.
package backend

import (
	"fmt"
	"net/http"
)

// NotSentError reports that no byte of a request left for the backend server.
type NotSentError struct {
	Backend string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("backend %s: request not sent: %v", e.Backend, e.Cause)
}

func (e *NotSentError) Unwrap() error { return e.Cause }

// UncertainError reports a request that may have reached the backend server
// and got no complete answer.
type UncertainError struct {
	Backend string
	Cause   error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("backend %s: result unknown: %v", e.Backend, e.Cause)
}

func (e *UncertainError) Unwrap() error { return e.Cause }

// UndelimitedError reports an answer with neither a length nor chunks. Its end
// cannot be told from a broken connection.
type UndelimitedError struct{}

func (e *UndelimitedError) Error() string { return "the answer has neither a length nor chunks" }

// RejectedError reports that an engine refused to start or resume a generation.
type RejectedError struct {
	Backend string
	Status  int
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("backend %s: rejected with status %d", e.Backend, e.Status)
}

// ProvesNotStarted reports whether the status, as the answer to a start,
// proves that no generation runs. Statuses outside the list, such as 500 or
// 504, are also sent by an engine that failed after it had started.
func (e *RejectedError) ProvesNotStarted() bool {
	switch e.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
		http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType,
		http.StatusUnprocessableEntity, http.StatusTooManyRequests, http.StatusRequestHeaderFieldsTooLarge,
		http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// StalledError reports a stream on which nothing arrived within the idle timeout.
type StalledError struct {
	Backend    string
	Generation string
}

func (e *StalledError) Error() string {
	return fmt.Sprintf("backend %s: stream %s is stalled", e.Backend, e.Generation)
}

// TruncatedError reports a stream that ended without its finish marker.
type TruncatedError struct {
	Backend    string
	Generation string
	Cause      error
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("backend %s: stream %s ended without finish marker: %v", e.Backend, e.Generation, e.Cause)
}

func (e *TruncatedError) Unwrap() error { return e.Cause }

// UnexpectedEventError reports an event that belongs to another generation or skips tokens.
type UnexpectedEventError struct {
	Backend string
	Want    string
	Got     string
}

func (e *UnexpectedEventError) Error() string {
	return fmt.Sprintf("backend %s: got event %q, want %q", e.Backend, e.Got, e.Want)
}

// GenerationFailedError reports an error event sent by the engine.
type GenerationFailedError struct {
	Backend string
	Detail  string
}

func (e *GenerationFailedError) Error() string {
	return fmt.Sprintf("backend %s: generation failed: %s", e.Backend, e.Detail)
}

// ResponseTooLargeError reports an answer above the configured limit.
type ResponseTooLargeError struct {
	Backend string
	Limit   int64
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("backend %s: answer exceeds %d bytes", e.Backend, e.Limit)
}
