package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// dialNarrow opens a connection with a small window.
func dialNarrow(t *testing.T, address net.Addr) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	c, err := dialer.DialContext(t.Context(), "tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against an answer of a server that has run the request and that the caller never gets
// whole: the VM stops, closes the connection after the answer, and the caller has sent its next
// request meanwhile.
func TestStopDeliversAnAnswerInFlight(t *testing.T) {
	const size = 1 << 20
	r := newGatewayRig(t, 1)
	begun, proceed := make(chan struct{}), make(chan struct{})
	r.answer = func(_ string, w http.ResponseWriter, _ *http.Request) bool {
		close(begun)
		<-proceed
		w.Header().Set("Response-Signature", "s")
		_, _ = w.Write(make([]byte, size))
		return true
	}
	conn := dialNarrow(t, r.serve().RemoteAddr())
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nContent-Length: 1\r\n\r\nx", orderPath); err != nil {
		t.Fatal(err)
	}
	<-begun
	r.BeginDrain(10 * time.Second)
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: b\r\nContent-Length: 1\r\n\r\nx", orderPath); err != nil {
		t.Fatal(err)
	}
	close(proceed)
	time.Sleep(300 * time.Millisecond)
	answer := checkAnswer(t, conn, 10*time.Second, http.StatusOK)
	if n, err := io.Copy(io.Discard, answer.Body); n != size {
		t.Errorf("got %d of %d bytes of the answer: %v", n, size, err)
	}
}

// Guards against a refusal that is lost since the caller first sends its body of usual size to its
// end, and its connection is reset meanwhile.
func TestRefusalOfALargeBodyReachesItsCaller(t *testing.T) {
	const size = 4_000_000
	for _, framing := range []string{"length", "chunks"} {
		t.Run(framing, func(t *testing.T) {
			conn := newGatewayRig(t, 1).serve()
			_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
			_ = conn.SetWriteBuffer(16 << 10) // Most of the body is sent only as it is read.
			head := "POST /none/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: large\r\n"
			body := strings.Repeat("x", size)
			if framing == "length" {
				head += fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
			} else {
				head, body = head+"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, body)
			}
			if _, err := io.WriteString(conn, head); err != nil {
				t.Fatal(err)
			}
			if err := writePaced(conn, body); err != nil {
				t.Fatalf("body: %v", err)
			}
			checkAnswer(t, conn, time.Second, http.StatusNotFound)
		})
	}
}

// writePaced writes a body over about a second, longer than http.Server waits before it closes
// a connection whose body it does not read.
func writePaced(conn net.Conn, body string) error {
	const part = 200_000
	for len(body) > 0 {
		n := min(part, len(body))
		if _, err := io.WriteString(conn, body[:n]); err != nil {
			return err
		}
		body = body[n:]
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}
