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
	"syscall"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// daemonDir is the directory of the built daemon, or "" if no test has built it.
var daemonDir string

// buildDaemon builds vanillaarchd once and returns its path.
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

// runSeed runs the soak for a seed and reports each violation as a test error. Without names
// of faults it allows all.
func runSeed(t *testing.T, seed uint64, duration time.Duration, only ...string) {
	t.Helper()
	daemon, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	r, err := Run(context.Background(), Options{
		Seed: seed, Duration: duration, VMs: 3, Engines: 3, PlainServers: 3, Daemon: daemon, Dir: dir, Only: only,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d faults, outcomes %v, overlaps %v, departures %v, pauses %v, limits %v, evacuations %v, take-ups %v, longest delay %v", seed, len(r.Faults), r.Outcomes,
		r.Overlaps, r.Departures, r.Pauses, r.Limits, r.Evacuations, r.TakeUps, r.LongestDelay)
	for _, v := range r.Violations {
		t.Errorf("seed %d: %v", seed, v)
	}
	if t.Failed() {
		t.Logf("faults:\n%s", strings.Join(r.Faults, "\n"))
	}
}

// Guards against invariants that are violated when faults of processes, links,
// the store and backend servers repeat and overlap.
func TestShortSoak(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, 8*time.Second)
		})
	}
}

// Runs the seeds that have failed before.
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

// Guards against a schedule that is not reproducible from its seed.
func TestScheduleFollowsFromItsSeed(t *testing.T) {
	a, b := schedule(7, 30*time.Second, faultKinds), schedule(7, 30*time.Second, faultKinds)
	if len(a) == 0 || len(a) != len(b) {
		t.Fatalf("schedules have %d and %d faults", len(a), len(b))
	}
	for i := range a {
		if a[i].name != b[i].name || a[i].at != b[i].at || a[i].seed != b[i].seed || i > 0 && a[i].at < a[i-1].at {
			t.Errorf("fault %d differs between the schedules or is out of order", i)
		}
	}
}

// Guards against a misspelled fault that is not injected.
func TestOnlyKnownFaultsAreAllowed(t *testing.T) {
	if kinds, err := allowedKinds([]string{"server leaves", "vm killed"}); err != nil || len(kinds) != 3 {
		t.Errorf("%d kinds, %v", len(kinds), err)
	}
	if _, err := allowedKinds([]string{"server leave"}); err == nil {
		t.Error("an unknown fault is accepted")
	}
}

// Guards against a VM that counts as having exited since another process of the machine
// took one of its ports while it was down.
func TestVMWaitsForItsPorts(t *testing.T) {
	daemon, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	store, err := newProxy("127.0.0.1:1", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer store.close()
	v, err := newVM("vm-0", t.TempDir(), daemon, store)
	if err != nil {
		t.Fatal(err)
	}
	defer v.releasePorts()
	taken, err := net.Listen("tcp", v.peers)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(time.Second, func() { _ = taken.Close() })
	if err := v.start(); err != nil {
		t.Fatal(err)
	}
	if err := v.awaitPorts(); err != nil {
		t.Fatal(err)
	}
	if !v.awaitListening() {
		t.Errorf("the VM does not listen: %v", v.currentProcess().err)
	}
	_ = v.terminate(syscall.SIGKILL, time.Second)
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

// Guards against checks that accept invalid responses or reject valid ones.
func TestWrongAnswersAreFound(t *testing.T) {
	plain := "POST /book/x by desk-1 with 7 bytes"
	for name, c := range map[string]struct {
		r     request
		wrong bool
	}{
		"right":                     {request{id: "x", kind: kindBook, signed: true, body: plain}, false},
		"unsigned":                  {request{id: "x", kind: kindBook, body: plain}, true},
		"of another request":        {request{id: "y", kind: kindBook, signed: true, body: plain}, true},
		"truncated":                 {request{id: "x", kind: kindBook, signed: true, body: plain[:20]}, true},
		"whole stream":              {request{id: "x", kind: kindDraft, signed: true, body: events("x", upTo(streamEvents)...)}, false},
		"stream that ends early":    {request{id: "x", kind: kindDraft, signed: true, body: events("x", upTo(9)...)}, true},
		"stream that was cut":       {request{id: "x", kind: kindDraft, signed: true, err: net.ErrClosed, body: events("x", upTo(9)...)}, false},
		"stream with a gap":         {request{id: "x", kind: kindDraft, signed: true, err: net.ErrClosed, body: events("x", 1, 2, 4)}, true},
		"stream with a repeat":      {request{id: "x", kind: kindDraft, signed: true, err: net.ErrClosed, body: events("x", 1, 2, 2)}, true},
		"stream of another request": {request{id: "x", kind: kindDraft, signed: true, err: net.ErrClosed, body: events("y", 1)}, true},
		"event cut in the middle":   {request{id: "x", kind: kindDraft, signed: true, err: net.ErrClosed, body: events("x", 1) + "id: 2\ndata: x"}, false},
	} {
		if err := c.r.validate(); (err != nil) != c.wrong {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a configuration rollback that goes unnoticed.
func TestRevertedKeysAreFound(t *testing.T) {
	var seen refusals
	p, now := &process{}, time.Now()
	at := func(s int) *request {
		sent := now.Add(time.Duration(s) * time.Second)
		return &request{process: p, key: "k", sent: sent, done: sent.Add(time.Millisecond)}
	}
	if seen.recordRefusal(at(0)); seen.servedAfterRefusal(at(1)) {
		t.Error("a key rejected before it was first accepted is reported as rolled back")
	}
	seen.recordRefusal(at(2))
	if !seen.servedAfterRefusal(at(3)) {
		t.Error("a revoked key that is accepted again is not reported")
	}
}

// Guards against violations reported for a scope that a fault affects, and
// against scopes taken for affected outside that time.
func TestCalmTimes(t *testing.T) {
	var faults timeline
	end := faults.begin(scopeStore)
	now := time.Now()
	if faults.undisturbed(now, now.Add(time.Second), scopeStore) {
		t.Error("an active fault is not seen")
	}
	end()
	if !faults.undisturbed(now.Add(-time.Minute), now.Add(-time.Second), scopeStore) || !faults.undisturbed(now, now.Add(time.Second), scopeServers) {
		t.Error("a fault affects earlier times or other scopes")
	}
	if faults.undisturbed(now.Add(settleTime/2), now.Add(settleTime), scopeStore) {
		t.Error("a fault is ignored within the settle time")
	}
	if after := now.Add(settleTime + time.Second); !faults.undisturbed(after, after.Add(time.Second), scopeStore) {
		t.Error("a fault still counts after the settle time")
	}
}

// Guards against crashed servers that seem to accept connections, since their link does.
// A request to such a server may have been sent.
func TestLinkOfACrashedServerRefusesConnections(t *testing.T) {
	h := &harness{store: userplatform.NewStore(), violations: &violationLog{}}
	defer h.close()
	defer h.store.Close()
	h.fleet = userplatform.NewFleet(h.store)
	if err := h.addServer(true); err != nil {
		t.Fatal(err)
	}
	x := h.servers[0]
	dial := func() error {
		c, err := net.Dial("tcp", x.link.address())
		if err == nil {
			_ = c.Close()
		}
		return err
	}
	if err := dial(); err != nil {
		t.Error(err)
	}
	x.Crash()
	if dial() == nil {
		t.Error("the link of a crashed server accepts a connection")
	}
	if err := x.Resume(); err != nil {
		t.Fatal(err)
	}
	if err := dial(); err != nil {
		t.Error(err)
	}
}
