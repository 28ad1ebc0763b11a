package listen

import (
	"net"
	"net/http"
	"os"
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
	callers := queueCallers(t, l, waiting)
	restore := forbidDescriptors(t)
	time.AfterFunc(lack, restore)
	drained := make(chan error, 1)
	go func() { drained <- l.DrainBacklog(2 * time.Second) }()
	time.Sleep(lack / 2) // A drain that gives up has closed the listener by now.
	go answerEach(l)
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	checkAnswers(t, callers)
}

// Guards against a VM that says it is ready and takes no more connections, since accept failed
// once for lack of memory.
func TestServerOutlivesALackOfMemoryAtAccept(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failures := 2
	l.acceptTCP = func() (*net.TCPConn, error) {
		if failures > 0 {
			failures--
			return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", unix.ENOMEM)}
		}
		return l.AcceptTCP()
	}
	server := &http.Server{Handler: http.NotFoundHandler(), ConnState: l.ConnState}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	client := http.Client{Timeout: 2 * time.Second}
	answer, err := client.Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatalf("no answer: %v; the server: %v", err, <-served)
	}
	_ = answer.Body.Close()
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
