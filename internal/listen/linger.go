package listen

import (
	"context"
	"os"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Limits of connections that linger. A connection lingers if it is closed before the caller has
// received the whole answer, or while the caller still sends: the kernel answers bytes that arrive
// on a closed connection, or that were not read before, with a reset, and drops the rest of the
// answer.
const (
	// lingerTime limits how long a connection lingers, lingerStall how long without progress. A
	// lost packet is sent again after 0.2, 0.6, 1.4 and 3 s.
	lingerTime  = 30 * time.Second
	lingerStall = 5 * time.Second
	// lingerQuiet is how long a caller that still sends may pause once it has the whole answer.
	lingerQuiet = unreadBodyPause
	// lingerBytes limits what is read from the caller and dropped. Some callers send a body to
	// its end before they read the answer, and bodies of 4 MB are usual.
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

// lingerIfNeeded begins to linger if the answer or input of the caller would be lost otherwise.
func (c *conn) lingerIfNeeded() bool {
	inFlight, unread := c.queued()
	unread = unread || c.expectsInput.Load()
	if !inFlight && !unread || !c.l.beginLinger(c) {
		return false
	}
	c.l.budget.release(c)
	go func() {
		defer c.l.endLinger(c)
		c.linger(unread)
	}()
	return true
}

// queued reports whether bytes of the answer were not acknowledged, and whether bytes of the
// caller were not read. Where the kernel can't tell, it reports neither.
func (c *conn) queued() (inFlight, unread bool) {
	return c.queueSize(unix.TIOCOUTQ) > 0, c.hasInput()
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

// linger ends the answer, and drops what the caller sends, until the caller has the whole answer
// or a limit is reached. A caller that still sends is then waited for until it closes the
// connection or pauses.
func (c *conn) linger(sends bool) {
	if c.TCPConn.CloseWrite() != nil {
		return
	}
	var (
		buffer   = make([]byte, lingerBufferBytes)
		dropped  int
		begun    = time.Now()
		progress = begun
		inFlight = c.queueSize(unix.TIOCOUTQ)
	)
	for poll := minLingerPoll; dropped <= lingerBytes && time.Since(begun) < lingerTime; poll = min(2*poll, maxLingerPoll) {
		n, open := c.drop(buffer, poll)
		if !open {
			return
		}
		left := c.queueSize(unix.TIOCOUTQ)
		if n > 0 || left < inFlight {
			progress = time.Now()
		}
		dropped, inFlight, sends = dropped+n, left, sends || n > 0
		quiet := time.Since(progress)
		if left == 0 && (!sends || quiet >= lingerQuiet) || quiet >= lingerStall {
			return
		}
	}
}

// drop reads and drops what arrives within a time, and up to lingerBytes. It returns false if the
// caller has closed the connection.
func (c *conn) drop(buffer []byte, wait time.Duration) (dropped int, open bool) {
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
