// Package kv defines the interface to the platform's key-value service and
// implements an HTTP client for it. The service stores all state that must
// outlive a VM.
package kv

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// MaxValueBytes is the maximum size of a value in the service.
const MaxValueBytes = 1 << 20

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// Entry is a key with its value and revision. Each write increases the revision.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
	// Era is the era of Revision. Only Getter sets it; elsewhere it is that of the whole answer.
	Era Era
}

// Getter reads keys.
type Getter interface {
	// Get returns the entry of key, a *NotFoundError, or an *UnavailableError.
	Get(ctx context.Context, key string) (Entry, error)
}

// Swapper writes keys conditionally.
type Swapper interface {
	// CompareAndSwap writes value if the key's revision is prev; prev 0 creates
	// the key. A non-zero lease is attached to the key. It returns the new
	// revision. It returns a *ConflictError if the revision differs, an
	// *UncertainError if the write may have taken effect, and an
	// *UnavailableError if it had no effect.
	CompareAndSwap(ctx context.Context, key string, value []byte, prev int64, lease LeaseID) (int64, error)
}

// Put is a key with the value that is written to it.
type Put struct {
	Key   string
	Value []byte
}

// Writer writes and deletes keys unconditionally.
type Writer interface {
	// Write applies all puts and deletes in one transaction. A non-zero lease is attached to
	// all keys that are put; keys to delete may be missing. It performs a single attempt, and
	// returns a *ValueTooLargeError, a *NotFoundError if the lease does not exist, an
	// *UncertainError if the transaction may have taken effect or may do so later, and an
	// *UnavailableError if it had no effect.
	Write(ctx context.Context, puts []Put, deletes []string, lease LeaseID) error
}

// Watcher waits for changes of a single key.
type Watcher interface {
	// Watch returns the entry of key once its revision is above after. It
	// returns a *WatchTimeoutError if the key did not change within wait.
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (Entry, error)
}

// Leaser manages leases. Keys attached to a lease are deleted when it expires.
type Leaser interface {
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, id LeaseID) error
	RevokeLease(ctx context.Context, id LeaseID) error
}

// Store combines the operations on single keys and leases.
type Store interface {
	Getter
	Swapper
	Watcher
	Leaser
}

// NotFoundError reports a key or lease that does not exist.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("kv: key or lease %q not found", e.Key) }

// ConflictError reports that a CompareAndSwap failed because the key is at Revision.
type ConflictError struct {
	Key      string
	Revision int64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("kv: conflict: key %q is at revision %d", e.Key, e.Revision)
}

// UnavailableError reports an operation that had no effect because the
// service was unreachable or rejected it.
type UnavailableError struct {
	Op    string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("kv: %s: service unavailable: %v", e.Op, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// UncertainError reports a write with an unknown outcome, for example because the
// response was lost. Only a read can tell whether the write took effect.
type UncertainError struct {
	Key   string
	Cause error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("kv: outcome of write to key %q unknown: %v", e.Key, e.Cause)
}

func (e *UncertainError) Unwrap() error { return e.Cause }

// WatchTimeoutError reports that a key did not change within the wait time of a watch.
type WatchTimeoutError struct{ Key string }

func (e *WatchTimeoutError) Error() string { return fmt.Sprintf("kv: key %q did not change", e.Key) }

// ValueTooLargeError reports a value larger than MaxValueBytes.
type ValueTooLargeError struct {
	Key  string
	Size int
}

func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("kv: value of key %q has %d bytes, exceeding the limit of %d bytes", e.Key, e.Size, MaxValueBytes)
}

// StatusError reports an unexpected HTTP status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// IsAmbiguous reports whether only a read can tell if a conditional write took
// effect: its outcome is unknown, or the key has changed, possibly through an
// earlier attempt of the same write.
func IsAmbiguous(err error) bool {
	if _, ok := errors.Into[*ConflictError](err); ok {
		return true
	}
	_, ok := errors.Into[*UncertainError](err)
	return ok
}

// Consistency is the consistency level of a read.
type Consistency int

const (
	// Linearizable reads observe every write acknowledged before the read began.
	Linearizable Consistency = iota
	// Stale reads are cheaper and may return data that is seconds old.
	Stale
)

// Listing is the result of listing a prefix.
type Listing struct {
	Entries []Entry
	// Revision is a revision of the service that all entries reflect. Later changes
	// may already be included.
	Revision int64
	// Era is the era of Revision.
	Era Era
	// Partial reports whether the prefix has more entries than were returned.
	Partial bool
}

// Position returns the position that all entries reflect.
func (l Listing) Position() Position { return Position{l.Era, l.Revision} }

// Lister lists the keys under a prefix.
type Lister interface {
	// List returns the entries under prefix, or an *UnavailableError.
	List(ctx context.Context, prefix string, c Consistency) (Listing, error)
	// ListPage returns the first entries under prefix, as many as the service
	// returns in one response, or an *UnavailableError.
	ListPage(ctx context.Context, prefix string, c Consistency) (Listing, error)
}

// Change is a write or removal of a key.
type Change struct {
	// Entry is the key's state after the change. A removal has no value.
	Entry
	Removed bool
}

// Changes holds the changes under a prefix up to a revision, oldest first.
type Changes struct {
	Changes []Change
	// Revision is the revision after which the next watch continues.
	Revision int64
	// Era is the era of all revisions.
	Era Era
}

// Position returns the position after which the next watch continues.
func (c Changes) Position() Position { return Position{c.Era, c.Revision} }

// PrefixWatcher waits for changes of any key under a prefix.
type PrefixWatcher interface {
	// WatchPrefix returns the changes after revision after as soon as there is
	// one, or none if nothing changed within wait. It returns a *CompactedError
	// if the service no longer has that part of the history, and an
	// *UnavailableError on other failures.
	WatchPrefix(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
}

// CompactedError reports that the service no longer has the complete history
// after a revision. The caller must list the prefix again.
type CompactedError struct {
	Prefix string
	After  int64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("kv: history of prefix %q after revision %d has been compacted", e.Prefix, e.After)
}
