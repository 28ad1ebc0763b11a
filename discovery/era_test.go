package discovery

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// eraStore is a store in an era, at revision 7. Its watches return when the era changes, with
// nothing: what was written before was passed over.
type eraStore struct {
	mu       sync.Mutex
	era      kv.Era
	entries  []kv.Entry
	observer kv.Observer
	changed  chan struct{}
	// pending counts the watches that have begun.
	pending int
}

func newEraStore(era kv.Era, entries ...kv.Entry) *eraStore {
	return &eraStore{era: era, entries: entries, changed: make(chan struct{}), observer: func(kv.CallKind, kv.Era, error) {}}
}

func (s *eraStore) Observe(o kv.Observer) { s.observer = o }

// returnWith makes the store come back from a copy.
func (s *eraStore) returnWith(entries ...kv.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.entries = entries
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *eraStore) List(_ context.Context, prefix string, _ kv.Consistency) (kv.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observer(kv.CallList, s.era, nil)
	return kv.Listing{Revision: 7, Era: s.era, Entries: withPrefix(s.entries, prefix)}, nil
}

func (s *eraStore) ListPage(ctx context.Context, prefix string, c kv.Consistency) (kv.Listing, error) {
	return s.List(ctx, prefix, c)
}

func (s *eraStore) WatchPrefix(ctx context.Context, _ string, _ int64, _ time.Duration) (kv.Changes, error) {
	s.mu.Lock()
	changed := s.changed
	s.pending++
	s.mu.Unlock()
	select {
	case <-changed:
	case <-ctx.Done():
		return kv.Changes{}, &kv.UnavailableError{Op: "watch", Cause: ctx.Err()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observer(kv.CallWatch, s.era, nil)
	return kv.Changes{Revision: 9, Era: s.era}, nil
}

func (s *eraStore) Get(context.Context, string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return kv.Entry{Era: s.era}, nil
}

func (*eraStore) CompareAndSwap(context.Context, string, []byte, int64, kv.LeaseID) (int64, error) {
	return 1, nil
}

func (*eraStore) GrantLease(context.Context, time.Duration) (kv.LeaseID, error) { return 1, nil }
func (*eraStore) KeepAlive(context.Context, kv.LeaseID) error                   { return nil }
func (*eraStore) RevokeLease(context.Context, kv.LeaseID) error                 { return nil }

func hasServer(loop *control.Loop, id string) bool {
	_, listed := loop.Snapshot().Backends[id]
	return listed
}

// Guards against a watch that goes on from a revision that the store has given out again after
// its return, and so passes over what was written before.
func TestWatchOfAnEarlierEraIsListedAgain(t *testing.T) {
	server := func(id string) kv.Entry {
		return entry(t, "servers/", vmlist.VM{ID: id, Role: vmlist.RoleService, State: vmlist.StateLive, Incarnation: 1})
	}
	s := newEraStore(1, server("a"))
	f, loop := follower(t, s)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.followPrefix(ctx, f.list.servers)
	f.start.markListed()
	eventually(t, "the server is listed", func() bool { return hasServer(loop, "a") })
	eventually(t, "a watch is pending", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.pending > 0
	})
	s.returnWith(server("a"), server("b"))
	eventually(t, "the server that was passed over is listed", func() bool { return hasServer(loop, "b") })
	if got := loop.Snapshot().Era; got != 2 {
		t.Errorf("era %d, want 2", got)
	}
}

// Guards against an answer of the store from before its return, which was on its way, or which
// a peer that lags has led to, replacing what the VM has read since.
func TestAnswersOfAnEarlierEraAreRejected(t *testing.T) {
	s := newEraStore(1)
	f, loop := follower(t, s)
	loop.Post(control.EraSeen{Era: 2, Source: "peer"})
	eventually(t, "the era is known", func() bool { return loop.Snapshot().Era == 2 })
	calls := map[string]func() error{
		"list": func() error { _, err := f.store.List(t.Context(), "servers/", kv.Linearizable); return err },
		"page": func() error { _, err := f.store.ListPage(t.Context(), "", kv.Linearizable); return err },
		"get":  func() error { _, err := f.store.Get(t.Context(), "k"); return err },
	}
	for name, call := range calls {
		if _, rejected := errors.Into[*kv.EraError](call()); !rejected {
			t.Errorf("%s: an answer of era 1 was accepted", name)
		}
	}
	if _, err := f.store.watchFrom(t.Context(), "servers/", kv.Position{Era: 1, Revision: 7}); err == nil {
		t.Error("a watch from era 1 was accepted")
	}
}
