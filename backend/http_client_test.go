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

	"github.com/vanillaarch/vanillaarch/internal/testnet"
)

// rawServer starts a TCP server that runs script on each connection.
func rawServer(t *testing.T, script func(conn net.Conn, requests *bufio.Reader)) Target {
	t.Helper()
	return Target{ID: "server", Address: testnet.Serve(t, script)}
}

func respond(w io.Writer, id, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// readRequest reads a request with its body and returns its id.
func readRequest(r *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get("X-Id"), err
}

// answerRequests answers each request on a connection with answer until one can't be
// read.
func answerRequests(r *bufio.Reader, answer func(id string)) {
	for id, err := readRequest(r); err == nil; id, err = readRequest(r) {
		answer(id)
	}
}

func newTestClient(t *testing.T) *HTTPClient {
	client := NewHTTPClient(func(h http.Header) string { return h.Get("X-Id") })
	t.Cleanup(client.Close)
	return client
}

func get(client *HTTPClient, target Target, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := client.Do(ctx, target, &HTTPRequest{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"X-Id": {id}}, ID: id})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// Guards against returning the late response to an earlier request as the response
// to the next request on the same connection.
func TestLateResponsesAreSkipped(t *testing.T) {
	target := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		answerRequests(r, func(id string) {
			if id == "b" {
				respond(conn, "old", "late answer")
			}
			respond(conn, id, "answer to "+id)
		})
	})
	client := newTestClient(t)
	for _, id := range []string{"a", "b", "c"} {
		if body, err := get(client, target, id); err != nil || body != "answer to "+id {
			t.Errorf("%s: %q, %v", id, body, err)
		}
	}
}

// Guards against reusing a connection on which the server has sent data after the
// response, or which it has closed.
func TestDirtyConnectionsAreNotReused(t *testing.T) {
	for name, afterResponse := range map[string]func(net.Conn){
		"extra": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 5\r\n\r\nwrong")
		},
		"close": func(c net.Conn) { _ = c.Close() },
	} {
		var conns atomic.Int32
		target := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
			conns.Add(1)
			answerRequests(r, func(id string) {
				respond(conn, id, "answer to "+id)
				afterResponse(conn)
			})
		})
		client := newTestClient(t)
		for _, id := range []string{"a", "b"} {
			if body, err := get(client, target, id); err != nil || body != "answer to "+id {
				t.Errorf("%s, %s: %q, %v", name, id, body, err)
			}
			time.Sleep(30 * time.Millisecond)
		}
		if conns.Load() != 2 {
			t.Errorf("%s: %d connections, want 2", name, conns.Load())
		}
	}
}

// Guards against accepting a truncated response as complete: a body shorter than
// its Content-Length, a missing last chunk, or a connection reset in a response
// without a length.
func TestTruncatedResponsesAreErrors(t *testing.T) {
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
			t.Errorf("%s: got error %v, want an UncertainError", name, err)
		}
	}
}

// Guards against rejecting a response without a length whose end is marked by the
// regular close of the connection.
func TestResponseDelimitedByConnectionClose(t *testing.T) {
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

// Guards against reusing a connection after a response that arrived before the whole
// request body was sent: the server would read the next request as part of the body.
func TestEarlyResponseClosesConnection(t *testing.T) {
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
	client := newTestClient(t)
	for _, id := range []string{"a", "b"} {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		resp, err := client.Do(ctx, target, &HTTPRequest{
			Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {id}}, ID: id,
			Body: []byte(strings.Repeat("x", 16<<20)),
		})
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp); err != nil || string(body) != "early" {
			t.Errorf("%q, %v", body, err)
		}
		cancel()
	}
	if conns.Load() != 2 {
		t.Errorf("%d connections, want 2", conns.Load())
	}
}

// Guards against resending a request when a reused connection breaks: the server may
// already have processed it.
func TestNoRetryOnBrokenConnection(t *testing.T) {
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
	client := newTestClient(t)
	if _, err := get(client, target, "a"); err != nil {
		t.Fatal(err)
	}
	_, err := get(client, target, "b")
	if _, ok := errors.Into[*UncertainError](err); !ok || requests.Load() != 2 {
		t.Errorf("got error %v after %d requests, want an UncertainError after 2", err, requests.Load())
	}
}

// Guards against reporting a request as possibly sent when the connection was refused.
func TestRefusedConnectionIsNotSentError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	_, err = get(newTestClient(t), Target{ID: "server", Address: l.Addr().String()}, "a")
	if _, ok := errors.Into[*NotSentError](err); !ok {
		t.Errorf("got error %v, want a NotSentError", err)
	}
}
