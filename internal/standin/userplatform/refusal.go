package userplatform

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/vanillaarch/vanillaarch/internal/standin"
)

// refuse refuses a request that was not executed.
func refuse(w http.ResponseWriter, r *http.Request, f ServerFaults) {
	if c, ok := standin.Connection(r).(*refusalConn); ok && f.RepeatRefusals {
		c.repeatNextWrite()
	}
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// refusalListener accepts connections on which a refusal can be written again.
type refusalListener struct {
	net.Listener
	// crashed is set once the server has closed its connections.
	crashed *atomic.Bool
}

func (l refusalListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err // http.Server distinguishes temporary errors by their type.
	}
	return &refusalConn{Conn: c, crashed: l.crashed}, nil
}

// refusalConn writes a response once more before the next one.
type refusalConn struct {
	net.Conn
	crashed *atomic.Bool

	mu sync.Mutex
	// record is set if the next write is to be repeated. pending is such a write.
	record  bool
	pending []byte
}

// crashedBefore reports whether the server crashed before it began with a request. Its
// handler may run long afterwards.
func crashedBefore(r *http.Request) bool {
	c, ok := standin.Connection(r).(*refusalConn)
	return ok && c.crashed.Load()
}

func (c *refusalConn) repeatNextWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record = true
}

func (c *refusalConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	before := c.pending
	c.pending = nil
	if c.record {
		c.pending, c.record = bytes.Clone(p), false
	}
	c.mu.Unlock()
	if len(before) > 0 {
		if _, err := c.Conn.Write(before); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
