package soak

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/freeport"
	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
	"github.com/vanillaarch/vanillaarch/platform"
)

// memoryMB is the base memory limit of a VM, in megabytes.
const memoryMB = 120

// portRetryInterval is the time until a VM whose port is taken is started again.
const portRetryInterval = 3 * time.Second

// graceSeconds is the grace period of a stop, in seconds.
const graceSeconds = 8

// vm is an entry VM, run as a separate process. Each restart uses the same name
// and addresses.
type vm struct {
	name                  string
	callers, ready, peers string
	store                 *proxy
	settings, logPath     string
	daemon                string

	mu      sync.Mutex
	process *process
	// processes holds all processes in the order of their starts.
	processes []*process
	// inFault is set while a fault pauses or restarts the process.
	inFault bool
}

// process is one process of a VM.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
	// err is valid once ended is closed.
	err error
	// dumped is set if the process was made to dump its stacks.
	dumped atomic.Bool
	// logOffset is where its output begins in the log file.
	logOffset int64
}

func newVM(name, dir, daemon string, store *proxy) (*vm, error) {
	v := &vm{
		name: name, store: store, daemon: daemon,
		settings: filepath.Join(dir, name+".yaml"), logPath: filepath.Join(dir, name+".log"),
	}
	for _, a := range []*string{&v.callers, &v.ready, &v.peers} {
		var err error
		if *a, err = freeport.Address(); err != nil {
			return nil, err
		}
	}
	return v, v.writeSettings(1)
}

// releasePorts returns the ports of the VM to the allocator.
func (v *vm) releasePorts() {
	freeport.Release(v.callers, v.ready, v.peers)
}

// writeSettings writes the settings file. The variant changes the memory limit,
// so that the files of two variants differ.
func (v *vm) writeSettings(variant int) error { return v.writeSettingsOf(v.settingsOf(variant)) }

func (v *vm) settingsOf(variant int) userplatform.Settings {
	return userplatform.Settings{
		VM: v.name, FrontAddress: v.callers, ReadyAddress: v.ready, ControlAddress: v.peers, StoreAddress: v.store.address(),
		MemoryMB: memoryMB + variant, GraceSeconds: graceSeconds, Drain: drainBound, Apply: applyBound, Revoke: revokeBound,
	}
}

func (v *vm) writeSettingsOf(s userplatform.Settings) error {
	if err := os.WriteFile(v.settings, []byte(s.YAML()), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return nil
}

// start starts the process and appends its output to the log file.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	output, err := os.OpenFile(v.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer output.Close()
	offset, err := output.Seek(0, io.SeekEnd)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	cmd := exec.Command(v.daemon, "entry", "--settings", v.settings)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settings)
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start "+v.name)
	}
	p := &process{cmd: cmd, ended: make(chan struct{}), logOffset: offset}
	go func() {
		p.err = cmd.Wait()
		close(p.ended)
	}()
	v.process, v.inFault = p, false
	v.processes = append(v.processes, p)
	return nil
}

// awaitListening waits until the VM accepts connections. It returns false if the
// process exits first or startBound passes.
func (v *vm) awaitListening() bool {
	p := v.currentProcess()
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

// portTaken is what a process writes last if another one listens on one of its ports.
const portTaken = "address already in use\n"

// awaitPorts starts the process again as long as another process of the machine has one of
// its ports, which it may take while the VM is down.
func (v *vm) awaitPorts() error {
	for range maxStartAttempts {
		if v.awaitListening() {
			return nil
		}
		text, err := os.ReadFile(v.logPath)
		if err != nil || !bytes.HasSuffix(text, []byte(portTaken)) {
			return nil
		}
		time.Sleep(portRetryInterval)
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

func (v *vm) currentProcess() *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

// signal sends a signal to the current process.
func (v *vm) signal(s syscall.Signal) {
	_ = v.currentProcess().cmd.Process.Signal(s) // The process may have exited.
}

// stackDumpTime is the time within which a process writes the stacks of its goroutines.
const stackDumpTime = 2 * time.Second

// dumpStacks ends the process. It makes it write the stacks of its goroutines to the log
// first, which show what it waits for.
func (v *vm) dumpStacks() {
	v.mu.Lock()
	v.inFault = true
	p := v.process
	v.mu.Unlock()
	p.dumped.Store(true)
	_ = p.cmd.Process.Signal(syscall.SIGQUIT) // The process may have exited.
	select {
	case <-p.ended:
	case <-time.After(stackDumpTime):
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

// terminate sends a signal to the process and waits for its exit. After the limit it
// ends the process with the stacks of its goroutines in the log.
func (v *vm) terminate(s syscall.Signal, limit time.Duration) error {
	v.mu.Lock()
	v.inFault = true
	p := v.process
	v.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
	select {
	case <-p.ended:
		return nil
	case <-time.After(limit):
		v.dumpStacks()
		return &stopTimeoutError{VM: v.name, Limit: limit}
	}
}

// stopTimeoutError reports a VM that did not stop in time.
type stopTimeoutError struct {
	VM    string
	Limit time.Duration
}

func (e *stopTimeoutError) Error() string {
	return fmt.Sprintf("%s did not stop within %v", e.VM, e.Limit)
}

// exitedUnexpectedly reports whether the process exited without being told to.
func (v *vm) exitedUnexpectedly() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.process.ended:
		return !v.inFault
	default:
		return false
	}
}

// panicked reports whether the log contains a Go panic or fatal runtime error.
func (v *vm) panicked() bool {
	text, err := os.ReadFile(v.logPath)
	return err == nil && (bytes.Contains(text, []byte("\npanic:")) || bytes.Contains(text, []byte("\nfatal error:")))
}
