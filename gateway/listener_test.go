package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// serveIdle serves empty answers with an idle limit, and returns a connection of a caller.
func serveIdle(t *testing.T, limit func() time.Duration, server *http.Server) net.Conn {
	t.Helper()
	idle := IdleLimit{Limit: limit}
	server.ConnState = idle.ConnState
	server.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(idle.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against idle connections that are closed too early or too late after the
// operator has changed the idle limit.
func TestIdleLimitFollowsTheConfiguration(t *testing.T) {
	var limit atomic.Int64
	limit.Store(int64(time.Hour))
	conn := serveIdle(t, func() time.Duration { return time.Duration(limit.Load()) }, &http.Server{IdleTimeout: 50 * time.Millisecond})
	reader := bufio.NewReader(conn)
	get := func() error {
		if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return err
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	if err := get(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(150 * time.Millisecond)
	limit.Store(int64(30 * time.Millisecond))
	if err := get(); err != nil {
		t.Errorf("connection closed before the idle limit: %v", err)
	}
	time.Sleep(150 * time.Millisecond)
	if err := get(); err == nil {
		t.Error("connection still open after the idle limit")
	}
}
