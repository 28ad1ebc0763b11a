package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// rawServer answers each connection with a script.
func rawServer(t *testing.T, script func(conn net.Conn, requests *bufio.Reader)) Target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return Target{ID: "server", Address: l.Addr().String()}
}

func respond(w io.Writer, id, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// readRequest reads a request and returns its id.
func readRequest(r *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get("X-Id"), err
}

func newTestClient(t *testing.T) *HTTPClient {
	x := NewHTTPClient(func(h http.Header) string { return h.Get("X-Id") })
	t.Cleanup(x.Close)
	return x
}

func get(x *HTTPClient, target Target, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, err := x.Do(ctx, target, &HTTPRequest{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"X-Id": {id}}, ID: id})
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

// Guards against an answer to an earlier request that is taken for the one to
// the next request on the same connection.
func TestLateAnswersAreSkipped(t *testing.T) {
	target := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			if id == "b" {
				respond(conn, "old", "late answer")
			}
			respond(conn, id, "answer to "+id)
		}
	})
	x := newTestClient(t)
	for _, id := range []string{"a", "b", "c"} {
		if body, err := get(x, target, id); err != nil || body != "answer to "+id {
			t.Errorf("%s: %q, %v", id, body, err)
		}
	}
}

// Guards against a connection that is used again although its server has sent
// more than the answer, or has closed it.
func TestSpoiltConnectionsAreNotReused(t *testing.T) {
	for name, spoil := range map[string]func(net.Conn){
		"extra": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 5\r\n\r\nwrong")
		},
		"close": func(c net.Conn) { _ = c.Close() },
	} {
		var conns atomic.Int32
		target := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
			conns.Add(1)
			for {
				id, err := readRequest(r)
				if err != nil {
					return
				}
				respond(conn, id, "answer to "+id)
				spoil(conn)
			}
		})
		x := newTestClient(t)
		for _, id := range []string{"a", "b"} {
			if body, err := get(x, target, id); err != nil || body != "answer to "+id {
				t.Errorf("%s, %s: %q, %v", name, id, body, err)
			}
			time.Sleep(30 * time.Millisecond)
		}
		if conns.Load() != 2 {
			t.Errorf("%s: %d connections", name, conns.Load())
		}
	}
}

// Guards against answers that look complete although they were cut: by a length
// that is not reached, a missing last chunk, or a reset without a length.
func TestCutAnswersAreErrors(t *testing.T) {
	for name, head := range map[string]string{
		"length": "Content-Length: 100\r\n\r\nabc",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"reset":  "Connection: close\r\n\r\nabc",
	} {
		target := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n"+head)
			time.Sleep(30 * time.Millisecond)
			if name == "reset" {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		_, err := get(newTestClient(t), target, "a")
		if _, ok := errors.Into[*UncertainError](err); !ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against an answer without a length that is not accepted although its
// connection ended well.
func TestAnswerUntilTheEndOfItsConnection(t *testing.T) {
	target := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		id, err := readRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\nabc")
	})
	if body, err := get(newTestClient(t), target, "a"); err != nil || body != "abc" {
		t.Errorf("%q, %v", body, err)
	}
}

// Guards against a connection that is used again while the rest of a long body
// is due, so that the server reads the next request as a part of it.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	var conns atomic.Int32
	target := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		conns.Add(1)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		respond(conn, req.Header.Get("X-Id"), "early")
		time.Sleep(100 * time.Millisecond)
	})
	x := newTestClient(t)
	for _, id := range []string{"a", "b"} {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		a, err := x.Do(ctx, target, &HTTPRequest{
			Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {id}}, ID: id,
			Body: []byte(strings.Repeat("x", 16<<20)),
		})
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(a); err != nil || string(body) != "early" {
			t.Errorf("%q, %v", body, err)
		}
		cancel()
	}
	if conns.Load() != 2 {
		t.Errorf("%d connections", conns.Load())
	}
}

// Guards against a request that is sent a second time when a reused connection
// breaks: the server may have run it.
func TestNothingIsSentTwice(t *testing.T) {
	var requests atomic.Int32
	target := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil || requests.Add(1) > 1 {
				return
			}
			respond(conn, id, "answer")
		}
	})
	x := newTestClient(t)
	if _, err := get(x, target, "a"); err != nil {
		t.Fatal(err)
	}
	_, err := get(x, target, "b")
	if _, ok := errors.Into[*UncertainError](err); !ok || requests.Load() != 2 {
		t.Errorf("%v after %d requests", err, requests.Load())
	}
}

// Guards against a failed connection that counts as a request that was sent.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	_, err = get(newTestClient(t), Target{ID: "server", Address: l.Addr().String()}, "a")
	if _, ok := errors.Into[*NotSentError](err); !ok {
		t.Error(err)
	}
}
