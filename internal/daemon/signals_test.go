package daemon

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/freeport"
	"github.com/vanillaarch/vanillaarch/internal/testlog"
)

// daemonArguments is the environment variable that makes the test binary run the daemon.
const daemonArguments = "VANILLAARCHD_TEST_ARGUMENTS"

func TestMain(m *testing.M) {
	if arguments := os.Getenv(daemonArguments); arguments != "" {
		os.Args = append([]string{"vanillaarchd"}, strings.Fields(arguments)...)
		Main()
		return
	}
	os.Exit(m.Run())
}

// daemonProcess is an entry VM in a process of its own.
type daemonProcess struct {
	t   *testing.T
	cmd *exec.Cmd
	// ended receives the result of the process.
	ended chan error
}

func startDaemon(t *testing.T, settings string, output io.Writer) *daemonProcess {
	t.Helper()
	return startProcess(t, "entry --settings "+settings, output)
}

func startProcess(t *testing.T, arguments string, output io.Writer) *daemonProcess {
	t.Helper()
	p := &daemonProcess{t: t, cmd: exec.Command(os.Args[0]), ended: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), daemonArguments+"="+arguments)
	p.cmd.Stdout, p.cmd.Stderr = output, output
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- p.cmd.Wait() }()
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	return p
}

// startWithoutSettings starts a daemon and returns once it reads its settings, with their
// writer. arguments end with the option that names the file.
func startWithoutSettings(t *testing.T, arguments string) (*daemonProcess, *os.File) {
	t.Helper()
	settings := makePipe(t)
	p := startProcess(t, arguments+" "+settings, io.Discard)
	writer, err := os.OpenFile(settings, os.O_WRONLY, 0) // Opens once the daemon reads.
	if err != nil {
		t.Fatal(err)
	}
	return p, writer
}

// makePipe makes a named pipe and returns its path.
func makePipe(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (p *daemonProcess) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %v: %v", s, err)
	}
}

// checkRuns reports an error if the process ends within a time.
func (p *daemonProcess) checkRuns(d time.Duration) {
	p.t.Helper()
	select {
	case err := <-p.ended:
		p.t.Fatalf("the process has ended: %v", err)
	case <-time.After(d):
	}
}

// checkFails reports an error unless the process ends with the status for invalid settings.
func (p *daemonProcess) checkFails() {
	p.t.Helper()
	err := <-p.ended
	if exit := new(exec.ExitError); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		p.t.Errorf("the process ended with %v, want status 1 for invalid settings", err)
	}
}

// freeAddress returns an address on loopback on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { freeport.Release(address) })
	return address
}

// writeSettings writes settings of a VM without a store, and returns their path and the
// address for readiness probes.
func writeSettings(t *testing.T) (path, ready string) {
	t.Helper()
	path, ready = filepath.Join(t.TempDir(), "settings.yaml"), freeAddress(t)
	content := fmt.Sprintf(`nodeName: "vm"
zone: "a"
region: "r"
ip: "127.0.0.1"
listen: {front: %q, ready: %q, control: %q}
limits: {cpuShare: 1, memoryMb: 200, maxFds: 1000}
bounds: {graceS: 2, drainMs: 2000, budgetWindowS: 10, retryBudgetRatio: 0.2, budgetSlack: 10, configApplyMs: 2000, revokeMs: 5000}
platform: {address: %q, ttlMinMs: 1000}
`, freeAddress(t), ready, freeAddress(t), freeAddress(t))
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, ready
}

// awaitReadiness waits until the probe of a VM gives a reason.
func awaitReadiness(t *testing.T, address, reason string, limit time.Duration) {
	t.Helper()
	client, got := http.Client{Timeout: limit}, ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		answer, err := client.Get("http://" + address)
		if err != nil {
			continue
		}
		body, _ := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if got = strings.TrimSpace(string(body)); got == reason {
			return
		}
	}
	t.Fatalf("the VM says %q, not %q, after %v", got, reason, limit)
}

const withoutConfiguration = "no configuration"

// Guards against a process that is ended by a reload signal which arrives while it starts.
func TestReloadSignalAtTheStartDoesNotEndTheProcess(t *testing.T) {
	p, writer := startWithoutSettings(t, "entry --settings")
	p.signal(syscall.SIGHUP)
	p.checkRuns(200 * time.Millisecond)
	if _, err := io.WriteString(writer, "nodeName: ''\n"); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	p.checkFails()
}

// Guards against a stop signal that is lost, or ends the process, while it starts.
func TestStopSignalAtTheStartDrainsTheVM(t *testing.T) {
	regular, ready := writeSettings(t)
	content, err := os.ReadFile(regular)
	if err != nil {
		t.Fatal(err)
	}
	p, writer := startWithoutSettings(t, "entry --settings")
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	p.checkRuns(100 * time.Millisecond)
	if _, err := writer.Write(content); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	awaitReadiness(t, ready, "stopping", time.Second)
	if err := <-p.ended; err != nil {
		t.Errorf("the process ended with %v", err)
	}
}

// Guards against a process that ends, with all its requests, since the reader of its log has
// gone.
func TestClosedLogDoesNotEndTheProcess(t *testing.T) {
	settings, ready := writeSettings(t)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	_ = reader.Close()
	p := startDaemon(t, settings, writer)
	_ = writer.Close()
	p.checkRuns(500 * time.Millisecond)
	awaitReadiness(t, ready, withoutConfiguration, 5*time.Second)
	p.signal(syscall.SIGHUP)
	p.checkRuns(200 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	if err := <-p.ended; err != nil {
		t.Errorf("the process ended with %v", err)
	}
}

// Guards against a reload that does not tell whether it changed anything, and what was in progress:
// streams that are cut around it can't be told from others then.
func TestReloadTellsWhatItChanges(t *testing.T) {
	settings, ready := writeSettings(t)
	lines := &testlog.Buffer{}
	p := startDaemon(t, settings, lines)
	awaitReadiness(t, ready, withoutConfiguration, 10*time.Second)
	p.signal(syscall.SIGHUP)
	awaitLine(t, lines, "event=settings_in_force .*bounds_changed=false requests_in_progress=0 streams_at_engines=0")
	content, err := os.ReadFile(settings)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(content), "graceS: 2", "graceS: 3", 1)
	if err := os.WriteFile(settings, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	awaitLine(t, lines, "event=settings_in_force .*bounds_changed=true")
}

func awaitLine(t *testing.T, lines *testlog.Buffer, pattern string) {
	t.Helper()
	line := regexp.MustCompile(pattern)
	for end := time.Now().Add(5 * time.Second); !line.MatchString(lines.String()); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no line %q in\n%s", pattern, lines)
		}
	}
}

// Guards against a stop signal that is dropped behind reload signals, after which the platform
// kills the process with all its requests.
func TestStopSignalIsNotDroppedBehindReloads(t *testing.T) {
	settings, ready := writeSettings(t)
	p := startDaemon(t, settings, io.Discard)
	awaitReadiness(t, ready, withoutConfiguration, 10*time.Second)
	if err := os.Rename(makePipe(t), settings); err != nil {
		t.Fatal(err)
	}
	for range 8 {
		p.signal(syscall.SIGHUP)
		time.Sleep(20 * time.Millisecond) // The kernel merges signals that are pending.
	}
	p.signal(syscall.SIGTERM)
	awaitReadiness(t, ready, "stopping", time.Second)
}
