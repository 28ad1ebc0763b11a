package listen

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// drainPollInterval is the time between checks of the connections by DrainConnections.
	drainPollInterval = 20 * time.Millisecond
	// firstRequestTimeout is how long DrainConnections waits for the first byte on a new
	// connection. It equals that of http.Server.Shutdown.
	firstRequestTimeout = 5 * time.Second
)

// conn is an accepted connection. It records whether a request may have arrived that
// the HTTP server has not read yet.
type conn struct {
	*net.TCPConn
	l *Listener

	mu sync.Mutex
	// state is StateNew, StateActive or StateIdle, and since the time at which it began.
	state http.ConnState
	since time.Time
	// reading is set during a Read, hasRead once bytes were read in the current state.
	reading, hasRead bool
	// expired is set while a Read is made to fail since no request has arrived.
	expired bool
	// timedOut is set if the latest Read ended with its deadline.
	timedOut bool
	// deadline is the read deadline that the server has set.
	deadline time.Time
	head     waitingHead
	// refused fails every later Read once there was no memory for the connection.
	refused error
	// served is set once a request was read, closing once the connection is being closed.
	served, closing bool
	// inputEnded is set once the caller has closed its half of the connection or reset it, resets
	// if a close must reset it.
	inputEnded, resets bool
	// expectsInput is set if a request was answered before its body was read.
	expectsInput atomic.Bool

	http2Requests http2Requests

	closeOnce sync.Once
}

// track registers an accepted connection.
func (l *Listener) track(inner *net.TCPConn) *conn {
	c := &conn{TCPConn: inner, l: l, since: time.Now()}
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	l.conns[c] = struct{}{}
	l.open++
	return c
}

// openConnections returns the number of connections that Accept has returned and that are open.
func (l *Listener) openConnections() int {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	return l.open
}

func (l *Listener) connectionClosed() {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	l.open--
}

func (l *Listener) untrack(c *conn) {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	delete(l.conns, c)
}

// ConnState is the ConnState hook of the http.Server that serves the listener. The hook is
// required for DrainConnections.
func (l *Listener) ConnState(nc net.Conn, state http.ConnState) {
	c := underlying(nc)
	if c == nil {
		return
	}
	if t, ok := nc.(*tls.Conn); ok && t.ConnectionState().NegotiatedProtocol == "h2" {
		l.untrack(c) // http.Server.Shutdown closes HTTP/2 connections gracefully.
		c.setHTTP2State(state)
		return
	}
	c.setState(state)
	switch state {
	case http.StateActive:
		l.budget.release(c)
	case http.StateIdle:
		if err := l.budget.reserve(c, connectionBytes); err != nil {
			c.refuse(err)
		}
	}
}

func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since, c.hasRead, c.head = state, time.Now(), false, waitingHead{}
	c.served = c.served || state == http.StateActive
	if state == http.StateIdle {
		c.expectsInput.Store(false) // The server has read the body to its end.
	}
}

// underlying returns the connection that nc wraps, nil if no Listener has accepted it.
func underlying(nc net.Conn) *conn {
	for {
		switch c := nc.(type) {
		case *conn:
			return c
		case interface{ NetConn() net.Conn }:
			nc = c.NetConn()
		default:
			return nil
		}
	}
}

// DrainConnections closes the listener, and has each connection closed once no request on it
// is pending and its notice is over, see GiveNotice. It returns when all connections are closed,
// those that linger included, or ctx ends. Requests are still
// served, and their responses must close the connection.
//
// It replaces http.Server.Shutdown, after which the server closes a connection without a
// response if it reads a request from it, also if the request has arrived before.
func (l *Listener) DrainConnections(ctx context.Context) error {
	if err := l.Close(); err != nil {
		return errors.Wrap(err, "close listener")
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		// Checked first: a connection that Accept has returned is tracked.
		ended := l.acceptEnded()
		if left := l.closeIdle(time.Now()); ended && left == 0 && l.lingers() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// acceptEnded reports whether Accept has returned net.ErrClosed. The HTTP server then accepts
// no more connections.
func (l *Listener) acceptEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

func (l *Listener) tracked() []*conn {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// Connection describes an open connection.
type Connection struct {
	Remote string
	State  http.ConnState
	// Since is when the state began.
	Since time.Time
}

func (c Connection) String() string {
	return fmt.Sprintf("%s %v for %v", c.Remote, c.State, time.Since(c.Since).Round(time.Millisecond))
}

// Open returns up to limit open connections.
func (l *Listener) Open(limit int) []Connection {
	var out []Connection
	for _, c := range l.tracked() {
		if len(out) == limit {
			break
		}
		out = append(out, c.describe())
	}
	return out
}

func (c *conn) describe() Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Connection{Remote: c.RemoteAddr().String(), State: c.state, Since: c.since}
}

// Read implements net.Conn. A read deadline that has passed, for instance while the process
// did not run, does not discard a request that has arrived.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.beginRead(); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.awaitsRequest() && c.hasInput() {
		n, err = c.readArrived(p)
	}
	c.endRead(n, err)
	if full := c.reserveHead(p[:n]); full != nil {
		return 0, full
	}
	return n, err
}

// beginRead returns the error of a connection that was refused or closed.
func (c *conn) beginRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return net.ErrClosed
	}
	c.reading = c.refused == nil
	return c.refused
}

// endRead records the end of a Read. A request that arrives although its connection seemed
// idle is read to its end.
func (c *conn) endRead(n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	c.inputEnded = c.inputEnded || err != nil && !c.timedOut
	c.hasRead = c.hasRead || n > 0
	if c.expired && n > 0 {
		deadline := c.deadline
		if time.Until(deadline) <= 0 {
			deadline = time.Time{}
		}
		c.expired = c.TCPConn.SetReadDeadline(deadline) != nil
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.TCPConn.SetReadDeadline(t)
}

// awaitsRequest reports whether nothing of the next request was read.
func (c *conn) awaitsRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.hasRead && (c.state == http.StateNew || c.state == http.StateIdle)
}

// Close implements net.Conn. The connection may linger first. A second call ends that.
func (c *conn) Close() error {
	if c.beginClose() && c.lingerIfNeeded() {
		return nil
	}
	c.l.untrack(c)
	c.closeOnce.Do(c.l.connectionClosed)
	c.l.budget.release(c)
	return c.TCPConn.Close()
}

// hasInput reports whether the kernel holds bytes that were not read.
func (c *conn) hasInput() bool { return c.queueSize(unix.TIOCINQ) > 0 }

// readArrived reads bytes that the kernel holds, regardless of the read deadline.
func (c *conn) readArrived(p []byte) (int, error) {
	n := 0
	err := c.control(func(fd int) (err error) {
		n, err = unix.Read(fd, p)
		return err
	})
	if err != nil {
		return 0, errors.Wrap(err, "read")
	}
	return n, nil
}

// control calls f with the descriptor of the connection.
func (c *conn) control(f func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "connection")
	}
	var callErr error
	err = raw.Control(func(fd uintptr) { callErr = f(int(fd)) })
	return errors.Join(err, callErr)
}
