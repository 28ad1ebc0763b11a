package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// closeHalf sends a request with a body of a byte, and closes that half of the connection once
// sent is closed.
func (r *gatewayRig) closeHalf(path string, sent <-chan struct{}) io.ReadWriteCloser {
	r.t.Helper()
	conn := r.serve()
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nModel: m\r\nRequest-Id: half\r\nContent-Length: 1\r\n\r\nx", path); err != nil {
		r.t.Fatal(err)
	}
	<-sent
	if err := conn.CloseWrite(); err != nil {
		r.t.Fatal(err)
	}
	return conn
}

// Guards against requests that end without any answer since their caller has closed its half of
// the connection, while it waits for the answer.
func TestHalfClosedCallerIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name, path string
		// answers is set if the server answers once the caller has closed its half.
		answers bool
		status  int
	}{
		{"safe request", plainPath, false, http.StatusBadGateway},
		{"order, answered", orderPath, true, http.StatusOK},
		{"stream before its first event", streamPath, false, http.StatusBadGateway},
		{"stream that may be resumed, before its first event", draftPath, false, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newGatewayRig(t, 1)
			begun := make(chan struct{})
			r.answer = func(_ string, w http.ResponseWriter, request *http.Request) bool {
				_, _ = io.Copy(io.Discard, request.Body) // Else the end of the connection is not noticed.
				close(begun)
				if c.answers {
					time.Sleep(100 * time.Millisecond)
					w.Header().Set("Response-Signature", "s")
					_, _ = io.WriteString(w, "answer")
					return true
				}
				select {
				case <-request.Context().Done():
				case <-time.After(3 * time.Second):
				}
				return true
			}
			conn := r.closeHalf(c.path, begun)
			r.checkHalfClosed(conn, c.status)
		})
	}
}

// checkHalfClosed checks the answer to a caller that has closed its half of the connection.
func (r *gatewayRig) checkHalfClosed(conn io.ReadWriteCloser, status int) {
	r.t.Helper()
	all, err := io.ReadAll(conn)
	if got := statusOf(all); got != status {
		r.t.Errorf("status %d, want %d: %q, %v", got, status, all, err)
	}
}

func statusOf(answer []byte) (status int) {
	_, _ = fmt.Sscanf(string(answer), "HTTP/1.1 %d", &status)
	return status
}

// Guards against a refusal that is not sent, or that is untrue, if the caller closes its half of
// the connection with its request: nothing was sent to a server, and nothing is.
func TestHalfClosedCallerIsToldThatItsRequestDidNotRun(t *testing.T) {
	for _, c := range []struct {
		path, body string
		status     int
	}{
		{plainPath, "x", http.StatusServiceUnavailable},
		{orderPath, "x", http.StatusServiceUnavailable},
		{streamPath, "x", http.StatusServiceUnavailable},
		{orderPath, "", http.StatusRequestTimeout},
	} {
		t.Run(c.path+c.body, func(t *testing.T) {
			r := newGatewayRig(t, 1)
			l, release := r.serveHeld()
			conn := dialNarrow(t, l.Addr())
			if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nModel: m\r\nRequest-Id: half\r\nContent-Length: 1\r\n\r\n%s", c.path, c.body); err != nil {
				t.Fatal(err)
			}
			if err := conn.(interface{ CloseWrite() error }).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // The end of the caller's half arrives.
			release()
			r.checkHalfClosed(conn, c.status)
			if n := r.arrived(); n != 0 {
				t.Errorf("%d requests were sent", n)
			}
		})
	}
}
