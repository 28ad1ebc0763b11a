package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/listen"
)

// Guards against requests that are handled and get no answer since their connection is closed as
// they arrive, with no planned work: as its idle time ends, also when a configuration changes
// it, and as connections of others take its place.
func TestRequestThatCrossesTheCloseOfItsIdleConnectionIsNotHandled(t *testing.T) {
	const (
		shortLimit = 40 * time.Millisecond
		// longLimit replaces shortLimit in every second round, while connections are idle.
		longLimit = time.Minute
		rounds    = 12
		callers   = 100
		// places is the number of connections of the listener. Others open more of them.
		places = callers + 20
	)
	var limit atomic.Int64
	s := startIdleRecorder(t, &limit, places)
	var answered, crossed atomic.Int64
	for round := range rounds {
		limit.Store(int64(shortLimit))
		conns := make([]net.Conn, callers)
		for i := range conns {
			conns[i] = s.dial(t)
		}
		var group sync.WaitGroup
		for i, conn := range conns {
			group.Go(func() {
				reader := bufio.NewReader(conn)
				if exchangeID(conn, reader, "first") != nil {
					return // Its place was taken.
				}
				time.Sleep(shortLimit + rand.N(4*time.Millisecond) - 2*time.Millisecond)
				id := fmt.Sprint(round, "-", i)
				if err := exchangeID(conn, reader, id); err == nil {
					answered.Add(1)
				} else if crossed.Add(1); s.handled(id) {
					t.Errorf("%s was handled and got no answer: %v", id, err)
				}
			})
		}
		time.Sleep(shortLimit / 2)
		if round%2 == 1 {
			limit.Store(int64(longLimit))
		}
		time.Sleep(shortLimit / 2)
		for range places - callers/2 { // They take the places of connections that are idle.
			_ = s.dial(t)
		}
		group.Wait()
		s.closeAll()
	}
	t.Logf("%d requests answered, %d crossed the close", answered.Load(), crossed.Load())
}

// idleRecorder is a server with an idle limit that records which requests it handles.
type idleRecorder struct {
	listener *listen.Listener

	mu    sync.Mutex
	ids   map[string]bool
	conns []net.Conn
}

func startIdleRecorder(t *testing.T, limit *atomic.Int64, places int) *idleRecorder {
	t.Helper()
	l, err := listen.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.LimitWith(listen.NewBudget(1<<30, func(listen.Closed) {}), places)
	s := &idleRecorder{listener: l, ids: map[string]bool{}}
	idle := IdleLimit{Limit: func() time.Duration { return time.Duration(limit.Load()) }}
	server := &http.Server{Handler: s, IdleTimeout: time.Minute, ConnState: func(c net.Conn, state http.ConnState) {
		idle.ConnState(c, state)
		l.ConnState(c, state)
	}}
	go func() { _ = server.Serve(idle.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *idleRecorder) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.ids[r.Header.Get("Id")] = true
	s.mu.Unlock()
	time.Sleep(time.Millisecond) // A close that does not look at the request falls into it.
}

func (s *idleRecorder) handled(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

func (s *idleRecorder) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, conn)
	return conn
}

func (s *idleRecorder) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.conns = nil
}

// exchangeID sends a request and reads the whole answer.
func exchangeID(conn net.Conn, reader *bufio.Reader, id string) error {
	if _, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nId: %s\r\n\r\n", id); err != nil {
		return err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
