package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// Guards against a connection that is closed without an answer since the head of a request takes
// longer to arrive than connections may be idle.
func TestSlowHeadOutlivesTheIdleLimit(t *testing.T) {
	const limit = 200 * time.Millisecond
	limiter := IdleLimit{Limit: func() time.Duration { return limit }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute, ConnState: limiter.ConnState,
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
	}
	go func() { _ = server.Serve(limiter.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for request, pause := range []time.Duration{0, 2 * limit, 0} {
		for _, part := range []string{"GET / HTTP/1.1\r\nHost: h\r\n", "\r\n"} {
			if _, err := fmt.Fprint(conn, part); err != nil {
				t.Fatal(err)
			}
			time.Sleep(pause)
			pause = 0
		}
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d: %v", request, err)
		}
		_ = answer.Body.Close()
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection is not closed after the idle limit: %v", err)
	}
}
