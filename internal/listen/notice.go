package listen

import (
	"net/http"
	"time"
)

// Notice says for how long a drain keeps a connection open on which no answer has announced the
// close: the head of its last answer was written before the drain began. The answer to a further
// request announces it. http.Server closes the other connections as their answer ends.
type Notice struct {
	// Period counts from the end of the last answer. 0 closes such connections at once.
	Period time.Duration
	// Until is when they are closed in any case, unless it is zero. So are new connections without
	// a request: one that is read still has time to be answered.
	Until time.Time
}

// over reports whether a connection may be closed whose last answer ended at a time.
func (n Notice) over(now, answered time.Time) bool {
	return n.Period <= 0 || n.ended(now) || now.Sub(answered) >= n.Period
}

// ended reports whether Until has passed.
func (n Notice) ended(now time.Time) bool { return !n.Until.IsZero() && !now.Before(n.Until) }

// GiveNotice sets the notice of DrainConnections, which is none before.
func (l *Listener) GiveNotice(n Notice) {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	l.notice = n
}

func (l *Listener) currentNotice() Notice {
	l.connsMu.Lock()
	defer l.connsMu.Unlock()
	return l.notice
}

// Unannounced returns the number of connections that DrainConnections has ended although no
// answer had announced it. A request that crosses such an end gets no answer.
func (l *Listener) Unannounced() int { return int(l.unannounced.Load()) }

// closeIdle makes the server close connections without a pending request whose notice is over.
// It returns how many connections are open.
func (l *Listener) closeIdle(now time.Time) (open int) {
	notice := l.currentNotice()
	conns := l.tracked()
	for _, c := range conns {
		if c.expireIfIdle(now, notice) {
			l.unannounced.Add(1)
		}
	}
	return len(conns)
}

// expireIfIdle lets the pending Read of an idle connection fail, after which the server
// closes the connection. The goroutine that reads thus decides whether a request has
// arrived: if the connection were closed here, the server could read a request, and handle
// it, between the check and the close.
func (c *conn) expireIfIdle(now time.Time, notice Notice) (expired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired || !c.idle(now, notice) {
		return false
	}
	c.expired = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) == nil
	return c.expired
}

// idle reports whether the server waits for a request of which nothing has arrived, and the
// caller has had the time to send one. The caller holds c.mu.
func (c *conn) idle(now time.Time, notice Notice) bool {
	if c.hasRead || !c.reading {
		return false
	}
	switch c.state {
	case http.StateIdle:
		return notice.over(now, c.since) && !c.hasInput()
	case http.StateNew:
		return (notice.ended(now) || now.Sub(c.since) >= firstRequestTimeout) && !c.hasInput()
	default:
		return false
	}
}
