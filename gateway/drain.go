package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/route"
)

// drainState counts active requests and holds the state of a drain.
type drainState struct {
	mu     sync.Mutex
	active int
	// cutoff is when requests still in progress are aborted, on the clock of
	// package boottime. It is 0 while the VM is not draining.
	cutoff   time.Duration
	finished chan struct{}
}

// enter registers a request. The caller calls release when the request ends.
func (d *drainState) enter() (release func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active++
	return d.leave
}

func (d *drainState) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	if d.active == 0 && d.finished != nil {
		close(d.finished)
		d.finished = nil
	}
}

func (d *drainState) stopping() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutoff > 0
}

// remaining returns the time until active requests are aborted, and false while
// the VM is not draining.
func (d *drainState) remaining() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutoff - boottime.Now(), d.cutoff > 0
}

// BeginDrain starts the drain of the VM. Responses from now on close their
// connection. Requests are still served, since the balancer takes some seconds to
// notice, except for streams that would be aborted at cutAfter.
func (g *Gateway) BeginDrain(cutAfter time.Duration) {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	g.drain.cutoff = boottime.Now() + cutAfter
}

// Conservative estimates of a stream's latency. They decide whether a stream ends
// before the VM stops.
const (
	assumedFirstEventDelay = 1500 * time.Millisecond
	assumedTokenInterval   = 16 * time.Millisecond
)

// checkStopping rejects a stream that could not end before the VM stops. Another
// VM can serve the caller at once.
func (c *call) checkStopping() error {
	remaining, stopping := c.g.drain.remaining()
	if !stopping || c.route.Kind != route.Stream {
		return nil
	}
	needs := assumedFirstEventDelay + time.Duration(c.info.MaxTokens)*assumedTokenInterval
	if c.info.MaxTokens > 0 && needs <= remaining {
		return nil
	}
	return notReady("the VM stops before the stream can end").WithRetryAfter(drainRetryAfter)
}

// drainRetryAfter is the Retry-After of requests that are rejected during a drain.
// It is short, since another VM can serve them at once.
const drainRetryAfter = 50 * time.Millisecond

// Active returns the number of active requests.
func (g *Gateway) Active() int {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	return g.drain.active
}

// WaitDrained waits until no request is active or ctx ends. It returns the number of
// requests that are still active.
func (g *Gateway) WaitDrained(ctx context.Context) (left int) {
	d := &g.drain
	d.mu.Lock()
	if d.active == 0 {
		d.mu.Unlock()
		return 0
	}
	if d.finished == nil {
		d.finished = make(chan struct{})
	}
	finished := d.finished
	d.mu.Unlock()
	select {
	case <-finished:
		return 0
	case <-ctx.Done():
		return g.Active()
	}
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
	case len(snap.Routes.Organisations) > 0 && !g.confirmed(snap):
		// All requests with a key would be rejected; another VM may serve them.
		return "configuration not confirmed", false
	default:
		return "ready", true
	}
}

// Close waits for background calls that outlive their request.
func (g *Gateway) Close() { g.background.Wait() }

// SetVMs sets the number of VMs that share the retry budget.
func (g *Gateway) SetVMs(n int) { g.budget.SetVMs(n) }
