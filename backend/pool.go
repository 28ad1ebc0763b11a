package backend

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// idleTimeoutMargin is subtracted from the keep-alive timeout that a backend
	// server announces, so that it does not close a connection while a request is
	// on its way.
	idleTimeoutMargin = 500 * time.Millisecond
	// defaultIdleTimeout applies if the backend server announces no keep-alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// maxIdlePerAddress is the maximum number of idle connections to a backend server.
	maxIdlePerAddress = 16
)

// clientConn is a connection to a backend server.
type clientConn struct {
	net.Conn
	address string
	// reader reads from limiter, which reads from Conn.
	reader  *bufio.Reader
	limiter headerLimitReader
	// failure is an error of the connection that isQuiet has met. The socket reports it once.
	failure     error
	pool        *pool
	idleSince   time.Time
	idleTimeout time.Duration
}

func (c *clientConn) abort() { _ = c.Close() }

// release returns the connection to its pool.
func (c *clientConn) release() {
	if c.pool == nil {
		c.abort()
		return
	}
	c.pool.put(c, time.Now())
}

// isQuiet reports whether the peer has neither sent data nor closed the
// connection. An unexpected response may arrive while the connection is idle.
func (c *clientConn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = e == unix.EAGAIN || e == unix.EWOULDBLOCK
		if e != nil && !quiet && e != unix.EINTR {
			c.failure = os.NewSyscallError("recvfrom", e)
		}
		return true
	})
	return err == nil && quiet
}

// pool holds the idle connections by address.
type pool struct {
	mu     sync.Mutex
	idle   map[string][]*clientConn
	closed bool
}

func newPool() *pool { return &pool{idle: map[string][]*clientConn{}} }

// get removes the most recently used connection that is still usable from the pool
// and returns it, or nil. With maxIdle 0, only the connection's own idle timeout
// applies.
func (p *pool) get(address string, now time.Time, maxIdle time.Duration) *clientConn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		idle := now.Sub(c.idleSince)
		if idle < c.idleTimeout && (maxIdle == 0 || idle <= maxIdle) && c.isQuiet() {
			return c
		}
		c.abort()
	}
}

func (p *pool) pop(address string) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

func (p *pool) put(c *clientConn, now time.Time) {
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.address]) >= maxIdlePerAddress {
		c.abort()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseExpired closes the connections whose idle timeout has expired.
func (hc *HTTPClient) CloseExpired(now time.Time) {
	p := hc.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		conns = slices.DeleteFunc(conns, func(c *clientConn) bool {
			expired := now.Sub(c.idleSince) >= c.idleTimeout
			if expired {
				c.abort()
			}
			return expired
		})
		if len(conns) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = conns
	}
}

// IdleConnections returns the number of idle connections.
func (hc *HTTPClient) IdleConnections() int {
	p := hc.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, conns := range p.idle {
		n += len(conns)
	}
	return n
}

func (p *pool) closeIdleTo(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.abort()
	}
	delete(p.idle, address)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.idle {
		for _, c := range conns {
			c.abort()
		}
	}
	clear(p.idle)
}

// keepAliveTimeout returns the idle timeout of a connection, derived from the
// timeout parameter of the Keep-Alive header, which is in seconds.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return max(time.Duration(n)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}
