package claim

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/kv"
)

const keyPrefix = "claim/"

// Bounds of the reads and writes that settle a claim.
const (
	resolveAttempts = 4
	resolveInterval = 50 * time.Millisecond
	abandonTimeout  = 30 * time.Second
	abandonInterval = 500 * time.Millisecond
	closeTimeout    = time.Second
	// maxConcurrentAbandons bounds goroutines that withdraw claims during an outage.
	maxConcurrentAbandons = 256
)

// Store is the part of the key-value service that claims need.
type Store interface {
	kv.Getter
	kv.Swapper
	// GrantLease is that of kv.Leaser. Claims never renew or revoke a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error)
}

// Options configure a Manager.
type Options struct {
	VM string
	// Retention is how long a claim protects against a repeat.
	Retention time.Duration
	// ClockTolerance bounds the difference of two clocks of VMs, and of a
	// caller and a VM.
	ClockTolerance time.Duration
	// Rotation is the time during which new claims share a lease. Default DefaultRotation.
	Rotation time.Duration
	Now      func() time.Time
}

// Manager creates claims.
type Manager struct {
	store   Store
	opts    Options
	rotator *leaseRotator
	ctx     context.Context
	cancel  context.CancelFunc
	// background counts withdrawals of claims and a grant of a lease.
	background   sync.WaitGroup
	abandonSlots chan struct{}
}

// NewManager returns a manager on top of the key-value service.
func NewManager(store Store, opts Options) *Manager {
	if opts.Rotation == 0 {
		opts.Rotation = DefaultRotation
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{store: store, opts: opts, ctx: ctx, cancel: cancel, abandonSlots: make(chan struct{}, maxConcurrentAbandons)}
	m.rotator = &leaseRotator{m: m}
	return m
}

// Close ends background work. Claims that are being withdrawn get a moment, so
// that a stop does not leave the keys of rejected calls taken.
func (m *Manager) Close() {
	timer := time.AfterFunc(closeTimeout, m.cancel)
	defer timer.Stop()
	m.background.Wait()
	m.cancel()
}

// Claim is the right to send one call once.
type Claim struct {
	m        *Manager
	key      string
	record   Record
	revision int64
	// lease is the one that each write attaches the claim to.
	lease kv.LeaseID
}

// Key returns the key under which the claim of an organisation is stored.
func Key(organisation, idempotencyKey string) string {
	return keyPrefix + organisation + "/" + idempotencyKey
}

// CheckKey checks form and age of an idempotency key. Errors are
// *InvalidKeyError and *ExpiredKeyError.
func (m *Manager) CheckKey(key string) error {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.String() != key {
		return &InvalidKeyError{Reason: "must be a version 7 UUID in lower case"}
	}
	created := time.Unix(id.Time().UnixTime())
	age := m.opts.Now().Sub(created)
	if age < -m.opts.ClockTolerance {
		return &InvalidKeyError{Reason: "its time lies in the future"}
	}
	if age > m.opts.Retention-m.opts.ClockTolerance {
		return &ExpiredKeyError{Age: age}
	}
	return nil
}

// Begin establishes a claim. Errors are *InvalidKeyError, *ExpiredKeyError,
// *ExistsError, *MismatchError and *UnavailableError. Without a claim the call
// must not be sent.
func (m *Manager) Begin(ctx context.Context, organisation, key, fingerprint string) (*Claim, error) {
	if err := m.CheckKey(key); err != nil {
		return nil, err
	}
	c := &Claim{m: m, key: Key(organisation, key), record: Record{
		Operation: uuid.NewString(), VM: m.opts.VM, State: StateStarted,
		Fingerprint: fingerprint, Created: m.opts.Now(),
	}}
	// The lease is chosen after the check of the key, so that it outlasts the key.
	lease, err := m.rotator.current(ctx)
	if err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	c.lease = lease
	err = c.create(ctx, 0)
	existing, ok := errors.Into[*ExistsError](err)
	for attempt := 0; attempt < resolveAttempts && ok && existing.replaceableBy(c); attempt++ {
		err = c.create(ctx, c.revision)
		existing, ok = errors.Into[*ExistsError](err)
	}
	switch {
	case err == nil:
		return c.recheckKey(key)
	case leaseExpired(err):
		m.rotator.invalidate(lease)
		// Earlier writes of this claim fail as well, so there is nothing to withdraw.
		return nil, &UnavailableError{Cause: err}
	case ok && existing.replaceableBy(c):
		// A replacement whose answer was lost may still take effect, so it is
		// withdrawn like a creation.
		err = &ContendedError{Holder: existing.Record.VM}
	case ok && existing.Record.Fingerprint != fingerprint:
		return nil, &MismatchError{}
	case ok:
		return nil, existing
	}
	c.abandonAsync()
	return nil, &UnavailableError{Cause: err}
}

// recheckKey checks the key again after the write. The VM may have been paused in
// between for so long that the claim of an earlier run was gone.
func (c *Claim) recheckKey(key string) (*Claim, error) {
	if err := c.m.CheckKey(key); err != nil {
		c.abandonAsync()
		return nil, err
	}
	return c, nil
}

// leaseExpired reports a write that failed because its lease is gone.
func leaseExpired(err error) bool {
	_, ok := errors.Into[*kv.NotFoundError](err)
	return ok
}

// create writes the claim if the key is at revision prev. On a conflict it
// leaves the revision found in c.revision.
func (c *Claim) create(ctx context.Context, prev int64) error {
	value, err := c.record.encode()
	if err != nil {
		return err
	}
	revision, err := c.m.store.CompareAndSwap(ctx, c.key, value, prev, c.lease)
	if err == nil {
		c.revision = revision
		return nil
	}
	if !kv.IsAmbiguous(err) {
		return err
	}
	record, revision, readErr := c.m.readBack(ctx, c.key)
	if readErr != nil {
		return err
	}
	c.revision = revision
	if record.Operation == c.record.Operation {
		return nil
	}
	return &ExistsError{Record: record}
}

func (m *Manager) readBack(ctx context.Context, key string) (Record, int64, error) {
	var lastErr error
	for attempt := range resolveAttempts {
		if attempt > 0 && !wait.Sleep(ctx, resolveInterval) {
			return Record{}, 0, ctx.Err()
		}
		entry, err := m.store.Get(ctx, key)
		if err == nil {
			record, err := decode(entry.Value)
			return record, entry.Revision, err
		}
		lastErr = err
	}
	return Record{}, 0, lastErr
}

// Complete records the result. A failure leaves the claim started, so that
// later attempts get outcome unknown.
func (c *Claim) Complete(ctx context.Context, result Result) error {
	if len(result.Body) > MaxRecordedBody {
		result.Body, result.BodyDropped = nil, true
	}
	c.record.State, c.record.Result = StateCompleted, &result
	value, err := c.record.encode()
	if err != nil {
		return err
	}
	for attempt := range resolveAttempts {
		if attempt > 0 && !wait.Sleep(ctx, resolveInterval) {
			return ctx.Err()
		}
		_, err = c.m.store.CompareAndSwap(ctx, c.key, value, c.revision, c.lease)
		if err == nil {
			return nil
		}
		if conflict, ok := errors.Into[*kv.ConflictError](err); ok && conflict.Revision > 0 {
			// Only the holder writes a started claim, so an earlier attempt took effect.
			return nil
		} else if ok || leaseExpired(err) {
			break // The claim is gone, and its key is refused.
		}
	}
	return errors.Wrap(err, "record result")
}

// Abandon withdraws the claim in the background. It must only be called when
// no byte of the call was sent.
func (c *Claim) Abandon() { c.abandonAsync() }

// abandonAsync marks the claim abandoned. It also covers a creation whose answer
// was lost: an abandoned record written first makes a delayed creation fail.
func (c *Claim) abandonAsync() {
	select {
	case c.m.abandonSlots <- struct{}{}:
	default:
		return // The claim stays started; retries get outcome unknown.
	}
	c.m.background.Go(func() {
		defer func() { <-c.m.abandonSlots }()
		ctx, cancel := context.WithTimeout(c.m.ctx, abandonTimeout)
		defer cancel()
		c.record.State = StateAbandoned
		for c.writeAbandoned(ctx) != nil && wait.Sleep(ctx, abandonInterval) {
		}
	})
}

func (c *Claim) writeAbandoned(ctx context.Context) error {
	value, err := c.record.encode()
	if err != nil {
		return nil
	}
	_, err = c.m.store.CompareAndSwap(ctx, c.key, value, c.revision, c.lease)
	if conflict, ok := errors.Into[*kv.ConflictError](err); leaseExpired(err) || ok && conflict.Revision == 0 {
		return nil // The claim is gone, and its key is refused.
	}
	if err == nil || !kv.IsAmbiguous(err) {
		return err
	}
	record, revision, readErr := c.m.readBack(ctx, c.key)
	if readErr != nil {
		return readErr
	}
	if record.Operation != c.record.Operation || record.State != StateStarted {
		return nil
	}
	c.revision = revision
	return err
}
