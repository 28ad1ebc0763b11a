package soak

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// newServerHarness returns a harness with two engines behind links and no VM.
func newServerHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(Options{})
	t.Cleanup(h.close)
	h.overlaps = newDurationSummary(overlapClasses)
	for range 2 {
		if err := h.addServer(true); err != nil {
			t.Fatal(err)
		}
	}
	return h
}

// beginDraft sends a draft to a server with further headers, as a VM does, and returns
// once the first event has arrived. The returned function reads the rest.
func beginDraft(ctx context.Context, t *testing.T, x *server, r *request, headers map[string]string) (finish func()) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.Address()+r.path(), strings.NewReader(bookBody))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Request-Id", r.id)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(resp.Body, make([]byte, 1)); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d, %v", resp.StatusCode, err)
	}
	return func() {
		_, _ = io.Copy(io.Discard, resp.Body) // A close by the test is an error here.
		_ = resp.Body.Close()
	}
}

// Guards against stand-ins whose records do not show that work ran twice, in either form:
// a draft that starts on a second engine, and one that goes on from its backup while the
// first engine still works on it.
func TestSoakReportsEnginesThatWorkOnOneDraft(t *testing.T) {
	const backupTime = 300 * time.Millisecond
	for name, c := range map[string]struct {
		fromBackup bool
		// closeFirst closes the connection to the first engine before the second send.
		closeFirst bool
		want       bool
	}{
		"second start beside the first":            {false, false, true},
		"second start after the first was closed":  {false, true, true},
		"second engine beside the first":           {true, false, true},
		"second engine after the first was closed": {true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newServerHarness(t)
			first, second := h.servers[0], h.servers[1]
			r := &request{id: "vm-0.1", kind: kindDraft, vm: &vm{name: "vm-0"}}
			h.requests = append(h.requests, r)
			ctx, closeFirst := context.WithCancel(t.Context())
			defer closeFirst()
			finishFirst := beginDraft(ctx, t, first, r, map[string]string{"Kv-Backup": second.Address()})
			time.Sleep(backupTime)
			if c.closeFirst {
				closeFirst()
				finishFirst()
			}
			headers := map[string]string{}
			if c.fromBackup {
				headers["Kv-From"] = second.Address() + "/" + r.id
			}
			finishSecond := beginDraft(t.Context(), t, second, r, headers)
			if !c.closeFirst {
				finishFirst()
			}
			finishSecond()
			h.checkRuns()
			got := h.violations.all()
			if (len(got) > 0) != c.want || c.want && got[0].Invariant != invariantAtMostOnce {
				t.Errorf("violations %v, want any: %t", got, c.want)
			}
		})
	}
}
