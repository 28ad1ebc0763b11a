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

// Keys in the key-value service.
const (
	leasePrefix = "order/lease/"
	fencePrefix = "order/fence/"
)

// Bounds of the reads and writes that settle a lease.
const (
	writeAttempts   = 4
	writeRetryDelay = 50 * time.Millisecond
	releaseTimeout  = 5 * time.Second
)

// leaseRecord is the value of a lease key. It disappears with the lease.
type leaseRecord struct {
	Operation string `json:"operation"`
	Operator  string `json:"operator"`
}

// fenceRecord is the value of a fence key, which is never deleted.
type fenceRecord struct {
	Token     int64  `json:"token"`
	Operation string `json:"operation"`
	// HoldMS is the time in milliseconds during which orders of this holder may
	// still take effect: its lease time plus the maximum in-flight time.
	HoldMS int64 `json:"hold_ms"`
	// Settled says that the holder left with all of its orders answered.
	Settled bool `json:"settled,omitempty"`
}

// Lease is the right to give orders to one backend server. It is not safe for
// concurrent use.
type Lease struct {
	client    *Client
	vm        vmlist.VM
	id        kv.LeaseID
	operation string
	operator  string
	fence     fenceRecord
	revision  int64
	// renewed is the time read before the lease call that last succeeded.
	renewed time.Time
	// lost says that the service no longer knows the lease.
	lost bool
	// quietUntil is the end of the wait for orders of the previous holder.
	quietUntil time.Time
	// uncertain holds the ids of orders that may still be on their way, and
	// whether they load weights.
	uncertain map[string]bool
	// slot is the slot for loads, or nil.
	slot *heldSlot
}

// Token returns the fencing token.
func (l *Lease) Token() int64 { return l.fence.Token }

// RemainingWait returns the time until the first order may be sent.
func (l *Lease) RemainingWait() time.Duration { return l.quietUntil.Sub(l.client.opts.Now()) }

// Acquire obtains the lease of a backend server. Errors are *HeldError and
// *UnavailableError; the lease must be released.
func (o *Client) Acquire(ctx context.Context, vm vmlist.VM, operator string) (*Lease, error) {
	l := &Lease{
		client: o, vm: vm, operation: uuid.NewString(), operator: operator,
		renewed: o.opts.Now(), uncertain: map[string]bool{},
	}
	var err error
	if l.id, err = o.store.GrantLease(ctx, o.opts.TTL); err != nil {
		// A lease whose answer was lost has no key and lapses by itself.
		return nil, &UnavailableError{Backend: vm.ID, Cause: err}
	}
	if err = l.take(ctx, operator); err == nil {
		err = l.raiseFence(ctx)
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

// take creates the lease key.
func (l *Lease) take(ctx context.Context, operator string) error {
	_, err := l.write(ctx, leasePrefix+l.vm.ID, leaseRecord{Operation: l.operation, Operator: operator}, 0, l.id)
	if !kv.IsAmbiguous(err) {
		return err
	}
	var found leaseRecord
	if revision, readErr := l.read(ctx, leasePrefix+l.vm.ID, &found); readErr != nil || revision == 0 {
		return err // A write that is still on its way fails once the lease is revoked.
	}
	if found.Operation == l.operation {
		return nil
	}
	return &LeaseHeldError{Backend: l.vm.ID, Operator: found.Operator}
}

// raiseFence takes the next fencing token, after the lease key was created.
func (l *Lease) raiseFence(ctx context.Context) error {
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
			l.quiet(previous)
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

// quiet sets the wait for orders of the previous holder. The fence is read
// again after a conflict, so the wait never shrinks.
func (l *Lease) quiet(previous fenceRecord) {
	if l.vm.ChecksFencing {
		return
	}
	until := l.client.opts.Now().Add(time.Duration(previous.HoldMS) * time.Millisecond)
	if until.After(l.quietUntil) {
		l.quietUntil = until
	}
}

// waitForPreviousHolder keeps the lease until the first order may be sent. Errors are
// *LapsedError and that of ctx.
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

// checkRemaining returns a *LapsedError when too little of the lease remains.
func (l *Lease) checkRemaining() error {
	if remaining := l.remaining(); remaining < l.client.opts.MinRemaining {
		return &LeaseExpiringError{Backend: l.vm.ID, Remaining: remaining}
	}
	return nil
}

// renew extends the lease. After an error the time of the last success counts.
func (l *Lease) renew(ctx context.Context) {
	before := l.client.opts.Now()
	err := l.client.store.KeepAlive(ctx, l.id)
	if err == nil {
		l.renewed = before
	}
	if _, ok := errors.Into[*kv.NotFoundError](err); ok {
		l.lost = true
	}
}

// remaining returns the time for which the lease surely lasts. The monotonic
// clock can stand still while a VM is suspended, so the wall clock counts as well.
func (l *Lease) remaining() time.Duration {
	if l.lost {
		return 0
	}
	now := l.client.opts.Now()
	elapsed := max(now.Sub(l.renewed), now.Round(0).Sub(l.renewed.Round(0)))
	return l.client.opts.TTL - elapsed
}

// Release gives the lease up. If all orders were answered it records so, and
// the next holder need not wait. A holder whose lease may have lapsed records
// nothing, since orders of its successor may be on their way. The slot for loads
// is freed, but for one of a load with an unknown result: it stays taken for the
// lease time and the maximum in-flight time.
func (l *Lease) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if len(l.uncertain) == 0 && !l.client.opts.Now().Before(l.quietUntil) && l.remaining() > 0 {
		settled := l.fence
		settled.Settled = true
		// If the write is lost, the next holder waits.
		_, _ = l.write(ctx, fencePrefix+l.vm.ID, settled, l.revision, 0)
	}
	if l.slot != nil && l.hasUncertainLoad() && !l.detachSlot(ctx) {
		return // The slot lapses with the lease.
	}
	l.revoke(ctx)
}

// revoke gives the lease back. If the call fails, the lease lapses by itself.
func (l *Lease) revoke(ctx context.Context) { _ = l.client.store.RevokeLease(ctx, l.id) }

func (l *Lease) write(ctx context.Context, key string, record any, prev int64, lease kv.LeaseID) (int64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, errors.Wrap(err, "encode "+key)
	}
	return l.client.store.CompareAndSwap(ctx, key, value, prev, lease)
}

// read decodes a key into record and returns its revision, 0 if it is absent.
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
