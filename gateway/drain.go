package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/route"
)

// drainState counts requests in progress.
type drainState struct {
	mu     sync.Mutex
	active int
	// cutoff is when what still runs is cut, 0 while the VM does not stop, on the
	// clock of package boottime.
	cutoff   time.Duration
	finished chan struct{}
}

// enter registers a request.
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

// remaining returns the time until what runs is cut, and false while the VM
// does not stop.
func (d *drainState) remaining() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutoff - boottime.Now(), d.cutoff > 0
}

// BeginDrain asks callers to use other connections from now on. Requests are still
// served, since the balancer needs some seconds to notice, but for streams that
// would be cut after the given time.
func (g *Gateway) BeginDrain(cutAfter time.Duration) {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	g.drain.cutoff = boottime.Now() + cutAfter
}

// Pace that a stream is expected to have at least, to tell whether it ends
// before the VM stops.
const (
	assumedFirstEventDelay = 1500 * time.Millisecond
	assumedTokenInterval   = 16 * time.Millisecond
)

// checkStopping refuses a stream that would be cut by the end of the VM. The
// caller is served by another VM at once.
func (c *call) checkStopping() error {
	remaining, stopping := c.g.drain.remaining()
	if !stopping || c.route.Kind != route.Stream {
		return nil
	}
	needs := assumedFirstEventDelay + time.Duration(c.facts.MaxTokens)*assumedTokenInterval
	if c.facts.MaxTokens > 0 && needs <= remaining {
		return nil
	}
	return notReady("the VM stops before the stream can end").WithRetryAfter(drainRetryAfter)
}

// drainRetryAfter is after how long a caller is asked to return that another VM
// can serve at once.
const drainRetryAfter = 50 * time.Millisecond

// Active returns the number of requests in progress.
func (g *Gateway) Active() int {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	return g.drain.active
}

// WaitDrained waits until no request is in progress. It returns the number of
// requests that are left when ctx ends.
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

// Ready reports whether the VM can serve requests, with the reason if not.
func (g *Gateway) Ready() (reason string, ok bool) {
	switch snap := g.Snapshot(); {
	case g.drain.stopping():
		return "stopping", false
	case snap.Routes == nil:
		return "no configuration", false
	case len(snap.Backends) == 0:
		return "no backend servers", false
	case len(snap.Routes.Organisations) > 0 && !g.confirmed(snap):
		// All requests with a key would be refused; another VM may serve them.
		return "configuration not confirmed", false
	default:
		return "ready", true
	}
}

// Close waits for calls that outlive their request.
func (g *Gateway) Close() { g.background.Wait() }

// SetVMs tells how many VMs share the retry budget.
func (g *Gateway) SetVMs(n int) { g.budget.SetVMs(n) }
