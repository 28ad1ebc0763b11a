package discovery

import (
	"context"
	"sync/atomic"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/kv"
)

// eraSource is the source of an era that a call of this VM has seen.
const eraSource = "store"

// eraWatch tracks the highest era of the store that this VM knows of. Own calls update it at
// once, before the control state.
type eraWatch struct {
	seen atomic.Int64
	loop *control.Loop
}

// observe records the era of an answer, and reports whether it has risen.
func (w *eraWatch) observe(era kv.Era) (rose bool) {
	for {
		seen := w.seen.Load()
		if int64(era) <= seen {
			return false
		}
		if w.seen.CompareAndSwap(seen, int64(era)) {
			w.loop.Post(control.EraSeen{Era: int64(era), Source: eraSource})
			return true
		}
	}
}

// current returns the current era.
func (w *eraWatch) current() kv.Era {
	return kv.Era(max(w.seen.Load(), w.loop.Snapshot().Era))
}

// fencedStore rejects answers of an earlier era than the current one, which were on their way
// when the store returned or come from a store that has not.
type fencedStore struct {
	Store
	era *eraWatch
}

// check returns an *kv.UnavailableError for an answer of an earlier era.
func (s fencedStore) check(op string, era kv.Era) error {
	if current := s.era.current(); era < current {
		return &kv.UnavailableError{Op: op, Cause: &kv.EraError{Want: current, Got: era}}
	}
	return nil
}

// Get implements kv.Getter.
func (s fencedStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	entry, err := s.Store.Get(ctx, key)
	if err == nil {
		err = s.check("get", entry.Era)
	}
	return entry, err
}

// List implements kv.Lister.
func (s fencedStore) List(ctx context.Context, prefix string, c kv.Consistency) (kv.Listing, error) {
	listing, err := s.Store.List(ctx, prefix, c)
	if err == nil {
		err = s.check("list", listing.Era)
	}
	return listing, err
}

// ListPage implements kv.Lister.
func (s fencedStore) ListPage(ctx context.Context, prefix string, c kv.Consistency) (kv.Listing, error) {
	listing, err := s.Store.ListPage(ctx, prefix, c)
	if err == nil {
		err = s.check("list", listing.Era)
	}
	return listing, err
}

// watchFrom returns the changes after a position. It returns a *kv.CompactedError if the store has
// come back from a copy since: it may have assigned the revision again, and then omits what was
// written before.
func (s fencedStore) watchFrom(ctx context.Context, prefix string, after kv.Position) (kv.Changes, error) {
	if s.era.current() != after.Era {
		return kv.Changes{}, &kv.CompactedError{Prefix: prefix, After: after.Revision}
	}
	changes, err := s.WatchPrefix(ctx, prefix, after.Revision, watchTimeout)
	if err == nil && changes.Era != after.Era {
		return kv.Changes{}, &kv.CompactedError{Prefix: prefix, After: after.Revision}
	}
	return changes, err
}
