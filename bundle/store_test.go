package bundle

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"slices"
	"testing"

	"github.com/vanillaarch/vanillaarch/kv"
)

// memoryKV is an in-memory key-value service that records the keys that are read.
type memoryKV struct {
	entries map[string]kv.Entry
	reads   []string
}

func (s *memoryKV) Get(_ context.Context, key string) (kv.Entry, error) {
	s.reads = append(s.reads, key)
	e, ok := s.entries[key]
	if !ok {
		return kv.Entry{}, &kv.NotFoundError{Key: key}
	}
	return e, nil
}

func (s *memoryKV) CompareAndSwap(_ context.Context, key string, value []byte, prev int64, _ kv.LeaseID) (int64, error) {
	if len(value) > kv.MaxValueBytes {
		return 0, &kv.ValueTooLargeError{Key: key, Size: len(value)}
	}
	if s.entries[key].Revision != prev {
		return 0, &kv.ConflictError{Key: key, Revision: s.entries[key].Revision}
	}
	s.entries[key] = kv.Entry{Key: key, Value: value, Revision: prev + 1}
	return prev + 1, nil
}

func bigDocument(version int64, organisations int) *Document {
	d := &Document{Version: version, Tenants: []Tenant{{Name: "t", Share: 1}}, Models: []Model{{Name: "m", Version: "1"}}}
	for i := range organisations {
		name := fmt.Sprintf("organisation-%d", i)
		key := name
		if i == 7 {
			key = fmt.Sprintf("%s-%d", name, version)
		}
		d.Tenants[0].Organisations = append(d.Tenants[0].Organisations, Organisation{Name: name, APIKeySHA256: []string{APIKeyDigest(key)}})
	}
	return d
}

// fixture holds a store with some versions, none of which is rolled out yet.
type fixture struct {
	*testing.T
	kv    *memoryKV
	store *Store
	keys  []ed25519.PublicKey
}

func newFixture(t *testing.T, organisations int, versions ...int64) *fixture {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{T: t, kv: &memoryKV{entries: map[string]kv.Entry{}}, keys: []ed25519.PublicKey{public}}
	f.store = NewStore(f.kv)
	for _, v := range versions {
		signed, err := Sign(bigDocument(v, organisations), private)
		if err != nil {
			t.Fatal(err)
		}
		for range 2 { // Storing the same content again must succeed.
			if err := f.store.Put(t.Context(), signed); err != nil {
				t.Fatal(err)
			}
		}
	}
	return f
}

func (f *fixture) rollOut(version int64) Head {
	f.Helper()
	head, err := f.store.Rollout(f.Context(), version, "ana")
	if err != nil {
		f.Fatal(err)
	}
	return head
}

// fetch returns the bundle of the head and the keys read for a VM that already
// holds a version.
func (f *fixture) fetch(head Head, held *Signed) (*FetchResult, []string) {
	f.Helper()
	f.kv.reads = nil
	got, err := f.store.Fetch(f.Context(), head, held, f.keys)
	if err != nil {
		f.Fatal(err)
	}
	want, err := f.store.Get(f.Context(), head.Version)
	if err != nil || !got.Signed.equal(want) {
		f.Errorf("fetched version %d with digest %s: %v", got.Signed.Version, got.Signed.Digest, err)
	}
	return got, f.kv.reads[:len(f.kv.reads)-1]
}

// TestFetchReadsDeltaOrWhole guards against watchers that read full versions for
// small changes, and against a watcher that cannot update when the delta has
// another base, is missing or is damaged.
func TestFetchReadsDeltaOrWhole(t *testing.T) {
	f := newFixture(t, 240, 1, 2, 3)
	first, reads := f.fetch(f.rollOut(1), nil)
	if !slices.Equal(reads, []string{"bundle/v/1"}) {
		t.Errorf("first version: reads %v", reads)
	}
	second, reads := f.fetch(f.rollOut(2), first.Signed)
	if !slices.Equal(reads, []string{"bundle/d/2"}) || second.DeltaError != nil {
		t.Errorf("with the base: reads %v, %v", reads, second.DeltaError)
	}
	if d, v := len(f.kv.entries["bundle/d/2"].Value), len(f.kv.entries["bundle/v/2"].Value); d > v/20 {
		t.Errorf("delta of %d bytes, whole version %d", d, v)
	}
	head := f.rollOut(3)
	if _, reads := f.fetch(head, first.Signed); !slices.Equal(reads, []string{"bundle/v/3"}) {
		t.Errorf("with another base: reads %v", reads)
	}
	damaged := f.kv.entries["bundle/d/3"]
	damaged.Value = append([]byte(nil), damaged.Value...)
	damaged.Value[len(damaged.Value)-1] ^= 1
	f.kv.entries["bundle/d/3"] = damaged
	if third, reads := f.fetch(head, second.Signed); len(reads) != 2 || third.DeltaError == nil {
		t.Errorf("damaged delta: reads %v", reads)
	}
	delete(f.kv.entries, "bundle/d/3")
	if third, reads := f.fetch(head, second.Signed); len(reads) != 2 || third.DeltaError == nil {
		t.Errorf("missing delta: reads %v", reads)
	}
}

// TestDeltaOfRefusedRolloutIsNamedByItsBase guards against a delta left behind by
// an earlier, rejected rollout being used by watchers that do not hold its base.
func TestDeltaOfRefusedRolloutIsNamedByItsBase(t *testing.T) {
	f := newFixture(t, 24, 1, 2, 3)
	first, _ := f.fetch(f.rollOut(1), nil)
	b, err := f.store.Get(t.Context(), 3)
	if err != nil {
		t.Fatal(err)
	}
	f.store.putDelta(t.Context(), 1, b) // A rollout of 3 that lost to 2.
	second, _ := f.fetch(f.rollOut(2), first.Signed)
	head := f.rollOut(3)
	if _, reads := f.fetch(head, second.Signed); head.DeltaBase != 1 || !slices.Equal(reads, []string{"bundle/v/3"}) {
		t.Errorf("head %+v, reads %v", head, reads)
	}
}

// TestDesignSizeFitsOneValue guards against a bundle of the design size that
// exceeds the value limit of the key-value service.
func TestDesignSizeFitsOneValue(t *testing.T) {
	f := newFixture(t, 2400, 1)
	if n := len(f.kv.entries["bundle/v/1"].Value); n > kv.MaxValueBytes/2 {
		t.Errorf("whole version takes %d bytes", n)
	}
	if err := f.store.Put(t.Context(), &Signed{Version: 1}); err == nil {
		t.Error("a version was replaced")
	}
}
