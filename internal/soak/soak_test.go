package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// daemonDir is the directory of the daemon, "" if no test has built it.
var daemonDir string

// buildDaemon returns the path of vanillaarchd, built once.
var buildDaemon = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak-daemon-")
	if err != nil {
		return "", err
	}
	daemonDir = dir
	path := filepath.Join(dir, "vanillaarchd")
	out, err := exec.Command("go", "build", "-o", path, "github.com/vanillaarch/vanillaarch/cmd/vanillaarchd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if daemonDir != "" {
		_ = os.RemoveAll(daemonDir)
	}
	os.Exit(code)
}

// runSeed runs a seed and fails the test for each broken promise.
func runSeed(t *testing.T, seed uint64, duration time.Duration) {
	t.Helper()
	daemon, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	r, err := Run(context.Background(), Options{
		Seed: seed, Duration: duration, VMs: 3, Engines: 3, Desks: 3, Daemon: daemon, Dir: dir,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d faults, answers %v", seed, len(r.Faults), r.Outcomes)
	for _, v := range r.Violations {
		t.Errorf("seed %d: %v", seed, v)
	}
	if t.Failed() {
		t.Logf("faults:\n%s", strings.Join(r.Faults, "\n"))
	}
}

// Guards against promises that are broken when faults of processes, links, store
// and backend servers come in series and overlap.
func TestShortSoak(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, 8*time.Second)
		})
	}
}

// Plays the seeds that have failed once.
func TestRegressionSeeds(t *testing.T) {
	f, err := os.Open("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 3 || fields[0] == "#" {
			continue
		}
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		duration, err := time.ParseDuration(fields[1])
		if err != nil {
			t.Fatal(err)
		}
		t.Run(fields[0], func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, duration)
		})
	}
}

// Guards against a seed that does not give the same schedule again.
func TestScheduleFollowsFromItsSeed(t *testing.T) {
	a, b := schedule(7, 30*time.Second), schedule(7, 30*time.Second)
	if len(a) == 0 || len(a) != len(b) {
		t.Fatalf("%d and %d faults", len(a), len(b))
	}
	for i := range a {
		if a[i].name != b[i].name || a[i].at != b[i].at || a[i].seed != b[i].seed || i > 0 && a[i].at < a[i-1].at {
			t.Errorf("fault %d differs or is out of order", i)
		}
	}
}

func events(id string, numbers ...int) string {
	var text strings.Builder
	for _, n := range numbers {
		fmt.Fprintf(&text, "id: %d\ndata: %s %d\n\n", n, id, n)
	}
	return text.String()
}

func upTo(n int) (all []int) {
	for i := 1; i <= n; i++ {
		all = append(all, i)
	}
	return all
}

// Guards against a check that takes a wrong answer for a right one.
func TestWrongAnswersAreFound(t *testing.T) {
	plain := "POST /book/x by desk-1 with 7 bytes"
	for name, c := range map[string]struct {
		r     request
		wrong bool
	}{
		"right":                   {request{id: "x", kind: kindBook, signed: true, body: plain}, false},
		"unsigned":                {request{id: "x", kind: kindBook, body: plain}, true},
		"of another request":      {request{id: "y", kind: kindBook, signed: true, body: plain}, true},
		"half":                    {request{id: "x", kind: kindBook, signed: true, body: plain[:20]}, true},
		"whole stream":            {request{id: "x", kind: kindDraft, signed: true, body: events("x", upTo(streamEvents)...)}, false},
		"stream that ends early":  {request{id: "x", kind: kindDraft, signed: true, body: events("x", upTo(9)...)}, true},
		"stream that was cut":     {request{id: "x", kind: kindDraft, signed: true, err: net.ErrClosed, body: events("x", upTo(9)...)}, false},
		"stream with a gap":       {request{id: "x", kind: kindDraft, signed: true, err: net.ErrClosed, body: events("x", 1, 2, 4)}, true},
		"stream with a repeat":    {request{id: "x", kind: kindDraft, signed: true, err: net.ErrClosed, body: events("x", 1, 2, 2)}, true},
		"stream of another":       {request{id: "x", kind: kindDraft, signed: true, err: net.ErrClosed, body: events("y", 1)}, true},
		"event cut in the middle": {request{id: "x", kind: kindDraft, signed: true, err: net.ErrClosed, body: events("x", 1) + "id: 2\ndata: x"}, false},
	} {
		if err := c.r.validate(); (err != nil) != c.wrong {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a check that does not see a configuration that reverts.
func TestRevertedKeysAreFound(t *testing.T) {
	var seen refusals
	p, now := &process{}, time.Now()
	at := func(s int) *request {
		sent := now.Add(time.Duration(s) * time.Second)
		return &request{process: p, key: "k", sent: sent, done: sent.Add(time.Millisecond)}
	}
	if seen.recordRefusal(at(0)); seen.servedAfterRefusal(at(1)) {
		t.Error("a key that was not known yet is taken for a reverted one")
	}
	seen.recordRefusal(at(2))
	if !seen.servedAfterRefusal(at(3)) {
		t.Error("a revoked key that is served again is not found")
	}
}

// Guards against promises that are taken for broken while a part is disturbed.
func TestCalmTimes(t *testing.T) {
	var times timeline
	end := times.begin(scopeStore)
	now := time.Now()
	if times.undisturbed(now, now.Add(time.Second), scopeStore) {
		t.Error("a fault in progress counts as calm")
	}
	end()
	if !times.undisturbed(now.Add(-time.Minute), now.Add(-time.Second), scopeStore) || !times.undisturbed(now, now.Add(time.Second), scopeServers) {
		t.Error("times before a fault, or other parts, do not count as calm")
	}
	if times.undisturbed(now.Add(settleTime/2), now.Add(settleTime), scopeStore) {
		t.Error("the time just after a fault counts as calm")
	}
	if after := now.Add(settleTime + time.Second); !times.undisturbed(after, after.Add(time.Second), scopeStore) {
		t.Error("the time well after a fault does not count as calm")
	}
}
