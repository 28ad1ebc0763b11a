package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/streamorigin"
)

// originStore is a store in memory without leases that end.
type originStore struct {
	mu      sync.Mutex
	entries map[string][]byte
}

func (s *originStore) GrantLease(context.Context, time.Duration) (kv.LeaseID, error) { return 1, nil }

func (s *originStore) Write(_ context.Context, puts []kv.Put, deletes []string, _ kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range puts {
		s.entries[p.Key] = p.Value
	}
	for _, key := range deletes {
		delete(s.entries, key)
	}
	return nil
}

func (s *originStore) ListPage(_ context.Context, prefix string, _ kv.Consistency) (kv.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out kv.Listing
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(key, prefix) {
			out.Entries = append(out.Entries, kv.Entry{Key: key, Value: s.entries[key]})
		}
	}
	return out, nil
}

// newOrigins returns the records of a gateway under test.
func newOrigins(t *testing.T) *streamorigin.Tracker {
	r := streamorigin.NewTracker(streamorigin.TrackerOptions{Options: streamorigin.Options{Store: &originStore{entries: map[string][]byte{}}}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}
