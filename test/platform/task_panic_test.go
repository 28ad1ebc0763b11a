package platform_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/internal/recovery"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
	"github.com/vanillaarch/vanillaarch/platform"
	"github.com/vanillaarch/vanillaarch/route"
)

// faultyCodec panics at configurations once it is armed.
type faultyCodec struct {
	platform.StoreCodec
	armed *atomic.Bool
}

func (c faultyCodec) DecodeConfig(value []byte) (*route.Table, error) {
	if c.armed.Load() {
		panic("fault")
	}
	return c.StoreCodec.DecodeConfig(value)
}

// Guards against requests that lose their answers since a task beside them panics, which ended the
// process at once.
func TestPanicOfATaskCutsNoRequest(t *testing.T) {
	armed := &atomic.Bool{}
	s := newSite(t, options{
		vms: 1, plainServers: 1, processingTime: time.Second, codec: faultyCodec{armed: armed},
		bounds: func(b *config.Bounds) { b.Grace = 5 * time.Second },
	})
	v := s.vms[0]
	answered := make(chan response, 1)
	go func() { answered <- s.send(v, book()) }()
	s.eventually(5*time.Second, "the request is accepted", func() bool { return v.Entry.Active() == 1 })
	armed.Store(true)
	s.store.Put(platform.ConfigKey, userplatform.Config(version+1, key))
	if r := <-answered; r.err != nil || r.status != http.StatusOK {
		t.Errorf("status %d, %v", r.status, r.err)
	}
	select {
	case <-v.Done:
	case <-time.After(30 * time.Second):
		t.Fatal("the VM goes on without one of its tasks")
	}
	if _, ok := errors.Into[*recovery.PanicError](v.Err); !ok {
		t.Errorf("the VM ended with %v", v.Err)
	}
	v.Err = nil // Expected.
}
