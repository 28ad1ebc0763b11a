package streamorigin

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// listedStore is a store with fixed entries.
type listedStore struct {
	era     kv.Era
	entries []kv.Entry
}

func (s *listedStore) GrantLease(context.Context, time.Duration) (kv.LeaseID, error) { return 1, nil }

func (s *listedStore) Write(context.Context, []kv.Put, []string, kv.LeaseID) error { return nil }

func (s *listedStore) ListPage(_ context.Context, prefix string, _ kv.Consistency) (kv.Listing, error) {
	out := kv.Listing{Era: s.era}
	for _, e := range s.entries {
		if strings.HasPrefix(e.Key, prefix) {
			out.Entries = append(out.Entries, e)
		}
	}
	return out, nil
}

func (s *listedStore) register(t *testing.T, service string, v vmlist.SoftwareVersion, era kv.Era) {
	value, err := json.Marshal(registration{Service: service, Version: v, Era: era})
	if err != nil {
		t.Fatal(err)
	}
	s.entries = append(s.entries, kv.Entry{Key: registryKey(service, v), Value: value})
}

func (s *listedStore) record(t *testing.T, d document) {
	put, err := d.put(requestPrefix(d.Request))
	if err != nil {
		t.Fatal(err)
	}
	s.entries = append(s.entries, kv.Entry{Key: put.Key, Value: put.Value})
}

// Guards against a stream that goes on at the sole version in the registry although its records, which
// do not count, name another: the store came back from a copy that lacks the latest of them.
func TestRecordsThatDoNotCountAreNotTakenForNone(t *testing.T) {
	store := &listedStore{era: 1}
	store.register(t, "svc", "v1", 1)
	store.record(t, document{Request: "earlier", Writer: "w", Attempt: 1, Version: "v2"})
	tracker := NewTracker(TrackerOptions{Options: Options{Store: store}})
	if o, err := tracker.FindIn(t.Context(), "svc", "earlier", time.Second); !isA[*UnknownError](err) {
		t.Errorf("the stream goes on at %+v, error %v", o, err)
	}
	if o, err := tracker.FindIn(t.Context(), "svc", "unrecorded", time.Second); err != nil || o.Version != "v1" {
		t.Errorf("a stream without records: got %+v, error %v", o, err)
	}
}

// Guards against a VM that refuses all streams at an unregistered version after one failed write, since
// the refused ones cause no write that would show that the store is back.
func TestStreamsBeginAgainAfterAFailedWrite(t *testing.T) {
	tracker := NewTracker(TrackerOptions{Options: Options{Store: &listedStore{}}})
	o := Origin{Version: "v1", Server: "server-1"}
	record, err := tracker.BeginIn("svc", "first", o, 30*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	m := tracker.machine
	m.next(boottime.Now())
	m.granted(boottime.Now(), 0, &kv.UnavailableError{Op: "grant"})
	if _, err := tracker.BeginIn("svc", "second", o, 30*time.Second); !isA[*NotStoredError](err) {
		t.Errorf("a stream beside one whose record waits: got %v", err)
	}
	record.End() // Its caller has left.
	m.next(boottime.Now())
	if _, err := tracker.BeginIn("svc", "third", o, 30*time.Second); err != nil {
		t.Errorf("a stream while no record waits: %v", err)
	}
	if _, err := tracker.BeginIn("svc", "fourth", o, 30*time.Second); !isA[*NotStoredError](err) {
		t.Errorf("a stream beside one whose record waits: got %v", err)
	}
}
