package listen

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against resets of connections in the accept queue while a VM that stops has no free
// descriptor.
func TestQueuedConnectionsOutliveALackOfDescriptors(t *testing.T) {
	const (
		waiting = 8
		lack    = 100 * time.Millisecond
	)
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
	restore := forbidDescriptors(t)
	time.AfterFunc(lack, restore)
	drained := make(chan error, 1)
	go func() { drained <- l.DrainBacklog(2 * time.Second) }()
	time.Sleep(lack / 2) // A drain that gives up has closed the listener by now.
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
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	for i, c := range callers {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		if got, _ := io.ReadAll(c); string(got) != "answer" {
			t.Errorf("caller %d got %q", i, got)
		}
	}
}

// forbidDescriptors makes the process unable to open descriptors until restore is called.
func forbidDescriptors(t *testing.T) (restore func()) {
	t.Helper()
	var before unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	restore = func() {
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &before); err != nil {
			t.Error(err)
		}
	}
	t.Cleanup(restore)
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 3, Max: before.Max}); err != nil {
		t.Fatal(err)
	}
	return restore
}
