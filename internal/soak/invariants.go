package soak

import (
	"net/http"
	"time"
)

// Names of the promises.
const (
	invariantCompleteResponse   = "each caller its own whole answer"
	invariantAtMostOnce         = "work that may run once runs at most once"
	invariantNotRun             = "not run only if true"
	invariantValidKeyAccepted   = "what the configuration allows is not denied"
	invariantRevokedKeyRejected = "a revoked key is not honoured after the bound"
	invariantNoConfigRollback   = "a configuration never reverts"
	invariantDrain              = "no new work to leaving servers"
	invariantGracefulStop       = "a stop cuts nothing"
	invariantNoUnexpectedExit   = "processes end only when asked to"
	invariantRecovery           = "all VMs serve after the faults"
)

// check looks at one request after its end. What needs a later look is kept.
func (h *harness) check(r *request) {
	h.outcomes.count(r)
	if r.status == http.StatusOK {
		if err := r.validate(); err != nil && (r.err == nil || r.kind.streams()) {
			h.violations.add(invariantCompleteResponse, "%s to %s: %v", r.id, r.vm.name, err)
		}
	}
	h.checkKey(r)
	h.checkStop(r)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

// checkKey compares the answer with what the operator has configured.
func (h *harness) checkKey(r *request) {
	if r.status == http.StatusUnauthorized {
		since := h.keys.validSince(r.key, h.started)
		if !since.IsZero() && r.sent.Sub(since) > applyBound && h.faults.undisturbed(since, r.done, scopeStore, scopeVM(r.vm.name)) {
			h.violations.add(invariantValidKeyAccepted, "%s to %s: key %s is valid for %v", r.id, r.vm.name, r.key, r.sent.Sub(since))
		}
		h.refusals.recordRefusal(r)
		return
	}
	if r.succeeded() && h.refusals.servedAfterRefusal(r) {
		h.violations.add(invariantNoConfigRollback, "%s to %s: key %s is honoured again", r.id, r.vm.name, r.key)
	}
}

// checkStop looks at requests that were cut. A stop of a calm VM cuts none.
func (h *harness) checkStop(r *request) {
	if r.canceled || r.err == nil || r.status != http.StatusOK && r.status != 0 {
		return
	}
	stop, ok := h.stopTimes.lookup(r.process)
	if !ok || r.sent.Before(stop.Add(-callerTimeout)) || r.sent.After(stop.Add(acceptAfterStop)) {
		return
	}
	// A request that crosses the end of an idle connection was not read.
	if r.status == 0 && len(h.fleet.Runs(r.id)) == 0 {
		return
	}
	if h.faults.undisturbed(r.sent, r.done, scopeStore, scopeServers, scopeVM(r.vm.name)) {
		h.violations.add(invariantGracefulStop, "%s to %s, sent %v after the stop began: %v", r.id, r.vm.name, r.sent.Sub(stop), r.err)
	}
}

// checkRuns compares all answers with what the backend servers ran.
func (h *harness) checkRuns() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.requests {
		runs := h.fleet.Runs(r.id)
		if r.kind.runsOnce() && len(runs) > 1 {
			h.violations.add(invariantAtMostOnce, "%s to %s ran on %v", r.id, r.vm.name, runs)
		}
		refused := !r.signed && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests)
		if r.kind.runsOnce() && refused && len(runs) > 0 {
			h.violations.add(invariantNotRun, "%s to %s was refused with %d and ran on %v", r.id, r.vm.name, r.status, runs)
		}
		if at := h.keys.revokedAt(r.key); !at.IsZero() && r.sent.Sub(at) > revokeBound && len(runs) > 0 {
			h.violations.add(invariantRevokedKeyRejected, "%s to %s ran %v after its key was revoked", r.id, r.vm.name, r.sent.Sub(at).Round(time.Millisecond))
		}
	}
}

// checkDrains compares the last arrival at each server that left with the time
// of its notice.
func (h *harness) checkDrains() {
	for _, d := range h.listDrainedServers() {
		last := d.server.LastArrival()
		late := last.At.Sub(d.notice)
		if late <= drainBound {
			continue
		}
		if v := h.vmForRequest(last.Request); v != nil && h.faults.undisturbed(d.notice, last.At, scopeStore, scopeVM(v.name)) {
			h.violations.add(invariantDrain, "%s got %s of %s %v after its notice", d.server.ID(), last.Request, v.name, late.Round(time.Millisecond))
		}
	}
}

// vmForRequest returns the VM that got a request, or nil.
func (h *harness) vmForRequest(id string) *vm {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.requests {
		if r.id == id {
			return r.vm
		}
	}
	return nil
}

// checkProcesses looks for VMs that ended by themselves.
func (h *harness) checkProcesses() {
	for _, v := range h.vms {
		if v.exitedUnexpectedly() {
			h.violations.add(invariantNoUnexpectedExit, "%s has ended: %v", v.name, v.currentProcess().err)
		}
		if v.panicked() {
			h.violations.add(invariantNoUnexpectedExit, "%s has panicked", v.name)
		}
	}
}
