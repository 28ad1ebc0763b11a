package userplatform

import (
	"io"
	"net"
	"sync"
	"time"
)

// idleListener accepts connections that are reset when something arrives after they were idle for
// longer than ServerFaults.DropIdleAfter, as by a server that has dropped them without notice.
type idleListener struct {
	net.Listener
	server *Server
}

func (l idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err // http.Server distinguishes temporary errors by their type.
	}
	return &idleConn{Conn: c, server: l.server}, nil
}

type idleConn struct {
	net.Conn
	server *Server

	mu sync.Mutex
	// lastWrite is when the server last wrote to the connection, zero before that.
	lastWrite time.Time
}

func (c *idleConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWrite = time.Now()
	return n, err
}

func (c *idleConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.wasDropped() {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
		return 0, io.EOF
	}
	return n, err
}

func (c *idleConn) wasDropped() bool {
	c.server.mu.Lock()
	limit := c.server.faults.DropIdleAfter
	c.server.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return limit > 0 && !c.lastWrite.IsZero() && time.Since(c.lastWrite) > limit
}
