package frontend

import (
	"context"
	"sync"
	"time"
)

// drainState tracks requests in progress. New requests are rejected once the
// notice period of a drain is over.
type drainState struct {
	mu        sync.Mutex
	started   bool // set by BeginDrain
	rejecting bool // set by Drain
	// rejectingSince is when rejecting was set.
	rejectingSince time.Time
	nextID         uint64
	active         map[uint64]string // names of requests by their number
	finished       chan struct{}     // closed when no request is active; nil until Drain
}

// drainedBodyWait is how long refusals wait for the rest of their body once new requests are
// rejected. A VM that has drained closes its connections within two seconds.
const drainedBodyWait = time.Second

// bodyWait returns how much longer a refusal may wait for the rest of its body. It began to
// wait at a time, and waits for limit if the VM does not drain.
func (d *drainState) bodyWait(begun time.Time, limit time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	left := time.Until(begun.Add(limit))
	if !d.rejecting {
		return left
	}
	if begun.Before(d.rejectingSince) {
		begun = d.rejectingSince
	}
	return min(left, time.Until(begun.Add(drainedBodyWait)))
}

// enter registers a request. It returns false once new requests are rejected.
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

// BeginDrain makes /readyz fail and responses close their connection. New requests
// are still accepted, since the load balancer takes some seconds to react.
func (f *Frontend) BeginDrain() {
	f.drain.mu.Lock()
	defer f.drain.mu.Unlock()
	f.drain.started = true
}

// Drain rejects new requests and waits until those in progress have ended. If ctx
// ends first, it returns the names of the requests that are still in progress.
func (f *Frontend) Drain(ctx context.Context) (unfinished []string) {
	f.BeginDrain()
	d := &f.drain
	d.mu.Lock()
	if !d.rejecting {
		d.rejecting, d.rejectingSince, d.finished = true, time.Now(), make(chan struct{})
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
