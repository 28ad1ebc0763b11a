package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/vanillaarch/vanillaarch/dispatch"
)

// observeLog replaces the log of the gateway by one that is kept.
func (r *gatewayRig) observeLog() *observer.ObservedLogs {
	core, logged := observer.New(zapcore.InfoLevel)
	r.Log = zap.New(core)
	return logged
}

// beginStream answers with the head and one event, and then goes on until the request ends.
func beginStream(_ string, w http.ResponseWriter, request *http.Request) bool {
	w.Header().Set("Response-Signature", "s")
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	_ = http.NewResponseController(w).Flush()
	<-request.Context().Done()
	return true
}

// Guards against an accepted request that leaves no end in the log and the counters of its VM, or
// two, or an end without a cause.
func TestEachRequestHasOneEnd(t *testing.T) {
	for _, c := range []struct {
		name, path string
		prepare    func(*gatewayRig)
		// leaves is set if the caller closes its connection before the answer is complete.
		leaves         bool
		outcome, cause string
	}{
		{name: "answered", path: plainPath, outcome: "answered"},
		{name: "refused", path: "/none/1", outcome: "not_run"},
		{name: "panic", path: streamPath, outcome: "unknown", cause: "vm", prepare: func(r *gatewayRig) {
			r.acquire = func(dispatch.AdmissionRequest) (dispatch.Ticket, error) { panic("fault") }
		}},
		{name: "stream, its server breaks off", path: draftPath, outcome: "aborted", cause: "server", prepare: func(r *gatewayRig) {
			r.answer = func(_ string, w http.ResponseWriter, _ *http.Request) bool {
				w.Header().Set("Response-Signature", "s")
				_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
		}},
		{name: "stream, its caller leaves", path: streamPath, leaves: true, outcome: "caller_left", cause: "caller", prepare: func(r *gatewayRig) {
			r.answer = beginStream
		}},
		{name: "its caller leaves before the answer", path: plainPath, leaves: true, outcome: "caller_left", cause: "caller", prepare: func(r *gatewayRig) {
			r.answer = func(_ string, _ http.ResponseWriter, request *http.Request) bool {
				_, _ = io.Copy(io.Discard, request.Body)
				<-request.Context().Done()
				return true
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newGatewayRig(t, 1)
			logged := r.observeLog()
			if c.prepare != nil {
				c.prepare(r)
			}
			conn := r.serve()
			if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nModel: m\r\nRequest-Id: one\r\nContent-Length: 1\r\n\r\nx", c.path); err != nil {
				t.Fatal(err)
			}
			if c.leaves {
				time.Sleep(100 * time.Millisecond) // The request is at its server.
				_ = conn.Close()
			} else if answer, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				_, _ = io.Copy(io.Discard, answer.Body)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if left := r.WaitDrained(ctx); left > 0 {
				t.Errorf("%d requests are active", left)
			}
			if counts := r.Counts(); counts != (Counts{Accepted: 1, Ended: 1}) {
				t.Errorf("%+v", counts)
			}
			ends := logged.FilterMessage("request_done").All()
			if len(ends) != 1 {
				t.Fatalf("%d lines request_done", len(ends))
			}
			fields := ends[0].ContextMap()
			if cause, _ := fields["ended_by"].(string); fields["outcome"] != c.outcome || cause != c.cause {
				t.Errorf("outcome %v, ended by %q, want %s, %q", fields["outcome"], cause, c.outcome, c.cause)
			}
		})
	}
}

// leavingOnFlush is a writer whose caller closes its connection as soon as it has the answer.
type leavingOnFlush struct {
	*httptest.ResponseRecorder
	leave func()
}

func (w leavingOnFlush) Flush() {
	w.ResponseRecorder.Flush()
	w.leave()
	time.Sleep(20 * time.Millisecond) // What watches the caller has run.
}

// Guards against a caller that closes its connection once it has its answer, and counts as one
// that has left before.
func TestCallerThatClosesAfterItsAnswerHasNotLeft(t *testing.T) {
	for path, outcome := range map[string]string{plainPath: "answered", "/none/1": "not_run"} {
		r := newGatewayRig(t, 1)
		logged := r.observeLog()
		ctx, cancel := context.WithCancel(t.Context())
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader("x"))
		request.Host = "h"
		r.ServeHTTP(leavingOnFlush{httptest.NewRecorder(), cancel}, request)
		fields := logged.FilterMessage("request_done").All()[0].ContextMap()
		if fields["outcome"] != outcome || fields["ended_by"] != nil || logged.FilterMessage("caller_left").Len() > 0 {
			t.Errorf("%s: %v", path, fields)
		}
	}
}

// Guards against an answer that the caller never gets, since it reads too late or not at all, and
// that counts as answered: http.Server sends a short one after the handler has returned.
func TestUndeliveredAnswerIsRecorded(t *testing.T) {
	// pipelined answers of answerBytes are more than the buffers of a connection hold.
	const pipelined, answerBytes = 4000, 3000
	r := newGatewayRig(t, 1)
	logged := r.observeLog()
	r.answer = func(_ string, w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Response-Signature", "s")
		_, _ = w.Write(make([]byte, answerBytes))
		return true
	}
	conn := r.serve()
	if err := conn.SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	go func() {
		for i := range pipelined {
			if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 300\r\nRequest-Id: unread-%d\r\n\r\n", plainPath, i); err != nil {
				return
			}
		}
	}()
	ended := func() *observer.ObservedLogs {
		return logged.Filter(func(e observer.LoggedEntry) bool { return e.ContextMap()["ended_by"] == string(endedByTimeLimit) })
	}
	for begin := time.Now(); ended().FilterMessage("request_done").Len() == 0; time.Sleep(50 * time.Millisecond) {
		if time.Since(begin) > 20*time.Second {
			t.Fatalf("%d answers of %d are recorded, none as lost", logged.FilterMessage("request_done").Len(), pipelined)
		}
	}
	if n := ended().FilterMessage("answer_lost").Len(); n != 1 {
		t.Errorf("%d lines answer_lost", n)
	}
}

// Guards against a log that says that a caller has left, although it holds its connection and gets
// the answer that its body did not arrive in time.
func TestCallerOfALateBodyHasNotLeft(t *testing.T) {
	r := newGatewayRig(t, 1)
	logged := r.observeLog()
	conn := r.serve()
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: late\r\nDeadline-Ms: 200\r\nContent-Length: 100\r\n\r\nx", plainPath); err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, conn, 5*time.Second, http.StatusRequestTimeout)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if left := r.WaitDrained(ctx); left > 0 {
		t.Errorf("%d requests are active", left)
	}
	if lines, n := logged.FilterMessage("caller_left").Len(), r.Metrics.callersLeft.Count(); lines+int(n) > 0 {
		t.Errorf("%d lines, %d callers are counted", lines, n)
	}
}
