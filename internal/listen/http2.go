package listen

import (
	"context"
	"net/http"
	"time"
)

// http2Requests counts the requests in progress on a connection of HTTP/2, which has a Read pending
// at all times. It may be closed for others unless it has a request other than those of which the
// body is being read: of these, nothing was passed on.
type http2Requests struct {
	// http2 is set once the connection is one of HTTP/2.
	http2 bool
	// requests are in progress, of bodies the body is being read.
	requests, bodies int
}

func (h *http2Requests) mayClose(state http.ConnState) bool {
	return !h.http2 || h.requests == 0 && (state == http.StateIdle || h.bodies > 0)
}

// BeginRequest keeps the connection of a request from being closed for others until EndRequest.
// ctx is the context of the request. It returns false if the connection is being closed: the
// request must not be passed on.
func BeginRequest(ctx context.Context) (open bool) { return addRequests(ctx, 1, 0) }

// EndRequest ends what BeginRequest has begun.
func EndRequest(ctx context.Context) { addRequests(ctx, -1, 0) }

// BeginBody allows the connection of a request to be closed for others while its body is read.
func BeginBody(ctx context.Context) { addRequests(ctx, -1, 1) }

// EndBody ends what BeginBody has begun. It returns what BeginRequest returns.
func EndBody(ctx context.Context) (open bool) { return addRequests(ctx, 1, -1) }

func addRequests(ctx context.Context, requests, bodies int) (open bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.http2Requests.requests += requests
	c.http2Requests.bodies += bodies
	return !c.http2Requests.http2 || !c.expired
}

// setHTTP2State records the state of a connection of HTTP/2, which is idle while it has no stream.
func (c *conn) setHTTP2State(state http.ConnState) {
	c.mu.Lock()
	c.http2Requests.http2 = true
	c.state, c.since = state, time.Now()
	c.mu.Unlock()
	if state != http.StateIdle {
		return
	}
	if err := c.l.budget.reserve(c, connectionBytes); err != nil {
		c.refuse(err)
	}
}
