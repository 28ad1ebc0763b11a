// Package listen stops HTTP servers without dropping requests that have arrived.
//
// When a listening socket is closed, the kernel resets the connections in its
// accept queue, and callers that have just sent a request get no response.
// DrainBacklog therefore makes the kernel ignore further connection attempts, and
// accepts queued connections until no more arrive. DrainConnections then waits for
// requests on accepted connections that the HTTP server has not read yet.
package listen

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// backlogPollInterval is the time between checks of the accept queue.
	backlogPollInterval = 2 * time.Millisecond
	// emptyBacklogPeriod is how long the queue must stay empty before the listener is
	// closed. A caller whose connection did not fit into the queue considers it
	// established and retransmits its first packet after 200 ms. A caller whose SYN
	// was ignored retries after 1 s.
	emptyBacklogPeriod = 250 * time.Millisecond
)

// Listener is a TCP listener whose accept queue can be drained before it is closed.
type Listener struct {
	*net.TCPListener
	// acceptTCP is TCPListener.AcceptTCP, which a test replaces.
	acceptTCP func() (*net.TCPConn, error)
	// draining is closed when DrainBacklog starts, closed by Close.
	draining, closed chan struct{}
	// backlog passes connections from DrainBacklog to Accept.
	backlog chan *net.TCPConn

	// ended is closed when Accept returns net.ErrClosed.
	ended chan struct{}

	drainOnce, closeOnce, endOnce sync.Once

	connsMu sync.Mutex
	// conns holds the accepted connections that are open.
	conns map[*conn]struct{}
	// open is the number of accepted connections that are open, those of HTTP/2 included.
	open int
	// lingering is the number of those that linger.
	lingering int
	// notice is that of DrainConnections.
	notice Notice

	// unannounced counts the idle connections that DrainConnections has ended.
	unannounced atomic.Int64
	// undelivered is told of connections that are closed before their answer has arrived.
	undelivered func(Undelivered)

	// budget bounds the memory of connections that wait for a request, maxConnections the open
	// connections. Without them, nil and 0, there is no bound.
	budget         *Budget
	maxConnections int
	// giveWay closes a connection with a request in progress, nil if none gives way.
	giveWay func() bool
}

// NotTCPError reports a listener that is not a TCP listener.
type NotTCPError struct{ Listener net.Listener }

func (e *NotTCPError) Error() string {
	return "listener " + e.Listener.Addr().String() + " is not a TCP listener"
}

// Listen listens on a TCP address of the form IP:port.
func Listen(address string) (*Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // Sockets for multipath TCP take no filter.
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	tcp, ok := inner.(*net.TCPListener)
	if !ok {
		return nil, &NotTCPError{Listener: inner}
	}
	return &Listener{
		TCPListener: tcp, acceptTCP: tcp.AcceptTCP, draining: make(chan struct{}), closed: make(chan struct{}), backlog: make(chan *net.TCPConn),
		ended: make(chan struct{}), conns: map[*conn]struct{}{},
	}, nil
}

// Accept implements net.Listener. Once DrainBacklog has started, it returns the
// connections that were in the queue and then blocks until Close.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.accept()
		if errors.Is(err, net.ErrClosed) {
			l.endOnce.Do(func() { close(l.ended) })
		}
		if err != nil {
			return nil, err
		}
		c := l.track(inner)
		if l.budget.admit(c) {
			return c, nil
		}
		_ = c.Close()
	}
}

func (l *Listener) accept() (*net.TCPConn, error) {
	c, err := l.acceptTCP()
	if err == nil {
		return c, nil
	}
	select {
	case <-l.draining:
	default:
		return nil, acceptError(err)
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

// DrainBacklog accepts queued connections and passes them to Accept until the
// queue stays empty or limit has passed, and then closes the listening socket. The
// caller must still call Close. Calls after the first one do nothing.
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
	// Unblocks a pending Accept, which would otherwise keep taking connections from
	// the queue.
	if err := l.TCPListener.SetDeadline(time.Unix(1, 0)); err != nil {
		return errors.Wrap(err, "unblock accept")
	}
	var listenErr error
	ignore := func(fd uintptr) { listenErr = ignoreConnectionAttempts(int(fd)) }
	if err := errors.Join(raw.Control(ignore), listenErr); err != nil {
		return errors.Wrap(err, "ignore connection attempts")
	}
	for lastAccepted := time.Now(); time.Since(lastAccepted) < emptyBacklogPeriod && time.Now().Before(until); {
		time.Sleep(backlogPollInterval)
		for {
			conn, err := acceptPending(raw.Control, until)
			if isTemporary(err) {
				lastAccepted = time.Now() // More may wait.
				break
			}
			if err != nil {
				return err
			}
			if conn == nil {
				break
			}
			lastAccepted = time.Now()
			if !l.deliver(conn) {
				return nil
			}
		}
	}
	return nil
}

// Offset and bits of the flags in a TCP header.
const (
	tcpFlagsOffset = 13
	tcpSYN         = 0x02
	tcpACK         = 0x10
)

// acceptWhole is the result of a filter that accepts a packet of any length.
const acceptWhole = 0xffffffff

// ignoreConnectionAttempts makes the kernel drop packets that begin a connection to a
// listening socket. Handshakes that have begun complete, so that no caller considers a
// connection established that the listener does not accept. Where sockets take no filter,
// the backlog shrinks to one connection: the kernel then ignores attempts while that one
// waits, but also the last packet of a handshake that has begun.
func ignoreConnectionAttempts(fd int) error {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpSYN | tcpACK},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: tcpSYN, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptWhole},
	}
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	if unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &filter) == nil {
		return nil
	}
	return unix.Listen(fd, 0)
}

// deliver passes a connection to Accept. It returns false if the listener was closed.
func (l *Listener) deliver(c *net.TCPConn) bool {
	select {
	case l.backlog <- c:
		return true
	case <-l.closed:
		_ = c.Close()
		return false
	}
}

// AcceptError reports a failure of accept that says nothing about the next call. http.Server
// goes on after an error that is temporary in the sense of net.Error, and ends after any other.
// To package net, a lack of memory is not temporary.
type AcceptError struct{ Cause error }

func (e *AcceptError) Error() string { return "accept: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *AcceptError) Unwrap() error { return e.Cause }

// Timeout implements net.Error.
func (e *AcceptError) Timeout() bool { return false }

// Temporary implements net.Error.
func (e *AcceptError) Temporary() bool { return true }

// acceptError returns err as an *AcceptError if it says nothing about the next call.
func acceptError(err error) error {
	if isTemporary(err) {
		return &AcceptError{Cause: err}
	}
	return err
}

// isTemporary reports whether an error of accept says nothing about the next call, such as a
// lack of descriptors.
func isTemporary(err error) bool {
	errno, ok := errors.Into[unix.Errno](err)
	return ok && (errno.Temporary() || errno == unix.ECONNABORTED || errno == unix.ENOBUFS || errno == unix.ENOMEM)
}

// acceptPending accepts a queued connection without blocking. It returns nil if
// the queue is empty.
func acceptPending(control func(func(fd uintptr)) error, until time.Time) (*net.TCPConn, error) {
	accepted, acceptErr := -1, error(nil)
	accept := func(fd uintptr) {
		accepted, _, acceptErr = unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	}
	if err := control(accept); err != nil {
		return nil, errors.Wrap(err, "listener")
	}
	if errors.Is(acceptErr, unix.EAGAIN) {
		return nil, nil
	}
	if acceptErr != nil {
		return nil, errors.Wrap(acceptErr, "accept")
	}
	file := os.NewFile(uintptr(accepted), "connection")
	defer file.Close() // net.FileConn duplicates the descriptor.
	conn, err := net.FileConn(file)
	for isTemporary(err) && time.Now().Before(until) {
		time.Sleep(backlogPollInterval)
		conn, err = net.FileConn(file)
	}
	if err != nil {
		return nil, errors.Wrap(err, "accepted connection")
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil, &net.AddrError{Err: "accepted connection is not a TCP connection", Addr: conn.LocalAddr().String()}
	}
	return tcp, nil
}
