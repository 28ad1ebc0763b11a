package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// undelimitedHead is the head of a response whose body ends with the connection.
const undelimitedHead = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n"

// postUpload sends a request whose body is larger than the buffers of a loopback connection, so that
// it is still being written when an early response arrives.
func postUpload(t *testing.T, target Target, timeout time.Duration) *HTTPResponse {
	t.Helper()
	const uploadBytes = 16 << 20
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	t.Cleanup(cancel)
	resp, err := newTestClient(t).Do(ctx, target, &HTTPRequest{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {"a"}}, ID: "a", Body: make([]byte, uploadBytes),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(resp.Close)
	return resp
}

// Guards against a body without a length that counts as complete although the connection was reset
// while the request was written: the error is reported to the writer, once, and the reader sees an
// ordinary end.
func TestBodyAfterAFailedWriteIsIncomplete(t *testing.T) {
	reset, wasReset := make(chan struct{}), make(chan struct{})
	target := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, undelimitedHead+"part")
		<-reset
		_ = conn.Close() // Resets the connection, since the upload was not read.
		close(wasReset)
	})
	resp := postUpload(t, target, 10*time.Second)
	close(reset)
	<-wasReset
	if err := resp.upload.wait(); err == nil {
		t.Fatal("the upload was written")
	}
	body, err := io.ReadAll(resp)
	if _, uncertain := errors.Into[*UncertainError](err); !uncertain || !ConnectionLost(err) {
		t.Errorf("%q, %v, want an UncertainError of a lost connection", body, err)
	}
}

// Guards against refusing a sound response without a length: the server reads the whole upload
// before it closes the connection, also if it has answered before.
func TestBodyAfterACompleteWriteIsComplete(t *testing.T) {
	for name, early := range map[string]bool{"after the upload": false, "early": true} {
		t.Run(name, func(t *testing.T) {
			target := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if early {
					_, _ = io.WriteString(conn, undelimitedHead+"whole")
					_ = conn.(*net.TCPConn).CloseWrite()
				}
				_, _ = io.Copy(io.Discard, req.Body)
				if !early {
					_, _ = io.WriteString(conn, undelimitedHead+"whole")
				}
			})
			resp := postUpload(t, target, 10*time.Second)
			if body, err := io.ReadAll(resp); err != nil || string(body) != "whole" {
				t.Errorf("%q, %v", body, err)
			}
		})
	}
}

// Guards against a caller that waits for the end of a write beyond the end of its context.
func TestEndOfContextEndsTheWaitForTheWrite(t *testing.T) {
	target := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, undelimitedHead+"part")
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(2 * time.Second) // Reads nothing, so that the write is blocked.
	})
	resp := postUpload(t, target, 500*time.Millisecond)
	begin := time.Now()
	body, err := io.ReadAll(resp)
	if !errors.Is(err, context.DeadlineExceeded) || time.Since(begin) > time.Second {
		t.Errorf("%q, %v after %v", body, err, time.Since(begin))
	}
}

// Guards against a stream without a length that counts as complete since its connection was reset
// while HasUnread looked for further bytes, which takes the error off the socket.
func TestResetSeenByHasUnreadIsNoEnd(t *testing.T) {
	received := make(chan struct{})
	target := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, undelimitedHead+"part")
		<-received
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	resp, err := newTestClient(t).Do(t.Context(), target, &HTTPRequest{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"X-Id": {"a"}}, ID: "a"})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	part := make([]byte, len("part"))
	if _, err := io.ReadFull(resp, part); err != nil {
		t.Fatal(err)
	}
	close(received)
	for begin := time.Now(); !resp.HasUnread(); time.Sleep(time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatal("the reset did not arrive")
		}
	}
	rest, err := io.ReadAll(resp)
	if _, uncertain := errors.Into[*UncertainError](err); !uncertain || !ConnectionLost(err) {
		t.Errorf("%q, %v, want an UncertainError of a lost connection", rest, err)
	}
}
