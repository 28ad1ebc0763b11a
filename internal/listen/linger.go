package listen

import (
	"context"
	"os"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Limits of connections that linger. A connection lingers if it is closed before the caller has
// received the whole answer, or while the body of the answered request still arrives: the kernel
// answers bytes that arrive on a closed connection, or that were not read before, with a reset,
// and drops the rest of the answer. What may be the next request is not read, so that its caller
// learns from the reset that nobody has read it.
const (
	// lingerTime limits how long a connection lingers, lingerStall how long without progress. A
	// lost packet is sent again after 0.2, 0.6, 1.4 and 3 s.
	lingerTime  = 30 * time.Second
	lingerStall = 5 * time.Second
	// lingerQuiet is how long a caller that sends a body may pause once it has the whole answer.
	lingerQuiet = unreadBodyPause
	// lingerBytes limits what is read of a body and dropped. Some callers send a body to its end
	// before they read the answer, and bodies of 4 MB are usual.
	lingerBytes = 4 << 20
	// lingerBufferBytes is the size of the buffer for what is dropped.
	lingerBufferBytes = 4 << 10
	// maxLingering limits how many connections of a listener linger at a time, and
	// lingeringDivisor the part of its open connections.
	maxLingering     = 128
	lingeringDivisor = 8
	// minLingerPoll and maxLingerPoll bound the time between checks of the bytes in flight.
	minLingerPoll = 5 * time.Millisecond
	maxLingerPoll = 200 * time.Millisecond
)

// Undelivered describes a connection that was closed before the caller had received the answer.
type Undelivered struct {
	Remote string
	// Bytes is how much of the answer was not acknowledged.
	Bytes int
	// Lingered is how long the connection was kept for it, 0 if too many others were.
	Lingered time.Duration
}

// ReportUndelivered makes the listener call f for each connection that is closed although the
// caller has not received the whole answer, and has not left. It must be called before Accept.
func (l *Listener) ReportUndelivered(f func(Undelivered)) { l.undelivered = f }

func (l *Listener) reportUndelivered(c *conn, bytes int, lingered time.Duration) {
	if l.undelivered != nil && bytes > 0 {
		l.undelivered(Undelivered{Remote: c.RemoteAddr().String(), Bytes: bytes, Lingered: lingered})
	}
}

// ExpectInput records that the caller may send the rest of the body of a request that is
// answered. ctx is the context of the request.
func ExpectInput(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok && c != nil {
		c.expectsInput.Store(true)
	}
}

// beginClose records that the connection is closed. It returns false unless it is the first
// call, no Read is in progress, the connection has served a request, and neither side has ended it.
func (c *conn) beginClose() (mayLinger bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	mayLinger = c.served && !c.closing && !c.reading && !c.inputEnded && !c.resets
	c.closing = true
	return mayLinger
}

// lingerIfNeeded begins to linger if the answer would be lost otherwise. Where the kernel can't
// tell what is in flight, that is only if the body of the request has not arrived.
func (c *conn) lingerIfNeeded() bool {
	drops, inFlight := c.expectsInput.Load(), c.queueSize(unix.TIOCOUTQ)
	if !drops && inFlight == 0 {
		return false
	}
	if !c.l.beginLinger(c) {
		c.l.reportUndelivered(c, inFlight, 0)
		return false
	}
	c.l.budget.release(c)
	go func() {
		defer c.l.endLinger(c)
		c.linger(drops)
	}()
	return true
}

// queueSize returns the bytes in a queue of the connection, 0 if it is unknown.
func (c *conn) queueSize(request uint) int {
	size := 0
	err := c.control(func(fd int) (err error) {
		size, err = unix.IoctlGetInt(fd, request)
		return err
	})
	if err != nil {
		return 0
	}
	return size
}

// linger ends the answer and waits until the caller has all of it, or a limit is reached. If it
// drops the rest of a body, it also waits until the caller closes the connection or pauses.
func (c *conn) linger(drops bool) {
	if c.TCPConn.CloseWrite() != nil {
		return
	}
	begun := time.Now()
	progress, inFlight, dropped := begun, c.queueSize(unix.TIOCOUTQ), 0
	defer func() { c.l.reportUndelivered(c, inFlight, time.Since(begun)) }()
	for poll := minLingerPoll; dropped <= lingerBytes && time.Since(begun) < lingerTime; poll = min(2*poll, maxLingerPoll) {
		n, open := 0, true
		if drops {
			n, open = c.drop(poll)
		} else {
			time.Sleep(poll)
		}
		left := c.queueSize(unix.TIOCOUTQ)
		if n > 0 || left < inFlight {
			progress = time.Now()
		}
		dropped, inFlight = dropped+n, left
		quiet := time.Since(progress)
		if !open || left == 0 && (!drops || quiet >= lingerQuiet) || quiet >= lingerStall {
			return
		}
	}
}

// drop reads and drops what arrives within a time, and up to lingerBytes. It returns false if the
// caller has closed the connection.
func (c *conn) drop(wait time.Duration) (dropped int, open bool) {
	buffer := make([]byte, lingerBufferBytes)
	if c.TCPConn.SetReadDeadline(time.Now().Add(wait)) != nil {
		return 0, false
	}
	for dropped <= lingerBytes {
		n, err := c.TCPConn.Read(buffer)
		dropped += n
		if err != nil {
			return dropped, errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	return dropped, true
}

// beginLinger moves a connection from the tracked ones to those that linger. It returns false if
// too many do. The connection still counts as open.
func (l *Listener) beginLinger(c *conn) bool {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	limit := maxLingering
	if l.maxConnections > 0 {
		limit = min(limit, max(l.maxConnections/lingeringDivisor, 1))
	}
	if l.lingering >= limit {
		return false
	}
	delete(l.conns, c)
	l.lingering++
	return true
}

func (l *Listener) endLinger(c *conn) {
	_ = c.TCPConn.Close()
	c.closeOnce.Do(l.connectionClosed)
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	l.lingering--
}

// lingers returns how many connections linger.
func (l *Listener) lingers() int {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	return l.lingering
}
