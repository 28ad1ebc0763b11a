package gateway

import (
	"context"
	"sync"
)

// drainState counts requests in progress.
type drainState struct {
	mu       sync.Mutex
	active   int
	stopped  bool
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
	return d.stopped
}

// Stop asks callers to use other connections from now on. Requests are still
// served, since the balancer needs some seconds to notice.
func (g *Gateway) Stop() {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	g.drain.stopped = true
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	return g.drain.active
}

// Drained waits until no request is in progress. It returns the number of
// requests that are left when ctx ends.
func (g *Gateway) Drained(ctx context.Context) (left int) {
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
