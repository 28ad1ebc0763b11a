package frontend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/claim"
	"github.com/vanillaarch/vanillaarch/internal/standin"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Guards against a non-repeatable call being sent after its caller has left, while the only
// server asks for a pause during the claim.
func TestCallIsNotSentAfterItsCallerHasLeft(t *testing.T) {
	const (
		leaves = 100 * time.Millisecond
		pause  = 400 * time.Millisecond
	)
	r := newRig(t, 1)
	store := httptest.NewServer(standin.NewKV())
	t.Cleanup(store.Close)
	r.Claims = claim.NewManager(kv.NewClient(store.URL, time.Second), claim.Options{VM: "vm", Retention: time.Hour, ClockTolerance: time.Minute, Now: time.Now})
	t.Cleanup(r.Claims.Close)
	var once sync.Once
	r.afterCheck = func(vm vmlist.VM) { once.Do(func() { r.pause(vm, pause) }) }
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	begin := time.Now()
	defer time.AfterFunc(leaves, cancel).Stop()
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/services/book", strings.NewReader("{}"))
	request.Header.Set("Authorization", "Bearer key")
	request.Header.Set(api.HeaderIdempotencyKey, uuid.Must(uuid.NewV7()).String())
	r.handler.ServeHTTP(httptest.NewRecorder(), request)
	if elapsed := time.Since(begin); elapsed < leaves || elapsed > pause {
		t.Errorf("the call ended after %v, its caller left after %v", elapsed, leaves)
	}
	time.Sleep(pause)
	if calls := r.calls("desk-0"); len(calls) != 0 {
		t.Errorf("%d calls arrived after the caller had left", len(calls))
	}
}
