package listen

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against resets of connections in the accept queue when the listener is
// closed, which leave callers that have sent a request without a response.
func TestDrainBacklogAcceptsPendingConnections(t *testing.T) {
	const waiting = 8
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var callers []net.Conn
	for range waiting {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "request"); err != nil {
			t.Fatal(err)
		}
		callers = append(callers, c)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "answer")
			_ = c.Close()
		}
	}()
	// The server accepts from the queue while DrainBacklog runs.
	if err := l.DrainBacklog(2 * time.Second); err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	for i, c := range callers {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		if got, _ := io.ReadAll(c); string(got) != "answer" {
			t.Errorf("caller %d got %q", i, got)
		}
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("the listener accepts connections after DrainBacklog")
	}
	if _, err := l.Accept(); err == nil {
		t.Error("Accept returned a connection after Close")
	}
}
