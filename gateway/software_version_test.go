package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// startAgain replaces the entry of a server by that of its next start, with another software version.
func (r *gatewayRig) startAgain(id string, version vmlist.SoftwareVersion) {
	r.changeEntry(id, func(vm *vmlist.VM) {
		vm.Incarnation++
		vm.SoftwareVersion = version
	})
}

// Guards against a stream that goes on at the version which its engine was listed with: the engine had
// started again with another one before it made the first event, and the list names that start later.
func TestStreamThatBeganAtAStartThatIsListedLater(t *testing.T) {
	r := newGatewayRig(t, 2)
	r.configure(1, "desk", "engines")
	r.current.Routes = route.NewTable(route.TableSpec{
		Routes: []route.Route{{
			Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Stream, Resumable: true,
			Targets: []route.Target{{Service: "engines"}}, Timeout: 4 * time.Second, MaxAttempts: 3,
		}},
		Services: []route.Service{{Name: "engines", Engine: &route.Engine{TokensPerEvent: 1}}},
	})
	lines := r.rigLog()
	r.answer = func(id string, w http.ResponseWriter, _ *http.Request) bool {
		if id != "engine-0" {
			return false
		}
		w.Header().Set("Response-Signature", "s")
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte("id: 1\ndata: engine-0\n\n"))
		_ = http.NewResponseController(w).Flush()
		if s := r.awaitRun(t.Context(), id); s != nil {
			for !s.hasEvents() && wait.Sleep(t.Context(), time.Millisecond) {
			}
		}
		r.startAgain(id, "v2")
		panic(http.ErrAbortHandler)
	}
	w := r.sendWithin("/stream/x", 2*time.Second)
	if n := r.arrivalsAt("engine-1"); n != 0 {
		t.Errorf("the stream goes on at engine-1: %q", w.Body)
	}
	if got := logLine(t, lines, "stream_cut"); got["no_next"] != string(noNextVersion) {
		t.Errorf("got %v", got)
	}
}

// Guards against a record that names the version with which an engine was listed when the request was sent,
// although the list names another start with another version when the first event comes. Callers that take
// the stream up later, when the engine is not listed any more, would be sent to the first version.
func TestRecordOfAStartThatIsListedBeforeTheFirstEvent(t *testing.T) {
	r := newGatewayRig(t, 2)
	r.answer = func(id string, w http.ResponseWriter, _ *http.Request) bool {
		if id == "engine-0" {
			r.startAgain(id, "v2")
		}
		return false
	}
	w := r.sendWithin("/stream/x", 2*time.Second)
	if !strings.Contains(w.Body.String(), "data: engine-0") {
		t.Fatalf("got %d %q", w.Code, w.Body)
	}
	if o, err := r.Origins.FindIn(t.Context(), "engines", "run", time.Second); err == nil {
		t.Errorf("the stream may go on at %+v", o)
	}
}
