package streamorigin

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/peer"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// silentStore answers no call in time, unless err is set. If knowsNothing is set, it has no records.
type silentStore struct {
	err          error
	knowsNothing bool
}

func (s silentStore) answer(ctx context.Context) error {
	if s.err != nil {
		return s.err
	}
	<-ctx.Done()
	return &kv.UnavailableError{Op: "call", Cause: ctx.Err()}
}

func (s silentStore) Write(ctx context.Context, _ []kv.Put, _ []string, _ kv.LeaseID) error {
	return s.answer(ctx)
}

func (s silentStore) GrantLease(ctx context.Context, _ time.Duration) (kv.LeaseID, error) {
	return 0, s.answer(ctx)
}

func (s silentStore) ListPage(ctx context.Context, _ string, _ kv.Consistency) (kv.Listing, error) {
	if s.knowsNothing {
		return kv.Listing{}, nil
	}
	return kv.Listing{}, s.answer(ctx)
}

// letter is a message that was sent.
type letter struct {
	from, to string
	body     []byte
}

// fleet connects the Records of VMs by messages.
type fleet struct {
	mu   sync.Mutex
	vms  map[string]*Records
	list []vmlist.VM
	// sent holds all messages. They are delivered at once unless held is set.
	sent []letter
	held bool
}

// sender sends for a VM.
type sender struct {
	*fleet
	from string
}

func (s sender) Send(to string, m *peerpb.Envelope) error {
	body, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	s.mu.Lock()
	l := letter{s.from, to, body}
	s.sent = append(s.sent, l)
	held := s.held
	s.mu.Unlock()
	if !held {
		return s.deliver(l)
	}
	return nil
}

func (f *fleet) deliver(l letter) error {
	f.mu.Lock()
	to := f.vms[l.to]
	f.mu.Unlock()
	if to == nil {
		return &peer.UnknownPeerError{Peer: l.to}
	}
	e := &peerpb.Envelope{}
	if err := proto.Unmarshal(l.body, e); err != nil {
		return err
	}
	to.Receive(l.from, e.GetStreamOrigins())
	return nil
}

func newFleet(vms int, store Store) *fleet {
	f := &fleet{vms: map[string]*Records{}}
	for i := range vms {
		id := fmt.Sprint("vm-", i)
		f.list = append(f.list, vmlist.VM{ID: id})
		f.vms[id] = New(Options{Store: store, VM: id, Transport: sender{f, id}, Members: func() []vmlist.VM { return f.list }})
	}
	return f
}

func (f *fleet) kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.vms, id)
}

// Guards against take-ups that are refused while the store is away although a VM knows the origin.
func TestCopiesWhileTheStoreIsAway(t *testing.T) {
	for name, store := range map[string]silentStore{
		"silent": {}, "down": {err: &kv.UnavailableError{Op: "call"}}, "knows nothing": {knowsNothing: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(6, store)
			want := Origin{Version: "v1", Server: "server-1", Incarnation: 7}
			f.vms["vm-0"].Begin("passed", want, time.Minute).FirstEventPassed()
			f.vms["vm-0"].Begin("not passed", want, time.Minute)
			if n := len(f.sent); n != copyCount {
				t.Errorf("%d messages for a stream", n)
			}
			f.kill("vm-0")
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			for id, r := range f.vms {
				if o, err := r.Find(ctx, "passed"); err != nil || o != want {
					t.Errorf("%s: %+v, %v", id, o, err)
				}
			}
			short, cancelShort := context.WithTimeout(t.Context(), 2*storeSilence)
			defer cancelShort()
			if o, err := f.vms["vm-1"].Find(short, "not passed"); err == nil {
				t.Errorf("before the first event: %+v", o)
			}
			f.kill(f.sent[0].to)
			for id, r := range f.vms {
				if o, err := r.Find(ctx, "passed"); err != nil || o != want {
					t.Errorf("%s, after the death of two VMs: %+v, %v", id, o, err)
				}
			}
			for id, r := range f.vms {
				if len(r.copies.questions) != 0 {
					t.Errorf("%s keeps %d questions", id, len(r.copies.questions))
				}
			}
		})
	}
}

// Guards against a look-up that waits for VMs that do not answer, or that takes their silence for an
// answer.
func TestVMsThatDoNotAnswer(t *testing.T) {
	f := newFleet(4, silentStore{err: &kv.UnavailableError{Op: "list"}})
	f.held = true
	f.vms["vm-0"].Begin("request", Origin{Version: "v1"}, time.Minute).FirstEventPassed()
	begin := time.Now()
	o, err := f.vms["vm-1"].Find(t.Context(), "request")
	if err == nil || !isA[*UnavailableError](err) {
		t.Errorf("%+v, %v", o, err)
	}
	if took := time.Since(begin); took > askTimeout+time.Second {
		t.Errorf("took %v", took)
	}
}

// Guards against a wrong origin from copies: whichever messages arrive, in any order, more than once
// and late, and whichever VMs are killed.
func TestCopiesAreNeverWrong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 5).Draw(t, "VMs"), silentStore{err: &kv.UnavailableError{Op: "list"}})
		f.held = true
		var ids []string
		for _, vm := range f.list {
			ids = append(ids, vm.ID)
		}
		passed := map[string]vmlist.SoftwareVersion{}
		version := rapid.SampledFrom(simVersions)
		// open holds the streams without a first event.
		type openStream struct {
			rec     *Record
			version vmlist.SoftwareVersion
		}
		open := map[string]openStream{}
		goOn := func(request string) {
			st, isOpen := open[request]
			latest := version.Draw(t, "version")
			switch {
			case !isOpen:
				if r := f.vms[rapid.SampledFrom(ids).Draw(t, "VM")]; r != nil && passed[request] == "" {
					open[request] = openStream{r.Begin(request, Origin{Version: latest}, time.Minute), latest}
				}
			case f.vms[st.rec.records.opts.VM] == nil:
				passed[request] = "none" // The id is not used again.
				delete(open, request)
			case rapid.Bool().Draw(t, "first event"):
				passed[request] = st.version
				st.rec.FirstEventPassed()
				delete(open, request)
			default:
				st.rec.Replace(Origin{Version: latest})
				open[request] = openStream{st.rec, latest}
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			request := fmt.Sprint("request-", rapid.IntRange(0, 3).Draw(t, "request"))
			switch {
			case len(f.sent) > 0 && rapid.Bool().Draw(t, "delivers"):
				_ = f.deliver(rapid.SampledFrom(f.sent).Draw(t, "message")) // To a VM that was killed it is lost.
			case rapid.IntRange(0, 5).Draw(t, "kills") == 0:
				f.kill(rapid.SampledFrom(ids).Draw(t, "killed"))
			case rapid.Bool().Draw(t, "asks"):
				if r := f.vms[rapid.SampledFrom(ids).Draw(t, "asking")]; r != nil {
					prefix := requestPrefix(request)
					r.send(r.vmsFor(prefix, askedVMs), &peerpb.StreamOrigins{Asked: [][]byte{hashOf(prefix)}})
				}
			default:
				goOn(request)
			}
			for request, want := range passed {
				for id, r := range f.vms {
					o, known, err := r.copies.find(r.opts.Now(), request, requestPrefix(request))
					if known && (err != nil || o.Version != want) {
						t.Fatalf("%s knows %s of %s, which began at %s: %v", id, o.Version, request, want, err)
					}
				}
			}
		}
	})
}

// Guards against copies that contradict each other and of which one counts, against copies that can
// be none, and against copies after the end of their lifetime.
func TestCopiesThatDoNotCount(t *testing.T) {
	f := newFleet(2, silentStore{err: &kv.UnavailableError{Op: "list"}})
	r := f.vms["vm-1"]
	var now time.Duration
	r.opts.Now = func() time.Duration { return now }
	copyOf := func(request, version string, remaining time.Duration) *peerpb.StreamOrigin {
		return encodeCopy(requestPrefix(request), Origin{Version: vmlist.SoftwareVersion(version)}, remaining)
	}
	broken := copyOf("broken", "v1", time.Minute)
	broken.Request = broken.GetRequest()[1:]
	r.Receive("vm-0", &peerpb.StreamOrigins{
		Kept: []*peerpb.StreamOrigin{
			copyOf("twice", "v1", time.Minute), copyOf("twice", "v2", time.Minute), copyOf("", "", time.Minute), broken,
			copyOf("long", string(make([]byte, maxOriginBytes+1)), time.Minute), copyOf("old", "v1", time.Second), nil,
		},
		Asked:   [][]byte{nil, make([]byte, 1000)},
		Unknown: [][]byte{nil, make([]byte, 1000)},
	})
	if len(r.copies.queue) != 2 {
		t.Errorf("%d copies are kept", len(r.copies.queue))
	}
	now = time.Second
	for _, request := range []string{"twice", "broken", "long", "old", ""} {
		if o, err := r.Find(t.Context(), request); err == nil {
			t.Errorf("%q: %+v", request, o)
		}
		if _, _, ok := r.finalOrigin(now, requestPrefix(request)); ok {
			t.Errorf("%q is passed to other VMs", request)
		}
	}
	r.Receive("vm-0", nil)
}

// Guards against copies whose memory grows with the streams of all VMs.
func TestMemoryOfCopiesIsBounded(t *testing.T) {
	const limit = 8 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := newCopies()
	for i := range 3 * maxCopies {
		c.keep(time.Duration(i), requestPrefix(fmt.Sprint(i)), Origin{Version: "a version of 26 characters", Server: fmt.Sprint("server-", i)}, time.Hour)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if len(c.queue) > maxCopies || len(c.byPrefix) > maxCopies {
		t.Errorf("%d copies, %d keys", len(c.queue), len(c.byPrefix))
	}
	if took := int64(after.HeapAlloc) - int64(before.HeapAlloc); took > limit {
		t.Errorf("%d bytes, limit %d", took, limit)
	} else {
		t.Logf("%d bytes", took)
	}
	if slices.Contains(c.queue, nil) {
		t.Error("an empty place in the queue")
	}
	runtime.KeepAlive(c)
}
