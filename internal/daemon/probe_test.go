package daemon

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against a VM whose readiness probes are never answered again, since the server for them
// writes an error to a standard error that nobody reads.
func TestProbesOutliveALackOfDescriptorsBesideAStalledLog(t *testing.T) {
	settings, ready := writeSettings(t)
	p := startDaemon(t, settings, fullPipe(t))
	awaitReadiness(t, ready, withoutConfiguration, 10*time.Second)
	http.DefaultClient.CloseIdleConnections() // The next probe needs a new one.
	var before unix.Rlimit
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		t.Fatal(err)
	}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 3, Max: before.Max}, nil); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", ready)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	time.Sleep(100 * time.Millisecond) // The accept fails.
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &before, nil); err != nil {
		t.Fatal(err)
	}
	awaitReadiness(t, ready, withoutConfiguration, 5*time.Second)
}

// fullPipe returns the end for writing of a pipe that holds as much as it can.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = reader.Close(), writer.Close() })
	for _, size := range []int{4096, 1} {
		for {
			_ = writer.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
			if _, err := writer.Write(make([]byte, size)); err != nil {
				break
			}
		}
	}
	return writer
}
