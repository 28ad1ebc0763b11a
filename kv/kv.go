// Package kv is the interface to the platform's key-value service, with its
// HTTP client. The service holds all state that must outlive a VM.
package kv

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// LeaseID names a lease. Zero means no lease.
type LeaseID int64

// Entry is a key with its value and revision. Revisions rise with each write.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
}

// Getter reads keys.
type Getter interface {
	// Get returns the entry of key, a *NotFoundError, or an *UnavailableError.
	Get(ctx context.Context, key string) (Entry, error)
}

// Swapper writes keys conditionally.
type Swapper interface {
	// CompareAndSwap writes value if the key's revision is prev; prev 0 creates
	// the key. It returns the new revision. A failed comparison is a
	// *ConflictError; a write that may have taken effect is an *UncertainError;
	// a write that surely did not is an *UnavailableError.
	CompareAndSwap(ctx context.Context, key string, value []byte, prev int64, lease LeaseID) (int64, error)
}

// Watcher waits for changes.
type Watcher interface {
	// Watch returns the entry of key once its revision is above after. It
	// returns ErrWatchTimeout when nothing changed during wait.
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (Entry, error)
}

// Leaser manages leases. Keys attached to a lease disappear when it lapses.
type Leaser interface {
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, id LeaseID) error
	RevokeLease(ctx context.Context, id LeaseID) error
}

// Store is the whole interface to the service.
type Store interface {
	Getter
	Swapper
	Watcher
	Leaser
}

// NotFoundError reports a key or lease that does not exist.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("kv: key %q not found", e.Key) }

// ConflictError reports a failed comparison and the revision in force.
type ConflictError struct {
	Key      string
	Revision int64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("kv: key %q is at revision %d", e.Key, e.Revision)
}

// UnavailableError reports an operation that had no effect because the
// service could not be reached or refused it.
type UnavailableError struct {
	Op    string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("kv: %s: service unavailable: %v", e.Op, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// UncertainError reports a write whose answer was lost. The write may have
// taken effect; only a read settles it.
type UncertainError struct {
	Key   string
	Cause error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("kv: write of %q has an unknown result: %v", e.Key, e.Cause)
}

func (e *UncertainError) Unwrap() error { return e.Cause }

// WatchTimeoutError reports that nothing changed while a watch waited.
type WatchTimeoutError struct{ Key string }

func (e *WatchTimeoutError) Error() string { return fmt.Sprintf("kv: no change of %q", e.Key) }

// ValueTooLargeError reports a value above MaxValueBytes.
type ValueTooLargeError struct {
	Key  string
	Size int
}

func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("kv: value of %q has %d bytes, at most %d are allowed", e.Key, e.Size, MaxValueBytes)
}

// StatusError reports an HTTP status that the protocol does not define.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// IsAmbiguous reports whether only a read can decide if a conditional write
// took effect: its answer was lost, or the key has changed, possibly by an
// earlier attempt of the same write.
func IsAmbiguous(err error) bool {
	if _, ok := errors.Into[*ConflictError](err); ok {
		return true
	}
	_, ok := errors.Into[*UncertainError](err)
	return ok
}

// Consistency says how recent a read must be.
type Consistency int

const (
	// Linearizable reads see every write that was acknowledged before they began.
	Linearizable Consistency = iota
	// Stale reads cost less and may be seconds old.
	Stale
)

// Listing is the content of a prefix.
type Listing struct {
	Entries []Entry
	// Revision is a revision of the service that all entries had reached.
	// Changes after it may already be included.
	Revision int64
	// Partial says that there are more entries.
	Partial bool
}

// Lister reads all keys of a prefix.
type Lister interface {
	// List returns the entries under prefix, or an *UnavailableError.
	List(ctx context.Context, prefix string, c Consistency) (Listing, error)
	// ListPage returns the first entries under prefix, as many as the service
	// gives in one answer, or an *UnavailableError.
	ListPage(ctx context.Context, prefix string, c Consistency) (Listing, error)
}

// Change is one write or removal of a key.
type Change struct {
	// Entry is the state after the change. A removal has no value.
	Entry
	Removed bool
}

// Changes are the changes of a prefix up to a revision, oldest first.
type Changes struct {
	Changes []Change
	// Revision is where the next watch continues.
	Revision int64
}

// PrefixWatcher waits for changes of any key of a prefix.
type PrefixWatcher interface {
	// WatchPrefix returns the changes after a revision as soon as there is one,
	// none if nothing changed during wait, a *CompactedError, or an
	// *UnavailableError.
	WatchPrefix(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
}

// CompactedError reports that the service no longer has the history after a
// revision. The prefix must be listed again.
type CompactedError struct {
	Prefix string
	After  int64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("kv: history of %q after revision %d is no longer available", e.Prefix, e.After)
}
