package soak

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
	"github.com/vanillaarch/vanillaarch/platform"
)

// memoryMB is the memory limit of a VM, in megabytes.
const memoryMB = 120

// graceSeconds is the grace time of a stop, in seconds.
const graceSeconds = 8

// vm is an entry VM: a process of its own that is started again under the same
// name and addresses.
type vm struct {
	name                  string
	callers, ready, peers string
	store                 *proxy
	settings, logPath     string
	daemon                string

	mu      sync.Mutex
	process *process
	// busy says that a fault pauses the process, or ends and starts it again.
	busy bool
}

// process is one run of a VM.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	// err is valid once ended is closed.
	err error
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find an address")
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func newVM(name, dir, daemon string, store *proxy) (*vm, error) {
	v := &vm{
		name: name, store: store, daemon: daemon,
		settings: filepath.Join(dir, name+".yaml"), logPath: filepath.Join(dir, name+".log"),
	}
	for _, a := range []*string{&v.callers, &v.ready, &v.peers} {
		var err error
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	return v, v.writeSettings(1)
}

// writeSettings writes the settings file. Memory limits that differ make the
// file differ.
func (v *vm) writeSettings(variant int) error {
	text := userplatform.Settings{
		VM: v.name, FrontAddress: v.callers, ReadyAddress: v.ready, ControlAddress: v.peers, StoreAddress: v.store.address(),
		MemoryMB: memoryMB + variant, GraceSeconds: graceSeconds, Drain: drainBound, Apply: applyBound, Revoke: revokeBound,
	}.YAML()
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return nil
}

// start runs the VM, and adds its output to its log.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	output, err := os.OpenFile(v.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer output.Close()
	cmd := exec.Command(v.daemon, "entry", "--settings", v.settings)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settings)
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start "+v.name)
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.ended)
	}()
	v.process, v.busy = p, false
	return nil
}

// listens waits until the VM accepts connections, and returns false if it ends instead.
func (v *vm) listens() bool {
	p := v.running()
	for deadline := time.Now().Add(startBound); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", v.ready); err == nil {
			_ = c.Close()
			return true
		}
		select {
		case <-p.ended:
			return false
		default:
		}
	}
	return false
}

func (v *vm) running() *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

// signal sends a signal to the process that this soak has started.
func (v *vm) signal(s syscall.Signal) {
	_ = v.running().cmd.Process.Signal(s) // It may have ended already.
}

// end stops the process with a signal and waits for it, for at most the limit.
func (v *vm) end(s syscall.Signal, limit time.Duration) error {
	v.mu.Lock()
	v.busy = true
	p := v.process
	v.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
	select {
	case <-p.ended:
		return nil
	case <-time.After(limit):
		_ = p.cmd.Process.Kill()
		<-p.ended
		return &stopError{VM: v.name, Limit: limit}
	}
}

// stopError reports a VM that outlived its time to stop.
type stopError struct {
	VM    string
	Limit time.Duration
}

func (e *stopError) Error() string { return fmt.Sprintf("%s has not stopped within %v", e.VM, e.Limit) }

// died reports whether the process has ended without being asked to.
func (v *vm) died() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.process.ended:
		return !v.busy
	default:
		return false
	}
}

// panicked reports whether the log has a Go panic.
func (v *vm) panicked() bool {
	text, err := os.ReadFile(v.logPath)
	return err == nil && (bytes.Contains(text, []byte("\npanic:")) || bytes.Contains(text, []byte("\nfatal error:")))
}
