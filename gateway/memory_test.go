package gateway

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/membudget"
	"github.com/vanillaarch/vanillaarch/requestbody"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Guards against a faulty server whose open answers hold the memory for answers: answers of sound
// servers that need more than the part that does not count failed until it closed them.
func TestOpenAnswersGiveWayToSoundOnes(t *testing.T) {
	const (
		// open answers of openBytes hold 0.75 MB each, as the sound one does, since a buffer
		// and the next larger one exist together.
		open, openBytes, soundBytes = 6, 400 << 10, 300 << 10
		// answerBytes is what each open answer holds, heldBytes what must be reserved before the
		// last one is sent: all of the others, since with the last one still growing both could
		// be refused. The budget of the rig is 4 MB.
		answerBytes = 750 << 10
		heldBytes   = (open - 1) * answerBytes
	)
	sound := strings.Repeat("x", soundBytes)
	for kind, test := range map[string]struct {
		path, faulty, sound, begin, answer string
	}{
		"body":  {plainPath, "desk-0", "desk-1", "", sound},
		"event": {streamPath, "engine-0", "engine-1", "id: 1\ndata: ", "id: 1\ndata: " + sound + "\n\n"},
	} {
		t.Run(kind, func(t *testing.T) {
			r, done := newGatewayRig(t, 2), make(chan struct{})
			r.answer = func(id string, w http.ResponseWriter, request *http.Request) bool {
				w.Header().Set("Response-Signature", "s")
				if id == test.sound {
					w.Header().Set("Content-Length", strconv.Itoa(len(test.answer)))
					_, _ = w.Write([]byte(test.answer))
					return true
				}
				_, _ = w.Write([]byte(test.begin + strings.Repeat("x", openBytes)))
				_ = http.NewResponseController(w).Flush()
				select {
				case <-request.Context().Done():
				case <-done:
				}
				return true
			}
			lines := r.rigLog()
			r.setTimeLimit(test.path, rigTimeLimit)
			both := r.Snapshot()
			r.listOnly(test.faulty)
			var group sync.WaitGroup
			limit := time.Now().Add(rigTimeLimit / 2)
			// One after the other: two that grow at once can both be refused for what the other holds.
			for n := range open {
				group.Go(func() { r.sendWhileRunning(test.path, limit) })
				for r.answerBudget.Used() < min(int64(n+1)*answerBytes, heldBytes) && time.Now().Before(limit) {
					time.Sleep(time.Millisecond)
				}
			}
			if used := r.answerBudget.Used(); used < heldBytes {
				t.Errorf("open answers hold %d bytes, want %d", used, heldBytes)
			}
			// The last answer is refused since its own server holds the most, which is a
			// failure of that server.
			for kind == "event" && r.failures() == 0 {
				if time.Now().After(limit) {
					t.Error("no failure of the engine that exhausts the memory was reported")
					break
				}
				time.Sleep(time.Millisecond)
			}
			r.setSnapshot(both)
			find := func(id string) vmlist.VM { return r.Snapshot().Backends[id] }
			r.known.announcePause(find(test.faulty), time.Minute)
			got := r.sendWhileRunning(test.path, limit)
			if got.Code != http.StatusOK || got.Body.String() != test.answer {
				t.Errorf("sound answer: status %d, %d bytes, want %d", got.Code, got.Body.Len(), len(test.answer))
			}
			// An answer that gave way is counted when its request ends, unless its server ends it first.
			for r.Metrics.answersEvicted.Count() == 0 && time.Now().Before(limit) {
				time.Sleep(time.Millisecond)
			}
			close(done)
			group.Wait()
			if used := r.answerBudget.Used(); used != 0 {
				t.Errorf("%d bytes are still reserved", used)
			}
			if n := r.Metrics.answersEvicted.Count(); n == 0 {
				t.Error("no answer gave way")
			}
			if t.Failed() {
				t.Log(lines.String())
			}
		})
	}
}

// Guards against callers that do not read their answer: it was held for as long as they kept the
// connection, far beyond their deadline, and two of 8 MB took the memory for all answers.
func TestAnswersThatAreNotReadAreGivenUp(t *testing.T) {
	const (
		// answerBytes is more than the kernel takes for a connection that is not read.
		answerBytes = 8<<20 - 1
		timeout     = 300 * time.Millisecond
		limit       = 3 * time.Second
	)
	r := newGatewayRig(t, 1)
	r.answerBudget = membudget.New(64<<20, uncountedResponseBytes)
	r.answer = func(_ string, w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Response-Signature", "s")
		_, _ = w.Write(make([]byte, answerBytes))
		return true
	}
	front := httptest.NewServer(r)
	defer front.Close()
	conn, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	begin := time.Now()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: slow-caller\r\nDeadline-Ms: %d\r\n\r\n", plainPath, timeout.Milliseconds()); err != nil {
		t.Fatal(err)
	}
	for held := false; !held || r.answerBudget.Used() > 0; held = held || r.answerBudget.Used() > answerBytes/2 {
		if time.Since(begin) > limit {
			t.Fatalf("%d bytes are still held %v after a request with a deadline of %v", r.answerBudget.Used(), limit, timeout)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against budgets that together leave too little for the process itself, 19 MB at rest, and
// for garbage: with 0.725 of the memory, both budgets full took a VM of 120 MB to 120 MB. A burst of
// 16 bodies of 4 MB must still fit.
func TestBudgetsLeaveMemoryForTheProcess(t *testing.T) {
	const (
		vmBytes      = 120 << 20
		processBytes = 43 << 20
		burst        = 16
		bodyBytes    = 4 << 20
	)
	requests, answers := newRequestMemory(vmBytes), newAnswerBudget(vmBytes)
	if left := vmBytes - requests.Limit() - answers.Limit(); left < processBytes {
		t.Errorf("%d MB are left for the process", left>>20)
	}
	for i := range burst {
		body := requestbody.Body{Reader: bytes.NewReader(make([]byte, bodyBytes)), Length: bodyBytes, Limit: bodyBytes, End: func() {}}
		request := requests.Reserve("")
		if _, err := request.Read(t.Context(), requestBaseBytes, body); err != nil {
			t.Fatalf("body %d: %v", i, err)
		}
		defer request.Release()
	}
}
