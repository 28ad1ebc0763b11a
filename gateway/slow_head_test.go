package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// Guards against a connection that is closed without an answer since the head of a request takes
// longer to arrive than connections may be idle.
func TestSlowHeadOutlivesTheIdleLimit(t *testing.T) {
	const limit = 200 * time.Millisecond
	conn := serveIdle(t, func() time.Duration { return limit }, &http.Server{IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute})
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
