package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// IdleLimit closes connections of callers that are idle for longer than the
// configuration in force allows. http.Server knows only a limit that is fixed
// before it starts.
type IdleLimit struct {
	// Limit returns the limit in force.
	Limit func() time.Duration
}

// Listener wraps the listener of a server that uses ConnState as its hook.
func (l IdleLimit) Listener(inner net.Listener) net.Listener {
	return &idleListener{Listener: inner, limit: l.Limit}
}

// ConnState notes which connections are idle.
func (IdleLimit) ConnState(c net.Conn, state http.ConnState) {
	if idle, ok := c.(*idleConn); ok {
		idle.idle.Store(state == http.StateIdle)
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
	idle  atomic.Bool
}

// SetReadDeadline implements net.Conn. The deadline of an idle connection is
// that of the configuration. It also bounds the head of the next request, which
// the server reads before it calls the connection active.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if limit := c.limit(); c.idle.Load() && !t.IsZero() && limit > 0 {
		t = time.Now().Add(limit)
	}
	return c.Conn.SetReadDeadline(t)
}
