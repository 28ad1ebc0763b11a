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

// Limits of the reads and writes after a write whose outcome is unknown, and of the
// writes that abandon a claim.
const (
	resolveAttempts = 4
	resolveInterval = 50 * time.Millisecond
	abandonTimeout  = 30 * time.Second
	abandonInterval = 500 * time.Millisecond
	closeTimeout    = time.Second
	// maxConcurrentAbandons bounds the goroutines that abandon claims during an outage
	// of the key-value service.
	maxConcurrentAbandons = 256
)

// Store is the part of the key-value service that claims use.
type Store interface {
	kv.Getter
	kv.Swapper
	// GrantLease is the method of kv.Leaser. Claims never renew or revoke a lease.
	GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error)
}

// Options configure a Manager.
type Options struct {
	// VM is the identifier of this VM.
	VM string
	// Retention is how long a claim prevents a second run of its call.
	Retention time.Duration
	// ClockTolerance bounds the clock skew between two VMs, and between a caller and
	// a VM.
	ClockTolerance time.Duration
	// Rotation is the period for which new claims share a lease. The default is
	// DefaultRotation.
	Rotation time.Duration
	Now      func() time.Time
}

// Manager creates the claims of one VM.
type Manager struct {
	store   Store
	opts    Options
	rotator *leaseRotator
	ctx     context.Context
	cancel  context.CancelFunc
	// background tracks the writes that abandon claims and the request for a lease.
	background   sync.WaitGroup
	abandonSlots chan struct{}
}

// NewManager returns a Manager that stores claims in the key-value service.
func NewManager(store Store, opts Options) *Manager {
	if opts.Rotation == 0 {
		opts.Rotation = DefaultRotation
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{store: store, opts: opts, ctx: ctx, cancel: cancel, abandonSlots: make(chan struct{}, maxConcurrentAbandons)}
	m.rotator = &leaseRotator{m: m}
	return m
}

// Close ends background work. Pending writes that abandon claims get closeTimeout to
// finish, since a retry of a rejected call fails while its claim is held.
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
	// lease is the lease that each write attaches the claim to.
	lease kv.LeaseID
}

// Key returns the key under which the claim of an organisation is stored.
func Key(organisation, idempotencyKey string) string {
	return keyPrefix + organisation + "/" + idempotencyKey
}

// CheckKey checks the format and the age of an idempotency key. Errors are
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

// Begin creates a claim, or replaces an abandoned one of the same request. Errors are
// *InvalidKeyError, *ExpiredKeyError, *ExistsError, *MismatchError and
// *UnavailableError. After an error the call must not be sent.
func (m *Manager) Begin(ctx context.Context, organisation, key, fingerprint string) (*Claim, error) {
	if err := m.CheckKey(key); err != nil {
		return nil, err
	}
	c := &Claim{m: m, key: Key(organisation, key), record: Record{
		Operation: uuid.NewString(), VM: m.opts.VM, State: StateStarted,
		Fingerprint: fingerprint, Created: m.opts.Now(),
	}}
	// The lease is chosen after the key was checked, so that it outlives the key.
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
		// Pending writes of this claim fail too, so there is nothing to abandon.
		return nil, &UnavailableError{Cause: err}
	case ok && existing.replaceableBy(c):
		// A replacement whose response was lost may still take effect, so it is
		// abandoned like a new claim.
		err = &ContendedError{Holder: existing.Record.VM}
	case ok && existing.Record.Fingerprint != fingerprint:
		return nil, &MismatchError{}
	case ok:
		return nil, existing
	}
	c.abandonAsync()
	return nil, &UnavailableError{Cause: err}
}

// recheckKey checks the key again after the write. The VM may have been paused so
// long in between that the claim of an earlier run had expired.
func (c *Claim) recheckKey(key string) (*Claim, error) {
	if err := c.m.CheckKey(key); err != nil {
		c.abandonAsync()
		return nil, err
	}
	return c, nil
}

// leaseExpired reports whether a write failed because its lease has expired.
func leaseExpired(err error) bool {
	_, ok := errors.Into[*kv.NotFoundError](err)
	return ok
}

// create writes the claim if the key is at revision prev. If the key holds the claim
// of another attempt, create returns an *ExistsError and sets c.revision to the
// revision found.
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

// readBack reads a claim after a write whose outcome is unknown.
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

// Complete records the result. If that fails, the claim stays in StateStarted and
// later attempts get the outcome unknown.
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
			// Only the holder writes a started claim, so an earlier attempt of this
			// loop took effect.
			return nil
		} else if ok || leaseExpired(err) {
			break // The claim has expired, and its key is rejected from now on.
		}
	}
	return errors.Wrap(err, "record result")
}

// Abandon marks the claim abandoned in the background, so that a retry may replace
// it. It must only be called if no byte of the call was sent.
func (c *Claim) Abandon() { c.abandonAsync() }

// abandonAsync marks the claim abandoned in the background. It also covers a create
// whose response was lost: if the abandoned record is written first, the delayed
// create fails with a conflict.
func (c *Claim) abandonAsync() {
	select {
	case c.m.abandonSlots <- struct{}{}:
	default:
		return // The claim stays in StateStarted, and retries get the outcome unknown.
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

// writeAbandoned tries once to write the abandoned record. It returns nil if no
// further attempt is needed.
func (c *Claim) writeAbandoned(ctx context.Context) error {
	value, err := c.record.encode()
	if err != nil {
		return nil
	}
	_, err = c.m.store.CompareAndSwap(ctx, c.key, value, c.revision, c.lease)
	if conflict, ok := errors.Into[*kv.ConflictError](err); leaseExpired(err) || ok && conflict.Revision == 0 {
		return nil // The claim has expired, and its key is rejected from now on.
	}
	if err == nil || !kv.IsAmbiguous(err) {
		return err
	}
	record, revision, readErr := c.m.readBack(ctx, c.key)
	if readErr != nil {
		return readErr
	}
	if record.Operation != c.record.Operation {
		if revision == c.revision {
			return err // A write that replaces this claim may still take effect.
		}
		return nil
	}
	if record.State != StateStarted {
		return nil
	}
	c.revision = revision
	return err
}
