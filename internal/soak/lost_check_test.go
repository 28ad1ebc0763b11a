package soak

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// excusedShare is the part at the end of a grace period in which a stop may cut a request that
// was sent no later than excusedAfter after SIGTERM and whose server still works on it.
const (
	excusedShare = 6
	excusedAfter = 3 * time.Second
)

// lostOutcome is what became of a request.
type lostOutcome string

const (
	outcomeCrossed  lostOutcome = "not read"
	outcomeExcused  lostOutcome = "cut, its server at work to the end"
	outcomeTime     lostOutcome = "cut, its time was up"
	outcomeLost     lostOutcome = "LOST, passed on"
	outcomeLostRead lostOutcome = "LOST, not passed on"
	outcomeShort    lostOutcome = "LOST, looks complete"
	outcomeDenied   lostOutcome = "not run, but ran"
)

// report counts the outcomes of each kind, and reports each request that is lost.
func (l *lostLoad) report() {
	counts := map[lostOutcome]int{}
	kinds := map[string]int{}
	for _, r := range l.results {
		o := l.outcome(r)
		counts[o]++
		kinds[r.kind.name]++
		if strings.HasPrefix(string(o), "LOST") || o == outcomeDenied {
			l.t.Errorf("%s: %s to %s, first of its connection: %t, sent %v, ended %v, %v; status %d, %d events, %v; ran %v\n%s", o, r.kind.name, r.id,
				r.first, r.sent.Sub(l.started).Round(time.Millisecond), r.ended.Sub(l.started).Round(time.Millisecond), l.sinceSignals(r),
				r.status, r.events, r.err, l.fleet.Executions(r.id), l.logLines(r))
		}
	}
	stops, reloads := 0, 0
	for _, v := range l.vms {
		for _, s := range l.signals[v.name] {
			if s.signal == syscall.SIGTERM {
				stops++
			} else {
				reloads++
			}
		}
		if v.exitedUnexpectedly() {
			l.t.Errorf("%s has ended by itself", v.name)
		}
		if v.panicked() {
			l.t.Errorf("the log of %s holds a panic", v.name)
		}
	}
	l.checkEnds()
	l.t.Logf("%d requests, %d stops, %d reloads, %d manifests, store away %d times: %v", len(l.results), stops, reloads, len(l.manifests), len(l.away), counts)
	l.t.Logf("kinds: %v", kinds)
}

func (l *lostLoad) outcome(r lostResult) lostOutcome {
	runs := l.fleet.Executions(r.id)
	notRun := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests || r.status == http.StatusRequestTimeout
	switch {
	case r.err == nil && notRun && len(runs) > 0:
		return outcomeDenied
	case r.err == nil && r.status == http.StatusOK && r.kind.streams && r.events != streamEvents:
		return outcomeShort
	case r.err == nil:
		return lostOutcome(fmt.Sprint(r.status))
	case r.ended.Sub(r.sent) > lostDeadline-noticedCut:
		return outcomeTime
	case len(runs) > 0 && l.excused(r):
		return outcomeExcused
	case len(runs) > 0:
		return outcomeLost
	case r.ended.Sub(r.sent)-l.delays.longest(r.sent, r.ended) > cutSlack:
		return outcomeLostRead
	default:
		return outcomeCrossed
	}
}

// excused reports whether a server still worked on a request in the last part of the grace
// period, and the request was sent early enough for that to count.
func (l *lostLoad) excused(r lostResult) bool {
	const grace = graceSeconds * time.Second
	for _, s := range l.signals[r.vm] {
		if s.signal != syscall.SIGTERM || r.sent.After(s.at.Add(excusedAfter)) {
			continue
		}
		last := s.at.Add(grace - grace/excusedShare)
		for _, e := range l.fleet.Executions(r.id) {
			if e.Begin.Before(s.at.Add(grace)) && (e.End.IsZero() || e.End.After(last)) && r.ended.After(last) {
				return true
			}
		}
	}
	return false
}

// sinceSignals describes the latest signals to the VM of a request before its end.
func (l *lostLoad) sinceSignals(r lostResult) string {
	latest := map[syscall.Signal]time.Time{}
	for _, s := range l.signals[r.vm] {
		if s.at.Before(r.ended) {
			latest[s.signal] = s.at
		}
	}
	var out []string
	for s, at := range latest {
		out = append(out, fmt.Sprintf("%v after %v", r.ended.Sub(at).Round(time.Millisecond), s))
	}
	return strings.Join(out, ", ")
}

// logLines returns the lines of the VM's log that name a request.
func (l *lostLoad) logLines(r lostResult) string {
	return l.linesOf(r.vm, r.id+" ", r.id+"\"")
}

// checkEnds reports each request that a VM has answered or passed on, and each process, of which
// the log tells no end, or two.
func (l *lostLoad) checkEnds() {
	read := map[string][]readRequest{}
	for _, r := range l.results {
		if r.status != 0 || len(l.fleet.Executions(r.id)) > 0 {
			read[r.vm] = append(read[r.vm], readRequest{r.id, r.process})
		}
	}
	for _, v := range l.vms {
		for _, fault := range v.endFaultsOf(read[v.name]) {
			l.t.Error(fault)
		}
	}
}
