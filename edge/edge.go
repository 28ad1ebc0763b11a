// Package edge defines the interface between the request path and the protocol of
// callers and backend servers: protocol-independent metadata of requests, attempts
// and answers, and the interfaces that translate them.
package edge

import (
	"net/http"
	"time"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// RequestInfo is the metadata that a caller sends with a request.
type RequestInfo struct {
	// ID identifies one attempt of the caller.
	ID string
	// Key is the API key, "" if there is none.
	Key string
	// Timeout is how long the caller waits, 0 if unknown.
	Timeout time.Duration
	Model   string
	// PromptTokens and MaxTokens are the length of the prompt and the maximum
	// length of the output, 0 if unknown.
	PromptTokens, MaxTokens int
	// ExpectedTokens is the caller's estimate of the length of the output, 0 if
	// unknown. It is accurate at the median, but single estimates are often far
	// off.
	ExpectedTokens int
	// Prefix lists the parts of the prompt in order. The last part is not shared
	// beyond the request or its session.
	Prefix []PromptPart
	// LastEvent is the id of the last event of a stream that the caller has
	// received, "" for a new stream.
	LastEvent string
	// Resumes is the id of the request that brought the first event of the stream that LastEvent is
	// from, "" if the caller names none.
	Resumes string
	// ExpectsWeights is set if the caller accepts only certain weights. An engine with
	// others rejects the request as one that was meant for another server.
	ExpectsWeights bool
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Attempt is the metadata that this system adds to a request when it sends the
// request to a backend server.
type Attempt struct {
	// Server is the server that must run the request. Any other server at its
	// address rejects it.
	Server vmlist.VM
	// Remaining is the time left until the deadline of the request.
	Remaining time.Duration
	// Organisation is the owner of the caller's API key, "" if none is required.
	Organisation string
	// Priority is the scheduling priority at an engine, 0 being the most urgent.
	Priority int
	// LastEvent is the id of the event after which a stream resumes, "" for a new
	// stream.
	LastEvent string
	// Copy locates the copied memory of a run to resume, nil for a new run.
	Copy *Copy
	// Backup is the address of the engine that the memory of the run is
	// replicated to, "" for none.
	Backup string
}

// Copy identifies a copy of the memory of a run at another engine.
type Copy struct {
	// Address is the address of the engine that issued the handle.
	Address string
	Handle  string
}

// ResponseInfo is the metadata that a backend server sends with an answer.
type ResponseInfo struct {
	// NotRun reports that the server has not run the request and never will.
	NotRun bool
	// Signed reports that the answer carries the signature of the server.
	Signed bool
	// Load is the load that the server reports, nil if it reports none.
	Load *Load
	// InvalidLoad is the report of the load as received if a figure of it is invalid, ""
	// otherwise.
	InvalidLoad string
	// Notice is what the addressed server announces about itself.
	Notice backend.ServerNotice
}

// UnknownFigure stands for an invalid figure of a report that holds the speed of the machine.
const UnknownFigure = -1

// Load is the load that a backend server reports: the numbers of running and
// queued requests, and of requests that it runs concurrently.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the time that work takes on the server's machine at this moment, relative
	// to the usual time. It is 0 if the server does not report it, and UnknownFigure if it
	// reports it in an invalid form.
	Slowdown float64
}

// Codec translates between the headers of a protocol and the types of this
// package.
type Codec interface {
	// DecodeRequest returns the metadata of a request from a caller.
	DecodeRequest(h http.Header) RequestInfo
	// ForwardHeader returns the request headers that are forwarded in every
	// attempt. It drops hop-by-hop headers, the caller's API key, and headers
	// that only this system may set.
	ForwardHeader(h http.Header) http.Header
	// SetAttempt sets the headers that are specific to one attempt.
	SetAttempt(h http.Header, a Attempt)
	// ResponseID returns the request id that a backend server echoes in its answer.
	ResponseID(h http.Header) string
	// DecodeResponse returns the metadata of an answer.
	DecodeResponse(status int, h http.Header) ResponseInfo
	// ReturnHeader returns the headers of an answer that are passed to the caller.
	ReturnHeader(h http.Header) http.Header
	// SetRequestID sets the request id in an answer that this system generates.
	SetRequestID(h http.Header, id string)
}
