// Package membudget bounds the memory for the bytes that a VM holds of requests or of answers,
// all together.
package membudget

import (
	"fmt"
	"sync"
)

// ExceededError reports bytes that were not accepted because the bytes that this VM holds
// together reached the limit.
type ExceededError struct {
	Limit int64
	// AmongLargest is set if no other owner holds more than evictionRatio times as much as the
	// one that needs memory, with what it needs.
	AmongLargest bool
}

func (e *ExceededError) Error() string {
	return fmt.Sprintf("bytes held by this VM exceed %d", e.Limit)
}

// EvictedError reports a reservation that gave way to that of another owner.
type EvictedError struct {
	// Owner is the owner that gave way. It held OwnerBytes, Bytes of them in this
	// reservation.
	Owner             string
	OwnerBytes, Bytes int64
	// For is the owner that needed memory.
	For string
}

func (e *EvictedError) Error() string {
	return fmt.Sprintf("gave way to %s: %s held %d bytes, %d of them here", e.For, e.Owner, e.OwnerBytes, e.Bytes)
}

// evictionRatio is how many times as much as the owner that needs memory another one must hold
// to give way. Owners with similar loads do not evict each other's reservations, which would
// only replace one failure by another.
const evictionRatio = 2

// Budget is the memory that many reservations share. It is safe for concurrent use.
type Budget struct {
	limit int64
	// uncounted is the part of each reservation that does not count.
	uncounted int64

	mu     sync.Mutex
	used   int64
	owners map[string]*owner
}

// owner holds the reservations of one owner that count.
type owner struct {
	bytes        int64
	reservations map[*Reservation]struct{}
}

// New returns a budget of limit bytes. The first uncounted bytes of each reservation do not
// count, so that reservations of typical size succeed while others exhaust the budget.
func New(limit, uncounted int64) *Budget {
	return &Budget{limit: limit, uncounted: uncounted, owners: map[string]*owner{}}
}

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that are reserved and count.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// OwnerBytes returns the bytes that an owner holds and that count.
func (b *Budget) OwnerBytes(name string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o := b.owners[name]; o != nil {
		return o.bytes
	}
	return 0
}

// Reserve returns a reservation of 0 bytes for an owner.
func (b *Budget) Reserve(owner string) *Reservation { return &Reservation{budget: b, owner: owner} }

// Reservation is the part of a budget that one request or one answer uses. It is not safe for
// concurrent use. A nil Reservation has no limit.
type Reservation struct {
	budget *Budget
	owner  string
	// head and body are the bytes of both parts.
	head, body int64
	// leaves is the part of the limit that the reservation leaves to others.
	leaves int64

	// budget.mu guards the following fields. counted is the sum of both parts less the part
	// that does not count.
	counted int64
	// evict ends the work that holds the memory, nil if the reservation can't be evicted. It
	// is not called while the reservation is kept.
	evict   func(cause error)
	kept    bool
	evicted *EvictedError
}

// EvictWith allows the budget to evict the reservation. evict must end the work that holds the
// memory without delay. It is called once at most, from any goroutine.
func (r *Reservation) EvictWith(evict func(cause error)) {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.evict = evict
}

// Keep protects the reservation from eviction until Allow is called. It returns an
// *EvictedError if the reservation was evicted before.
func (r *Reservation) Keep() error {
	if r == nil {
		return nil
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.kept = true
	if r.evicted != nil {
		return r.evicted
	}
	return nil
}

// Allow ends the protection by Keep.
func (r *Reservation) Allow() {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.kept = false
}

// AddHead adds to the bytes of the head. It returns an *ExceededError, and adds nothing, if the
// budget is exhausted and no other owner gives way, and an *EvictedError if the reservation
// was evicted.
func (r *Reservation) AddHead(bytes int64) error {
	if r == nil {
		return nil
	}
	if err := r.raise(r.head + bytes + r.body); err != nil {
		return err
	}
	r.head += bytes
	return nil
}

// RaiseBody raises the bytes of the body to the given number. It never lowers them. Errors are
// those of AddHead.
func (r *Reservation) RaiseBody(bytes int64) error {
	if r == nil || bytes <= r.body {
		return nil
	}
	if err := r.raise(r.head + bytes); err != nil {
		return err
	}
	r.body = bytes
	return nil
}

// LowerBody lowers the bytes of the body to the given number. It never raises them.
func (r *Reservation) LowerBody(bytes int64) {
	if r == nil || bytes >= r.body {
		return
	}
	r.body = bytes
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.count(r, min(r.counted, max(r.head+r.body-r.budget.uncounted, 0)))
}

// Leave makes the reservation leave a part of the limit to others: it is not raised while less than
// that is free. What it holds already stays.
func (r *Reservation) Leave(bytes int64) {
	if r != nil {
		r.leaves = bytes
	}
}

// Release returns the bytes to the budget.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.head, r.body = 0, 0
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.evict = nil
	r.budget.count(r, 0)
}

// raise counts a reservation of total bytes.
func (r *Reservation) raise(total int64) error {
	victim, err := r.budget.raise(r, total-r.budget.uncounted)
	for victim != nil {
		victim.evict(victim.cause)
		victim, err = r.budget.raise(r, total-r.budget.uncounted)
	}
	return err
}

// eviction is a reservation that has given way.
type eviction struct {
	evict func(error)
	cause *EvictedError
}

// raise raises the bytes of a reservation that count. If there is no memory, it returns an
// eviction that the caller must carry out before it tries again, or an *ExceededError if
// nobody gives way.
func (b *Budget) raise(r *Reservation, counted int64) (*eviction, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.evicted != nil {
		return nil, r.evicted
	}
	if counted <= r.counted {
		return nil, nil
	}
	if b.used+counted-r.counted <= b.limit-r.leaves {
		b.count(r, counted)
		return nil, nil
	}
	own := counted - r.counted
	if o := b.owners[r.owner]; o != nil {
		own += o.bytes
	}
	victim := b.victim(own)
	if victim == nil {
		return nil, &ExceededError{Limit: b.limit, AmongLargest: b.isAmongLargest(r.owner, own)}
	}
	victim.evicted = &EvictedError{Owner: victim.owner, OwnerBytes: b.owners[victim.owner].bytes, Bytes: victim.counted, For: r.owner}
	out := &eviction{evict: victim.evict, cause: victim.evicted}
	// The memory itself is free once the work that holds it has ended.
	b.count(victim, 0)
	return out, nil
}

// victim returns the largest reservation that can be evicted of the owner that holds the most,
// nil if no owner holds more than evictionRatio times as much as the one that needs memory.
func (b *Budget) victim(needed int64) *Reservation {
	var largest *Reservation
	most := evictionRatio * needed
	for _, o := range b.owners {
		if o.bytes <= most {
			continue
		}
		var candidate *Reservation
		for r := range o.reservations {
			if r.evict != nil && !r.kept && (candidate == nil || r.counted > candidate.counted) {
				candidate = r
			}
		}
		if candidate != nil {
			largest, most = candidate, o.bytes
		}
	}
	return largest
}

// isAmongLargest reports whether no other owner holds more than evictionRatio times the bytes.
func (b *Budget) isAmongLargest(name string, bytes int64) bool {
	for other, o := range b.owners {
		if other != name && o.bytes > evictionRatio*bytes {
			return false
		}
	}
	return true
}

// count sets the bytes of a reservation that count.
func (b *Budget) count(r *Reservation, counted int64) {
	if counted == r.counted {
		return
	}
	o := b.owners[r.owner]
	if o == nil {
		o = &owner{reservations: map[*Reservation]struct{}{}}
		b.owners[r.owner] = o
	}
	b.used += counted - r.counted
	o.bytes += counted - r.counted
	r.counted = counted
	o.reservations[r] = struct{}{}
	if counted == 0 {
		delete(o.reservations, r)
	}
	if len(o.reservations) == 0 {
		delete(b.owners, r.owner)
	}
}
