package streamorigin_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/vanillaarch/vanillaarch/internal/standin"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/platform"
	"github.com/vanillaarch/vanillaarch/streamorigin"
)

const (
	lifetime = time.Minute
	patience = 5 * time.Second
)

var (
	one = streamorigin.Origin{Version: "v1", Server: "server-1", Incarnation: 3}
	two = streamorigin.Origin{Version: "v2", Server: "server-2", Incarnation: 4}
)

// site is a store that VMs use.
type site struct {
	*userplatform.Store
	address string
}

func startSite(t *testing.T) *site {
	t.Helper()
	store := userplatform.NewStore()
	t.Cleanup(store.Close)
	server, err := standin.Listen("127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return &site{store, server.Address()}
}

// vm is the records of a VM that runs until kill is called.
type vm struct {
	*streamorigin.Records
	metrics metrics.Registry
	kill    func()
}

func (s *site) startVM(t *testing.T) *vm {
	t.Helper()
	client := platform.NewStore(s.address, 300*time.Millisecond)
	v := &vm{metrics: metrics.NewRegistry()}
	v.Records = streamorigin.New(streamorigin.Options{Store: client, WritesPerSecond: 400, Metrics: v.metrics})
	client.Observe(func(_ kv.CallKind, era kv.Era, _ error) { v.EraChanged(era) })
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { v.Run(ctx) })
	v.kill = sync.OnceFunc(func() {
		cancel()
		running.Wait()
		client.Close()
	})
	t.Cleanup(v.kill)
	return v
}

func (v *vm) count(name string) int64 {
	return metrics.GetOrRegisterCounter("streamorigin."+name, v.metrics).Count()
}

func awaitClosed(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(patience):
		t.Fatalf("%s takes more than %v", what, patience)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for begin := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begin) > patience {
			t.Fatalf("%s takes more than %v", what, patience)
		}
	}
}

// Guards against an origin that dies with the VMs that knew it.
func TestOriginOutlivesAllVMs(t *testing.T) {
	s := startSite(t)
	first := s.startVM(t)
	rec := first.Begin("request-1", one, lifetime)
	if !isClosed(rec.Settled()) {
		t.Error("the first origin is not settled at once")
	}
	if o, err := first.Find(t.Context(), "request-1"); err != nil || o != one {
		t.Errorf("at the VM itself: %+v, %v", o, err)
	}
	awaitClosed(t, "the first write", rec.Stored())
	first.kill()
	second := s.startVM(t)
	if o, err := second.Find(t.Context(), "request-1"); err != nil || o != one {
		t.Errorf("at a new VM: %+v, %v", o, err)
	}
	_, err := second.Find(t.Context(), "request-2")
	if _, unknown := errors.Into[*streamorigin.UnknownError](err); !unknown {
		t.Errorf("a request that nobody began: %v", err)
	}
	if keys := s.Keys(""); len(keys) != 1 || !strings.HasPrefix(keys[0], streamorigin.Prefix) || keys[0] < "vms/" {
		t.Errorf("keys %v", keys)
	}
	if second.count("found") != 1 || second.count("unknown") != 1 || first.count("written") != 1 {
		t.Error("the counters are wrong")
	}
}

// Guards against streams that each take a call to the store, and against writes without a pause.
func TestRecordsAreWrittenTogether(t *testing.T) {
	s := startSite(t)
	v := s.startVM(t)
	var records []*streamorigin.Record
	for i := range 100 {
		records = append(records, v.Begin(fmt.Sprint("request-", i), one, lifetime))
	}
	for _, rec := range records {
		awaitClosed(t, "a write", rec.Stored())
	}
	calls := s.Calls()
	if calls["/kv-txn"] > 5 || calls["/kv-lease"] != 1 {
		t.Errorf("calls %v for 100 records", calls)
	}
	if n := len(s.Keys(streamorigin.Prefix)); n != 100 {
		t.Errorf("%d records", n)
	}
}

// Guards against the version of a server that a request has left: events of the next version wait
// for its record, and the earlier record does not count.
func TestReplacedOrigin(t *testing.T) {
	s := startSite(t)
	v := s.startVM(t)
	rec := v.Begin("request-1", one, lifetime)
	awaitClosed(t, "the first write", rec.Stored())
	s.SetFaults(userplatform.StoreFaults{Refuse: []string{"*"}, RefuseStatus: http.StatusServiceUnavailable})
	rec.Replace(two)
	await(t, "a failed write", func() bool { return v.count("write_failed") > 0 })
	if isClosed(rec.Settled()) || isClosed(rec.Stored()) || v.Available() {
		t.Error("the next version is settled while the store holds the earlier one alone")
	}
	s.SetFaults(userplatform.StoreFaults{})
	awaitClosed(t, "the second write", rec.Settled())
	if o, err := s.startVM(t).Find(t.Context(), "request-1"); err != nil || o != two {
		t.Errorf("%+v, %v", o, err)
	}
	if !v.Available() {
		t.Error("not available after a write")
	}
}

// Guards against records that are given up or wait for ever when the store loses answers, is
// silent, refuses, or forgets a lease.
func TestFaultsOfTheStore(t *testing.T) {
	for name, fault := range map[string]userplatform.StoreFaults{
		"lost answers": {LoseWrites: true},
		"silent":       {Silent: []string{"*"}},
		"refusing":     {Refuse: []string{"*"}, RefuseStatus: http.StatusForbidden},
		"failing":      {Refuse: []string{"*"}, RefuseStatus: http.StatusInternalServerError},
		"no lease":     {Refuse: []string{"*"}, RefuseStatus: http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t)
			v := s.startVM(t)
			s.SetFaults(fault)
			rec := v.Begin("request-1", one, lifetime)
			ended := v.Begin("request-2", one, lifetime)
			await(t, "a failed write", func() bool { return v.count("write_failed") > 0 })
			if isClosed(rec.Stored()) {
				t.Error("stored without an answer")
			}
			ended.End()
			s.SetFaults(userplatform.StoreFaults{})
			awaitClosed(t, "the write", rec.Stored())
			if o, err := s.startVM(t).Find(t.Context(), "request-1"); err != nil || o != one {
				t.Errorf("%+v, %v", o, err)
			}
			if isClosed(ended.Stored()) {
				t.Error("a stream that has ended is written")
			}
		})
	}
}

// Guards against records that are lost when the store comes back from a copy, and against one that
// counts although the next one may be lost.
func TestReturnFromACopy(t *testing.T) {
	s := startSite(t)
	v, dead := s.startVM(t), s.startVM(t)
	copied := dead.Begin("copied", one, lifetime)
	awaitClosed(t, "a write", copied.Stored())
	passed := dead.Begin("passed", one, lifetime)
	awaitClosed(t, "a write", passed.Stored())
	passed.FirstEventPassed()
	awaitClosed(t, "a write", dead.Begin("another", one, lifetime).Stored())
	from := s.Copy()
	copied.Replace(two)
	awaitClosed(t, "a write", copied.Settled())
	dead.kill()
	lost := v.Begin("lost", one, lifetime)
	awaitClosed(t, "a write", lost.Stored())
	s.Restore(from, time.Hour)
	find := s.startVM(t).Find
	if _, err := find(t.Context(), "copied"); !isUnknown(err) {
		t.Errorf("a record before the first event, of an earlier era: %v", err)
	}
	if o, err := find(t.Context(), "passed"); err != nil || o != one {
		t.Errorf("a record after the first event, of an earlier era: %+v, %v", o, err)
	}
	if _, err := find(t.Context(), "lost"); !isUnknown(err) {
		t.Errorf("a record after the copy: %v", err)
	}
	v.EraChanged(kv.Era(s.Era()))
	await(t, "writing again", func() bool {
		o, err := find(t.Context(), "lost")
		return err == nil && o == one
	})
}

func isUnknown(err error) bool {
	_, ok := errors.Into[*streamorigin.UnknownError](err)
	return ok
}

// Guards against records that are lost with a lease of which the store knows nothing any more.
func TestForgottenLease(t *testing.T) {
	s := startSite(t)
	v := s.startVM(t)
	awaitClosed(t, "a write", v.Begin("first", one, lifetime).Stored())
	request, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, "http://"+s.address+"/kv-lease-end/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	if n := len(s.Keys("")); n != 0 {
		t.Fatalf("%d keys after the end of the lease", n)
	}
	awaitClosed(t, "a write", v.Begin("second", one, lifetime).Stored())
	await(t, "writing again", func() bool { return len(s.Keys(streamorigin.Prefix)) == 2 })
}

// Guards against a stream that goes on although its records contradict each other or can't be read,
// and against errors that hide that the store was not read.
func TestRecordsThatDoNotCount(t *testing.T) {
	s := startSite(t)
	a, b := s.startVM(t), s.startVM(t)
	awaitClosed(t, "a write", a.Begin("twice", one, lifetime).Stored())
	awaitClosed(t, "a write", b.Begin("twice", two, lifetime).Stored())
	awaitClosed(t, "a write", a.Begin("broken", one, lifetime).Stored())
	keys := s.Keys(streamorigin.Prefix)
	find := s.startVM(t).Find
	isAmbiguous := func(err error) bool {
		_, ok := errors.Into[*streamorigin.AmbiguousError](err)
		return ok
	}
	if _, err := find(t.Context(), "twice"); !isAmbiguous(err) {
		t.Errorf("two versions: %v", err)
	}
	for _, value := range []string{"", "{", "null", `{"request":"other","writer":"w","attempt":1,"version":"v1"}`, `{"request":"broken","attempt":1}`} {
		for _, key := range keys {
			s.Put(key, []byte(value))
		}
		if _, err := find(t.Context(), "broken"); !isAmbiguous(err) {
			t.Errorf("%q: %v", value, err)
		}
	}
	s.SetFaults(userplatform.StoreFaults{Refuse: []string{"*"}, RefuseStatus: http.StatusServiceUnavailable})
	_, err := find(t.Context(), "broken")
	if _, unavailable := errors.Into[*streamorigin.UnavailableError](err); !unavailable {
		t.Errorf("the store is down: %v", err)
	}
	if o, err := a.Find(t.Context(), "twice"); err != nil || o != one {
		t.Errorf("at the VM itself, without the store: %+v, %v", o, err)
	}
}

// Guards against a server of unknown version that counts as any, and as the earlier one.
func TestUnknownVersion(t *testing.T) {
	s := startSite(t)
	v := s.startVM(t)
	never := v.Begin("never", streamorigin.Origin{Server: "server-1"}, lifetime)
	if !isClosed(never.Stored()) || !isClosed(never.Settled()) {
		t.Error("a stream of unknown version waits for a record")
	}
	rec := v.Begin("replaced", one, lifetime)
	awaitClosed(t, "a write", rec.Stored())
	rec.Replace(streamorigin.Origin{Server: "server-1"})
	awaitClosed(t, "a write", rec.Settled())
	other := s.startVM(t)
	for _, request := range []string{"never", "replaced"} {
		for _, finder := range []*vm{v, other} {
			if o, err := finder.Find(t.Context(), request); !isUnknown(err) {
				t.Errorf("%s: %+v, %v", request, o, err)
			}
		}
	}
	if n := len(s.Keys("")); n != 2 {
		t.Errorf("%d keys", n)
	}
	never.Replace(two)
	if !isClosed(never.Settled()) {
		t.Error("not settled although nothing was written")
	}
	awaitClosed(t, "a write", never.Stored())
	if o, err := other.Find(t.Context(), "never"); err != nil || o != two {
		t.Errorf("%+v, %v", o, err)
	}
}

// Guards against races between the streams of a VM, its writes and look-ups.
func TestConcurrentUse(t *testing.T) {
	s := startSite(t)
	v := s.startVM(t)
	var streams sync.WaitGroup
	for i := range 64 {
		streams.Go(func() {
			request := fmt.Sprint("request-", i)
			rec := v.Begin(request, one, lifetime)
			rec.Replace(two)
			<-rec.Settled()
			rec.FirstEventPassed()
			if o, err := v.Find(context.Background(), request); err != nil || o != two {
				t.Errorf("%+v, %v", o, err)
			}
			v.EraChanged(kv.Era(i))
			_ = v.Available()
			rec.End()
		})
	}
	streams.Wait()
}

// Guards against a request id that isn't stored, or that breaks the value or the key.
func TestUnusualRequests(t *testing.T) {
	s := startSite(t)
	v := s.startVM(t)
	requests := []string{"", "a/b", "ä\xff\x00", strings.Repeat("x", 10_000), strings.Repeat("x", 10_001)}
	for _, request := range requests {
		awaitClosed(t, "a write", v.Begin(request, one, lifetime).Stored())
	}
	find := s.startVM(t).Find
	for _, request := range requests {
		if o, err := find(t.Context(), request); err != nil || o != one {
			t.Errorf("%.20q: %+v, %v", request, o, err)
		}
	}
	keys := s.Keys(streamorigin.Prefix)
	if slices.ContainsFunc(keys, func(key string) bool { return len(key) != len(streamorigin.Prefix)+32+1+16 }) || len(keys) != len(requests) {
		t.Errorf("keys %q", keys)
	}
}
