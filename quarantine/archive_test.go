package quarantine

import (
	"context"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// oneKeyStore is a store that holds the archive only.
type oneKeyStore struct {
	mu     sync.Mutex
	entry  kv.Entry
	writes int
}

func (s *oneKeyStore) Get(context.Context, string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entry.Revision == 0 {
		return kv.Entry{}, &kv.NotFoundError{Key: ArchiveKey}
	}
	return s.entry, nil
}

func (s *oneKeyStore) CompareAndSwap(_ context.Context, key string, value []byte, prev int64, _ kv.LeaseID) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if prev != s.entry.Revision {
		return 0, &kv.ConflictError{Key: key, Revision: s.entry.Revision}
	}
	s.writes++
	s.entry = kv.Entry{Key: key, Value: value, Revision: s.entry.Revision + 1}
	return s.entry.Revision, nil
}

// rules returns the number of stored rules.
func (s *oneKeyStore) rules(t *testing.T) int {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := &peerpb.StoredRules{}
	if err := proto.Unmarshal(s.entry.Value, stored); err != nil {
		t.Fatal(err)
	}
	return len(stored.GetRules())
}

// startArchiver starts a manager that considers itself the writer of the archive.
func startArchiver(t *testing.T, store *oneKeyStore) *Manager {
	t.Helper()
	m := startManager(t)
	m.opts.Loop.Post(control.VMListReceived{List: &vmlist.List{Revision: 1, VMs: []vmlist.VM{
		{ID: "vm", Role: vmlist.RoleEntry, State: vmlist.StateLive},
	}}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.KeepArchive(ctx, store)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return m
}

func receiveRule(m *Manager, part string) {
	now := boottime.Now()
	rule := Rule{Keys: NewRequest("r", Content{Pool: "pool", Parts: []string{part}}).Parts, Since: now, Until: now + time.Minute, Activations: 1}
	m.Receive("peer", envelope(now, Message{Rules: []Rule{rule}}).GetQuarantine())
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

// Guards against rules that are lost when all VMs stop: while the writer of the archive
// changed, two VMs wrote it, and one with fewer rules wrote over those of the other.
func TestWriterOfArchiveKeepsRulesOfOthers(t *testing.T) {
	store := &oneKeyStore{}
	first, second := startArchiver(t, store), startArchiver(t, store)
	receiveRule(first, "a")
	eventually(t, "the first VM writes its rule", func() bool { return store.rules(t) == 1 })
	receiveRule(second, "b")
	eventually(t, "both rules are stored", func() bool { return store.rules(t) == 2 })
	if second.Digest() == first.Digest() {
		t.Error("the first VM learns of the second rule without a message")
	}
}

// Guards against a writer that never writes since what is stored can't be read, or was
// removed.
func TestUnreadableArchiveIsReplaced(t *testing.T) {
	store := &oneKeyStore{entry: kv.Entry{Key: ArchiveKey, Value: []byte{0xff}, Revision: 3}}
	m := startArchiver(t, store)
	receiveRule(m, "a")
	written := func(n int) func() bool {
		return func() bool {
			store.mu.Lock()
			defer store.mu.Unlock()
			return store.writes == n
		}
	}
	eventually(t, "the unreadable archive is replaced", written(1))
	store.mu.Lock()
	store.entry = kv.Entry{}
	store.mu.Unlock()
	receiveRule(m, "b")
	eventually(t, "the removed archive is written again", written(2))
}

// Guards against rules that are missing from the store for good after it has come back from a copy
// without them, and against a write on a revision that the store has given out again, which would
// replace rules that it has and this VM does not.
func TestArchiveIsWrittenAgainAfterAReturn(t *testing.T) {
	store := &oneKeyStore{}
	m := startArchiver(t, store)
	receiveRule(m, "own")
	eventually(t, "the rule is stored", func() bool { return store.rules(t) == 1 })
	now := boottime.Now()
	other := Rule{Keys: NewRequest("r", Content{Pool: "pool", Parts: []string{"other"}}).Parts, Since: now, Until: now + time.Minute, Activations: 1}
	value, err := proto.Marshal(&peerpb.StoredRules{UnixMs: time.Now().UnixMilli(), Rules: []*peerpb.Rule{encodeRule(now, other)}})
	if err != nil {
		t.Fatal(err)
	}
	store.mu.Lock()
	store.entry = kv.Entry{Key: ArchiveKey, Value: value, Revision: store.entry.Revision} // the same number
	store.mu.Unlock()
	m.opts.Loop.Post(control.EraSeen{Era: 1, Source: "test"})
	eventually(t, "the store has both rules", func() bool { return store.rules(t) == 2 })
}
