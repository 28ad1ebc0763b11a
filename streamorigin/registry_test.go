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
type memoryStore struct {
	entries map[string][]byte
	era     kv.Era
}

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
	l := kv.Listing{Era: s.era}
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

// Guards against a stream at the only listed version that passes on events without a stored record at a VM
// that has started later than the system and has read nothing of the registry: that may hold another version
// alone, as all VMs were killed beside a release. At the first start, and from a failed call on, streams do
// not wait.
func TestUnreadVersionWaitsForItsRecord(t *testing.T) {
	for _, row := range []struct {
		name                 string
		first, changed, fail bool
		waits                bool
	}{
		{name: "later start", waits: true},
		{name: "later start, the store fails", fail: true},
		{name: "first start", first: true},
		{name: "first start, another version was listed before", first: true, changed: true, waits: true},
	} {
		now := time.Minute
		tracker := NewTracker(TrackerOptions{FirstStart: row.first, Options: Options{
			Store: &memoryStore{entries: map[string][]byte{}}, Now: func() time.Duration { return now },
		}})
		if row.changed {
			tracker.registry.setListed(now, listedVersions("v2"))
		}
		tracker.registry.setListed(now, listedVersions("v1"))
		if row.fail {
			tracker.Begin("before", Origin{Version: "v1"}, 30*time.Second)
			if s, _ := tracker.next(); s.kind != stepGrant {
				t.Fatalf("step %v", s.kind)
			}
			tracker.granted(0, &kv.UnavailableError{})
		}
		rec, err := tracker.BeginIn(testService, "request", Origin{Version: "v1"}, 30*time.Second)
		if err != nil || rec == nil {
			t.Fatalf("%s: BeginIn: %v, %v", row.name, rec, err)
		}
		if settled := isSettledNow(rec); settled == row.waits {
			t.Errorf("%s: may pass on events without a stored record: %v", row.name, settled)
		}
		if s, _ := tracker.next(); s.kind == stepGrant {
			tracker.granted(0, &kv.UnavailableError{})
		}
		if !isSettledNow(rec) {
			t.Errorf("%s: waits on although the store fails", row.name)
		}
	}
}

// Guards against a stream that waits for its record while the store is silent, since it was sent to another
// server before the first write: nothing in the store names the first server then.
func TestReplacementBeforeTheFirstWriteWaitsAsItsVersionAsks(t *testing.T) {
	now := time.Minute
	tracker := NewTracker(TrackerOptions{Options: Options{
		Store: &memoryStore{entries: map[string][]byte{}}, Now: func() time.Duration { return now },
	}})
	tracker.registry.setListed(now, listedVersions("v1"))
	rec, err := tracker.BeginIn(testService, "request", Origin{Version: "v1"}, 30*time.Second)
	if err != nil || rec == nil {
		t.Fatalf("BeginIn: %v, %v", rec, err)
	}
	tracker.registry.setListed(now, listedVersions("v2"))
	if err := tracker.ReplaceIn(testService, rec, Origin{Version: "v2"}, 30*time.Second); err != nil {
		t.Fatal(err)
	}
	if isSettledNow(rec) {
		t.Error("does not wait for its record")
	}
	if s, _ := tracker.next(); s.kind != stepGrant {
		t.Fatalf("step %v", s.kind)
	}
	tracker.granted(0, &kv.UnavailableError{})
	if !isSettledNow(rec) {
		t.Error("waits on although the store fails")
	}
}

// Guards against events of a second server, of a version that is not registered or not known, that are
// passed on without a stored record: a look-up finds the registered version of the first server then.
func TestReplacementByUnregisteredVersionWaitsForItsRecord(t *testing.T) {
	now := time.Minute
	tracker := NewTracker(TrackerOptions{Options: Options{
		Store: &memoryStore{entries: map[string][]byte{}}, Now: func() time.Duration { return now },
	}})
	tracker.registry.setListed(now-confirmAge, listedVersions("v1", "v2"))
	tracker.registry.read(now, now, registryListing(t, 0, "v1"), nil)
	now += time.Second
	rec, err := tracker.BeginIn(testService, "request", Origin{Version: "v1"}, 30*time.Second)
	if err != nil || rec == nil {
		t.Fatalf("BeginIn: %v, %v", rec, err)
	}
	if !isSettledNow(rec) {
		t.Error("a registered version waits for its record")
	}
	for _, version := range []vmlist.SoftwareVersion{"", "v2"} {
		if err := tracker.ReplaceIn(testService, rec, Origin{Version: version}, 30*time.Second); err != nil {
			t.Fatal(err)
		}
		if isSettledNow(rec) {
			t.Errorf("version %q, which is not registered, does not wait for its record", version)
		}
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

// keeperRig is a registry that keeps the one of a store.
type keeperRig struct {
	t *testing.T
	*registry
	now    time.Duration
	store  map[string]kv.Entry
	era    kv.Era
	writes int
}

func newKeeperRig(t *testing.T, versions ...vmlist.SoftwareVersion) *keeperRig {
	t.Helper()
	k := &keeperRig{t: t, registry: newRegistry(0), now: time.Minute, store: map[string]kv.Entry{}}
	for _, e := range registryListing(t, 0, versions...).Entries {
		k.store[e.Key] = e
	}
	return k
}

// listing returns what the store holds.
func (k *keeperRig) listing() kv.Listing {
	l := kv.Listing{Era: k.era}
	for _, e := range k.store {
		l.Entries = append(l.Entries, e)
	}
	return l
}

// run plays seconds with a list of versions.
func (k *keeperRig) run(d time.Duration, listed ...vmlist.SoftwareVersion) {
	k.t.Helper()
	k.setListed(k.now, listedVersions(listed...))
	for end := k.now + d; k.now < end; k.now += time.Second {
		if due, _ := k.readDue(k.now); due {
			k.read(k.now, k.now, k.listing(), nil)
		}
		puts, deletes := k.pendingWrites(k.now)
		if len(puts)+len(deletes) == 0 {
			continue
		}
		k.writes++
		for _, p := range puts {
			k.store[p.Key] = kv.Entry{Key: p.Key, Value: p.Value}
		}
		for _, key := range deletes {
			delete(k.store, key)
		}
		k.wrote(k.now, nil)
	}
}

func (k *keeperRig) registered() []vmlist.SoftwareVersion {
	versions := readRegistry(k.listing()).versions[testService]
	slices.Sort(versions)
	return versions
}

func (k *keeperRig) want(what string, versions ...vmlist.SoftwareVersion) {
	k.t.Helper()
	if got := k.registered(); !slices.Equal(got, versions) {
		k.t.Errorf("%s: registered %q, want %q", what, got, versions)
	}
}

// Guards against the removal of a version of which streams without a record may still be taken up, and
// against versions that are never removed.
func TestKeeperRemovesVersionsAfterForgetAge(t *testing.T) {
	k := newKeeperRig(t, "v1")
	k.run(10*time.Second, "v1", "v2")
	k.want("a second version", "v1", "v2")
	k.run(forgetAge-time.Second, "v2")
	k.want("before forgetAge", "v1", "v2")
	k.run(time.Second, "v1")
	k.run(forgetAge-time.Second, "v2")
	k.want("a version that came back", "v1", "v2")
	k.run(5*time.Second, "v2")
	k.want("after forgetAge", "v2")
	writes := k.writes
	k.run(time.Hour, "v2")
	if k.writes != writes {
		t.Errorf("%d writes without a change", k.writes-writes)
	}
}

// Guards against the removal of the last version as soon as another one is registered: a VM that has read
// the registry before may begin streams at it when it comes back.
func TestKeeperCountsFromTheRegistrationOfAnotherVersion(t *testing.T) {
	k := newKeeperRig(t, "v1")
	k.run(2 * forgetAge)
	k.want("no version is listed", "v1")
	k.run(forgetAge-5*time.Second, "v2")
	k.want("soon after the next version", "v1", "v2")
	k.run(10*time.Second, "v2")
	k.want("long after the next version", "v2")
}

// Guards against the removal of a version that came back while the keeper was frozen, was cut off, or was
// not the keeper.
func TestKeeperCountsAnewWhenItMayHaveMissedAVersion(t *testing.T) {
	for name, miss := range map[string]func(*keeperRig){
		"frozen":      func(k *keeperRig) { k.now += 40 * time.Second },
		"read fails":  func(k *keeperRig) { k.read(k.now, k.now, kv.Listing{}, &kv.UnavailableError{}) },
		"write fails": func(k *keeperRig) { k.wrote(k.now, &kv.UnavailableError{}) },
	} {
		k := newKeeperRig(t, "v1", "v2")
		k.run(forgetAge-10*time.Second, "v2")
		miss(k)
		k.run(forgetAge-10*time.Second, "v2")
		k.want(name, "v1", "v2")
		k.run(30*time.Second, "v2")
		k.want(name+", later", "v2")
	}
}

// Guards against a registry that stays incomplete after the store came back from a copy, so that each
// stream of every service needs a record for good: a version in the copy that is in service no longer.
func TestEntriesOfAnEarlierEraAreReplaced(t *testing.T) {
	k := newKeeperRig(t, "v1", "v2")
	k.run(10*time.Second, "v1", "v2")
	k.era = 1
	k.eraChanged(k.now, k.era)
	k.run(forgetAge, "v2")
	if c := readRegistry(k.listing()); c.complete(testService) {
		t.Error("complete while streams at a version of the copy may be taken up")
	} else if !c.complete("other") {
		t.Error("other services are incomplete too")
	}
	k.run(2*forgetAge, "v2")
	if v, ok := readRegistry(k.listing()).origin(testService); !ok || v != "v2" {
		t.Errorf("%q, %v after forgetAge", v, ok)
	}
}

// Guards against a look-up that trusts a registry with entries that a VM can't read.
func TestUnreadableEntryMakesTheRegistryIncomplete(t *testing.T) {
	l := registryListing(t, 0, "v1")
	if _, ok := readRegistry(l).origin(testService); !ok {
		t.Error("a sole version is not found")
	}
	l.Entries = append(l.Entries, kv.Entry{Key: RegistryPrefix + "x", Value: []byte("x")})
	if _, ok := readRegistry(l).origin(testService); ok {
		t.Error("found beside an unreadable entry")
	}
	if _, ok := readRegistry(registryListing(t, 0, "")).origin(testService); ok {
		t.Error("an unknown version is found")
	}
	l = registryListing(t, 0, "v1")
	l.Partial = true
	if _, ok := readRegistry(l).origin(testService); ok {
		t.Error("found in a part of the registry")
	}
}

// Guards against a look-up that finds a version which was registered after the registry was lost, while
// streams of a lost one may be taken up: at a later start with an empty registry, after a return from an
// empty copy, and at a VM that learns of the return before its first read. The first start of the system
// needs no such care, nor does a service that appears later.
func TestLostVersionsKeepTheOriginUnknown(t *testing.T) {
	for _, row := range []struct {
		name    string
		first   bool
		prepare func(*keeperRig)
		lost    bool
	}{
		{name: "first start", first: true},
		{name: "later start", lost: true},
		{name: "first start, another version was listed before the first read", first: true, lost: true, prepare: func(k *keeperRig) {
			k.setListed(k.now, listedVersions("v1"))
		}},
		{name: "empty copy", first: true, lost: true, prepare: func(k *keeperRig) {
			k.run(10*time.Second, "v1")
			k.era, k.store = 1, map[string]kv.Entry{}
			k.eraChanged(k.now, 1)
		}},
		{name: "return before the first read", first: true, lost: true, prepare: func(k *keeperRig) {
			k.era = 1
			k.eraChanged(k.now, 1)
		}},
		{name: "new service", prepare: func(k *keeperRig) { k.run(settleAge + time.Second) }},
	} {
		k := newKeeperRig(t)
		k.firstStart = row.first
		if row.prepare != nil {
			row.prepare(k)
		}
		k.run(3*time.Second, "v2")
		want := []vmlist.SoftwareVersion{"v2"}
		if row.lost {
			want = []vmlist.SoftwareVersion{"", "v2"}
		}
		k.want(row.name, want...)
		k.run(forgetAge-10*time.Second, "v2")
		if row.lost && k.registrationState(k.now, testService, "v2", time.Second) != registered {
			t.Errorf("%s: streams at a registered version wait for their records", row.name)
		}
		k.want(row.name+", before forgetAge", want...)
		k.run(20*time.Second, "v2")
		k.want(row.name+", after it", "v2")
		if k.registrationState(k.now, testService, "v2", time.Second) != sole {
			t.Errorf("%s: streams need records for good", row.name)
		}
	}
}

// Guards against streams without a record at what was read in an earlier era: the registry may have lost
// the version since.
func TestKnowledgeOfAnEarlierEraDoesNotCount(t *testing.T) {
	k := newKeeperRig(t, "v1")
	k.run(10*time.Second, "v1")
	if got := k.registrationState(k.now, testService, "v1", time.Second); got != sole {
		t.Fatalf("registration state %v", got)
	}
	old := k.listing()
	k.eraChanged(k.now, 1)
	k.read(k.now, k.now, old, nil)
	if got := k.registrationState(k.now, testService, "v1", time.Second); got != unread {
		t.Errorf("registration state %v", got)
	}
	k.setListed(k.now, listedVersions("v1", "v2"))
	for _, v := range []vmlist.SoftwareVersion{"v1", "v2"} {
		if got := k.registrationState(k.now, testService, v, time.Second); got != unregistered {
			t.Errorf("two versions are listed, registration state of %s %v", v, got)
		}
	}
	if due, _ := k.readDue(k.now); !due {
		t.Error("the registry is not read again")
	}
}

// Guards against events of a version that are passed on without a stored record while the version is being
// removed: the VM has read the registry before, and the version has just come back. A
// stream with a long lifetime does not wait, since the registry does not answer for it.
func TestVersionThatCameBackIsUnregistered(t *testing.T) {
	r := newRegistry(0)
	now := time.Minute
	r.setListed(now, listedVersions("v1", "v2"))
	want := func(what string, v vmlist.SoftwareVersion, lifetime time.Duration, want registrationState) {
		t.Helper()
		if got := r.registrationState(now, testService, v, lifetime); got != want {
			t.Errorf("%s: registration state %v, want %v", what, got, want)
		}
	}
	read := func() { r.read(now, now, registryListing(t, 0, "v1", "v2"), nil) }
	want("before the first read", "v1", time.Second, unregistered)
	now += confirmAge
	read()
	want("listed for long", "v1", time.Second, registered)
	want("a version that is not in the registry", "v3", time.Second, unregistered)
	want("the unknown version", "", time.Second, unregistered)
	want("a long lifetime", "v3", maxUnrecordedLifetime+1, registered)
	now += time.Second
	r.setListed(now, listedVersions("v1"))
	want("gone", "v2", time.Second, unregistered)
	now += time.Second
	r.setListed(now, listedVersions("v1", "v2"))
	want("back", "v2", time.Second, unregistered)
	want("never gone", "v1", time.Second, registered)
	now += confirmAge
	if due, at := r.readDue(now); due || at-r.readAt != searchInterval {
		t.Errorf("read due: %v, at %v", due, at)
	}
	read()
	want("back for long", "v2", time.Second, registered)
	now += 24 * time.Hour
	want("while the store is away", "v2", time.Second, registered)
}

// Guards against streams without a record where another version may have begun some: it is listed only,
// or registered only, or the registry was read long ago, or the stream outlives what is known.
func TestSoleVersion(t *testing.T) {
	r := newRegistry(0)
	now := time.Minute
	want := func(what string, lifetime time.Duration, isSole bool) {
		t.Helper()
		if got := r.registrationState(now, testService, "v1", lifetime) == sole; got != isSole {
			t.Errorf("%s: sole is %v", what, got)
		}
	}
	read := func(versions ...vmlist.SoftwareVersion) {
		r.read(now, now, registryListing(t, 0, versions...), nil)
	}
	r.setListed(now, listedVersions("v1"))
	want("not read", time.Second, false)
	if got := r.registrationState(now, testService, "v1", time.Second); got != unread {
		t.Errorf("not read: registration state %v", got)
	}
	r.setListed(now, listedVersions("v1", "v2"))
	if got := r.registrationState(now, testService, "v1", time.Second); got != unregistered {
		t.Errorf("not read, two versions: registration state %v", got)
	}
	r.setListed(now, listedVersions("v1"))
	read()
	want("not registered", time.Second, false)
	read("v1")
	want("one version", maxUnrecordedLifetime, true)
	want("one version and a long lifetime", maxUnrecordedLifetime+1, false)
	if mixed := r.setListed(now, listedVersions("v1", "v2")); !slices.Equal(mixed, []string{testService}) {
		t.Errorf("mixed: %v", mixed)
	}
	want("another one listed", time.Second, false)
	if mixed := r.setListed(now, listedVersions("v1", "v2", "v3")); mixed != nil {
		t.Errorf("mixed again: %v", mixed)
	}
	r.setListed(now, listedVersions("v1"))
	read("v1", "v2")
	want("another one registered", time.Second, false)
	read("", "v1")
	want("the unknown version registered", time.Second, false)
	read("v1")
	now += maxKnownAge - 1
	want("at the end of maxKnownAge", time.Second, true)
	r.read(now, now, kv.Listing{}, &kv.UnavailableError{})
	now++
	want("after maxKnownAge", time.Second, false)
	if got := r.registrationState(now, testService, "v1", time.Second); got != registered {
		t.Errorf("streams at the only version wait for records while the store is away: %v", got)
	}
	r.wrote(now, nil)
	now += pauseMax // Since the failed read.
	if due, _ := r.readDue(now); !due {
		t.Error("what was written is not read")
	}
	r.firstStart = true
	if puts, deletes := r.pendingWrites(now); len(puts)+len(deletes) != 0 {
		t.Error("written again before a read")
	}
}

// Guards against a look-up that trusts the registry for a stream that may be older than the time for which
// a version without servers stays registered.
func TestRegistryDoesNotAnswerForLongLifetimes(t *testing.T) {
	store := &memoryStore{entries: map[string][]byte{}}
	e := registryEntry(t, 0, "v1")
	store.entries[e.Key] = e.Value
	tracker := NewTracker(TrackerOptions{Options: Options{Store: store}})
	if o, err := tracker.FindIn(t.Context(), testService, "request", maxUnrecordedLifetime); err != nil || o.Version != "v1" {
		t.Errorf("found %+v, %v", o, err)
	}
	if o, err := tracker.FindIn(t.Context(), testService, "request", maxUnrecordedLifetime+1); !isA[*UnknownError](err) {
		t.Errorf("found %+v, %v", o, err)
	}
}

// Guards against records that name the era 0 at a VM that starts in a later one: without the word that the
// first event was passed on, they don't count.
func TestRecordsLearnTheEraFromTheRegistry(t *testing.T) {
	tracker := NewTracker(TrackerOptions{Options: Options{Store: &memoryStore{entries: map[string][]byte{}, era: 3}}})
	tracker.readRegistry(t.Context())
	if era := tracker.era(); era != 3 {
		t.Errorf("era %d", era)
	}
}

// Guards against streams in progress that get no record when the list of a VM shows another version instead
// of their own at once. Once both are registered, nobody knows where such a stream began.
func TestStreamsInProgressGetRecordsWhenTheVersionChanges(t *testing.T) {
	for _, row := range []struct {
		name  string
		lists [][]vmlist.SoftwareVersion
		// mixed tells for each list whether streams in progress need records from then on.
		mixed []bool
	}{
		{"beside", [][]vmlist.SoftwareVersion{{"v1"}, {"v1", "v2"}, {"v2"}}, []bool{false, true, false}},
		{"instead", [][]vmlist.SoftwareVersion{{"v1"}, {"v2"}, {"v2"}, {"v1"}}, []bool{false, true, false, true}},
		{"after none", [][]vmlist.SoftwareVersion{{"v1"}, {}, {"v2"}}, []bool{false, false, true}},
		{"the same after none", [][]vmlist.SoftwareVersion{{"v1"}, {}, {"v1"}}, []bool{false, false, false}},
		{"several from the start", [][]vmlist.SoftwareVersion{{"v1", "v2"}, {"v1", "v2", "v3"}, {"v3"}}, []bool{true, false, false}},
	} {
		r := newRegistry(0)
		for i, versions := range row.lists {
			listed := listedVersions(versions...)
			if len(versions) == 0 {
				listed = nil
			}
			if mixed := r.setListed(time.Duration(i)*time.Second, listed); len(mixed) > 0 != row.mixed[i] {
				t.Errorf("%s, list %d: mixed %q", row.name, i, mixed)
			}
		}
	}
}
