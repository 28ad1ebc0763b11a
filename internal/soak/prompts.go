package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Prompts that crash engines.
const (
	promptFaultDuration = 12 * time.Second
	// crashingFraction is the fraction of the streams that hold the part meanwhile.
	crashingFraction  = 0.25
	minEngineDowntime = 300 * time.Millisecond
	maxEngineDowntime = 2 * time.Second
	// After noticedCrashes crashes and contactBound, at most maxLateArrivals requests
	// with the part may reach engines. From twice contactBound on, at least half of the
	// sound requests must be admitted, if there are minSoundRequests.
	noticedCrashes   = 5
	contactBound     = 3 * time.Second
	maxLateArrivals  = 3
	minSoundRequests = 20
)

// sharedPrompt is the prompt of all streams without their last part.
const sharedPrompt = "first:40,second:30"

// promptFault is a part that crashes engines for a while.
type promptFault struct {
	part string
	// to is the end of the fault.
	to time.Time
}

// crashByPrompt makes a part of prompts crash engines. Only one part does at a time.
func (h *harness) crashByPrompt(r *rand.Rand, _ time.Duration) {
	f := &promptFault{part: fmt.Sprintf("dead-%x", r.Uint32())}
	h.mu.Lock()
	if h.promptFault != nil {
		h.mu.Unlock()
		return
	}
	h.promptFault = f
	h.promptFaults = append(h.promptFaults, f)
	h.mu.Unlock()
	downtime := minEngineDowntime + time.Duration(r.Int64N(int64(maxEngineDowntime-minEngineDowntime)))
	h.recordFault("part %s crashes engines, which are away for %v", f.part, downtime.Round(time.Millisecond))
	defer h.faults.begin(scopeServers)()
	h.fleet.SetCrashingParts(downtime, f.part)
	time.Sleep(min(promptFaultDuration, time.Until(h.started.Add(h.opts.Duration))))
	h.fleet.SetCrashingParts(0)
	time.Sleep(downtime)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.promptFault, f.to = nil, time.Now()
}

// prompt returns the prompt of a stream, and the part in it that crashes engines, if any.
func (h *harness) prompt(r *rand.Rand) (prompt, part string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := fmt.Sprintf("%x:100", r.Uint64())
	if h.promptFault == nil || r.Float64() >= crashingFraction {
		return sharedPrompt + "," + own, ""
	}
	part = h.promptFault.part
	if r.IntN(2) == 0 {
		return part + ":20," + sharedPrompt + "," + own, part
	}
	return sharedPrompt + "," + part + ":20," + own, part
}

// checkPrompts checks that requests with a part that crashes engines are refused in
// time, and that sound ones are not.
func (h *harness) checkPrompts() {
	byID := map[string]*request{}
	for _, r := range h.requests {
		byID[r.id] = r
	}
	for _, f := range h.promptFaults {
		if at, noticed := h.noticedAt(f, byID); noticed {
			h.checkLateArrivals(f, at, byID)
			h.checkSoundRequests(f, at)
		}
	}
}

// noticedAt returns the time of the crash after which the bounds apply.
func (h *harness) noticedAt(f *promptFault, byID map[string]*request) (time.Time, bool) {
	crashes := 0
	for _, c := range h.fleet.EngineCrashes() {
		if r := byID[c.Request]; r == nil || r.crashingPart != f.part {
			continue
		}
		if crashes++; crashes == noticedCrashes {
			return c.At, true
		}
	}
	return time.Time{}, false
}

func (h *harness) checkLateArrivals(f *promptFault, noticed time.Time, byID map[string]*request) {
	late := 0
	for _, a := range h.fleet.CrashingArrivals() {
		r := byID[a.Request]
		if r == nil || r.crashingPart != f.part || a.At.Before(noticed.Add(contactBound)) {
			continue
		}
		if h.faults.undisturbed(a.At, a.At, scopeVM(r.vm.name)) {
			late++
		}
	}
	if late > maxLateArrivals {
		h.violations.add(invariantCrashingPrompts, "%d requests with part %s reached engines later than %v after the fifth crash", late, f.part, contactBound)
	}
}

func (h *harness) checkSoundRequests(f *promptFault, noticed time.Time) {
	sound, refused := 0, 0
	for _, r := range h.requests {
		if !r.kind.streams() || r.crashingPart != "" || r.sent.Before(noticed.Add(2*contactBound)) || r.sent.After(f.to) {
			continue
		}
		sound++
		if r.quarantined() {
			refused++
		}
	}
	if sound >= minSoundRequests && 2*refused > sound {
		h.violations.add(invariantCrashingPrompts, "%d of %d sound requests were refused because of part %s", refused, sound, f.part)
	}
}

// quarantineProblem is the type of the problem of a request that is in quarantine.
const quarantineProblem = "prompt-quarantined"

// quarantined reports whether the request was refused because of its prompt.
func (r *request) quarantined() bool {
	return r.status == http.StatusServiceUnavailable && strings.Contains(r.body, quarantineProblem)
}
