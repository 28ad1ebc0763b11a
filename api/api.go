// Package api defines the wire types of the caller API: completion requests,
// token events, event ids and problem documents.
package api

import (
	"strconv"
	"strings"
)

// Header names used between callers, VMs and backend servers.
const (
	HeaderGenerationID   = "X-Generation-Id"
	HeaderPriority       = "X-Priority"
	HeaderOrganisation   = "X-Organisation"
	HeaderFencingToken   = "X-Fencing-Token"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
	HeaderReplayed       = "Idempotent-Replayed"
	// HeaderLeaving is "1" in all answers of a backend server that is going to stop.
	HeaderLeaving = "X-Leaving"
)

// Content types of responses.
const (
	ContentTypeEventStream = "text/event-stream"
	ContentTypeProblem     = "application/problem+json"
	ContentTypeJSON        = "application/json"
)

// Stream markers. A stream that ends without DoneMarker or an error event is truncated.
const (
	DoneMarker = "[DONE]"
	EventError = "error"
)

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	// MaxTokens limits the number of generated tokens. Zero means the engine's limit.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Stream selects server-sent events instead of a single JSON response.
	Stream bool `json:"stream,omitempty"`
}

// Completion is the data of a token event, or the whole response to a request without
// Stream.
type Completion struct {
	ID      string   `json:"id"`
	Model   string   `json:"model,omitempty"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of a completion. vanillaarch returns exactly one.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Usage is the number of tokens that a request consumed and generated.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// EventID identifies a token by its generation and its offset. Offsets start at 1.
type EventID struct {
	Generation string
	Offset     int
}

// String returns the form used in the id field of server-sent events.
func (id EventID) String() string {
	return id.Generation + ":" + strconv.Itoa(id.Offset)
}

// ParseEventID parses the form written by EventID.String.
// It returns an *InvalidEventIDError for any other input.
func ParseEventID(s string) (EventID, error) {
	i := strings.LastIndexByte(s, ':') // The backend id may contain colons.
	if i < 0 {
		return EventID{}, &InvalidEventIDError{Value: s}
	}
	generation, offset := s[:i], s[i+1:]
	if _, err := ParseGenerationID(generation); err != nil {
		return EventID{}, &InvalidEventIDError{Value: s}
	}
	n, err := strconv.Atoi(offset)
	if err != nil || n < 0 || strconv.Itoa(n) != offset {
		return EventID{}, &InvalidEventIDError{Value: s}
	}
	return EventID{Generation: generation, Offset: n}, nil
}

// InvalidEventIDError reports an event id or generation id that cannot be parsed.
type InvalidEventIDError struct{ Value string }

func (e *InvalidEventIDError) Error() string {
	return "invalid event id " + strconv.Quote(e.Value)
}
