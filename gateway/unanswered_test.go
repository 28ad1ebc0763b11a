package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/listen"
	"github.com/vanillaarch/vanillaarch/internal/testnet"
	"github.com/vanillaarch/vanillaarch/requestbody"
)

// serve serves the gateway over TCP as an entry VM does, and returns a connection of a caller.
func (r *gatewayRig) serve() *net.TCPConn {
	r.t.Helper()
	l, err := listen.Listen("127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	limiter := IdleLimit{Limit: func() time.Duration { return time.Minute }}
	server := &http.Server{
		Handler: r, ConnContext: listen.ConnContext, IdleTimeout: time.Minute,
		ConnState: func(c net.Conn, state http.ConnState) {
			limiter.ConnState(c, state)
			l.ConnState(c, state)
		},
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(limiter.Listener(l))
	}()
	r.t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// checkAnswer reads the first answer on a connection, which must come within a time and have a
// status.
func checkAnswer(t *testing.T, conn net.Conn, patience time.Duration, status int) *http.Response {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if answer.StatusCode != status {
		t.Errorf("status %d, want %d", answer.StatusCode, status)
	}
	return answer
}

// Guards against answers that never come since the body of the refused request does not
// arrive: http.Server reads it first.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	const patience = 3 * time.Second
	for _, c := range []struct{ name, path, framing string }{
		{"unknown route, length", "/none/1", "Content-Length: 100"},
		{"unknown route, chunks", "/none/1", "Transfer-Encoding: chunked"},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := newGatewayRig(t, 1).serve()
			if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: late\r\n%s\r\n\r\n", c.path, c.framing); err != nil {
				t.Fatal(err)
			}
			checkAnswer(t, conn, patience, http.StatusNotFound)
		})
	}
}

// Guards against a connection that is closed without an answer since a handler panics.
func TestPanicIsAnswered(t *testing.T) {
	r := newGatewayRig(t, 1)
	r.acquire = func(dispatch.AdmissionRequest) (dispatch.Ticket, error) { panic("fault") }
	conn := r.serve()
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nModel: m\r\nRequest-Id: panic\r\nContent-Length: 1\r\n\r\nx", streamPath); err != nil {
		t.Fatal(err)
	}
	if answer := checkAnswer(t, conn, time.Second, http.StatusInternalServerError); answer.Header.Get("Request-Id") != "panic" {
		t.Errorf("id %q", answer.Header.Get("Request-Id"))
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if n := r.WaitDrained(ctx); n != 0 {
		t.Errorf("%d requests are still active", n)
	}
}

// Guards against a stream that ends early and looks complete to a caller that has closed only
// its half of the connection.
func TestStreamOfAHalfClosedCallerDoesNotLookComplete(t *testing.T) {
	r := newGatewayRig(t, 1)
	begun := make(chan struct{})
	r.answer = func(_ string, w http.ResponseWriter, request *http.Request) bool {
		w.Header().Set("Response-Signature", "s")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		close(begun)
		select {
		case <-request.Context().Done():
		case <-time.After(time.Second):
			_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
		}
		return true
	}
	conn := r.serve()
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nModel: m\r\nRequest-Id: half\r\nContent-Length: 1\r\n\r\nx", draftPath); err != nil {
		t.Fatal(err)
	}
	<-begun
	time.Sleep(50 * time.Millisecond) // The first event is relayed.
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	if err == nil && !strings.Contains(string(body), "id: 2") {
		t.Errorf("the answer ends as if it were complete: %q", body)
	}
}

// Guards against a refusal that is lost since its connection is reset while the caller still
// sends its body, a part at a time.
func TestSlowCallerGetsItsRefusal(t *testing.T) {
	const (
		parts    = 12
		interval = 100 * time.Millisecond
	)
	conn := newGatewayRig(t, 1).serve()
	if _, err := fmt.Fprintf(conn, "POST /none/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: slow\r\nContent-Length: %d\r\n\r\n", parts); err != nil {
		t.Fatal(err)
	}
	if longest, err := testnet.WriteInParts(conn, parts, interval); err != nil {
		t.Fatalf("body, longest pause of the caller %v: %v", longest, err)
	}
	checkAnswer(t, conn, time.Second, http.StatusNotFound)
}

// Guards against a refused request whose caller is asked to send its body first.
func TestRefusalDoesNotAskForTheBody(t *testing.T) {
	conn := newGatewayRig(t, 1).serve()
	if _, err := io.WriteString(conn, "POST /none/1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 12\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, conn, time.Second, http.StatusNotFound)
}

// panickingCodec is a codec with a fault.
type panickingCodec struct{ edge.Codec }

func (panickingCodec) DecodeRequest(http.Header) edge.RequestInfo { panic("fault") }

// Guards against a connection that is closed without an answer since the head of a request is
// decoded outside of what answers panics.
func TestPanicOfTheCodecIsAnswered(t *testing.T) {
	for name, body := range map[string]string{"body": "x", "late body": ""} {
		t.Run(name, func(t *testing.T) {
			r := newGatewayRig(t, 1)
			r.Edge = panickingCodec{r.Edge}
			conn := r.serve()
			if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n%s", plainPath, body); err != nil {
				t.Fatal(err)
			}
			checkAnswer(t, conn, time.Second, http.StatusInternalServerError)
		})
	}
}

// Guards against a refusal for lack of memory that is not sent since the rest of the body, which
// is dropped, does not arrive: the VM took the end of its own time limit for the caller's leaving.
func TestRefusalForLackOfMemoryOutlivesALateBody(t *testing.T) {
	r := newGatewayRig(t, 1)
	r.requestMemory = requestbody.New(requestbody.Options{LimitBytes: 1})
	conn := r.serve()
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: late\r\nDeadline-Ms: 300\r\nContent-Length: 100\r\n\r\nx", plainPath); err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, conn, 2*time.Second, http.StatusServiceUnavailable)
}

// Guards against a refusal that comes only with the deadline of its request: http.Server waited
// for the rest of a body that the VM had asked for, had no memory for, and that did not arrive.
func TestRefusalAfterContinueDoesNotWaitForTheBody(t *testing.T) {
	const (
		patience  = 3 * time.Second // The deadline is later.
		bodyBytes = 1 << 20
		// firstPart fits into the memory for requests, the whole body does not.
		firstPart, memory = 100 << 10, 256 << 10
	)
	r := newGatewayRig(t, 1)
	r.requestMemory = requestbody.New(requestbody.Options{LimitBytes: memory})
	conn := r.serve()
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: asked\r\nDeadline-Ms: 60000\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", plainPath, bodyBytes); err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, conn, patience, http.StatusContinue)
	if _, err := conn.Write(make([]byte, firstPart)); err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, conn, patience, http.StatusServiceUnavailable)
}
