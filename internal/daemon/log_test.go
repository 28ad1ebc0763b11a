package daemon

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against requests that wait for ever since nobody reads the log of the daemon.
func TestStalledLogDoesNotHoldRequests(t *testing.T) {
	// More lines than a pipe holds.
	const (
		requests = 1000
		patience = 2 * time.Second
	)
	callers := freeAddress(t)
	path := filepath.Join(t.TempDir(), "vm.jsonc")
	content := fmt.Sprintf(`{"vm_id": "vm", "zone": "z", "region": "r", "listen": {"http": %q, "peer": %q},
		"platform": {"kv": "http://%s", "vm_list": "http://%s"}}`, callers, freeAddress(t), freeAddress(t), freeAddress(t))
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	startProcess(t, "--config "+path, writer)
	_ = writer.Close()
	awaitReadiness(t, callers+"/readyz", "no bundle", 10*time.Second)
	client := &http.Client{Timeout: patience}
	for i := range requests {
		answer, err := client.Post("http://"+callers+"/v1/completions", "application/json", strings.NewReader("{}"))
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		_ = answer.Body.Close()
	}
}
