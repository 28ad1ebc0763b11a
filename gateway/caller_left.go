package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/listen"
)

// callerWatch records when the caller of a request disconnects. The zero value watches nothing.
type callerWatch struct {
	// leftAt is the time on the clock of package boottime, 0 while the caller is there.
	leftAt atomic.Int64
	stop   func() bool
	// closed is set if the connection had ended when the request was about to be sent.
	closed bool
}

// watchCaller logs at once that the caller has disconnected. The lines of the attempts tell
// how long it took until each backend server was told.
func (c *call) watchCaller() {
	c.caller.stop = context.AfterFunc(c.r.Context(), c.recordCallerLeft)
}

func (c *call) recordCallerLeft() {
	if !c.caller.leftAt.CompareAndSwap(0, int64(boottime.Now())) {
		return
	}
	c.g.Metrics.callersLeft.Inc(1)
	c.log.Info("caller_left", zap.String("phase", string(c.currentPhase())), zap.Duration("elapsed", c.elapsed()))
}

// CallerLeftError reports that a request was not sent since its caller has disconnected.
type CallerLeftError struct{}

func (e *CallerLeftError) Error() string { return "the caller has disconnected" }

// untilSent returns a context that also ends when the caller disconnects before sent is called,
// in which case sent returns a *CallerLeftError. A request that must not be repeated goes on
// without its caller, but only once it is sent.
func (c *call) untilSent(ctx context.Context) (limited context.Context, sent func() error) {
	limited, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(c.r.Context(), func() { cancel(&CallerLeftError{}) })
	return limited, func() error {
		if !stop() || c.hasClosed() {
			return &CallerLeftError{}
		}
		return nil
	}
}

// hasClosed reports whether the caller has closed its connection. A VM that is short of
// processor time may read a request after that, and sends it without a wait in which
// http.Server would notice.
func (c *call) hasClosed() bool {
	if !c.caller.closed && listen.PeerClosed(c.r.Context()) {
		c.caller.closed = true
		c.recordCallerLeft()
	}
	return c.caller.closed
}

// since returns the time since the caller has disconnected, and false if it has not.
func (w *callerWatch) since() (time.Duration, bool) {
	at := time.Duration(w.leftAt.Load())
	return boottime.Now() - at, at > 0
}

// sinceLeft returns the log fields of an attempt that has ended, nil while the caller is there.
func (c *call) sinceLeft() []zap.Field {
	since, left := c.caller.since()
	if !left {
		return nil
	}
	return []zap.Field{zap.Duration("since_caller_left", since)}
}

// recordWorkAfterCaller updates the histogram of the time for which a request whose caller
// had disconnected held a backend server.
func (c *call) recordWorkAfterCaller() {
	if since, left := c.caller.since(); left {
		c.g.Metrics.afterCaller.Update(since.Microseconds())
	}
}
