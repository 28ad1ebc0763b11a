package frontend

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/bundle"
	"github.com/vanillaarch/vanillaarch/quarantine"
)

// Guards against a log that does not tell why a call was sent to a second server, and
// whether it may have run on the first one.
func TestSecondSendOfCallIsExplained(t *testing.T) {
	core, logged := observer.New(zapcore.InfoLevel)
	r := newRig(t, 2)
	r.Log = zap.New(core)
	var failed atomic.Value
	r.answer = func(id string, w http.ResponseWriter) bool {
		if !failed.CompareAndSwap(nil, id) {
			return false
		}
		panic(http.ErrAbortHandler) // The connection is closed without an answer.
	}
	if w := r.send(http.MethodPost, "/v1/services/look", "x"); w.Code != http.StatusOK {
		t.Fatalf("status %d: %s", w.Code, w.Body)
	}
	lines := logged.FilterMessage("request_sent_again").All()
	if len(lines) != 1 || lines[0].Level != zapcore.InfoLevel {
		t.Fatalf("got %v, want one line", lines)
	}
	first, fields := failed.Load(), lines[0].ContextMap()
	if fields["previous"] != first || fields["previous_result"] != resultUnknown || fields["may_have_run_on"] != first || fields["backend"] == first {
		t.Errorf("the call was lost on %s: %v", first, fields)
	}
}

// Guards against the same for a call that must not be repeated: the log has to show that
// nothing was sent to the server before.
func TestSecondSendOfNonRepeatableCallIsAWarning(t *testing.T) {
	core, logged := observer.New(zapcore.InfoLevel)
	r := newRig(t, 2)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close() // Nothing accepts connections at its address.
	r.Snapshot().Services["desk"][0].Address = listener.Addr().String()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	route := bundle.Route{Name: "book", Service: "desk", Path: "/", NonRepeatable: true}
	for range 2 { // The rotation begins at another server each time.
		attempts := &callAttempts{log: zap.New(core), nonRepeatable: true, quarantined: r.newAttempts(zap.New(core), quarantine.Content{})}
		if _, err := r.callFirstReachable(ctx, ctx, r.serviceRotation(route), backend.Call{Path: "/"}, attempts); err != nil {
			t.Fatal(err)
		}
	}
	lines := logged.FilterMessage("request_sent_again").All()
	if len(lines) != 1 || lines[0].Level != zapcore.WarnLevel {
		t.Fatalf("got %v, want one warning", lines)
	}
	fields := lines[0].ContextMap()
	if fields["previous"] != "desk-0" || fields["previous_result"] != resultNotSent || fields["may_have_run"] != false || fields["backend"] != "desk-1" {
		t.Errorf("got %v", fields)
	}
}
