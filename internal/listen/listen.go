// Package listen ends listeners without cutting connections that are established
// but not yet accepted.
//
// When a socket that listens is closed, the kernel resets the connections in its
// queue, and callers that have just sent a request get no answer. A Listener that
// settles leaves a queue of one place, which makes the kernel ignore callers that
// would connect next, and accepts what is in it until nobody comes any more.
package listen

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// backlogPollInterval is the time between looks at the queue.
	backlogPollInterval = 2 * time.Millisecond
	// emptyBacklogPeriod is how long the queue must stay empty before the listener is closed.
	// A caller whose connection did not fit into the queue takes it for established,
	// and repeats its first packet after 200 ms; one that was ignored comes back
	// after a second.
	emptyBacklogPeriod = 250 * time.Millisecond
)

// Listener accepts TCP connections until it is settled or closed.
type Listener struct {
	*net.TCPListener
	// draining is closed when Settle has begun, closed by Close.
	draining, closed chan struct{}
	// backlog are the connections that Settle has found in the queue.
	backlog chan net.Conn

	drainOnce, closeOnce sync.Once
}

// NotTCPError reports a listener of another network.
type NotTCPError struct{ Listener net.Listener }

func (e *NotTCPError) Error() string {
	return "listener " + e.Listener.Addr().String() + " is not of TCP"
}

// Listen listens on an address, as IP:port.
func Listen(address string) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	tcp, ok := inner.(*net.TCPListener)
	if !ok {
		return nil, &NotTCPError{Listener: inner}
	}
	return &Listener{
		TCPListener: tcp, draining: make(chan struct{}), closed: make(chan struct{}), backlog: make(chan net.Conn),
	}, nil
}

// Accept implements net.Listener. After Settle it returns the connections that
// were in the queue, and then waits for Close.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	select {
	case <-l.draining:
	default:
		return nil, err
	}
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	if err := l.TCPListener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// DrainBacklog stops listening once the queue stays empty, and within limit. The
// connections in it go to Accept. The listener is still to be closed.
func (l *Listener) DrainBacklog(limit time.Duration) error {
	var err error
	l.drainOnce.Do(func() { err = l.drainBacklog(time.Now().Add(limit)) })
	return err
}

func (l *Listener) drainBacklog(until time.Time) error {
	close(l.draining)
	defer l.TCPListener.Close()
	raw, err := l.TCPListener.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "listener")
	}
	// A call of Accept that waits returns, so that the queue fills up.
	if err := l.TCPListener.SetDeadline(time.Unix(1, 0)); err != nil {
		return errors.Wrap(err, "end accept")
	}
	var failed error
	shrink := func(fd uintptr) { failed = unix.Listen(int(fd), 0) }
	if err := errors.Join(raw.Control(shrink), failed); err != nil {
		return errors.Wrap(err, "shrink queue")
	}
	for last := time.Now(); time.Since(last) < emptyBacklogPeriod && time.Now().Before(until); {
		time.Sleep(backlogPollInterval)
		for {
			conn, err := acceptPending(raw.Control)
			if err != nil {
				return err
			}
			if conn == nil {
				break
			}
			last = time.Now()
			if !l.deliver(conn) {
				return nil
			}
		}
	}
	return nil
}

// deliver gives a connection to Accept. It returns false if the listener was closed.
func (l *Listener) deliver(c net.Conn) bool {
	select {
	case l.backlog <- c:
		return true
	case <-l.closed:
		_ = c.Close()
		return false
	}
}

// acceptPending returns a connection from the queue of a listener, nil if there is none.
func acceptPending(control func(func(fd uintptr)) error) (net.Conn, error) {
	accepted, failed := -1, error(nil)
	accept := func(fd uintptr) {
		accepted, _, failed = unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	}
	if err := control(accept); err != nil {
		return nil, errors.Wrap(err, "listener")
	}
	if errors.Is(failed, unix.EAGAIN) {
		return nil, nil
	}
	if failed != nil {
		return nil, errors.Wrap(failed, "accept")
	}
	file := os.NewFile(uintptr(accepted), "connection")
	defer file.Close() // net.FileConn has a descriptor of its own.
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, errors.Wrap(err, "accepted connection")
	}
	return conn, nil
}
