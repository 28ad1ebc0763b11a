package gateway

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/stillness"
	"github.com/vanillaarch/vanillaarch/internal/testlog"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// rigLog returns the log of a rig from now on.
func (r *gatewayRig) rigLog() *testlog.Buffer {
	lines := &testlog.Buffer{}
	r.Log = telemetry.NewLogger(lines, "debug", "vm")
	return lines
}

// logLine returns the fields of the only line of an event.
func logLine(t *testing.T, lines *testlog.Buffer, event string) map[string]string {
	t.Helper()
	var found map[string]string
	for line := range strings.Lines(lines.String()) {
		fields := map[string]string{}
		decoder := logfmt.NewDecoder(strings.NewReader(line))
		for decoder.ScanRecord() {
			for decoder.ScanKeyval() {
				fields[string(decoder.Key())] = string(decoder.Value())
			}
		}
		if fields["event"] == event {
			if found != nil {
				t.Errorf("more than one line %s in\n%s", event, lines.String())
			}
			found = fields
		}
	}
	if found == nil {
		t.Errorf("no line %s in\n%s", event, lines.String())
	}
	return found
}

// configure replaces the configuration by another version, with engines that can move runs.
func (r *gatewayRig) configure(version int64, services ...string) {
	snap := *r.Snapshot()
	spec := route.TableSpec{Version: version}
	for _, name := range []string{"plain", "stream", "draft"} {
		if old, ok := snap.Routes.Match("h", "/"+name+"/"); ok {
			spec.Routes = append(spec.Routes, *old)
		}
	}
	for _, name := range services {
		s := *r.Snapshot().Routes.Service(name)
		if s.Engine != nil {
			engine := *s.Engine
			engine.SupportsMove = true
			s.Engine = &engine
		}
		spec.Services = append(spec.Services, s)
	}
	snap.Routes = route.NewTable(spec)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = &snap
}

// grantCopies grants engines for runs, and for the two kinds of copies if set.
func (r *gatewayRig) grantCopies(backups, moved bool) {
	r.acquire = func(a dispatch.AdmissionRequest) (dispatch.Ticket, error) {
		if a.Spare && !backups || a.Resumed && !moved {
			return nil, &dispatch.NoBackendError{Model: a.Model}
		}
		return r.grantFirst(a)
	}
}

// awaitRun waits until an engine has a run with an event, and returns its stream. It returns
// nil if ctx ends first.
func (r *gatewayRig) awaitRun(ctx context.Context, engine string) *stream {
	for ctx.Err() == nil {
		for _, s := range r.runs.streamsOn(engine) {
			if s.hasEvents() {
				return s
			}
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

// evacuateFirst makes the first engine leave and evacuates it once it has a run with an event.
func (r *gatewayRig) evacuateFirst(ctx context.Context) {
	engine := r.Snapshot().Backends["engine-0"]
	if r.awaitRun(ctx, engine.ID) == nil {
		return
	}
	r.setState(engine.ID, vmlist.StateLeaving)
	r.evacuate(ctx, engine)
}

// beginRun sends the first event of a run.
func beginRun(w http.ResponseWriter) {
	w.Header().Set("Response-Signature", "s")
	_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
	_ = http.NewResponseController(w).Flush()
}

// runOn sends events until the connection is closed.
func runOn(w http.ResponseWriter, r *http.Request) {
	beginRun(w)
	for id := 2; wait.Sleep(r.Context(), 5*time.Millisecond); id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
		_ = http.NewResponseController(w).Flush()
	}
}

// Guards against an incident that the log of the VM cannot explain: who ended a request
// without a whole answer, under which versions of the configuration, whether its run had
// copies, and why none was used.
func TestLogTellsWhyAnAnswerIsMissing(t *testing.T) {
	const versionBefore, versionAfter = 7, 9
	// maxTime bounds the requests that do not end by their time limit.
	const maxTime = time.Second
	// common are the fields of each such line.
	common := map[string]string{"version": "7", "version_at_end": "9", "level": "warn"}
	for name, test := range map[string]struct {
		path           string
		backups, moved bool
		leaves         bool
		// timeLimit is that of the request, rigTimeLimit if it is 0.
		timeLimit time.Duration
		// answer is that of engine-0 or desk-0, copyAnswer that of an engine asked to go on
		// from a copy.
		answer     func(http.ResponseWriter, *http.Request)
		copyAnswer func(http.ResponseWriter)
		stop       time.Duration
		event      string
		want       map[string]string
		absent     []string
	}{
		"engine breaks off, no room for a backup": {
			path: draftPath, event: "stream_cut",
			answer: func(w http.ResponseWriter, _ *http.Request) { beginRun(w); panic(http.ErrAbortHandler) },
			want: map[string]string{
				"ended_by": "server", "backend": "engine-0", "backend_state": "live", "last_event": "1", "sends": "1",
				"backup": "not_granted", "backup_error": "no_room", "moved": "none", "chunked": "false",
			},
			absent: []string{"backup_engine", "write_error"},
		},
		"engine breaks off, the backup is refused": {
			path: draftPath, backups: true, event: "stream_cut",
			answer:     func(w http.ResponseWriter, _ *http.Request) { beginRun(w); panic(http.ErrAbortHandler) },
			copyAnswer: refuseCopy,
			want: map[string]string{
				"ended_by": "server", "backend": "engine-0", "backup": "refused", "backup_engine": "engine-1",
				"backup_error": "backend engine-1 refused the request with status 503", "moved": "none",
			},
		},
		"moved copy is refused": {
			path: draftPath, moved: true, leaves: true, event: "stream_cut",
			answer:     runOn,
			copyAnswer: refuseCopy,
			want: map[string]string{
				"ended_by": "switchover", "backend": "engine-0", "moved": "refused", "moved_engine": "engine-1",
				"segment_error": errSwitchover.Error(), "backup": "not_granted",
			},
		},
		"moved copy fails": {
			path: draftPath, moved: true, leaves: true, event: "stream_cut",
			answer:     runOn,
			copyAnswer: func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
			want:       map[string]string{"ended_by": "switchover", "moved": "unknown", "moved_engine": "engine-1"},
		},
		"time limit": {
			path: draftPath, event: "stream_cut", timeLimit: time.Second,
			answer: func(w http.ResponseWriter, r *http.Request) { beginRun(w); <-r.Context().Done() },
			want:   map[string]string{"ended_by": "time_limit", "backend": "engine-0"},
		},
		"VM stops": {
			path: draftPath, event: "stream_cut", stop: 100 * time.Millisecond,
			answer: func(w http.ResponseWriter, r *http.Request) { beginRun(w); <-r.Context().Done() },
			want:   map[string]string{"ended_by": "vm_stop"},
		},
		"events out of order": {
			path: draftPath, event: "stream_cut",
			answer: func(w http.ResponseWriter, _ *http.Request) {
				beginRun(w)
				_, _ = w.Write([]byte("id: 3\ndata: x\n\n"))
			},
			want: map[string]string{"ended_by": "vm", "error": "event out of order: got id 3 after 1"},
		},
		"engine breaks off before the head": {
			path: draftPath, event: "answer_lost",
			answer: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			want: map[string]string{
				"ended_by": "server", "backend": "engine-0", "status": "502", "backup": "not_granted", "moved": "none",
			},
		},
		"plain server breaks off": {
			path: plainPath, event: "answer_lost",
			answer: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			want:   map[string]string{"ended_by": "server", "backend": "desk-0", "backend_state": "live", "status": "502", "sends": "1"},
			absent: []string{"backup", "moved"},
		},
		"plain server is slow": {
			path: plainPath, event: "answer_lost", timeLimit: time.Second,
			answer: func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // The server notices the end of the connection only after that.
				<-r.Context().Done()
			},
			want: map[string]string{"ended_by": "time_limit", "backend": "desk-0", "status": "504"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newGatewayRig(t, 2)
			r.announceWhenChosen(func(vmlist.VM) {}) // desk-0 is chosen first.
			r.setTimeLimit(test.path, cmp.Or(test.timeLimit, rigTimeLimit))
			r.configure(versionBefore, "desk", "engines")
			r.grantCopies(test.backups, test.moved)
			lines := r.rigLog()
			r.answer = func(id string, w http.ResponseWriter, request *http.Request) bool {
				switch {
				case request.URL.Path == "/report":
					return false
				case request.URL.Path == "/kv-move":
					moveAnswer(w)
				case strings.HasPrefix(request.URL.Path, "/kv-handle/"):
				case request.Header.Get("Kv-From") != "":
					test.copyAnswer(w)
				default:
					r.configure(versionAfter, "desk", "engines")
					test.answer(w, request)
				}
				return true
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if test.leaves {
				go r.evacuateFirst(ctx)
			}
			if test.stop > 0 {
				go func() {
					if r.awaitRun(ctx, "engine-0") != nil {
						r.BeginDrain(test.stop)
					}
				}()
			}
			meter, begin := stillness.Start(), time.Now()
			r.sendWithin(test.path, rigTimeLimit)
			took, still := time.Since(begin), meter.Between(begin, time.Now())
			meter.Stop()
			if test.timeLimit == 0 && took-still > maxTime {
				t.Errorf("the request took %v, of which the process stood still for %v", took, still)
			}
			got := logLine(t, lines, test.event)
			for _, fields := range []map[string]string{common, test.want} {
				for key, want := range fields {
					if got[key] != want {
						t.Errorf("%s is %q, want %q", key, got[key], want)
					}
				}
			}
			for _, key := range []string{"request", "elapsed", "time_left"} {
				if got[key] == "" {
					t.Errorf("no %s", key)
				}
			}
			for _, key := range test.absent {
				if value, found := got[key]; found {
					t.Errorf("%s is %q, want none", key, value)
				}
			}
			done := logLine(t, lines, "request_done")
			if done["ended_by"] != test.want["ended_by"] || done["version_at_end"] != "9" {
				t.Errorf("request_done has %v", done)
			}
			if t.Failed() {
				t.Log(lines.String())
			}
		})
	}
}

func refuseCopy(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// moveAnswer answers POST /kv-move with a complete copy.
func moveAnswer(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"handle":"h1","createdRev":1}`))
}

// sendInOneSecond is sendWithin a limit of a second.
func (r *gatewayRig) sendInOneSecond(path string) *httptest.ResponseRecorder {
	return r.sendWithin(path, time.Second)
}

// sendWithin sends a request whose caller waits for limit, and returns what the caller got, also if the
// connection was closed after that.
func (r *gatewayRig) sendWithin(path string, limit time.Duration) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r.serveRequest(w, rigRequest(path, "run", limit))
	return w
}

// Guards against a write time limit of the VM that looks like a caller who has left:
// http.Server ends the context of the request after both.
func TestLogTellsWriteTimeLimitsFromCallersThatLeave(t *testing.T) {
	for want, err := range map[endedBy]error{endedByTimeLimit: os.ErrDeadlineExceeded, endedByCaller: syscall.ECONNRESET} {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		c := &call{
			g: newGatewayRig(t, 1).Gateway, r: httptest.NewRequestWithContext(ctx, http.MethodPost, draftPath, nil),
			writeErr: &net.OpError{Op: "write", Err: err},
		}
		if got := c.whoEnded(nil); got != want {
			t.Errorf("%v: ended by %s, want %s", err, got, want)
		}
	}
}

// Guards against a caller that disconnects and looks like a fault of the VM.
func TestLogTellsCallersThatLeave(t *testing.T) {
	r := newGatewayRig(t, 1)
	r.configure(1, "desk", "engines")
	lines := r.rigLog()
	r.answer = func(_ string, w http.ResponseWriter, request *http.Request) bool {
		beginRun(w)
		<-request.Context().Done()
		return true
	}
	s := httptest.NewServer(r)
	defer s.Close()
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+draftPath, strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("Request-Id", "run")
	request.Header.Set("Model", rigModel)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	_ = response.Body.Close()
	limit := boottime.Now() + 2*time.Second
	for !strings.Contains(lines.String(), "request_done") && boottime.Now() < limit {
		time.Sleep(time.Millisecond)
	}
	if done := logLine(t, lines, "request_done"); done["ended_by"] != "caller" || done["outcome"] != "caller_left" {
		t.Errorf("request_done has %v", done)
	}
	if text := lines.String(); strings.Contains(text, "stream_cut") || strings.Contains(text, "answer_lost") {
		t.Errorf("the caller's own leaving is a warning:\n%s", text)
	}
}

// Guards against a run at an engine that leaves which is neither moved nor mentioned.
func TestLogTellsWhyRunsAreNotMoved(t *testing.T) {
	r := newGatewayRig(t, 1)
	r.configure(4, "desk")
	lines := r.rigLog()
	r.evacuate(t.Context(), r.Snapshot().Backends["engine-0"])
	got := logLine(t, lines, "engine_not_evacuated")
	if got["service_known"] != "false" || got["version"] != "4" || got["backend"] != "engine-0" || got["own_runs"] != "0" {
		t.Errorf("got %v", got)
	}
}
