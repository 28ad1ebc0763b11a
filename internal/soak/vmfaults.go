package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// reserveVM reserves a random VM, or returns nil if another fault has reserved
// it.
func (h *harness) reserveVM(r *rand.Rand) *vm {
	if v := h.vms[r.IntN(len(h.vms))]; v.reserve() {
		return v
	}
	return nil
}

// reserve reserves a VM for a fault. It returns false if another fault has reserved it.
func (v *vm) reserve() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.inFault {
		return false
	}
	v.inFault = true
	return true
}

// killVM kills a VM without warning and restarts it.
func (h *harness) killVM(r *rand.Rand, d time.Duration) {
	if v := h.reserveVM(r); v != nil {
		h.restart(v, syscall.SIGKILL, d)
	}
}

// stopVM stops a VM gracefully and restarts it.
func (h *harness) stopVM(r *rand.Rand, d time.Duration) {
	if v := h.reserveVM(r); v != nil {
		h.stopRequests.record(v.currentProcess())
		h.restart(v, syscall.SIGTERM, d/4)
	}
}

func (h *harness) restart(v *vm, s syscall.Signal, pause time.Duration) {
	h.recordFault("%s receives %v", v.name, s)
	defer func() {
		if err := v.awaitPorts(); err != nil {
			h.violations.add(invariantNoUnexpectedExit, "restart %s: %v", v.name, err)
		}
	}()
	if s == syscall.SIGKILL {
		defer h.beginProcessFault(v)()
	}
	// A killed process has no say in how long its end takes.
	if err := v.terminate(s, stopTimeout); err != nil && s != syscall.SIGKILL {
		h.violations.add(invariantGracefulStop, "%v", err)
	}
	if s != syscall.SIGKILL {
		defer h.beginProcessFault(v)()
	}
	time.Sleep(pause)
	if err := v.start(); err != nil {
		h.violations.add(invariantNoUnexpectedExit, "restart %s: %v", v.name, err)
	}
}

// beginProcessFault records that the process of a VM is restarted or suspended.
func (h *harness) beginProcessFault(v *vm) (end func()) {
	endVM, endProcess := h.faults.begin(scopeVM(v.name)), h.faults.begin(scopeProcess(v.name))
	return func() {
		endVM()
		endProcess()
	}
}

// pauseVM suspends the process, which simulates a frozen VM.
func (h *harness) pauseVM(r *rand.Rand, d time.Duration) {
	v := h.reserveVM(r)
	if v == nil {
		return
	}
	h.recordFault("%s is paused", v.name)
	defer h.beginProcessFault(v)()
	v.signal(syscall.SIGSTOP)
	time.Sleep(min(d, maxVMPause))
	v.signal(syscall.SIGCONT)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.inFault = false
}

// changeSettings writes changed settings, with or without a signal to reload
// them.
func (h *harness) changeSettings(r *rand.Rand, _ time.Duration) {
	v := h.vms[r.IntN(len(h.vms))]
	if err := v.writeSettings(r.IntN(40)); err != nil {
		h.violations.add(invariantNoUnexpectedExit, "%v", err)
	}
	if r.IntN(2) == 0 {
		v.signal(syscall.SIGHUP)
	}
}
