package backend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// Guards against a request that is written although its context has ended, over a kept
// connection or over one that was opened before: its caller has left.
func TestNothingIsSentAfterTheContextHasEnded(t *testing.T) {
	const rounds = 100
	var arrived atomic.Int64
	target := rawServer(t, func(conn net.Conn, requests *bufio.Reader) {
		answerRequests(requests, func(id string) {
			arrived.Add(1)
			respond(conn, id, "x")
		})
	})
	client := newTestClient(t)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	request := &HTTPRequest{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"X-Id": {"late"}}, ID: "late"}
	for range rounds {
		if _, err := get(client, target, "kept"); err != nil {
			t.Fatal(err)
		}
		conn, err := client.Connect(t.Context(), target)
		if err != nil {
			t.Fatal(err)
		}
		_, errKept := client.Do(ended, target, request)
		_, errOpened := conn.Do(ended, request)
		for _, err := range []error{errKept, errOpened} {
			if _, notSent := errors.Into[*NotSentError](err); !notSent {
				t.Fatalf("got %v, want a *NotSentError", err)
			}
		}
	}
	time.Sleep(50 * time.Millisecond)
	if n := arrived.Load(); n != rounds {
		t.Errorf("%d requests arrived after their context had ended", n-rounds)
	}
}
