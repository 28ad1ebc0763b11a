package review

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Settings of the deployment, as on the sheet of tilbod-fleet.
const (
	graceS       = 8
	lossSlack    = 200 * time.Millisecond
	contact      = 3 * time.Second
	memoryMB     = 120
	descriptors  = 2870
	startTimeout = 20 * time.Second
)

// vm is an entry VM: one process with the command of the deploy file.
type vm struct {
	name                  string
	front, ready, control string
	settings              string
	cmd                   *exec.Cmd
	exited                chan struct{}

	mu      sync.Mutex
	stopped bool
}

// Ports below the range from which the kernel takes those of outgoing connections, so that none
// of these has the port of a VM that hasn't started yet.
const firstPort, ports = 10000, 20000

var nextPort = os.Getpid() * 97 % ports

func freePort() int {
	for range ports {
		nextPort = (nextPort + 1) % ports
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort))
		if err == nil {
			_ = l.Close()
			return firstPort + nextPort
		}
	}
	must(errors.New("no free port"))
	return 0
}

const settingsFormat = `nodeName: %q
role: "entry"
machineClass: "front"
serves: ["front", "control"]
ip: "127.0.0.1"
zone: "z-a"
region: "r-a"
zones: {z-a: "r-a"}
listen: {front: %q, ready: %q, control: %q}
portRange: [%d, %d]
seeds: []
bootstrap: %v
countsAsLoss: false
limits: {cpuShare: 0.272, cores: 1, memoryMb: %d, maxFds: %d, linkMbps: 700.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
faultTolerance: {machines: 1, zones: 0, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: %d, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, outerMs: 5000, failClosed: true, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 129, recoverS: 12, passMs: 120, againS: 4.5}
platform: {address: %q, form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
`

// newVM writes the settings of a VM and starts it.
func newVM(dir, name, storeAddr string, bootstrap bool) *vm {
	addr := func() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }
	v := &vm{name: name, front: addr(), ready: addr(), control: addr(), settings: filepath.Join(dir, name+".yaml")}
	port := freePort()
	text := fmt.Sprintf(settingsFormat, name, v.front, v.ready, v.control, port, port, bootstrap, memoryMB, descriptors, graceS, storeAddr)
	must(os.WriteFile(v.settings, []byte(text), 0o600))
	v.start(dir)
	return v
}

// start starts the process in the repository root, with the environment that the
// platform passes.
func (v *vm) start(dir string) {
	log, err := os.OpenFile(filepath.Join(dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command("target/vanillaarchd", "entry")
	cmd.Dir = repository
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VANILLAARCH_CONFIG=" + v.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	exited := make(chan struct{})
	v.cmd, v.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
}

// stop sends SIGTERM, and SIGKILL after graceS, as the platform does.
func (v *vm) stop() {
	_ = v.cmd.Process.Signal(syscall.SIGTERM)
	exited, process := v.exited, v.cmd.Process
	go func() {
		select {
		case <-exited:
		case <-time.After(graceS * time.Second):
			_ = process.Kill()
		}
	}()
}

func (v *vm) kill() {
	_ = v.cmd.Process.Kill()
	<-v.exited
}

func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + v.ready + "/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (v *vm) awaitReady() bool {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if v.isReady() {
			return true
		}
	}
	return false
}
