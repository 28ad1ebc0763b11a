// Package backend implements the HTTP clients for inference engines, plain
// services and proxied requests. None of them retries a request that starts work
// on a backend server.
package backend

import (
	"fmt"
	"io"
	"net/http"
	"syscall"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/httphead"
)

// NotSentError reports that no part of a request was sent to the backend server.
type NotSentError struct {
	Backend string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("backend %s: request not sent: %v", e.Backend, e.Cause)
}

func (e *NotSentError) Unwrap() error { return e.Cause }

// UncertainError reports a request that may have reached the backend server but
// received no complete response.
type UncertainError struct {
	Backend string
	Cause   error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("backend %s: result unknown: %v", e.Backend, e.Cause)
}

func (e *UncertainError) Unwrap() error { return e.Cause }

// ConnectionLost reports whether a backend server closed or reset the connection of a
// request that it may have run.
func ConnectionLost(err error) bool {
	if _, notSent := errors.Into[*NotSentError](err); notSent {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// UndelimitedError reports a response with neither a Content-Length nor chunked
// encoding. Its end cannot be distinguished from a broken connection.
type UndelimitedError = httphead.UndelimitedError

// RejectedError reports that an engine answered a request with a status other than 200.
type RejectedError struct {
	Backend string
	Status  int
	// Paused is set if the engine asked for a pause, which is no failure.
	Paused bool
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("backend %s: request rejected with status %d", e.Backend, e.Status)
}

// ProvesNotStarted reports whether the status, in response to a start request,
// proves that the generation was not started. Other statuses, such as 500 or 504,
// may also come from an engine that failed after starting the generation.
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

// StalledError reports a stream that delivered no event within the first-token or
// idle timeout.
type StalledError struct {
	Backend    string
	Generation string
}

func (e *StalledError) Error() string {
	return fmt.Sprintf("backend %s: stream of generation %s stalled", e.Backend, e.Generation)
}

// TruncatedError reports a stream that ended without its end marker.
type TruncatedError struct {
	Backend    string
	Generation string
	Cause      error
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("backend %s: stream of generation %s ended without its end marker: %v", e.Backend, e.Generation, e.Cause)
}

func (e *TruncatedError) Unwrap() error { return e.Cause }

// UnexpectedEventError reports an event that is malformed, belongs to another
// generation or skips tokens.
type UnexpectedEventError struct {
	Backend string
	Want    string
	Got     string
}

func (e *UnexpectedEventError) Error() string {
	return fmt.Sprintf("backend %s: unexpected stream event %q, want %q", e.Backend, e.Got, e.Want)
}

// GenerationFailedError reports an error event in the stream of a generation.
type GenerationFailedError struct {
	Backend string
	Detail  string
}

func (e *GenerationFailedError) Error() string {
	return fmt.Sprintf("backend %s: generation failed: %s", e.Backend, e.Detail)
}

// ResponseTooLargeError reports a response body larger than the configured limit.
type ResponseTooLargeError struct {
	Backend string
	Limit   int64
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("backend %s: response body exceeds %d bytes", e.Backend, e.Limit)
}
