package backend

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Parameters for detecting connections whose peer is unreachable and sends no reset.
const (
	// keepAliveIdle is the idle time before the first TCP keep-alive probe,
	// keepAliveInterval the time between probes, and keepAliveProbes the number of
	// unanswered probes that close the connection.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// userTimeout is the TCP_USER_TIMEOUT, the maximum time for which sent data may
	// remain unacknowledged.
	userTimeout = 3 * time.Second
)

// NewDialer returns a dialer whose connections are closed if the peer becomes
// unreachable. timeout limits dialing.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockoptErr error
			err := c.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
}

// CheckListening returns nil if a server accepts a connection within timeout, else the
// *NotSentError of the failure. It tells a server that has ended from one that lost an answer.
func CheckListening(ctx context.Context, t Target, timeout time.Duration) error {
	conn, err := NewDialer(timeout).DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return &NotSentError{Backend: t.ID, Cause: err}
	}
	return conn.Close()
}

// IsDialError reports whether err is a failure to open a connection, after which no
// part of the request was sent.
func IsDialError(err error) bool {
	op, ok := errors.Into[*net.OpError](err)
	return ok && op.Op == "dial"
}
