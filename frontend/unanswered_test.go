package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/testnet"
)

// serve serves the frontend over TCP, and returns a connection of a caller.
func (r *rig) serve() net.Conn {
	r.t.Helper()
	s := httptest.NewServer(r.handler)
	r.t.Cleanup(s.CloseClientConnections)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against answers that never come since the body of the request does not arrive:
// http.Server reads it first, also after a read of it has timed out.
func TestLateBodyOfCallIsRefused(t *testing.T) {
	const patience = 3 * time.Second
	for _, c := range []struct {
		name, key string
		status    int
	}{
		{"unknown key", "other", http.StatusUnauthorized},
		{"late body", "key", http.StatusRequestTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 1)
			r.Config.Timeouts.Body = config.Duration(100 * time.Millisecond)
			conn := r.serve()
			if _, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n", c.key); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(patience))
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if answer.StatusCode != c.status {
				t.Errorf("status %d, want %d", answer.StatusCode, c.status)
			}
		})
	}
}

// panickingAdmission is an admission with a fault.
type panickingAdmission struct{ dispatch.Admission }

// Guards against a connection that is closed without an answer since a handler panics.
func TestPanicOfFrontendIsAnswered(t *testing.T) {
	r := newRig(t, 1)
	r.Admission = panickingAdmission{}
	conn := r.serve()
	const body = `{"model":"m","prompt":"x"}`
	if _, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if answer.StatusCode != http.StatusInternalServerError {
		t.Errorf("status %d", answer.StatusCode)
	}
	if active := r.Active(); len(active) != 0 {
		t.Errorf("requests %v are still active", active)
	}
}

// streamSlowly makes the engine send an event, pause, and send the rest of its stream.
func (r *rig) streamSlowly(pause time.Duration, begun func()) {
	r.answer = func(_ string, w http.ResponseWriter) bool {
		w.Header().Set("Content-Type", "text/event-stream")
		r.mu.Lock()
		generation := r.generation
		r.mu.Unlock()
		_, _ = fmt.Fprintf(w, "id: %s:1\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n", generation)
		_ = http.NewResponseController(w).Flush()
		begun()
		time.Sleep(pause)
		_, _ = fmt.Fprintf(w, "id: %s:2\ndata: {\"choices\":[{\"text\":\"b\"}]}\n\ndata: %s\n\n", generation, api.DoneMarker)
		return true
	}
}

// Guards against a resumed stream that is cut after the time for which an answer waits for a
// body that no handler reads.
func TestResumeWithABodyIsNotCut(t *testing.T) {
	r := newRig(t, 1)
	r.streamSlowly(time.Second, func() {})
	conn := r.serve()
	id := api.NewGenerationID("engine-0", "o").String()
	if _, err := fmt.Fprintf(conn, "GET /v1/generations/%s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: 2\r\n\r\n{}", id); err != nil {
		t.Fatal(err)
	}
	if body, err := readAnswer(conn); err != nil || !strings.Contains(body, api.DoneMarker) {
		t.Errorf("error %v, answer %q", err, body)
	}
}

// Guards against a stream that ends early and looks complete to a caller that has closed only
// its half of the connection.
func TestStreamOfAHalfClosedCallerOfTheFrontendDoesNotLookComplete(t *testing.T) {
	r := newRig(t, 1)
	begun := make(chan struct{}, 1)
	r.streamSlowly(time.Second, func() {
		select {
		case begun <- struct{}{}:
		default:
		}
	})
	conn := r.serve()
	const body = `{"model":"m","prompt":"x","stream":true}`
	if _, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		t.Fatal(err)
	}
	<-begun
	time.Sleep(50 * time.Millisecond) // The first event is relayed.
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if got, err := readAnswer(conn); err == nil && !strings.Contains(got, api.DoneMarker) {
		t.Errorf("the answer ends as if it were complete: %q", got)
	}
}

// Guards against refusals of unknown paths that never come since the body does not arrive.
func TestRefusalOfAnUnknownPathDoesNotWaitForTheBody(t *testing.T) {
	conn := newRig(t, 1).serve()
	if _, err := io.WriteString(conn, "POST /none HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := readAnswer(conn); err != nil {
		t.Errorf("no answer: %v", err)
	}
}

func readAnswer(conn net.Conn) (string, error) {
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

// Guards against a refusal that is lost since its connection is reset while the caller still
// sends its body, a part at a time.
func TestSlowCallerOfTheFrontendGetsItsRefusal(t *testing.T) {
	const (
		parts    = 12
		interval = 100 * time.Millisecond
	)
	for _, path := range []string{"/v1/completions", "/none"} {
		conn := newRig(t, 1).serve()
		if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, parts); err != nil {
			t.Fatal(err)
		}
		if longest, err := testnet.WriteInParts(conn, parts, interval); err != nil {
			t.Fatalf("%s: body, longest pause of the caller %v: %v", path, longest, err)
		}
		if _, err := readAnswer(conn); err != nil {
			t.Errorf("%s: no answer: %v", path, err)
		}
	}
}

// Guards against a refusal that waits for the rest of its body until the VM, which has drained,
// closes the connection.
func TestSlowCallerIsRefusedBeforeADrainedVMCloses(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		// closes is when a VM that has drained closes its connections.
		closes = 2 * time.Second
	)
	r := newRig(t, 1)
	conn := r.serve()
	r.Drain(t.Context())
	if _, err := io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(interval):
				_, _ = io.WriteString(conn, "x")
			}
		}
	}()
	_ = conn.SetReadDeadline(time.Now().Add(closes))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d", answer.StatusCode)
	}
}

// Guards against a refusal that is lost late in a drain, since it does not wait for a body that
// is about to arrive.
func TestSlowCallerIsRefusedLateInADrain(t *testing.T) {
	const (
		parts    = 5
		interval = drainedBodyWait / 10
	)
	r := newRig(t, 1)
	conn := r.serve()
	r.Drain(t.Context())
	time.Sleep(drainedBodyWait + interval)
	if _, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", parts); err != nil {
		t.Fatal(err)
	}
	for i := range parts {
		time.Sleep(interval)
		if _, err := io.WriteString(conn, "x"); err != nil {
			t.Fatalf("part %d: %v", i, err)
		}
	}
	if _, err := readAnswer(conn); err != nil {
		t.Errorf("no answer: %v", err)
	}
}
