package backend

import (
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Detection of connections that have gone silent without a reset.
const (
	// keepAliveIdle and keepAliveInterval time the probes of an unused
	// connection, keepAliveProbes is the number of lost probes that end it.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// userTimeout bounds the time in which sent data stays unacknowledged.
	userTimeout = 3 * time.Second
)

// NewDialer returns a dialer whose connections end when their path goes silent.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failure error
			err := c.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
}

// IsDialError reports whether a connection could not be opened, so that no byte
// of a request was sent.
func IsDialError(err error) bool {
	op, ok := errors.Into[*net.OpError](err)
	return ok && op.Op == "dial"
}
