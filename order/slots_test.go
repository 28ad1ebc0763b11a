package order_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/standin"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/order"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

func loadOrder(id string) order.Order {
	return order.Order{ID: id, Kind: order.KindLoadVersion, Model: "quotes", Version: "2"}
}

// acquireForLoad returns a lease of a new backend server that loads from a weight
// store, and the transport to that server.
func acquireForLoad(t *testing.T, st *fakeStore, weights *standin.WeightStore, name string, opts order.Options) (*order.Lease, *fakeBackend) {
	t.Helper()
	service := newService(true)
	service.SetLoader(func(ctx context.Context, model string) error {
		w := httptest.NewRecorder()
		weights.ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodGet, "/weights/"+model, nil))
		if w.Code != http.StatusOK {
			return &kv.StatusError{Status: w.Code}
		}
		return nil
	})
	backend := &fakeBackend{Service: service}
	opts.Transport = backend
	vm := vmlist.VM{ID: "engine-of-" + name, Address: "192.0.2.1:1", ChecksFencing: true}
	l, err := order.New(st, opts).Acquire(t.Context(), vm, name)
	if err != nil {
		t.Error(err)
	}
	return l, backend
}

// newWeights returns a weight store from which a single load takes 4 s.
func newWeights(concurrency int) *standin.WeightStore {
	return standin.NewWeightStore(standin.WeightStoreOptions{BytesPerSecond: 1 << 20, Concurrency: concurrency, ModelBytes: 4 << 20})
}

// TestLoadSlots guards against operators that start at the same time and run more
// loads than the weight store allows, against loads that never get a slot, and
// against an error that does not name the holders of the slots.
func TestLoadSlots(t *testing.T) {
	const slots, operators = 2, 6
	for _, wait := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			st, weights := newStore(), newWeights(slots)
			var wg sync.WaitGroup
			for i := range operators {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 4*holdTime)
					defer cancel()
					l, _ := acquireForLoad(t, st, weights, fmt.Sprintf("operator-%d", i), order.Options{LoadSlots: slots, WaitForSlot: wait})
					defer l.Release(t.Context())
					err := l.Send(ctx, loadOrder(fmt.Sprint(i)))
					taken, ok := errors.Into[*order.SlotsTakenError](err)
					if err != nil && (wait || !ok || len(taken.Holders) != slots || !strings.Contains(err.Error(), "to engine-of-operator-")) {
						t.Errorf("wait %t: got %v", wait, err)
					}
				})
			}
			wg.Wait()
			want := standin.WeightStoreStats{Loads: slots, Peak: slots}
			if wait {
				want.Loads = operators
			}
			if got := weights.Stats(); got != want {
				t.Errorf("wait %t: got %+v, want %+v", wait, got, want)
			}
		})
	}
}

// TestSlotOfDeadOperator guards against a slot that is never freed after its
// holder crashed, and against one that is freed while a load may still be running.
func TestSlotOfDeadOperator(t *testing.T) {
	cases := map[string]struct {
		lost bool // The response to the load is lost, and the holder releases its lease.
		free time.Duration
	}{"dies": {false, order.DefaultTTL}, "lost answer": {true, holdTime}}
	for name, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			st, weights := newStore(), newWeights(1)
			opts := order.Options{LoadSlots: 1, WaitForSlot: true}
			start := time.Now()
			first, backend := acquireForLoad(t, st, weights, "first", opts)
			backend.loseResponse = tc.lost
			if err := first.Send(t.Context(), loadOrder("a")); (err != nil) != tc.lost {
				t.Errorf("%s: got %v", name, err)
			}
			if tc.lost {
				start = time.Now()
				first.Release(t.Context())
			}
			second, _ := acquireForLoad(t, st, weights, "second", opts)
			ctx, cancel := context.WithTimeout(t.Context(), 4*holdTime)
			defer cancel()
			if err := second.Send(ctx, loadOrder("b")); err != nil {
				t.Errorf("%s: %v", name, err)
			}
			loaded := 4 * time.Second
			if waited := time.Since(start) - loaded; waited < tc.free || waited > tc.free+2*time.Second {
				t.Errorf("%s: the slot was free after %s, want %s", name, waited, tc.free)
			}
		})
	}
}

// TestLostSlot guards against two slots for one load, or none, when the response
// to the write of a slot is lost, and against a retried order that waits for its
// own slot.
func TestLostSlot(t *testing.T) {
	for _, effect := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			st, weights := newStore(), newWeights(1)
			opts := order.Options{LoadSlots: 2}
			l, backend := acquireForLoad(t, st, weights, "first", opts)
			lost := false
			st.writeFault = func(key string) (bool, bool) {
				if lost || !strings.HasPrefix(key, "order/slots/") {
					return true, true
				}
				lost = true
				return effect, false
			}
			backend.loseResponse = true
			if _, ok := errors.Into[*order.UncertainError](l.Send(t.Context(), loadOrder("a"))); !ok || !lost {
				t.Errorf("effect %t: want an UncertainError", effect)
			}
			l.Release(t.Context())
			if n := slotsTaken(st); n != 1 {
				t.Errorf("effect %t: %d slots are taken", effect, n)
			}
			again, _ := acquireForLoad(t, st, weights, "first", opts)
			if err := again.Send(t.Context(), loadOrder("a")); err != nil {
				t.Errorf("effect %t: the repeated order got %v", effect, err)
			}
			if n := slotsTaken(st); n != 1 {
				t.Errorf("effect %t: %d slots are taken after the repeat", effect, n)
			}
			again.Release(t.Context())
			if n := slotsTaken(st); n != 0 {
				t.Errorf("effect %t: %d slots are taken at the end", effect, n)
			}
		})
	}
}

func slotsTaken(st *fakeStore) (n int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expire()
	for key := range st.entries {
		if strings.HasPrefix(key, "order/slots/") {
			n++
		}
	}
	return n
}
