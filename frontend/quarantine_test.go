package frontend

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/claim"
	"github.com/vanillaarch/vanillaarch/internal/standin"
	"github.com/vanillaarch/vanillaarch/kv"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// guardAfterTwo refuses a whole request after two failures of it, and allows no repeat.
type guardAfterTwo struct {
	mu       sync.Mutex
	failures map[quarantine.Key]int
}

func (g *guardAfterTwo) Check(r *quarantine.Request) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures[r.Whole] >= 2 {
		return &quarantine.RefusedError{Request: true, Parts: 1, RetryAfter: time.Minute}
	}
	return nil
}

func (g *guardAfterTwo) MayRepeat(*quarantine.Request) bool { return false }

func (g *guardAfterTwo) RunFailed(r *quarantine.Request, _ vmlist.VM, _ time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures[r.Whole]++
}

func (g *guardAfterTwo) RunSucceeded(*quarantine.Request) {}

func (g *guardAfterTwo) Watch(*quarantine.Request, func(error)) func() { return func() {} }

func (g *guardAfterTwo) lift() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.failures)
}

// Guards against calls, also those under a claim, that crash one server after the other: the
// same call is refused as not run, another one is served, and a refused claim is not held.
func TestCallThatCrashesServersIsRefused(t *testing.T) {
	for _, route := range []string{"look", "book"} {
		t.Run(route, func(t *testing.T) {
			r := newRig(t, 3)
			store := httptest.NewServer(standin.NewKV())
			t.Cleanup(store.Close)
			r.Claims = claim.NewManager(kv.NewClient(store.URL, time.Second), claim.Options{VM: "vm", Retention: time.Hour, ClockTolerance: time.Minute, Now: time.Now})
			t.Cleanup(r.Claims.Close)
			guard := &guardAfterTwo{failures: map[quarantine.Key]int{}}
			r.Quarantine = guard
			var crashing atomic.Bool
			crashing.Store(true)
			r.answer = func(string, http.ResponseWriter) bool {
				if crashing.Load() {
					panic(http.ErrAbortHandler)
				}
				return false
			}
			send := func(body, key string) *httptest.ResponseRecorder {
				request := httptest.NewRequest(http.MethodPost, "/v1/services/"+route, strings.NewReader(body))
				request.Header.Set("Authorization", "Bearer key")
				request.Header.Set(api.HeaderIdempotencyKey, key)
				w := httptest.NewRecorder()
				r.handler.ServeHTTP(w, request)
				return w
			}
			newKey := func() string { return uuid.Must(uuid.NewV7()).String() }
			for n := range 2 {
				if w := send("deadly", newKey()); w.Code != http.StatusBadGateway {
					t.Errorf("attempt %d: status %d, %q", n, w.Code, w.Body)
				}
			}
			refusedKey := newKey()
			w := send("deadly", refusedKey)
			if w.Code != http.StatusServiceUnavailable || !strings.Contains(w.Body.String(), string(api.ProblemRequestQuarantined)) ||
				!strings.Contains(w.Body.String(), string(api.OutcomeNotRun)) {
				t.Errorf("status %d, %q", w.Code, w.Body)
			}
			if n := len(r.calls("desk-0")) + len(r.calls("desk-1")) + len(r.calls("desk-2")); n != 2 {
				t.Errorf("%d calls reached servers, want 2", n)
			}
			crashing.Store(false)
			if w := send("sound", newKey()); w.Code != http.StatusOK {
				t.Errorf("another call: status %d, %q", w.Code, w.Body)
			}
			guard.lift()
			time.Sleep(100 * time.Millisecond) // The claim is abandoned in the background.
			if w := send("deadly", refusedKey); w.Code != http.StatusOK {
				t.Errorf("the refused call, later: status %d, %q", w.Code, w.Body)
			}
		})
	}
}
