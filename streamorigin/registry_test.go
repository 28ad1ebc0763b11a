package streamorigin

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

const testService = "service"

// memoryStore is a store that answers at once.
type memoryStore struct{ entries map[string][]byte }

func (s *memoryStore) GrantLease(context.Context, time.Duration) (kv.LeaseID, error) { return 1, nil }

func (s *memoryStore) Write(_ context.Context, puts []kv.Put, deletes []string, _ kv.LeaseID) error {
	for _, p := range puts {
		s.entries[p.Key] = p.Value
	}
	for _, key := range deletes {
		delete(s.entries, key)
	}
	return nil
}

func (s *memoryStore) ListPage(_ context.Context, prefix string, _ kv.Consistency) (kv.Listing, error) {
	var l kv.Listing
	for key, value := range s.entries {
		if strings.HasPrefix(key, prefix) {
			l.Entries = append(l.Entries, kv.Entry{Key: key, Value: value})
		}
	}
	slices.SortFunc(l.Entries, func(a, b kv.Entry) int { return strings.Compare(a.Key, b.Key) })
	return l, nil
}

func listedVersions(versions ...vmlist.SoftwareVersion) map[string][]vmlist.SoftwareVersion {
	return map[string][]vmlist.SoftwareVersion{testService: versions}
}

// registryListing returns a listing of registrations of an era.
func registryListing(t *testing.T, era kv.Era, versions ...vmlist.SoftwareVersion) kv.Listing {
	t.Helper()
	l := kv.Listing{Era: era}
	for _, v := range versions {
		l.Entries = append(l.Entries, registryEntry(t, era, v))
	}
	return l
}

// Guards against events of a second server, of a version that is not registered or not known, that are
// passed on without a stored record: a look-up finds the registered version of the first server then.
func TestReplacementByUnregisteredVersionWaitsForItsRecord(t *testing.T) {
	now := time.Minute
	tracker := NewTracker(TrackerOptions{Options: Options{
		Store: &memoryStore{entries: map[string][]byte{}}, Now: func() time.Duration { return now },
	}})
	tracker.registry.setListed(listedVersions("v1", "v2"))
	tracker.registry.read(now, now, registryListing(t, 0, "v1"), nil)
	now += time.Second
	rec, err := tracker.BeginIn(testService, "request", Origin{Version: "v1"}, 30*time.Second)
	if err != nil || rec == nil {
		t.Fatalf("BeginIn: %v, %v", rec, err)
	}
	if !isSettledNow(rec) {
		t.Error("a registered version waits for its record")
	}
	if err := tracker.ReplaceIn(testService, rec, Origin{}, 30*time.Second); err == nil {
		t.Error("an unknown version that is not registered begins the stream")
	}
	if err := tracker.ReplaceIn(testService, rec, Origin{Version: "v2"}, 30*time.Second); err != nil {
		t.Fatal(err)
	}
	if isSettledNow(rec) {
		t.Error("an unregistered version does not wait for its record")
	}
}

func isSettledNow(rec *Record) bool {
	select {
	case <-rec.Settled():
		return true
	default:
		return false
	}
}

func registryEntry(t *testing.T, era kv.Era, v vmlist.SoftwareVersion) kv.Entry {
	t.Helper()
	value, err := json.Marshal(registration{Service: testService, Version: v, Era: era})
	if err != nil {
		t.Fatal(err)
	}
	return kv.Entry{Key: registryKey(testService, v), Value: value}
}
