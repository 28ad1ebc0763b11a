package listen

import (
	"context"
	"net"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// connKey is the context key of an accepted connection.
type connKey struct{}

// ConnContext is the ConnContext hook of the http.Server that serves the listener. It is
// required for PeerClosed.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, underlying(nc))
}

// PeerClosed reports whether the peer of the connection of a request has closed it. ctx is the
// context of the request. http.Server ends that context as well, but only once the goroutine
// that watches the connection has run. It returns false if the connection is not known.
func PeerClosed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c != nil && c.peerClosed()
}

// ReadTimedOut reports whether the latest read from the connection of a request ended with its
// deadline. http.Server then ends the context of the request, as it does when the peer closes.
func ReadTimedOut(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timedOut
}

// peerClosed reports whether the kernel holds the end of the connection and nothing before it.
func (c *conn) peerClosed() bool {
	closed := false
	err := c.control(func(fd int) error {
		var b [1]byte
		n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
		return nil
	})
	return err != nil || closed
}

// ResetOnClose makes the connection of a request be reset when it is closed, so that the end
// of the connection does not pass for the end of the answer. ctx is the context of the request.
func ResetOnClose(ctx context.Context) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = true
	return c.SetLinger(0)
}
