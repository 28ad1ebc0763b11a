package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// overlapBound is the time after which the engine before must have stopped working on a
// stream that goes on at another one.
const overlapBound = 400 * time.Millisecond

// overlap is an execution that began while an earlier one of the same request went on.
type overlap struct {
	earlier, later userplatform.Execution
	// duration is how long the earlier one went on after the later one began.
	duration time.Duration
}

// findOverlaps returns the overlaps of executions that are in order of their start. Of
// several earlier ones, that which went on longest counts. Work that has not ended is
// taken to end now.
func findOverlaps(executions []userplatform.Execution, now time.Time) []overlap {
	var out []overlap
	var earlier userplatform.Execution
	for _, e := range executions {
		if e.End.IsZero() {
			e.End = now
		}
		if d := earlier.End.Sub(e.Begin); d > 0 {
			out = append(out, overlap{earlier: earlier, later: e, duration: d})
		}
		if e.End.After(earlier.End) {
			earlier = e
		}
	}
	return out
}

// checkAtMostOnce looks for work that ran twice: work that must not be repeated and was
// started more than once, and a stream on which two engines worked for overlapBound.
func (h *harness) checkAtMostOnce(r *request, runs []string, executions []userplatform.Execution) {
	if r.kind.runsOnce() && len(runs) > 1 {
		h.violations.add(invariantAtMostOnce, "%s to %s ran on %v: %s", r.id, r.vm.name, runs, describe(executions))
	}
	if !r.kind.streams() {
		return // Safe calls may be repeated while the first one hangs.
	}
	for _, o := range findOverlaps(h.closedByVM(executions), time.Now()) {
		excused := h.overlapExcused(r, o)
		h.overlaps.add(o.duration, excused)
		detail := fmt.Sprintf("%s to %s ran on %s for %v after it went on at %s; the soak was delayed by up to %v: %s", r.id, r.vm.name,
			o.earlier.Server, o.duration.Round(time.Millisecond), o.later.Server,
			h.delays.longest(o.later.Begin.Add(-delayMargin), o.earlier.End).Round(time.Millisecond), describe(executions))
		h.overlapDetails = append(h.overlapDetails, fmt.Sprintf("excused %t  %s", excused, detail))
		if o.duration < overlapBound || excused {
			continue
		}
		invariant := invariantOneEngine
		if r.kind.runsOnce() {
			invariant = invariantAtMostOnce
		}
		h.violations.add(invariant, "%s", detail)
	}
}

// closedByVM returns executions that end when the VM closed the connection, if the server
// noticed that later. Servers share the soak's processor time with all VMs: with 100 VMs
// they have noticed it half a second late, although the VM had closed the connection
// before it sent the run to the next engine.
func (h *harness) closedByVM(executions []userplatform.Execution) []userplatform.Execution {
	out := slices.Clone(executions)
	for i, e := range out {
		if at := h.closes.firstAfter(e.Client, e.Begin); !at.IsZero() && (e.End.IsZero() || at.Before(e.End)) {
			out[i].End = at
		}
	}
	return out
}

// overlapExcused reports whether the VM was out of touch, or could not reach one of the
// engines.
func (h *harness) overlapExcused(r *request, o overlap) bool {
	from, to := o.later.Begin, o.earlier.End
	return !h.faults.undisturbed(from, to, scopeVM(r.vm.name)) ||
		h.faults.active(from, to, scopeLink(o.earlier.Server), scopeLink(o.later.Server))
}

// describe lists executions with their times of day, as in the logs of the VMs.
func describe(executions []userplatform.Execution) string {
	lines := make([]string, 0, len(executions))
	for _, e := range executions {
		begin, end := e.Begin.UTC().Format(timeOfDay), "now"
		if !e.End.IsZero() {
			end = e.End.UTC().Format(timeOfDay)
		}
		lines = append(lines, fmt.Sprintf("%s from copy %t %s to %s", e.Server, e.FromCopy, begin, end))
	}
	return strings.Join(lines, ", ")
}

// timeOfDay is the layout of times in reports.
const timeOfDay = "15:04:05.000"

// overlapClasses are the upper bounds of the histogram of overlaps.
var overlapClasses = []time.Duration{25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, overlapBound}

// Sampling of the delays.
const (
	delayInterval = 10 * time.Millisecond
	minDelay      = 25 * time.Millisecond
	// delayMargin is the time before an overlap whose delays are reported with it.
	delayMargin = time.Second
)

// delayLog records by how much a goroutine of the soak runs late. The engines run in the
// same process, so that they see the end of a connection late by as much.
type delayLog struct {
	mu      sync.Mutex
	samples []delaySample
}

type delaySample struct {
	at    time.Time
	delay time.Duration
}

// measure samples the delay until done is closed.
func (l *delayLog) measure(done <-chan struct{}) {
	for {
		due := time.Now().Add(delayInterval)
		select {
		case <-done:
			return
		case <-time.After(delayInterval):
		}
		if d := time.Since(due); d >= minDelay {
			l.mu.Lock()
			l.samples = append(l.samples, delaySample{at: time.Now(), delay: d})
			l.mu.Unlock()
		}
	}
}

// longest returns the longest delay that fell into the given time, 0 if all were shorter
// than minDelay.
func (l *delayLog) longest(from, to time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest time.Duration
	for _, s := range l.samples {
		if s.at.After(from) && s.at.Add(-s.delay).Before(to) {
			longest = max(longest, s.delay)
		}
	}
	return longest
}
