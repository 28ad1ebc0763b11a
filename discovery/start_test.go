package discovery

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/standby"
)

// paged gives a list of several pages and counts who reads all of it.
type paged struct {
	store
	pages, wholes atomic.Int64
}

func (s *paged) ListPage(ctx context.Context, prefix string, c kv.Consistency) (kv.Listing, error) {
	s.pages.Add(1)
	listing, err := s.store.List(ctx, prefix, c)
	listing.Partial = true
	return listing, err
}

func (s *paged) List(ctx context.Context, prefix string, c kv.Consistency) (kv.Listing, error) {
	s.wholes.Add(1)
	return s.store.List(ctx, prefix, c)
}

// Guards against a VM that reads all pages of a large pool at its start although
// others read them for it, and against one that waits for peers for ever.
func TestLargePoolIsHeardFromPeers(t *testing.T) {
	loop := control.NewLoop(zap.NewNop(), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go loop.Run(ctx)
	s := &paged{}
	f := New(Options{Store: s, Codec: codec{}, Loop: loop, Duties: fixedDuty(standby.Idle), Log: zap.NewNop()})
	f.start.announced()
	f.start.listed()
	begin := time.Now()
	go f.followPrefix(ctx, f.list.servers)
	for s.wholes.Load() == 0 {
		if time.Since(begin) > 2*peerListWait {
			t.Fatal("the VM never read the list that no peer told it")
		}
		time.Sleep(time.Millisecond)
	}
	if took := time.Since(begin); took < peerListWait || s.pages.Load() != 1 {
		t.Errorf("all pages read after %v, %d first pages; want 1, and to wait %v for peers", took, s.pages.Load(), peerListWait)
	}
}
