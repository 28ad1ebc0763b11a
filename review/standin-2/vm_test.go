package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// vm is an entry VM: one process of the deploy file.
type vm struct {
	name, zone, addr, front, ready, control string
	cmd                                     *exec.Cmd
	log                                     *os.File
	settings                                string
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// freePorts returns n different ports that are free at an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// startVM starts `vanillaarchd entry` with settings like those of a small deployment.
func startVM(dir, daemon, storeAddr string, n int) (*vm, error) {
	ip := fmt.Sprintf("127.0.0.%d", 11+n)
	v := &vm{name: fmt.Sprintf("front-%d", n+1), zone: zones[n%len(zones)], addr: ip}
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	v.front, v.ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	v.control = fmt.Sprintf("%s:%d", ip, ports[2])
	metrics := ports[3]
	settings := fmt.Sprintf(`nodeName: %q
role: "entry"
machineClass: "front"
serves: ["front", "control"]
ip: %q
zone: %q
region: "region"
zones: {zone-a: "region", zone-b: "region", zone-c: "region"}
listen: {front: %q, ready: %q, control: %q}
portRange: [%d, %d]
seeds: []
bootstrap: true
countsAsLoss: false
limits: {cpuShare: 0.272, cores: 1, memoryMb: 120, maxFds: 2870, linkMbps: 700.0, diskMb: 0}
dataDir: null
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
faultTolerance: {machines: 1, zones: 0, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, outerMs: 5000, failClosed: true, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 129, recoverS: 12, passMs: 120, againS: 4.5}
platform: {address: %q, form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
`, v.name, ip, v.zone, v.front, v.ready, v.control, metrics, metrics+15, storeAddr)
	path := filepath.Join(dir, v.name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		return nil, err
	}
	v.settings = path
	log, err := os.Create(filepath.Join(dir, v.name+".log"))
	if err != nil {
		return nil, err
	}
	v.log = log
	v.cmd = exec.Command(daemon, "entry")
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "LANG=C", "VANILLAARCH_CONFIG=" + path}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	return v, v.cmd.Start()
}

func (v *vm) stop() {
	v.cmd.Process.Kill()
	v.cmd.Wait()
	v.log.Close()
}

// restart starts a process again that has ended. The system does not start for the first time then.
func (v *vm) restart(daemon string) error {
	settings, err := os.ReadFile(v.settings)
	if err != nil {
		return err
	}
	again := strings.Replace(string(settings), "bootstrap: true", "bootstrap: false", 1)
	if err := os.WriteFile(v.settings, []byte(again), 0o644); err != nil {
		return err
	}
	cmd := exec.Command(daemon, "entry")
	cmd.Env, cmd.Stdout, cmd.Stderr = v.cmd.Env, v.log, v.log
	v.cmd = cmd
	return cmd.Start()
}

// memoryKB returns the anonymous resident memory of the process.
func (v *vm) memoryKB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	n := 0
	for _, line := range strings.Split(string(text), "\n") {
		fmt.Sscanf(line, "RssAnon: %d kB", &n)
	}
	return n
}

// awaitReady waits until the VM says that it is ready.
func (v *vm) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + v.ready + "/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == 200 {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %v", v.name, limit)
}
