// Package edge holds the types that stand between the request path and the
// protocol that callers and backend servers speak: what is known of a request,
// an attempt and an answer, and the interfaces that translate them.
package edge

import (
	"net/http"
	"time"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

// RequestInfo are what a caller says about a request.
type RequestInfo struct {
	// ID identifies one attempt of the caller.
	ID string
	// Key is the API key, "" if there is none.
	Key string
	// Timeout is how long the caller waits, 0 if it does not say.
	Timeout time.Duration
	Model   string
	// PromptTokens and MaxTokens are the length of the prompt and the largest
	// length of the output, 0 if unknown.
	PromptTokens, MaxTokens int
	// ExpectedTokens is the caller's estimate of the length of the output, 0 if
	// unknown. It is right at the median and often far off.
	ExpectedTokens int
	// Prefix lists the parts of the prompt in order. The last part belongs to
	// the request or its session alone.
	Prefix []PromptPart
	// LastEvent is the id of the last event that the caller has received of a
	// stream, "" if it starts anew.
	LastEvent string
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Attempt is what a backend server is told about a request beyond what the
// caller sent.
type Attempt struct {
	// Server must be the one that runs the request. Any other at its address refuses.
	Server vmlist.VM
	// Remaining is the time that is left for the answer.
	Remaining time.Duration
	// Organisation holds the caller's key, "" if no key is needed.
	Organisation string
	// Priority is the urgency at an engine; 0 is the most urgent.
	Priority int
	// LastEvent is the id after which a stream goes on, "" if it starts anew.
	LastEvent string
	// Copy is where the memory of the run lies, nil for a new run.
	Copy *Copy
	// Backup is the address of an engine that keeps a copy of the memory of the
	// run, "" for none.
	Backup string
}

// Copy names the memory of a run that another engine holds.
type Copy struct {
	// Address is the engine at which the handle was issued.
	Address string
	Handle  string
}

// ResponseInfo are what a backend server says about an answer.
type ResponseInfo struct {
	// NotRun says that the server did not run the request and never will.
	NotRun bool
	// Signed says that the answer carries the server's signature.
	Signed bool
	// Load is the load of the server, nil if it did not tell.
	Load *Load
}

// Load is what a backend server tells about its work.
type Load struct{ Running, Waiting, Slots int }

// Codec translates between a protocol and the types of this package.
type Codec interface {
	// DecodeRequest returns the facts about a request of a caller.
	DecodeRequest(h http.Header) RequestInfo
	// ForwardHeader returns the headers of a request that a backend server gets in
	// any attempt: without those that concern one connection, the caller's key,
	// and those that only this system may set.
	ForwardHeader(h http.Header) http.Header
	// SetAttempt adds the headers of one attempt.
	SetAttempt(h http.Header, a Attempt)
	// ResponseID returns the request id that an answer echoes.
	ResponseID(h http.Header) string
	// DecodeResponse returns the facts about an answer.
	DecodeResponse(status int, h http.Header) ResponseInfo
	// ReturnHeader returns the headers of an answer that the caller gets.
	ReturnHeader(h http.Header) http.Header
	// SetRequestID marks an answer of this system as the one to a request.
	SetRequestID(h http.Header, id string)
}
