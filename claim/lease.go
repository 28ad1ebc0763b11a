package claim

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/kv"
)

// DefaultRotation is the default period for which new claims are attached to one
// lease. With 1 h, 510 VMs together request about one lease every 7 s.
const DefaultRotation = time.Hour

// leaseRotator holds the lease that new claims of this VM are attached to. The lease
// is never renewed, so its claims are removed even if the VM no longer exists.
type leaseRotator struct {
	m  *Manager
	mu sync.Mutex
	id kv.LeaseID
	// requestedAt is the time just before the lease was requested.
	requestedAt time.Time
	// pending is the request in progress, or nil. All callers wait for the same one.
	pending *pendingGrant
}

// pendingGrant is a request for a lease. Its result is set before done is closed.
type pendingGrant struct {
	done chan struct{}
	id   kv.LeaseID
	err  error
}

// leaseTTL returns the TTL of a lease. The package comment explains the sum.
func (o Options) leaseTTL() time.Duration { return o.Retention + o.Rotation + o.ClockTolerance }

// current returns the lease for a claim whose key was checked before this call. It
// requests a new lease if there is none or its rotation period is over.
func (l *leaseRotator) current(ctx context.Context) (kv.LeaseID, error) {
	for {
		l.mu.Lock()
		if l.id != 0 && l.age() <= l.m.opts.Rotation {
			defer l.mu.Unlock()
			return l.id, nil
		}
		if l.pending == nil {
			l.pending = &pendingGrant{done: make(chan struct{})}
			l.requestLease(l.pending)
		}
		pending := l.pending
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-pending.done:
		}
		if pending.err != nil {
			return 0, pending.err
		}
	}
}

// age returns the time since the lease was requested. The monotonic clock may stop
// while a VM is suspended, so the larger of monotonic and wall time is used.
func (l *leaseRotator) age() time.Duration {
	now := l.m.opts.Now()
	return max(now.Sub(l.requestedAt), now.Round(0).Sub(l.requestedAt.Round(0)))
}

// requestLease requests a lease in the background, so that a caller that disconnects
// does not fail the others. If the response is lost, the lease expires without keys.
func (l *leaseRotator) requestLease(g *pendingGrant) {
	l.m.background.Go(func() {
		before := l.m.opts.Now()
		g.id, g.err = l.m.store.GrantLease(l.m.ctx, l.m.opts.leaseTTL())
		l.mu.Lock()
		defer l.mu.Unlock()
		if g.err == nil {
			l.id, l.requestedAt = g.id, before
		}
		l.pending = nil
		close(g.done)
	})
}

// invalidate discards a lease that the key-value service no longer has.
func (l *leaseRotator) invalidate(id kv.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}
