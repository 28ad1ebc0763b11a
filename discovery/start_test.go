package discovery

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/standby"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// paged gives a list of several pages and counts who reads all of it.
type paged struct {
	store
	pages, fullLists atomic.Int64
}

func (s *paged) ListPage(ctx context.Context, prefix string, c kv.Consistency) (kv.Listing, error) {
	s.pages.Add(1)
	listing, err := s.store.List(ctx, prefix, c)
	listing.Partial = true
	return listing, err
}

func (s *paged) List(ctx context.Context, prefix string, c kv.Consistency) (kv.Listing, error) {
	s.fullLists.Add(1)
	return s.store.List(ctx, prefix, c)
}

// Guards against a VM that reads all pages of a large pool at its start although
// others read them for it, and against one that waits for peers for ever.
func TestLargePoolIsLearnedFromPeers(t *testing.T) {
	loop := control.NewLoop(zap.NewNop(), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go loop.Run(ctx)
	s := &paged{}
	f := New(Options{Store: s, Codec: codec{}, Loop: loop, Duties: fixedDuty(standby.Idle), Log: zap.NewNop()})
	f.start.recordFirstRead(firstRead{})
	f.start.markAnnounced()
	f.start.markListed()
	begin := time.Now()
	go f.followPrefix(ctx, f.list.servers)
	for s.fullLists.Load() == 0 {
		if time.Since(begin) > 2*peerListTimeout {
			t.Fatal("the VM never read the list that no peer told it")
		}
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(begin); took < peerListTimeout || s.pages.Load() != 1 {
		t.Errorf("all pages read after %v, %d first pages; want 1, and to wait %v for peers", took, s.pages.Load(), peerListTimeout)
	}
}

// restarted is a store that knows this VM from an earlier start, and counts calls.
type restarted struct {
	unobserved
	entries []kv.Entry
	partial bool
	// callCounters by kind, in the order in which they were made.
	calls []string
	mu    sync.Mutex
	prev  int64
}

func (s *restarted) call(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, kind)
}

func (s *restarted) made() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

func (s *restarted) ListPage(_ context.Context, prefix string, _ kv.Consistency) (kv.Listing, error) {
	s.call("page " + prefix)
	out := kv.Listing{Revision: 40, Partial: s.partial}
	for _, e := range s.entries {
		if strings.HasPrefix(e.Key, prefix) {
			out.Entries = append(out.Entries, e)
		}
	}
	return out, nil
}

func (s *restarted) List(ctx context.Context, prefix string, c kv.Consistency) (kv.Listing, error) {
	return s.ListPage(ctx, prefix, c)
}

func (s *restarted) GrantLease(context.Context, time.Duration) (kv.LeaseID, error) {
	s.call("lease")
	return 1, nil
}

func (s *restarted) CompareAndSwap(_ context.Context, _ string, _ []byte, prev int64, _ kv.LeaseID) (int64, error) {
	s.call("write")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prev = prev
	return 41, nil
}

func (s *restarted) RevokeLease(context.Context, kv.LeaseID) error { return nil }

// untilListed is the duty of a VM that is alone until it knows the entry VMs.
type untilListed struct {
	fixedDuty
	loop *control.Loop
}

func (d untilListed) Duty() standby.Duty {
	if d.loop.Snapshot().Members.Revision == 0 {
		return standby.Read
	}
	return standby.Idle
}

// Guards against a fleet that starts again with six calls of each VM: three
// lists, a lease, and an entry that is written twice since the one of the earlier
// start is still there. Pattern: all VMs lose power at once.
func TestRestartMakesOneRead(t *testing.T) {
	vm := func(id string) vmlist.VM { return vmlist.VM{ID: id, Role: vmlist.RoleEntry, State: vmlist.StateLive} }
	engine := vmlist.VM{ID: "engine", Role: vmlist.RoleEngine, State: vmlist.StateLive}
	own := entry(t, "vms/", vm("vm-1"))
	own.Revision = 12
	entries := []kv.Entry{
		{Key: "op/config", Value: []byte("{}"), Revision: 3}, entry(t, "servers/", engine), own, entry(t, "vms/", vm("vm-2")),
	}
	for _, c := range []struct {
		name    string
		entries []kv.Entry
		partial bool
		want    []string
	}{
		{"all in one page", entries, false, []string{"page ", "lease", "write"}},
		{"the entry VMs are not complete", entries, true, []string{"page ", "lease", "write", "page vms/"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			loop := control.NewLoop(zap.NewNop(), time.Now)
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			go loop.Run(ctx)
			s := &restarted{entries: c.entries, partial: c.partial}
			f := New(Options{Self: vm("vm-1"), Store: s, Codec: codec{}, Loop: loop, Duties: untilListed{loop: loop}, Log: zap.NewNop()})
			for _, task := range f.Tasks() {
				go task(ctx)
			}
			eventually(t, "all is known", func() bool {
				snap := loop.Snapshot()
				return snap.Routes != nil && len(snap.Engines)+len(snap.Backends) > 0 && len(snap.Members.VMs) == 2
			})
			eventually(t, "all calls are made", func() bool { return len(s.made()) >= len(c.want) })
			time.Sleep(2 * roleDecisionDelay)
			if got := s.made(); !slices.Equal(got, c.want) {
				t.Errorf("calls %q, want %q", got, c.want)
			}
			if s.prev != own.Revision {
				t.Errorf("the entry was written over revision %d, want %d", s.prev, own.Revision)
			}
		})
	}
}
