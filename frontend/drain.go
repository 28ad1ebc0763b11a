package frontend

import (
	"context"
	"sync"
)

// drainState counts requests in progress and refuses new ones after the
// notice time.
type drainState struct {
	mu        sync.Mutex
	started   bool
	rejecting bool
	nextID    uint64
	active    map[uint64]string
	finished  chan struct{}
}

// enter registers a request. It returns false once new work is refused.
func (d *drainState) enter(name string) (release func(), ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rejecting {
		return nil, false
	}
	if d.active == nil {
		d.active = map[uint64]string{}
	}
	id := d.nextID
	d.nextID++
	d.active[id] = name
	return func() { d.leave(id) }, true
}

func (d *drainState) leave(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.active, id)
	if d.rejecting && len(d.active) == 0 {
		close(d.finished)
	}
}

func (d *drainState) draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

// BeginDrain makes /readyz fail. New work is still accepted, since the balancer
// takes some seconds to notice.
func (f *Frontend) BeginDrain() {
	f.drain.mu.Lock()
	defer f.drain.mu.Unlock()
	f.drain.started = true
}

// Drain refuses new work and waits until requests in progress have ended. If
// ctx ends first, it returns the names of the requests that are cut.
func (f *Frontend) Drain(ctx context.Context) (unfinished []string) {
	f.BeginDrain()
	d := &f.drain
	d.mu.Lock()
	if !d.rejecting {
		d.rejecting, d.finished = true, make(chan struct{})
		if len(d.active) == 0 {
			close(d.finished)
		}
	}
	d.mu.Unlock()
	select {
	case <-d.finished:
		return nil
	case <-ctx.Done():
		return f.Active()
	}
}

// Active returns the names of the requests in progress.
func (f *Frontend) Active() []string {
	f.drain.mu.Lock()
	defer f.drain.mu.Unlock()
	names := make([]string, 0, len(f.drain.active))
	for _, name := range f.drain.active {
		names = append(names, name)
	}
	return names
}
