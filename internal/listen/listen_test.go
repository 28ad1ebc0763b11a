package listen

import (
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// queueCallers opens connections that have sent a request and wait in the accept queue.
func queueCallers(t *testing.T, l net.Listener, count int) []net.Conn {
	t.Helper()
	var callers []net.Conn
	for range count {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := io.WriteString(c, "request"); err != nil {
			t.Fatal(err)
		}
		callers = append(callers, c)
	}
	return callers
}

// answerEach answers each connection until the listener is closed.
func answerEach(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "answer")
		_ = c.Close()
	}
}

// checkAnswers checks that each caller gets the answer within a second.
func checkAnswers(t *testing.T, callers []net.Conn) {
	t.Helper()
	for i, c := range callers {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		if got, _ := io.ReadAll(c); string(got) != "answer" {
			t.Errorf("caller %d got %q", i, got)
		}
	}
}

// Guards against resets of connections in the accept queue when the listener is
// closed, which leave callers that have sent a request without a response.
func TestDrainBacklogAcceptsPendingConnections(t *testing.T) {
	const waiting = 8
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	callers := queueCallers(t, l, waiting)
	go answerEach(l)
	// The server accepts from the queue while DrainBacklog runs.
	if err := l.DrainBacklog(2 * time.Second); err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	checkAnswers(t, callers)
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("the listener accepts connections after DrainBacklog")
	}
	if _, err := l.Accept(); err == nil {
		t.Error("Accept returned a connection after Close")
	}
}

// Guards against resets of connections that callers open while the backlog is drained. With
// a backlog of one connection, the last packet of a handshake often found the queue full:
// the caller had sent its request, and the kernel reset its connection with the listener.
func TestDrainBacklogUnderLoad(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", ":0"} {
		t.Run(address, func(t *testing.T) {
			const callers, load = 32, 100 * time.Millisecond
			l, err := Listen(address)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						_, _ = io.ReadFull(c, make([]byte, len("request")))
						_, _ = io.WriteString(c, "answer")
					}()
				}
			}()
			var answered atomic.Int64
			var wg sync.WaitGroup
			port := l.Addr().(*net.TCPAddr).Port
			for range callers {
				wg.Go(func() {
					for {
						c, err := net.Dial("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
						if err != nil {
							return
						}
						_, _ = io.WriteString(c, "request")
						if got, err := io.ReadAll(c); string(got) != "answer" {
							t.Errorf("an accepted request got %q, %v", got, err)
						}
						_ = c.Close()
						answered.Add(1)
					}
				})
			}
			time.Sleep(load)
			if err := l.DrainBacklog(5 * time.Second); err != nil {
				t.Error(err)
			}
			if err := l.Close(); err != nil {
				t.Error(err)
			}
			wg.Wait()
			if answered.Load() < callers {
				t.Errorf("only %d requests", answered.Load())
			}
		})
	}
}
