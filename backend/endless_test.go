package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// flood writes bytes until the peer closes the connection.
func flood(conn net.Conn, line string) {
	block := []byte(strings.Repeat(line, 64<<10/len(line)))
	for {
		if _, err := conn.Write(block); err != nil {
			return
		}
	}
}

// Guards against a head without end, which the client kept in memory until the
// deadline of the request: one server in trouble could end a VM of 120 MB.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	const most = 8 << 20
	for name, head := range map[string]struct{ begin, line string }{
		"status line":  {"", "x"},
		"header line":  {"HTTP/1.1 200 OK\r\nX-A: ", "x"},
		"header lines": {"HTTP/1.1 200 OK\r\n", "X-Line: some value\r\n"},
		"interim":      {"", "HTTP/1.1 103 Early Hints\r\nX-Line: some value\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			target := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err == nil {
					_, _ = conn.Write([]byte(head.begin))
					flood(conn, head.line)
				}
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			begin := time.Now()
			_, err := get(newTestClient(t), target, "1")
			runtime.ReadMemStats(&after)
			if _, uncertain := errors.Into[*UncertainError](err); !uncertain {
				t.Errorf("got %v, want that the request may have run", err)
			}
			if errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("read for %v, until the deadline", time.Since(begin))
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > most {
				t.Errorf("%d bytes were allocated, want at most %d", n, most)
			}
		})
	}
}

// Guards against an extra answer to a request of a caller that a later call
// without an id on the same connection takes for its own, and against the answer
// to that call which then meets the next request.
func TestCallWithoutIDTakesNoForeignAnswer(t *testing.T) {
	target := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			if id == "" {
				respond(conn, "1", "extra") // Late, when the call is already on the connection.
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nreport")
				continue
			}
			respond(conn, id, "answer")
		}
	})
	x := newTestClient(t)
	if body, err := get(x, target, "1"); err != nil || body != "answer" {
		t.Fatalf("%q, %v", body, err)
	}
	a, err := x.Do(t.Context(), target, &HTTPRequest{Method: http.MethodGet, Target: "/report", Host: "h", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	if body, err := io.ReadAll(a); err != nil || string(body) != "report" {
		t.Errorf("the call got %q, %v", body, err)
	}
}
