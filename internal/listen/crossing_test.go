package listen

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against requests that are handled although their connection is closed without a
// response: they cross the moment in which a drain closes idle connections.
func TestDrainConnectionsHandlesNoRequestThatItCuts(t *testing.T) {
	const (
		rounds  = 30
		callers = 150
	)
	answered, crossed, cut := 0, 0, 0
	for round := range rounds {
		s := startRecorder(t)
		conns := make([]*caller, callers)
		for i := range conns {
			conns[i] = dial(t, s.listener)
			conns[i].write(t, requestFor("first"))
			conns[i].checkAnswered(t)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		drained := make(chan error, 1)
		begin := make(chan struct{})
		go func() {
			<-begin
			drained <- s.listener.DrainConnections(ctx)
		}()
		errs := make([]error, callers)
		var sent sync.WaitGroup
		for i, c := range conns {
			sent.Go(func() {
				<-begin
				time.Sleep(rand.N(drainPollInterval / 4))
				errs[i] = c.exchange(requestFor(fmt.Sprint(round, "-", i)))
			})
		}
		close(begin)
		sent.Wait()
		if err := <-drained; err != nil {
			t.Error(err)
		}
		cancel()
		for i, err := range errs {
			switch handled := s.handled(fmt.Sprint(round, "-", i)); {
			case err == nil:
				answered++
			case handled:
				cut++
			default:
				crossed++
			}
		}
	}
	t.Logf("%d requests answered, %d arrived too late, %d handled and cut", answered, crossed, cut)
	if cut > 0 {
		t.Errorf("%d requests were handled, and their connections were closed without a response", cut)
	}
}

// recorder is a server that records the requests that it handles.
type recorder struct {
	listener *Listener

	mu  sync.Mutex
	ids map[string]bool
}

func startRecorder(t *testing.T) *recorder {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &recorder{listener: l, ids: map[string]bool{}}
	server := &http.Server{ConnState: l.ConnState, Handler: http.HandlerFunc(s.serve)}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	return s
}

func (s *recorder) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.ids[r.Header.Get("Id")] = true
	s.mu.Unlock()
	if r.Header.Get("Id") != "first" {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, "answer")
}

func (s *recorder) handled(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

func requestFor(id string) string { return "GET / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n" }

// exchange sends a request and reads the whole response.
func (c *caller) exchange(request string) error {
	if _, err := io.WriteString(c.Conn, request); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
