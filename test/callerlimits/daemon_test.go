// Package callerlimits tests that callers outside the limits neither end the processes of the
// system nor take more memory or descriptors than their VM has. Its tests start the daemon as a
// process of its own and do not run in parallel, since each one fills the memory of a VM.
package callerlimits

import (
	"bytes"
	"cmp"
	"crypto/tls"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/config"
	"github.com/vanillaarch/vanillaarch/internal/freeport"
	"github.com/vanillaarch/vanillaarch/internal/standin"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

const (
	host   = "site.example"
	apiKey = "key-of-acme"
	// vmMemoryMB is the memory of the VM under test, which its resident memory must not exceed.
	vmMemoryMB = 64
	// maxDescriptors is the limit on descriptors in the settings of the VM, which it must keep to.
	maxDescriptors = 500
	// serverHeaderBytes is the limit on the head of a request of the completions API.
	serverHeaderBytes = 64 << 10
	// startLimit bounds the wait for a VM that serves, answerLimit that for the answer of an
	// ordinary request.
	startLimit, answerLimit = 30 * time.Second, 30 * time.Second
	pollInterval            = 20 * time.Millisecond
)

// daemonPath is the daemon under test. It is built without the race detector, which multiplies
// its memory.
var daemonPath string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "callerlimits")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	daemonPath = filepath.Join(dir, "vanillaarchd")
	build := exec.Command("go", "build", "-o", daemonPath, "github.com/vanillaarch/vanillaarch/cmd/vanillaarchd")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the daemon: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// daemon is a process under test.
type daemon struct {
	t     *testing.T
	cmd   *exec.Cmd
	ended chan struct{}
	// callers, ready, peers, metrics and admin are the addresses of its listeners.
	callers, ready, peers, metrics, admin string
	// ordinary returns an ordinary request.
	ordinary func() (*http.Request, error)
}

// startEntry starts an entry VM with a plain server behind it.
func startEntry(t *testing.T) *daemon {
	t.Helper()
	return startEntryWith(t, nil)
}

// startEntryWith is startEntry with another configuration than that of the stand-in, unless it is
// nil.
func startEntryWith(t *testing.T, config []byte) *daemon {
	t.Helper()
	store := userplatform.NewStore()
	t.Cleanup(store.Close)
	front, err := standin.Listen("127.0.0.1:0", store.HandlerFor("vm"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(front.Close)
	if err := userplatform.NewFleet(store).StartAll(0, 1); err != nil {
		t.Fatal(err)
	}
	if config != nil {
		store.Put("op/config", config)
	}
	d := &daemon{t: t, callers: freeAddress(t), ready: freeAddress(t), peers: freeAddress(t), metrics: freeAddress(t)}
	d.ordinary = d.booking
	settings := userplatform.Settings{
		VM: "vm", FrontAddress: d.callers, ReadyAddress: d.ready, ControlAddress: d.peers, MetricsPort: portOf(t, d.metrics),
		StoreAddress: front.Address(), MemoryMB: vmMemoryMB, MaxFDs: maxDescriptors, GraceSeconds: 8, Drain: 6 * time.Second, Apply: 3 * time.Second, Revoke: 30 * time.Second,
	}.YAML()
	path := filepath.Join(t.TempDir(), "vm.yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	d.start("entry", "--settings", path)
	d.awaitAnswer(startLimit)
	return d
}

// startServer starts a VM of the completions API, whose platform does not answer.
func startServer(t *testing.T) *daemon {
	t.Helper()
	platform := "http://" + freeAddress(t)
	return startServerOn(t, platform, platform, serverSettings{})
}

// serverSettings are settings of a VM of the completions API that differ from the usual ones.
type serverSettings struct {
	files       config.TLS
	descriptors int
	bodyTimeout string
}

// startServerOn starts a VM of the completions API with a key-value service and a VM list.
func startServerOn(t *testing.T, kv, vmList string, o serverSettings) *daemon {
	t.Helper()
	d := &daemon{t: t, callers: freeAddress(t), peers: freeAddress(t), admin: freeAddress(t)}
	scheme := schemeOf(o.files)
	d.ordinary = func() (*http.Request, error) {
		return http.NewRequest(http.MethodGet, scheme+d.callers+"/healthz", nil)
	}
	settings := fmt.Sprintf(`{"vm_id": "vm", "zone": "z", "region": "r", "listen": {"http": %q, "peer": %q, "admin": %q},
		"limits": {"memory_bytes": %d, "descriptors": %d, "header_bytes": %d}, "timeouts": {"body": %q}, "tls": {"cert_file": %q, "key_file": %q},
		"platform": {"kv": %q, "vm_list": %q}}`,
		d.callers, d.peers, d.admin, vmMemoryMB<<20, cmp.Or(o.descriptors, maxDescriptors), serverHeaderBytes, cmp.Or(o.bodyTimeout, "30s"), o.files.CertFile, o.files.KeyFile, kv, vmList)
	path := filepath.Join(t.TempDir(), "vm.jsonc")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	d.start("--config", path)
	d.awaitAnswer(startLimit)
	return d
}

// schemeOf returns how callers address a VM with a certificate, or without one.
func schemeOf(files config.TLS) string {
	if files.CertFile == "" {
		return "http://"
	}
	return "https://"
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { freeport.Release(address) })
	return address
}

func portOf(t *testing.T, address string) int {
	t.Helper()
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		t.Fatal(err)
	}
	return int(a.Port())
}

// start starts the process, which is killed at the end of the test.
func (d *daemon) start(args ...string) {
	d.t.Helper()
	var output bytes.Buffer
	d.cmd, d.ended = exec.Command(daemonPath, args...), make(chan struct{})
	d.cmd.Stdout, d.cmd.Stderr = &output, &output
	if err := d.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	go func() {
		_ = d.cmd.Wait()
		close(d.ended)
	}()
	d.t.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		<-d.ended
		if d.t.Failed() {
			text := output.String()
			d.t.Logf("end of the log:\n%s", text[max(0, len(text)-4000):])
		}
	})
}

// awaitAnswer waits until an ordinary request is answered.
func (d *daemon) awaitAnswer(limit time.Duration) {
	d.t.Helper()
	var err error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if err = d.request(); err == nil {
			return
		}
	}
	d.t.Errorf("no ordinary request is answered: %v", err)
}

// request sends an ordinary request on a connection of its own.
func (d *daemon) request() error {
	transport := &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}} // The certificate is the test's own.
	client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	r, err := d.ordinary()
	if err != nil {
		return err
	}
	answer, err := client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	return nil
}

func (d *daemon) booking() (*http.Request, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.callers+"/book/1", strings.NewReader("deposit"))
	if err != nil {
		return nil, err
	}
	r.Host = host
	r.Header.Set("Request-Id", "ordinary-"+strconv.FormatInt(time.Now().UnixNano(), 36))
	r.Header.Set("Deadline-Ms", "4000")
	r.Header.Set("Authorization", "Bearer "+apiKey)
	return r, nil
}

// check fails the test unless the process lives, its resident memory never exceeded that of the
// VM, and it has few open descriptors.
func (d *daemon) check() {
	d.t.Helper()
	select {
	case <-d.ended:
		d.t.Fatal("the process has ended")
	default:
	}
	if peak := d.peakMemory(); peak > vmMemoryMB<<20 {
		d.t.Errorf("resident memory peaked at %d MB, %d allowed", peak>>20, vmMemoryMB)
	}
	if open := d.descriptors(); open > maxDescriptors {
		d.t.Errorf("%d descriptors are open, %d allowed", open, maxDescriptors)
	}
}

// peakMemory returns the largest resident memory so far.
func (d *daemon) peakMemory() int64 {
	d.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		d.t.Fatal(err)
	}
	match := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(text)
	if match == nil {
		d.t.Fatal("no peak of the resident memory")
	}
	kilobytes, err := strconv.ParseInt(string(match[1]), 10, 64)
	if err != nil {
		d.t.Fatal(err)
	}
	return kilobytes << 10
}

func (d *daemon) descriptors() int {
	d.t.Helper()
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	if err != nil {
		d.t.Fatal(err)
	}
	return len(files)
}
