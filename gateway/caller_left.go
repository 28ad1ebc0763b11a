package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/caller"
	"github.com/vanillaarch/vanillaarch/internal/listen"
)

// callerWatch records when the caller of a request disconnects. A nil or zero value watches
// nothing.
type callerWatch struct {
	// leftAt is the time on the clock of package boottime, 0 while the caller is there.
	leftAt atomic.Int64
	stop   func() bool
	// closed is set if the caller had disconnected when the request was about to be sent.
	closed atomic.Bool
}

// wasClosed reports whether the caller had disconnected when the request was about to be sent.
func (w *callerWatch) wasClosed() bool { return w != nil && w.closed.Load() }

// watchCaller logs at once that the caller has disconnected. The lines of the attempts tell
// how long it took until each backend server was told. A time limit of this VM on the read of a
// body ends the context of the request, too.
func (c *call) watchCaller() {
	c.caller.stop = context.AfterFunc(c.r.Context(), func() {
		if !listen.ReadTimedOut(c.r.Context()) {
			c.recordCallerLeft()
		}
	})
}

// unwatch ends the watch, unless the caller has left before.
func (w *callerWatch) unwatch() {
	if w != nil && w.stop != nil {
		w.stop()
	}
}

func (c *call) recordCallerLeft() {
	if !c.caller.leftAt.CompareAndSwap(0, int64(boottime.Now())) {
		return
	}
	c.g.Metrics.callersLeft.Inc(1)
	c.log.Info("caller_left", zap.String("phase", string(c.currentPhase())), zap.Duration("elapsed", c.elapsed()))
}

// untilSent returns a context for one attempt, which follows the caller until sent is called.
func (c *call) untilSent(ctx context.Context) (attempt context.Context, sent func() error) {
	attempt, check := caller.FollowUntilSent(ctx, c.r.Context())
	return attempt, func() error {
		err := check()
		if err != nil {
			c.caller.closed.Store(true)
			c.recordCallerLeft()
		}
		return err
	}
}

// since returns the time since the caller has disconnected, and false if it has not.
func (w *callerWatch) since() (time.Duration, bool) {
	if w == nil {
		return 0, false
	}
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
