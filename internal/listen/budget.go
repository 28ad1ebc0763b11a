package listen

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/httphead"
)

const (
	// connectionBytes is the memory of a connection that waits for a request: its goroutine, two
	// buffers of 4 KiB, and its records. 600 of them took 25 MB, with garbage.
	connectionBytes = 20 << 10
	// uncountedHeadBytes is the part of the memory of a head that is not counted in addition,
	// since the buffers of the connection hold it. Heads of usual size fit into it.
	uncountedHeadBytes = 8 << 10
	// headCopies is how often the bytes of an incomplete head exist while a line grows.
	headCopies = 2
	// closingDivisor is the divisor of the limit that gives the memory of connections that were
	// made to close, but are not closed yet, above which no further memory is given out.
	closingDivisor = 4
	// maxClosingWait bounds the wait for them, closingPoll is the time between two looks. Their
	// goroutines have nothing to wait for but a processor.
	maxClosingWait = 200 * time.Millisecond
	closingPoll    = time.Millisecond
)

// Reason says which bound closes a connection.
type Reason string

// Bounds that close connections.
const (
	ReasonMemory      Reason = "memory"
	ReasonConnections Reason = "connections"
)

// Closed describes a connection that was closed since a bound was reached.
type Closed struct {
	Connection
	// Local is the address that the caller has connected to.
	Local  string
	Reason Reason
	// Bytes is the memory that counted for the connection, Used that for all of them.
	Bytes, Used int64
}

// BudgetError reports a connection for which there is no memory. It is a timeout in the sense of
// net.Error, after which http.Server closes the connection without an answer.
type BudgetError struct{ Limit int64 }

func (e *BudgetError) Error() string {
	return fmt.Sprintf("connections that wait for a request exceed %d bytes", e.Limit)
}

// Timeout implements net.Error.
func (e *BudgetError) Timeout() bool { return true }

// Temporary implements net.Error.
func (e *BudgetError) Temporary() bool { return true }

// Budget bounds the memory of the connections of all listeners that wait for a request or for
// the rest of its head. A connection whose request is in progress does not count: its memory is
// that of the request. When the budget is exhausted, the connection with the largest incomplete
// head is closed, or the one that has waited longest if no head is larger than usual.
//
// A nil Budget has no limit.
type Budget struct {
	limit  int64
	closed func(Closed)

	mu   sync.Mutex
	used int64
	// waiting holds the bytes of the connections that count, closing those of connections that
	// were made to close, closingBytes in all.
	waiting, closing map[*conn]int64
	closingBytes     int64
}

// NewBudget returns a budget of limit bytes. closed is told of each connection that is closed.
// It must not block.
func NewBudget(limit int64, closed func(Closed)) *Budget {
	return &Budget{limit: limit, closed: closed, waiting: map[*conn]int64{}, closing: map[*conn]int64{}}
}

// Used returns the bytes that count.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// LimitWith makes the connections of a listener share a budget, and bounds the number of them
// that are open, unless maxConnections is 0. It must be called before Accept.
func (l *Listener) LimitWith(b *Budget, maxConnections int) {
	l.budget, l.maxConnections = b, maxConnections
}

// GiveWayWith sets what closes a connection with a request in progress when the open ones have
// reached their limit and none of them waits for a request. giveWay returns false if there is
// none. It must be called before Accept.
func (l *Listener) GiveWayWith(giveWay func() bool) { l.giveWay = giveWay }

// admit counts a connection that was accepted. It returns false if the connection must be
// closed.
func (b *Budget) admit(c *conn) bool {
	if b == nil {
		return true
	}
	if limit := c.l.maxConnections; limit > 0 && c.l.openConnections() > limit && !b.makePlace(c) {
		return false
	}
	return b.reserve(c, connectionBytes) == nil
}

// makePlace closes a waiting connection of the listener of c, or else one whose request gives way.
// It returns false if there is none.
func (b *Budget) makePlace(c *conn) bool {
	if b.evictWaiting(c.l) || c.l.giveWay != nil && c.l.giveWay() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed(b.describe(c, ReasonConnections, 0))
	return false
}

// evictWaiting closes a waiting connection of a listener. It returns false if there is none.
func (b *Budget) evictWaiting(l *Listener) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evict(ReasonConnections, func(other *conn) bool { return other.l == l })
}

// reserve sets the bytes of a connection that waits. Others are closed if the budget is
// exhausted. It returns a *BudgetError if none of them can be.
func (b *Budget) reserve(c *conn, bytes int64) error {
	if b == nil {
		return nil
	}
	err := b.reserveNow(c, bytes)
	if err == nil {
		b.awaitClosing()
	}
	return err
}

func (b *Budget) reserveNow(c *conn, bytes int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(c, bytes)
	for b.used > b.limit {
		if b.evict(ReasonMemory, func(other *conn) bool { return other != c }) {
			continue
		}
		b.set(c, 0)
		b.closed(b.describe(c, ReasonMemory, bytes))
		return &BudgetError{Limit: b.limit}
	}
	return nil
}

// awaitClosing waits while much memory is that of connections which were made to close.
func (b *Budget) awaitClosing() {
	for end := time.Now().Add(maxClosingWait); b.closesMuch() && time.Now().Before(end); {
		time.Sleep(closingPoll)
	}
}

func (b *Budget) closesMuch() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closingBytes > b.limit/closingDivisor
}

// release ends the count of a connection.
func (b *Budget) release(c *conn) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set(c, 0)
}

// set sets the bytes of a connection. The caller holds b.mu.
func (b *Budget) set(c *conn, bytes int64) {
	b.closingBytes -= b.closing[c]
	delete(b.closing, c)
	b.used += bytes - b.waiting[c]
	b.waiting[c] = bytes
	if bytes == 0 {
		delete(b.waiting, c)
	}
}

// evict closes the waiting connection among those that may be closed whose head is the largest,
// and of equal ones the one that has waited longest. It returns false if there is none. The
// caller holds b.mu.
func (b *Budget) evict(reason Reason, may func(*conn) bool) bool {
	for {
		victim := b.victim(may)
		if victim == nil {
			return false
		}
		if !victim.expireIfReading() {
			continue // It has received something meanwhile.
		}
		bytes := b.waiting[victim]
		described := b.describe(victim, reason, bytes)
		b.set(victim, 0)
		b.closing[victim] = bytes
		b.closingBytes += bytes
		b.closed(described)
		return true
	}
}

func (b *Budget) victim(may func(*conn) bool) *conn {
	var victim *conn
	var bytes int64
	var since time.Time
	for c, n := range b.waiting {
		if n < bytes || !may(c) {
			continue
		}
		if waits, begun := c.waitsSince(); waits && (n > bytes || begun.Before(since)) {
			victim, bytes, since = c, n, begun
		}
	}
	return victim
}

func (b *Budget) describe(c *conn, reason Reason, bytes int64) Closed {
	return Closed{Connection: c.describe(), Local: c.LocalAddr().String(), Reason: reason, Bytes: bytes, Used: b.used}
}

// waitingHead is what was received of a head that is not complete.
type waitingHead struct {
	scanner      httphead.Scanner
	bytes, lines int64
}

// memory returns the memory of a connection that has received the head.
func (h *waitingHead) memory() int64 {
	return connectionBytes + max(headCopies*h.bytes+h.lines*httphead.LineBytes-uncountedHeadBytes, 0)
}

// reserveHead counts the bytes of a head that were read. It returns a *BudgetError if there is
// no memory for them.
func (c *conn) reserveHead(b []byte) error {
	if c.l.budget == nil || len(b) == 0 {
		return nil
	}
	memory, waits := c.addHead(b)
	if !waits {
		return nil
	}
	err := c.l.budget.reserve(c, memory)
	if err != nil {
		c.refuse(err)
	}
	return err
}

// addHead adds to the head and returns the memory of the connection. waits is false if the
// server does not wait for a request.
func (c *conn) addHead(b []byte) (memory int64, waits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.http2Requests.http2 || c.state != http.StateNew && c.state != http.StateIdle {
		return 0, false
	}
	n, lines := c.head.scanner.Scan(b)
	c.head.bytes += int64(n)
	c.head.lines += int64(lines)
	return c.head.memory(), true
}

// refuse makes every later Read fail. The server may drop the error of a single one, since it
// reads ahead.
func (c *conn) refuse(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = err
}

// waitsSince reports whether the connection waits for bytes of a request, and since when.
func (c *conn) waitsSince() (waits bool, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading && !c.expired && c.http2Requests.mayClose(c.state), c.since
}

// expireIfReading lets the pending Read fail, after which the server closes the connection. It
// returns false if no Read is pending: a request that was read is not dropped.
func (c *conn) expireIfReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading || c.expired || !c.http2Requests.mayClose(c.state) {
		return false
	}
	c.expired = true
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // Fails only if the connection is closed.
	return true
}
