package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/route"
)

// movingEngines answers as engines that make copies: engine-0 has a run that it works on
// until a final move ends it, and engine-1 goes on from a copy.
type movingEngines struct {
	mu sync.Mutex
	// finalHandle is that of the final move, finalDelay the time that it takes, and
	// finalStatus its status.
	finalHandle string
	finalDelay  time.Duration
	finalStatus int
	// refused holds the copies from which engine-1 does not go on.
	refused map[string]bool
	// resets is the number of requests for a copy whose connection engine-1 closes.
	resets int
	// ending is set while a final move is in progress. Another call for the run is refused then.
	ending bool
	// asked holds the copies that engine-1 was asked to go on from, freed the handles that
	// were freed, in this order.
	asked, freed []string
}

func (e *movingEngines) answer(_ string, w http.ResponseWriter, r *http.Request) bool {
	switch {
	case r.URL.Path == "/report":
		return false
	case r.URL.Path == "/kv-move":
		e.move(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		e.mu.Lock()
		defer e.mu.Unlock()
		e.freed = append(e.freed, strings.TrimPrefix(r.URL.Path, "/kv-handle/"))
	case r.Header.Get("Kv-From") != "":
		e.goOn(w, r)
	default:
		runOn(w, r)
	}
	return true
}

func (e *movingEngines) move(w http.ResponseWriter, r *http.Request) {
	var in struct{ Last bool }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !in.Last {
		moveAnswer(w)
		return
	}
	if !e.beginEnding() {
		w.WriteHeader(http.StatusConflict)
		return
	}
	time.Sleep(e.finalDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ending = false
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.finalStatus)
	_, _ = fmt.Fprintf(w, `{"handle":%q,"createdRev":1}`, e.finalHandle)
}

func (e *movingEngines) beginEnding() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	begins := !e.ending
	e.ending = true
	return begins
}

// goOn goes on with the second event after the last one, and ends the stream with it.
func (e *movingEngines) goOn(w http.ResponseWriter, r *http.Request) {
	_, handle, _ := strings.Cut(r.Header.Get("Kv-From"), "/")
	e.mu.Lock()
	e.asked = append(e.asked, handle)
	freed := false
	for _, h := range e.freed {
		freed = freed || h == handle
	}
	refused := freed || e.refused[handle]
	reset := len(e.asked) <= e.resets
	e.mu.Unlock()
	if reset {
		panic(http.ErrAbortHandler)
	}
	if refused {
		refuseCopy(w)
		return
	}
	var last int
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	body := fmt.Sprintf("id: %d\ndata: end\n\n", last+1)
	w.Header().Set("Response-Signature", "s")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write([]byte(body))
}

// slowEnd is longer than a VM waits for the answer of an engine before it asks once more.
const slowEnd = 200 * time.Millisecond

// Guards against a run that is cut, or a copy that stays at an engine, since the VM takes
// the copy of a final move for another one than that from which the run goes on.
func TestFinalMoveLeavesTheRunACopy(t *testing.T) {
	for name, test := range map[string]struct {
		engines *movingEngines
		// asked and freed are the copies that are asked for and freed.
		asked, freed string
	}{
		"another copy":       {&movingEngines{finalHandle: "h2", finalStatus: http.StatusOK}, "h2", "h1"},
		"the same copy":      {&movingEngines{finalHandle: "h1", finalStatus: http.StatusOK}, "h1", ""},
		"no room":            {&movingEngines{finalHandle: "h2", finalStatus: http.StatusServiceUnavailable}, "h1", "h2"},
		"slow, another copy": {&movingEngines{finalHandle: "h2", finalStatus: http.StatusOK, finalDelay: slowEnd}, "h1", "h2"},
		"slow, the same copy": {
			&movingEngines{finalHandle: "h1", finalStatus: http.StatusOK, finalDelay: slowEnd}, "h1", "",
		},
		"slow, the earlier copy is refused": {
			&movingEngines{finalHandle: "h2", finalStatus: http.StatusOK, finalDelay: slowEnd, refused: map[string]bool{"h1": true}},
			"h1 h2", "h1",
		},
		"the run was dropped": {&movingEngines{finalStatus: http.StatusNotFound}, "h1", ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := newGatewayRig(t, 2)
			r.configure(1, "desk", "engines")
			r.grantCopies(false, true)
			lines := r.rigLog()
			engines := test.engines
			r.answer = engines.answer
			go r.evacuateFirst(t.Context())
			got := r.sendInOneSecond(draftPath)
			if body := got.Body.String(); !strings.Contains(body, "data: end") {
				t.Errorf("the stream was cut: %.80q", body[max(0, len(body)-80):])
			}
			r.Close() // Waits for what is freed.
			engines.mu.Lock()
			defer engines.mu.Unlock()
			if asked := strings.Join(engines.asked, " "); asked != test.asked {
				t.Errorf("asked to go on from %q, want %q", asked, test.asked)
			}
			if freed := strings.Join(engines.freed, " "); freed != test.freed {
				t.Errorf("freed %q, want %q", freed, test.freed)
			}
			if t.Failed() {
				t.Log(lines.String())
			}
		})
	}
}

// Guards against a run that is cut since the engine with its copy resets one connection, as
// one does that has too many: the copy is still there, and the engine lets it be used once.
func TestRunGoesOnAfterAConnectionIsReset(t *testing.T) {
	r := newGatewayRig(t, 2)
	r.configure(1, "desk", "engines")
	r.grantCopies(false, true)
	lines := r.rigLog()
	engines := &movingEngines{finalStatus: http.StatusNotFound, resets: 1}
	r.answer = engines.answer
	go r.evacuateFirst(t.Context())
	got := r.sendInOneSecond(draftPath)
	if body := got.Body.String(); !strings.Contains(body, "data: end") {
		t.Errorf("the stream was cut: %.80q\n%s", body[max(0, len(body)-80):], lines)
	}
	r.Close()
	engines.mu.Lock()
	defer engines.mu.Unlock()
	if asked := strings.Join(engines.asked, " "); asked != "h1 h1" {
		t.Errorf("asked to go on from %q", asked)
	}
}

// Guards against a run that is taken from its engine for one that resets every connection
// right after it has accepted it.
func TestRunStaysIfItsNextEngineResetsConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	r := newGatewayRig(t, 2)
	r.configure(1, "desk", "engines")
	snap := r.Snapshot()
	vm := snap.Backends["engine-1"]
	vm.Address = l.Addr().String()
	pool := route.PoolName("engines", rigModel)
	snap.Backends[vm.ID], snap.Engines[pool][1] = vm, vm
	r.grantCopies(false, true)
	lines := r.rigLog()
	engines := &movingEngines{finalStatus: http.StatusNotFound}
	r.answer = func(id string, w http.ResponseWriter, request *http.Request) bool {
		if !strings.HasPrefix(request.URL.Path, "/draft/") {
			return engines.answer(id, w, request)
		}
		ctx, cancel := context.WithTimeout(request.Context(), 600*time.Millisecond)
		defer cancel()
		runOn(w, request.WithContext(ctx))
		return true
	}
	go r.evacuateFirst(t.Context())
	r.sendInOneSecond(draftPath)
	r.Close()
	if done := logLine(t, lines, "request_done"); done["outcome"] != "answered" {
		t.Errorf("%s\n%s", done["outcome"], lines)
	}
	if !strings.Contains(lines.String(), "event=run_copied") {
		t.Errorf("the run was not copied:\n%s", lines)
	}
}

// Guards against a run that ends with its engine, since a version of the configuration has
// dropped the service that the run was admitted to: the VM did not know any more that its
// engines move runs.
func TestRunsAreMovedAfterTheirServiceIsDropped(t *testing.T) {
	r := newGatewayRig(t, 2)
	r.configure(1, "desk", "engines")
	r.grantCopies(false, true)
	lines := r.rigLog()
	engines := &movingEngines{finalStatus: http.StatusNotFound}
	r.answer = func(id string, w http.ResponseWriter, request *http.Request) bool {
		if request.Header.Get("Kv-From") == "" && strings.HasPrefix(request.URL.Path, "/draft/") {
			r.configure(2, "desk")
		}
		return engines.answer(id, w, request)
	}
	go r.evacuateFirst(t.Context())
	got := r.sendInOneSecond(draftPath)
	r.Close()
	if body := got.Body.String(); !strings.Contains(body, "data: end") {
		t.Errorf("the stream was cut: %.80q\n%s", body[max(0, len(body)-80):], lines)
	}
}

// Guards against a stream that may not be repeated and is sent over a connection that its
// engine is about to close as idle: the result is unknown then, and the stream is lost.
func TestStreamsThatRunOnceUseNoLongIdleConnections(t *testing.T) {
	for path, reused := range map[string]bool{draftPath: false, streamPath: true} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			r := newGatewayRig(t, 1)
			r.grantCopies(false, false)
			var clients []string
			r.answer = func(_ string, _ http.ResponseWriter, request *http.Request) bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				clients = append(clients, request.RemoteAddr)
				return false
			}
			r.send(path)
			r.send(path)
			time.Sleep(maxIdleNonRepeatable + 100*time.Millisecond)
			r.send(path)
			r.mu.Lock()
			defer r.mu.Unlock()
			if len(clients) != 3 || clients[0] != clients[1] || (clients[1] == clients[2]) != reused {
				t.Errorf("connections %v, the last one reused: want %v", clients, reused)
			}
		})
	}
}

// Guards against a call that ends a run and reaches another server, which has the address of the engine
// by then: such calls are repeated for seconds after an engine has stopped.
func TestCallsThatEndRunsNameTheirEngine(t *testing.T) {
	r := newGatewayRig(t, 2)
	r.configure(1, "desk", "engines")
	r.grantCopies(false, true)
	engines := &movingEngines{finalStatus: http.StatusNotFound}
	var mu sync.Mutex
	var named []string
	r.answer = func(id string, w http.ResponseWriter, request *http.Request) bool {
		if request.URL.Path == "/kv-move" {
			mu.Lock()
			defer mu.Unlock()
			named = append(named, request.Header.Get("Expect-Instance"))
		}
		return engines.answer(id, w, request)
	}
	go r.evacuateFirst(t.Context())
	r.sendInOneSecond(draftPath)
	r.Close()
	mu.Lock()
	defer mu.Unlock()
	if len(named) < 2 || named[len(named)-1] != "engine-0" {
		t.Errorf("calls name %q, the last one must name engine-0", named)
	}
}

// Guards against a stream without a length or chunks that looks complete since its engine has closed it
// to end the run in a planned move.
func TestMovedStreamWithoutALengthIsNotCutShort(t *testing.T) {
	r := newGatewayRig(t, 2)
	r.configure(1, "desk", "engines")
	r.grantCopies(false, true)
	lines := r.rigLog()
	engines := &movingEngines{finalStatus: http.StatusNotFound}
	ended := make(chan struct{})
	end := sync.OnceFunc(func() { close(ended) })
	t.Cleanup(end)
	r.answer = func(id string, w http.ResponseWriter, request *http.Request) bool {
		if request.URL.Path == "/kv-move" && request.Header.Get("Expect-Instance") != "" {
			end()
		}
		if request.Header.Get("Kv-From") != "" || !strings.HasPrefix(request.URL.Path, "/draft/") {
			return engines.answer(id, w, request)
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return true
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nConnection: close\r\n\r\n", request.Header.Get("Request-Id"))
		for event := 1; ; event++ {
			_, err := fmt.Fprintf(conn, "id: %d\ndata: x\n\n", event)
			select {
			case <-ended:
				return true
			case <-time.After(5 * time.Millisecond):
			}
			if err != nil {
				return true
			}
		}
	}
	go r.evacuateFirst(t.Context())
	got := r.sendInOneSecond(draftPath)
	r.Close()
	if body := got.Body.String(); !strings.Contains(body, "data: end") {
		t.Errorf("the stream was cut: %.80q\n%s", body[max(0, len(body)-80):], lines)
	}
}

// Guards against a run that is held for seconds after the engine with its backup has refused it, since
// the engine that has crashed before is still asked to end the run: it copies nothing any more.
func TestRefusedBackupOfACrashedEngineEndsInTime(t *testing.T) {
	r := newGatewayRig(t, 2)
	r.configure(1, "desk", "engines")
	r.grantCopies(true, false)
	lines := r.rigLog()
	var once sync.Once
	r.answer = func(id string, w http.ResponseWriter, request *http.Request) bool {
		if request.Header.Get("Kv-From") != "" {
			refuseCopy(w)
			return true
		}
		if !strings.HasPrefix(request.URL.Path, "/draft/") {
			return false
		}
		beginRun(w)
		once.Do(func() { r.crash(id) })
		panic(http.ErrAbortHandler)
	}
	begin := time.Now()
	r.sendWithin(draftPath, 10*time.Second)
	if took := time.Since(begin); took > 2*refusedAskDelay {
		t.Errorf("cut after %v\n%s", took, lines)
	}
	r.Close()
}
