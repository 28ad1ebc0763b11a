package gateway

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/route"
)

// drainState holds the active requests and the state of a drain.
type drainState struct {
	// begun ends when the drain begins.
	begun context.Context
	begin context.CancelFunc

	mu     sync.Mutex
	active map[*call]struct{}
	// cutoff is when requests still in progress get their last answer, on the clock of
	// package boottime. It is 0 while the VM is not draining.
	cutoff time.Duration
	// begunAt is when the drain began, on the same clock.
	begunAt  time.Duration
	finished chan struct{}
}

func newDrainState() *drainState {
	d := &drainState{active: map[*call]struct{}{}}
	d.begun, d.begin = context.WithCancel(context.Background())
	return d
}

// enter registers a request, until it calls leave.
func (d *drainState) enter(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active[c] = struct{}{}
}

func (d *drainState) leave(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.active, c)
	if len(d.active) == 0 && d.finished != nil {
		close(d.finished)
		d.finished = nil
	}
}

func (d *drainState) stopping() bool {
	_, stopping := d.remaining()
	return stopping
}

// remaining returns the time until active requests get their last answer, and false while
// the VM is not draining.
func (d *drainState) remaining() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutoff - boottime.Now(), d.cutoff > 0
}

// StoppingError reports work that would not end before the VM stops.
type StoppingError struct {
	// Remaining is the time until the VM ends its work, Needs the time that the work takes.
	Remaining, Needs time.Duration
}

func (e *StoppingError) Error() string {
	return fmt.Sprintf("the VM stops in %v, and the work may take %v", e.Remaining, e.Needs)
}

// limit returns a context that ends with a *StoppingError as its cause as soon as work that
// takes the time returned by needs would not end before the VM stops.
func (d *drainState) limit(parent context.Context, needs func() time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	unregister := context.AfterFunc(d.begun, func() {
		if err := d.awaitLimit(ctx, needs); err != nil {
			cancel(err)
		}
	})
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// awaitLimit waits until the work would not end before the VM stops, and returns a
// *StoppingError. It returns nil if ctx ends first.
func (d *drainState) awaitLimit(ctx context.Context, needs func() time.Duration) error {
	for {
		remaining, _ := d.remaining()
		needed := needs()
		if remaining <= needed {
			return &StoppingError{Remaining: remaining, Needs: needed}
		}
		if !wait.Sleep(ctx, remaining-needed) {
			return nil
		}
	}
}

// noTime is what work in progress needs: it goes on until the VM ends it.
func noTime() time.Duration { return 0 }

// BeginDrain starts the drain of the VM. Responses from now on close their
// connection. Requests are still served, since the balancer takes some seconds to
// notice, except for those that would not end within endAfter. Requests that wait for a
// backend server are rejected under the same condition. Those that a backend server
// still works on after endAfter get an error response that does not deny that they ran.
func (g *Gateway) BeginDrain(endAfter time.Duration) {
	g.drain.mu.Lock()
	g.drain.begunAt = boottime.Now()
	g.drain.cutoff = g.drain.begunAt + endAfter
	g.drain.mu.Unlock()
	g.drain.begin()
}

// Conservative estimates of the time that requests take. They decide whether a request
// ends before the VM stops. Those for streams are the least that is expected, see paceTable.
const (
	assumedFirstEventDelay = 1500 * time.Millisecond
	assumedTokenInterval   = 16 * time.Millisecond
	// assumedRepeatableTime bounds the time for a request to a plain service that the
	// caller may repeat. No time short of its deadline is certain to suffice, but a repeat
	// costs such a caller little.
	assumedRepeatableTime = 2 * time.Second
)

// balancerNotice is the time after the begin of a drain after which the load balancer opens no
// more connections to the VM: it probes each second, and two failures take a VM out. Later
// requests come over connections that were kept, and their callers reach another VM at once. The
// three seconds that this may take count from the signal, which a starved VM handles late.
const balancerNotice = 2500 * time.Millisecond

// isAfterNotice reports whether a request has arrived after the notice of a drain.
func (d *drainState) isAfterNotice(arrived time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutoff > 0 && arrived-d.begunAt >= balancerNotice
}

// unlimitedTime is the time that a stream of unknown length needs. It is far below the
// limit of time.Duration, so that it can be subtracted from.
const unlimitedTime = time.Duration(math.MaxInt64 / 4)

// timeNeeded returns the time that the request may take from now on. A request that must
// not run twice may take until its deadline, and so may a stream that arrives after the notice
// of a drain: an engine that is slower than assumed would have it cut.
func (c *call) timeNeeded() time.Duration {
	if c.route.Kind == route.Stream && !c.g.drain.isAfterNotice(c.arrived) {
		if c.info.MaxTokens <= 0 {
			return unlimitedTime
		}
		return c.g.pace.slowest(c.service.Name, boottime.Now()).timeFor(c.info.MaxTokens)
	}
	untilDeadline := c.remaining() + responseGrace
	if c.route.Kind != route.Stream && c.route.Retryable() {
		return min(untilDeadline, assumedRepeatableTime)
	}
	return untilDeadline
}

// untilStop returns the time until the request gets its last answer because the VM stops.
func (c *call) untilStop() time.Duration {
	if remaining, stopping := c.g.drain.remaining(); stopping {
		return remaining
	}
	return unlimitedTime
}

// checkStopping rejects a request that may not end before the VM stops. Another VM can
// serve the caller at once.
func (c *call) checkStopping() error {
	remaining, stopping := c.g.drain.remaining()
	if !stopping {
		return nil
	}
	needs := c.timeNeeded()
	if needs <= remaining {
		return nil
	}
	return notReady("the VM stops before the request can end").
		WithRetryAfter(drainRetryAfter).WithCause(&StoppingError{Remaining: remaining, Needs: needs})
}

// whileFits returns a context for waiting for a backend server. It ends with parent, and as
// soon as the request may not end any more before the VM stops.
func (c *call) whileFits(parent context.Context) (context.Context, context.CancelFunc) {
	return c.g.drain.limit(parent, c.timeNeeded)
}

// drainRetryAfter is the Retry-After of requests that are rejected during a drain.
// It is short, since another VM can serve them at once.
const drainRetryAfter = 50 * time.Millisecond

// Active returns the number of active requests.
func (g *Gateway) Active() int {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	return len(g.drain.active)
}

// Runs returns the number of streams of this VM that are at an engine.
func (g *Gateway) Runs() int { return g.runs.count() }

// WaitDrained waits until no request is active or ctx ends. It returns the number of
// requests that are still active.
func (g *Gateway) WaitDrained(ctx context.Context) (left int) {
	select {
	case <-g.drain.awaitEmpty():
		return 0
	case <-ctx.Done():
		return g.logCut()
	}
}

// awaitEmpty returns a channel that is closed once no request is active.
func (d *drainState) awaitEmpty() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.finished != nil {
		return d.finished
	}
	finished := make(chan struct{})
	if len(d.active) == 0 {
		close(finished)
	} else {
		d.finished = finished
	}
	return finished
}

// logCut logs the requests whose connections are about to be closed without a complete
// answer, and returns their number.
func (g *Gateway) logCut() int {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	for c := range g.drain.active {
		c.log.Warn("request_cut", zap.String("phase", string(c.currentPhase())), zap.Duration("elapsed", c.elapsed()))
	}
	return len(g.drain.active)
}

// Ready reports whether the VM can serve requests, and the reason if it can't.
func (g *Gateway) Ready() (reason string, ok bool) {
	switch snap := g.Snapshot(); {
	case g.drain.stopping():
		return "stopping", false
	case snap.Routes == nil:
		return "no configuration", false
	case len(snap.Backends) == 0:
		return "no backend servers", false
	case !g.Permits.Synced():
		return "limits of backend servers unknown", false
	case len(snap.Routes.Organisations) > 0 && !g.confirmed(snap):
		// All requests with a key would be rejected; another VM may serve them.
		return "configuration not confirmed", false
	default:
		return "ready", true
	}
}

// Close waits for background calls that outlive their request, and for the handlers of requests
// whose connections were closed, so that each has recorded its end.
// Engines are not asked any more to end runs that the VM has left.
func (g *Gateway) Close() {
	g.closeOnce.Do(func() { close(g.closing) })
	g.background.Wait()
	<-g.drain.awaitEmpty()
}

// isClosing reports whether Close was called.
func (g *Gateway) isClosing() bool {
	select {
	case <-g.closing:
		return true
	default:
		return false
	}
}

// SetVMs sets the number of VMs that share the retry budget.
func (g *Gateway) SetVMs(n int) { g.budget.SetVMs(n) }
