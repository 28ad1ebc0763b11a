package order

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/kv"
)

const (
	slotPrefix = "order/slots/"
	// slotPollInterval is the time between attempts to find a free slot. Each
	// attempt reads every slot, since a watch does not report deleted keys.
	slotPollInterval = time.Second
)

// SlotHolder identifies the holder of a load slot.
type SlotHolder struct {
	Slot     int    `json:"slot"`
	Operator string `json:"operator"`
	Backend  string `json:"backend"`
	Order    string `json:"order"`
}

func (h SlotHolder) String() string {
	return fmt.Sprintf("%q (order %s to %s)", h.Operator, h.Order, h.Backend)
}

// slotRecord is the value of a slot key, which is deleted with its holder's lease.
type slotRecord struct {
	SlotHolder
	Operation string `json:"operation"`
}

// heldSlot is a load slot held with a lease, at its last written revision.
type heldSlot struct {
	record   slotRecord
	revision int64
}

// SlotsTakenError reports that all load slots are taken, so the maximum number of
// loads is running or may be running. The order was not sent.
type SlotsTakenError struct {
	Holders []SlotHolder
	// Cause is the context error that ended the wait, or nil.
	Cause error
}

func (e *SlotsTakenError) Error() string {
	names := make([]string, len(e.Holders))
	for i, h := range e.Holders {
		names[i] = h.String()
	}
	return fmt.Sprintf("all %d slots for loads are taken: %s", len(names), strings.Join(names, ", "))
}

func (e *SlotsTakenError) Unwrap() error { return e.Cause }

// SlotUnavailableError reports that reading or writing the slots failed. The
// order was not sent.
type SlotUnavailableError struct{ Cause error }

func (e *SlotUnavailableError) Error() string {
	return fmt.Sprintf("acquire slot for loads: %v", e.Cause)
}

func (e *SlotUnavailableError) Unwrap() error { return e.Cause }

// loadsWeights reports whether the order reads from the weight store.
func (o Order) loadsWeights() bool {
	return o.Kind == KindLoadModel || o.Kind == KindLoadAdapter || o.Kind == KindLoadVersion
}

// acquireSlot acquires a load slot unless the lease already has one. It renews
// the lease while it waits.
func (l *Lease) acquireSlot(ctx context.Context, order Order) error {
	record := slotRecord{
		SlotHolder: SlotHolder{Operator: l.operator, Backend: l.vm.ID, Order: order.ID}, Operation: l.operation,
	}
	for l.slot == nil {
		holders, err := l.tryAcquireSlot(ctx, record)
		if _, ok := errors.Into[*kv.NotFoundError](err); ok {
			l.lost = true
			return l.checkRemaining()
		}
		if err != nil {
			return &SlotUnavailableError{Cause: err}
		}
		if l.slot != nil {
			break
		}
		if !l.client.opts.WaitForSlot {
			return &SlotsTakenError{Holders: holders}
		}
		pause := min(slotPollInterval, l.client.opts.TTL/renewalsPerTTL)
		if err := l.client.opts.Sleep(ctx, pause/2+rand.N(pause/2)); err != nil {
			return &SlotsTakenError{Holders: holders, Cause: err}
		}
		l.renew(ctx)
		if err := l.checkRemaining(); err != nil {
			return err
		}
	}
	return nil
}

// tryAcquireSlot tries each slot once. It sets l.slot, or returns the holders if
// all slots are taken. A slot left by an earlier attempt at the same order is
// reused.
func (l *Lease) tryAcquireSlot(ctx context.Context, record slotRecord) ([]SlotHolder, error) {
	limit := l.client.opts.LoadSlots
	holders := make([]SlotHolder, 0, limit)
	offset := rand.IntN(limit) // Spreads operators that start at the same time over the slots.
	free := make([]int, 0, limit)
	for i := range limit {
		slot := (offset+i)%limit + 1
		var found slotRecord
		revision, err := l.read(ctx, slotKey(slot), &found)
		switch {
		case err != nil:
			return nil, err
		case revision == 0:
			free = append(free, slot)
		case found.Order == record.Order && found.Backend == record.Backend:
			record.Slot = slot
			_, err := l.writeSlot(ctx, record, revision)
			return nil, err
		default:
			holders = append(holders, found.SlotHolder)
		}
	}
	for _, slot := range free {
		record.Slot = slot
		found, err := l.writeSlot(ctx, record, 0)
		if err != nil || l.slot != nil {
			return nil, err
		}
		holders = append(holders, found)
	}
	return holders, nil
}

// writeSlot writes a slot that was at revision prev and sets l.slot, or returns
// the holder that wrote it first. After an error, a write still in flight fails
// once the lease is revoked.
func (l *Lease) writeSlot(ctx context.Context, record slotRecord, prev int64) (SlotHolder, error) {
	var err error
	for range writeAttempts {
		var revision int64
		if revision, err = l.write(ctx, slotKey(record.Slot), record, prev, l.id); err == nil {
			l.slot = &heldSlot{record: record, revision: revision}
			return SlotHolder{}, nil
		}
		if !kv.IsAmbiguous(err) {
			return SlotHolder{}, err
		}
		var found slotRecord
		revision, readErr := l.read(ctx, slotKey(record.Slot), &found)
		switch {
		case readErr != nil:
			return SlotHolder{}, err
		case found.Operation == l.operation:
			l.slot = &heldSlot{record: record, revision: revision}
			return SlotHolder{}, nil
		case revision != 0 && revision != prev:
			return found.SlotHolder, nil
		case revision == 0:
			prev = 0
		}
		if !wait.Sleep(ctx, writeRetryDelay) {
			return SlotHolder{}, ctx.Err()
		}
	}
	return SlotHolder{}, err
}

// detachSlot moves the slot of a load with an unknown result to a separate
// lease, since the load may still be running. It returns false if the slot may
// still be attached to the lease of the holder.
func (l *Lease) detachSlot(ctx context.Context) bool {
	id, err := l.client.store.GrantLease(ctx, l.client.opts.holdTime())
	if err != nil {
		return false
	}
	_, err = l.write(ctx, slotKey(l.slot.record.Slot), l.slot.record, l.slot.revision, id)
	return err == nil
}

// hasUncertainLoad reports whether a load with an unknown result may still be
// running.
func (l *Lease) hasUncertainLoad() bool {
	for _, loads := range l.uncertain {
		if loads {
			return true
		}
	}
	return false
}

func slotKey(slot int) string { return slotPrefix + strconv.Itoa(slot) }
