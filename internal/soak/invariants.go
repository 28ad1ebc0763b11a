package soak

import (
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// Invariants, as named in the report.
const (
	invariantCompleteResponse   = "each caller receives the complete response to its own request"
	invariantAtMostOnce         = "non-repeatable work runs at most once"
	invariantOneEngine          = "a stream is continued on one engine at a time"
	invariantOneVersion         = "a stream holds events of one software version"
	invariantNotRun             = "work reported as not run has not run"
	invariantValidKeyAccepted   = "a valid key is accepted"
	invariantRevokedKeyRejected = "a revoked key is rejected after the revocation bound"
	invariantNoConfigRollback   = "a configuration is never rolled back"
	invariantDrain              = "draining servers receive no new work"
	invariantDeparture          = "a VM sends nothing to a server whose answer says that it leaves"
	invariantPause              = "a VM leaves a server alone for as long as its answer asks"
	invariantLimit              = "a server gets no more than the limit that it names allows"
	invariantEvacuation         = "an evacuated zone gets no request"
	invariantCold               = "cold servers get no more than they take"
	invariantGracefulStop       = "a graceful stop interrupts no request"
	invariantNoUnexpectedExit   = "processes exit only when told to"
	invariantCrashingPrompts    = "prompts that crash engines are refused, sound ones are not"
	invariantCrashingRequests   = "a request that crashes its servers is refused, sound ones are not"
	invariantAttempts           = "a safe call runs on no more servers than its route allows"
	invariantOneEnd             = "the log tells one end of each accepted request and of each process"
	invariantRecovery           = "all VMs serve after the faults have ended"
)

// check verifies one request after it has ended and keeps it for the checks at
// the end of the run.
func (h *harness) check(r *request) {
	h.outcomes.count(r)
	if r.status == http.StatusOK {
		if err := r.validate(); err != nil && (r.err == nil || r.kind.streams()) {
			h.violations.add(invariantCompleteResponse, "%s to %s: %v", r.id, r.vm.name, err)
		}
	}
	h.checkVersions(r)
	h.checkKey(r)
	h.checkStop(r)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests = append(h.requests, r)
}

// checkKey compares the response with the keys that the configuration allows.
func (h *harness) checkKey(r *request) {
	if r.status == http.StatusUnauthorized {
		since := h.keys.validSince(r.key, h.started)
		if !since.IsZero() && r.sent.Sub(since) > applyBound && h.faults.undisturbed(since, r.done, scopeStore, scopeVM(r.vm.name)) {
			h.violations.add(invariantValidKeyAccepted, "%s to %s: key %s was rejected %v after it became valid", r.id, r.vm.name, r.key, r.sent.Sub(since))
		}
		h.rejectedKeys.recordRefusal(r)
		return
	}
	if r.succeeded() && h.rejectedKeys.servedAfterRefusal(r) {
		h.violations.add(invariantNoConfigRollback, "%s to %s: key %s was accepted again after it was rejected", r.id, r.vm.name, r.key)
	}
}

// checkStop looks for requests interrupted by a graceful stop. A VM that is not
// affected by a fault must not interrupt any that it has read, up to the end of its process.
func (h *harness) checkStop(r *request) {
	if r.canceled || r.err == nil || r.status != http.StatusOK && r.status != 0 {
		return
	}
	stop, ok := h.stopRequests.lookup(r.process)
	if !ok || r.sent.Before(stop.Add(-callerTimeout)) || h.neverRead(r) {
		return
	}
	if h.faults.undisturbed(r.sent, r.done, scopeStore, scopeServers, scopeVM(r.vm.name)) {
		h.violations.add(invariantGracefulStop, "%s to %s, sent %v after the stop was requested: %v", r.id, r.vm.name, r.sent.Sub(stop), r.err)
	}
}

// neverRead reports whether a request without any response was not read: its connection was
// refused, or closed soon after the request was sent. The time for which the soak stood still
// does not count.
func (h *harness) neverRead(r *request) bool {
	if r.status != 0 || len(h.fleet.Runs(r.id)) > 0 {
		return false
	}
	return errors.Is(r.err, syscall.ECONNREFUSED) || r.done.Sub(r.sent)-h.delays.longest(r.sent, r.done) <= cutSlack
}

// checkRuns compares all responses with the runs recorded by the backend servers.
func (h *harness) checkRuns() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.requests {
		runs := h.fleet.Runs(r.id)
		h.checkAtMostOnce(r, runs, h.fleet.Executions(r.id))
		h.checkSafeRuns(r, runs)
		refused := !r.signed && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests)
		if r.kind.runsOnce() && refused && len(runs) > 0 {
			h.violations.add(invariantNotRun, "%s to %s was rejected with status %d but ran on %v", r.id, r.vm.name, r.status, runs)
		}
		if at := h.keys.revokedAt(r.key); !at.IsZero() && r.sent.Sub(at) > revokeBound && len(runs) > 0 {
			h.violations.add(invariantRevokedKeyRejected, "%s to %s ran although it was sent %v after its key was revoked", r.id, r.vm.name, r.sent.Sub(at).Round(time.Millisecond))
		}
	}
}

// checkDrains checks that each request to a retired server arrived within drainBound of
// its drain notice, unless a fault of its VM or of the store excuses it. The time for which
// the soak stood still does not count: servers and links belong to its process, and read
// requests that late.
func (h *harness) checkDrains(exchanges []userplatform.Exchange) {
	for _, e := range exchanges {
		notice, drained := h.drainNotices[e.Server]
		if !drained || e.VM == "" || e.Status == http.StatusMisdirectedRequest {
			continue
		}
		late, delay := e.ArrivedAt.Sub(notice), h.delays.longest(notice, e.ArrivedAt)
		if late-delay > drainBound && h.faults.undisturbed(notice, e.ArrivedAt, scopeStore, scopeVM(e.VM)) {
			h.violations.add(invariantDrain, "%s received %s from %s %v after its drain notice; the soak was delayed by up to %v", e.Server, e.Request, e.VM,
				late.Round(time.Millisecond), delay.Round(time.Millisecond))
		}
	}
}

// checkProcesses looks for VMs that exited unexpectedly or panicked.
func (h *harness) checkProcesses() {
	for _, v := range h.vms {
		if v.exitedUnexpectedly() {
			h.violations.add(invariantNoUnexpectedExit, "%s exited: %v", v.name, v.currentProcess().err)
		}
		if v.panicked() {
			h.violations.add(invariantNoUnexpectedExit, "the log of %s contains a panic", v.name)
		}
	}
}
