package listen

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/testnet"
)

const testRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// startServer serves a listener. Responses close their connection once closing is closed.
func startServer(t *testing.T, held chan struct{}) (l *Listener, closing chan struct{}) {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closing = make(chan struct{})
	server := &http.Server{ConnState: l.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		select {
		case <-closing:
			w.Header().Set("Connection", "close")
		default:
		}
		_, _ = io.WriteString(w, "answer")
	})}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(testnet.HeldListener{Listener: l, Held: held})
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	return l, closing
}

// caller is a connection of a caller.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, l *Listener) *caller {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{c, bufio.NewReader(c)}
}

func (c *caller) write(t *testing.T, s string) {
	t.Helper()
	if _, err := io.WriteString(c, s); err != nil {
		t.Error(err)
	}
}

// checkAnswered reads a response.
func (c *caller) checkAnswered(t *testing.T) {
	t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Errorf("no response: %v", err)
		return
	}
	if body, err := io.ReadAll(resp.Body); string(body) != "answer" {
		t.Errorf("got %q, %v", body, err)
	}
}

// waitForConnections waits until the server has accepted n connections.
func waitForConnections(t *testing.T, l *Listener, n int) {
	t.Helper()
	for begin := time.Now(); len(l.tracked()) != n; time.Sleep(time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatalf("%d connections, want %d", len(l.tracked()), n)
		}
	}
}

// Guards against connections that are closed without a response since the server reads
// their request only after the drain has begun, although it has arrived before.
func TestDrainConnectionsAnswersWhatHasArrived(t *testing.T) {
	open := make(chan struct{})
	close(open)
	for _, test := range []struct {
		name string
		// held is closed after the drain has begun.
		held chan struct{}
		// before and after are sent before and after the drain has begun.
		before, after string
		kept          bool
	}{
		{name: "request on a new connection, not read", held: make(chan struct{}), before: testRequest},
		{name: "request on a new connection, read later", held: open, after: testRequest},
		{name: "part of a header on a new connection", held: open, before: testRequest[:9], after: testRequest[9:]},
		{name: "part of a header on a kept connection", held: open, before: testRequest[:9], after: testRequest[9:], kept: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, closing := startServer(t, test.held)
			c := dial(t, l)
			waitForConnections(t, l, 1)
			if test.kept {
				c.write(t, testRequest)
				c.checkAnswered(t)
			}
			c.write(t, test.before)
			if test.held == open && test.before != "" {
				waitForRead(t, l)
			}
			close(closing)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			drained := make(chan error, 1)
			go func() { drained <- l.DrainConnections(ctx) }()
			<-l.ended
			time.Sleep(5 * drainPollInterval)
			if test.held != open {
				close(test.held)
			}
			c.write(t, test.after)
			c.checkAnswered(t)
			if err := <-drained; err != nil {
				t.Error(err)
			}
		})
	}
}

// waitForRead waits until the server has read from its only connection.
func waitForRead(t *testing.T, l *Listener) {
	t.Helper()
	hasRead := func() bool {
		c := l.tracked()[0]
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.hasRead
	}
	for begin := time.Now(); !hasRead(); time.Sleep(time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatal("the server has not read the request")
		}
	}
}

// Guards against a drain that waits for callers that keep a connection open.
func TestDrainConnectionsClosesIdleOnes(t *testing.T) {
	open := make(chan struct{})
	close(open)
	l, _ := startServer(t, open)
	c := dial(t, l)
	c.write(t, testRequest)
	c.checkAnswered(t)
	ctx, cancel := context.WithTimeout(t.Context(), firstRequestTimeout)
	defer cancel()
	if err := l.DrainConnections(ctx); err != nil {
		t.Errorf("the drain ended with %v", err)
	}
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want the end of the connection", err)
	}
}

// acceptOne returns both ends of a connection.
func acceptOne(t *testing.T) (*caller, *conn) {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	c := dial(t, l)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return c, accepted.(*conn)
}

// Guards against closing a connection whose request has arrived but was not read, and
// against waiting without end for the first request on a connection.
func TestIdleConnection(t *testing.T) {
	c, server := acceptOne(t)
	now := time.Now()
	if server.idle(now.Add(firstRequestTimeout), Notice{}) {
		t.Error("idle before the server waits for a request")
	}
	server.beginRead()
	if server.idle(now, Notice{}) || !server.idle(now.Add(firstRequestTimeout), Notice{}) {
		t.Errorf("new connection: idle at once %v, after the timeout %v", server.idle(now, Notice{}), server.idle(now.Add(firstRequestTimeout), Notice{}))
	}
	server.l.ConnState(server, http.StateIdle)
	if !server.idle(now, Notice{}) {
		t.Error("kept connection without a request is not idle")
	}
	c.write(t, testRequest)
	for begin := time.Now(); !server.hasInput() && time.Since(begin) < 5*time.Second; {
		time.Sleep(time.Millisecond)
	}
	if server.idle(now, Notice{}) {
		t.Error("idle although a request has arrived")
	}
}

// Guards against a header timeout that expires while the process does not run, so that a
// request that has arrived in time gets no response.
func TestReadAfterDeadlineReturnsRequestThatHasArrived(t *testing.T) {
	c, server := acceptOne(t)
	c.write(t, testRequest)
	for begin := time.Now(); !server.hasInput() && time.Since(begin) < 5*time.Second; {
		time.Sleep(time.Millisecond)
	}
	_ = server.SetReadDeadline(time.Unix(1, 0))
	buffer := make([]byte, len(testRequest))
	if n, err := server.Read(buffer); err != nil || string(buffer[:n]) != testRequest {
		t.Errorf("got %q, %v", buffer[:n], err)
	}
	// The rest of a header that began before has the time that the deadline allows.
	c.write(t, testRequest)
	time.Sleep(50 * time.Millisecond)
	if n, err := server.Read(buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("second read: %d bytes, %v", n, err)
	}
}
