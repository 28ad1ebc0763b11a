package order

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Key prefixes in the key-value service.
const (
	leasePrefix = "order/lease/"
	fencePrefix = "order/fence/"
)

// Limits of the retries of ambiguous writes, and of the release of a lease.
const (
	writeAttempts   = 4
	writeRetryDelay = 50 * time.Millisecond
	releaseTimeout  = 5 * time.Second
)

// leaseRecord is the value of a lease key, which is deleted with the lease.
type leaseRecord struct {
	Operation string `json:"operation"`
	Operator  string `json:"operator"`
}

// fenceRecord is the value of a fence key, which is never deleted.
type fenceRecord struct {
	Token     int64  `json:"token"`
	Operation string `json:"operation"`
	// HoldMS is the time in milliseconds during which orders of this holder may
	// still take effect: its lease time plus the maximum in-flight time, or the
	// value of an earlier holder if that is longer and was not settled.
	HoldMS int64 `json:"hold_ms"`
	// Settled reports whether all orders of the holder were answered when it
	// released the lease.
	Settled bool `json:"settled,omitempty"`
}

// Lease is the exclusive right to send orders to one backend server. It is not
// safe for concurrent use.
type Lease struct {
	client    *Client
	vm        vmlist.VM
	id        kv.LeaseID
	operation string
	operator  string
	fence     fenceRecord
	revision  int64
	// renewedAt is the clock reading taken before the last successful lease call.
	renewedAt time.Time
	// lost reports whether the service no longer has the lease.
	lost bool
	// notBefore is the end of the wait for orders of the previous holder; no
	// order is sent earlier.
	notBefore time.Time
	// uncertain maps the ids of orders that may still be in flight to whether
	// they load weights.
	uncertain map[string]bool
	// slot is the load slot held with the lease, or nil.
	slot *heldSlot
}

// Token returns the fencing token.
func (l *Lease) Token() int64 { return l.fence.Token }

// RemainingWait returns the time until the first order may be sent.
func (l *Lease) RemainingWait() time.Duration { return l.notBefore.Sub(l.client.opts.Now()) }

// Acquire acquires the lease for orders to a backend server. It returns a
// *LeaseHeldError or an *UnavailableError on failure. The caller must release
// the lease.
func (c *Client) Acquire(ctx context.Context, vm vmlist.VM, operator string) (*Lease, error) {
	l := &Lease{
		client: c, vm: vm, operation: uuid.NewString(), operator: operator,
		renewedAt: c.opts.Now(), uncertain: map[string]bool{},
	}
	var err error
	if l.id, err = c.store.GrantLease(ctx, c.opts.TTL); err != nil {
		// If only the response was lost, the lease has no key and expires unused.
		return nil, &UnavailableError{Backend: vm.ID, Cause: err}
	}
	if err = l.createLeaseKey(ctx, operator); err == nil {
		err = l.takeFencingToken(ctx)
	}
	if err == nil {
		return l, nil
	}
	l.revoke(ctx)
	if held, ok := errors.Into[*LeaseHeldError](err); ok {
		return nil, held
	}
	return nil, &UnavailableError{Backend: vm.ID, Cause: err}
}

// createLeaseKey creates the lease key.
func (l *Lease) createLeaseKey(ctx context.Context, operator string) error {
	_, err := l.write(ctx, leasePrefix+l.vm.ID, leaseRecord{Operation: l.operation, Operator: operator}, 0, l.id)
	if !kv.IsAmbiguous(err) {
		return err
	}
	var found leaseRecord
	if revision, readErr := l.read(ctx, leasePrefix+l.vm.ID, &found); readErr != nil || revision == 0 {
		return err // A write still in flight fails once the lease is revoked.
	}
	if found.Operation == l.operation {
		return nil
	}
	return &LeaseHeldError{Backend: l.vm.ID, Operator: found.Operator}
}

// takeFencingToken increments the fencing token. The lease key must already exist.
func (l *Lease) takeFencingToken(ctx context.Context) error {
	var err error
	for range writeAttempts {
		var previous fenceRecord
		var revision int64
		if revision, err = l.read(ctx, fencePrefix+l.vm.ID, &previous); err != nil {
			return err
		}
		if previous.Operation == l.operation { // An earlier write took effect.
			l.fence, l.revision = previous, revision
			return nil
		}
		l.fence = fenceRecord{Token: previous.Token + 1, Operation: l.operation, HoldMS: l.client.opts.holdTime().Milliseconds()}
		if !previous.Settled {
			l.extendWait(previous)
			l.fence.HoldMS = max(l.fence.HoldMS, previous.HoldMS)
		}
		if l.revision, err = l.write(ctx, fencePrefix+l.vm.ID, l.fence, revision, 0); err == nil {
			return nil
		}
		if !kv.IsAmbiguous(err) || !wait.Sleep(ctx, writeRetryDelay) {
			return err
		}
	}
	return err
}

// extendWait extends the wait to cover orders of the previous holder that may
// still be in flight. The fence is read again after a conflict and may then name
// another holder, so the wait never gets shorter.
func (l *Lease) extendWait(previous fenceRecord) {
	if l.vm.ChecksFencing {
		return
	}
	until := l.client.opts.Now().Add(time.Duration(previous.HoldMS) * time.Millisecond)
	if until.After(l.notBefore) {
		l.notBefore = until
	}
}

// waitForPreviousHolder renews the lease until the first order may be sent. It
// returns a *LeaseExpiringError or the error of ctx.
func (l *Lease) waitForPreviousHolder(ctx context.Context) error {
	for {
		left := l.RemainingWait()
		if left <= 0 {
			return nil
		}
		if err := l.client.opts.Sleep(ctx, min(left, l.client.opts.TTL/renewalsPerTTL)); err != nil {
			return err
		}
		l.renew(ctx)
		if err := l.checkRemaining(); err != nil {
			return err
		}
	}
}

// checkRemaining returns a *LeaseExpiringError if the remaining lease time is
// below MinRemaining.
func (l *Lease) checkRemaining() error {
	if remaining := l.remaining(); remaining < l.client.opts.MinRemaining {
		return &LeaseExpiringError{Backend: l.vm.ID, Remaining: remaining}
	}
	return nil
}

// renew extends the lease. After an error, the lease is still measured from the
// last successful call.
func (l *Lease) renew(ctx context.Context) {
	before := l.client.opts.Now()
	err := l.client.store.KeepAlive(ctx, l.id)
	if err == nil {
		l.renewedAt = before
	}
	if _, ok := errors.Into[*kv.NotFoundError](err); ok {
		l.lost = true
	}
}

// remaining returns a lower bound of the remaining lease time. The monotonic
// clock can stop while a VM is suspended, so the wall clock is used as well and
// the larger elapsed time counts.
func (l *Lease) remaining() time.Duration {
	if l.lost {
		return 0
	}
	now := l.client.opts.Now()
	elapsed := max(now.Sub(l.renewedAt), now.Round(0).Sub(l.renewedAt.Round(0)))
	return l.client.opts.TTL - elapsed
}

// Release releases the lease. If all orders were answered it records that, so
// the next holder does not have to wait. A holder whose lease may have expired
// records nothing, since orders of its successor may be in flight. The load slot
// is freed, except after a load with an unknown result: then it stays taken for
// the lease time plus the maximum in-flight time.
func (l *Lease) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if len(l.uncertain) == 0 && !l.client.opts.Now().Before(l.notBefore) && l.remaining() > 0 {
		settled := l.fence
		settled.Settled = true
		// If the write is lost, the next holder waits.
		_, _ = l.write(ctx, fencePrefix+l.vm.ID, settled, l.revision, 0)
	}
	if l.slot != nil && l.hasUncertainLoad() && !l.detachSlot(ctx) {
		return // The slot is freed when the lease expires.
	}
	l.revoke(ctx)
}

// revoke revokes the lease. If the call fails, the lease expires after its TTL.
func (l *Lease) revoke(ctx context.Context) { _ = l.client.store.RevokeLease(ctx, l.id) }

func (l *Lease) write(ctx context.Context, key string, record any, prev int64, lease kv.LeaseID) (int64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, errors.Wrap(err, "encode "+key)
	}
	return l.client.store.CompareAndSwap(ctx, key, value, prev, lease)
}

// read decodes the value of a key into record and returns its revision, or 0 if
// the key does not exist.
func (l *Lease) read(ctx context.Context, key string, record any) (int64, error) {
	entry, err := l.client.store.Get(ctx, key)
	if _, ok := errors.Into[*kv.NotFoundError](err); ok {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(entry.Value, record); err != nil {
		return 0, errors.Wrap(err, "decode "+key)
	}
	return entry.Revision, nil
}
