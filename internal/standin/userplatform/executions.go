package userplatform

import (
	"net/http"
	"slices"
	"time"
)

// maxRecordedRequests bounds the requests whose executions a fleet records. The oldest
// records are dropped first.
const maxRecordedRequests = 1 << 18

// Execution is the work of one server on a request. Its times are read from one
// monotonic clock.
type Execution struct {
	Server string
	// FromCopy is set if the server continued the run from a copy.
	FromCopy bool
	Begin    time.Time
	// Client is the address from which the request came.
	Client string
	// End is the time at which the server stopped working on the request or noticed
	// that its connection was closed, or at which it crashed. It is zero while the work
	// goes on.
	End time.Time
}

// Executions returns the work of all servers on a request by start time.
func (f *Fleet) Executions(request string) []Execution {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Execution, 0, len(f.executions[request]))
	for _, e := range f.executions[request] {
		out = append(out, *e)
	}
	return out
}

// beginExecution records that a server begins to work on a request. An execution that
// continues from a copy belongs to the run that made the copy and is no further run. A
// server that has crashed begins with nothing.
// The returned function records the end.
func (f *Fleet) beginExecution(r *http.Request, server string, fromCopy bool) (end func()) {
	request := r.Header.Get("Request-Id")
	e := &Execution{Server: server, FromCopy: fromCopy, Client: r.RemoteAddr, Begin: time.Now()}
	f.mu.Lock()
	defer f.mu.Unlock()
	if crashedBefore(r) {
		return func() {}
	}
	if !fromCopy {
		f.runs[request] = append(f.runs[request], server)
	}
	if _, recorded := f.executions[request]; !recorded {
		f.executionOrder = append(f.executionOrder, request)
	}
	f.executions[request] = append(f.executions[request], e)
	f.openExecutions[e] = struct{}{}
	if len(f.executionOrder) > maxRecordedRequests {
		f.dropOldestExecutions(maxRecordedRequests / 8)
	}
	return func() {
		now := time.Now()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.endExecution(e, now)
	}
}

// endExecution records the end of an execution, unless its server has crashed before. The
// caller holds f.mu.
func (f *Fleet) endExecution(e *Execution, now time.Time) {
	if e.End.IsZero() {
		e.End = now
		delete(f.openExecutions, e)
	}
}

// endExecutionsOf records that a server stops working on all its requests. It is called
// before the connections are closed, since a handler may notice that long afterwards.
func (f *Fleet) endExecutionsOf(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for e := range f.openExecutions {
		if e.Server == server {
			f.endExecution(e, now)
		}
	}
}

// dropOldestExecutions drops the records of n requests. The caller holds f.mu.
func (f *Fleet) dropOldestExecutions(n int) {
	for _, request := range f.executionOrder[:n] {
		delete(f.executions, request)
	}
	f.executionOrder = slices.Delete(f.executionOrder, 0, n)
}
