package gateway

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/httphead"
)

// IdleLimit closes idle connections of callers after the time that the current
// configuration allows. It exists because http.Server.IdleTimeout can't be changed
// while the server runs.
type IdleLimit struct {
	// Limit returns the current limit.
	Limit func() time.Duration
}

// Listener wraps the listener of an http.Server whose ConnState hook is
// IdleLimit.ConnState.
func (l IdleLimit) Listener(inner net.Listener) net.Listener {
	return &idleListener{Listener: inner, limit: l.Limit}
}

// ConnState records whether a connection is idle, and whether the head of a request may be
// read from it.
func (IdleLimit) ConnState(c net.Conn, state http.ConnState) {
	if idle, ok := c.(*idleConn); ok {
		idle.idle.Store(state == http.StateIdle)
		idle.head.expect(state == http.StateNew || state == http.StateIdle)
	}
}

type idleListener struct {
	net.Listener
	limit func() time.Duration
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: c, limit: l.limit}, nil
}

type idleConn struct {
	net.Conn
	limit func() time.Duration
	// idle is set from when the connection becomes idle until the server sets a read deadline.
	idle atomic.Bool
	head callerHead
}

// maxCallerHeadLines bounds the lines of the head of a request. A head of maxHeaderBytes in
// short lines takes 1.1 MB once it is parsed, and is held while its rest does not arrive.
const maxCallerHeadLines = 256

// HeadLinesError reports a request whose head has more than maxCallerHeadLines lines.
type HeadLinesError struct{}

func (e *HeadLinesError) Error() string {
	return "the head of a request exceeds " + strconv.Itoa(maxCallerHeadLines) + " lines"
}

// callerHead counts the lines of the head of a request.
type callerHead struct {
	mu       sync.Mutex
	expected bool
	lines    int
	scanner  httphead.Scanner
}

// expect begins a head, or ends it.
func (h *callerHead) expect(expected bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expected, h.lines, h.scanner = expected, 0, httphead.Scanner{}
}

// read counts the lines of b. It returns a *HeadLinesError once there are too many, also for
// every later read, since net/textproto drops the error of a read ahead.
func (h *callerHead) read(b []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.expected {
		return nil
	}
	_, lines := h.scanner.Scan(b)
	if h.lines += lines; h.lines > maxCallerHeadLines {
		return &HeadLinesError{}
	}
	return nil
}

// Read implements net.Conn.
func (c *idleConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if tooMany := c.head.read(b[:n]); tooMany != nil {
		return 0, tooMany
	}
	return n, err
}

// NetConn returns the connection that c wraps.
func (c *idleConn) NetConn() net.Conn { return c.Conn }

// SetReadDeadline implements net.Conn. The first deadline of an idle connection, which the
// server sets at once, is replaced by the configured limit. The next one is that for the head
// of a request of which the first bytes have arrived.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if limit := c.limit(); !t.IsZero() && c.idle.CompareAndSwap(true, false) && limit > 0 {
		t = time.Now().Add(limit)
	}
	return c.Conn.SetReadDeadline(t)
}
