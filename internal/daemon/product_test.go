package daemon

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// writeConfig writes a configuration of a VM without a platform, and returns its path and the
// address for callers.
func writeConfig(t *testing.T) (path, callers string) {
	t.Helper()
	path, callers = filepath.Join(t.TempDir(), "vm.jsonc"), freeAddress(t)
	content := fmt.Sprintf(`{
  "vm_id": "vm-1", "zone": "z", "region": "r",
  "listen": {"http": %q, "peer": %q},
  "platform": {"kv": "http://%s", "vm_list": "http://%s"},
  "bundle": {"public_keys": ["3b6a27bcceb6a42d62a3a8d02a6f0d73653215771de243a63ac048a18b59da29"]},
  "timeouts": {"drain_notice": "100ms", "drain": "1s"},
}`, callers, freeAddress(t), freeAddress(t), freeAddress(t))
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, callers
}

// awaitStatus waits until a path gives a status.
func awaitStatus(t *testing.T, url string, status int, limit time.Duration) {
	t.Helper()
	got := 0
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		client := http.Client{Timeout: time.Second}
		answer, err := client.Get(url)
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if got = answer.StatusCode; got == status {
			return
		}
	}
	t.Fatalf("%s gives %d, not %d, after %v", url, got, status, limit)
}

// Guards against a process that is ended, with all its requests, by a reload signal, which
// this daemon does not know.
func TestReloadSignalDoesNotEndTheProductsDaemon(t *testing.T) {
	path, callers := writeConfig(t)
	p := startProcess(t, "--config "+path, io.Discard)
	awaitStatus(t, "http://"+callers+"/healthz", http.StatusOK, 10*time.Second)
	p.signal(syscall.SIGHUP)
	p.checkRuns(200 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	if err := <-p.ended; err != nil {
		t.Errorf("the process ended with %v", err)
	}
}

// Guards against a process that is ended by a stop signal which arrives while it starts,
// instead of draining.
func TestStopSignalAtTheStartDrainsTheProductsDaemon(t *testing.T) {
	p, writer := startWithoutSettings(t, "--config")
	p.signal(syscall.SIGTERM)
	p.checkRuns(200 * time.Millisecond)
	if _, err := io.WriteString(writer, "{}"); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	p.checkFails()
}
