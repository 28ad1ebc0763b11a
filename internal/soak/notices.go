package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// Bounds of the requests that a VM sends to a server after an answer that announces its
// departure or asks for a pause. The bound of departures is drainBound.
const (
	// noticeGoal is the time after which none is to arrive.
	noticeGoal = 100 * time.Millisecond
	// pauseGrace is the time after which at most maxPauseArrivals may arrive.
	pauseGrace       = 500 * time.Millisecond
	maxPauseArrivals = 2
	// maxCheckedPause is the limit to which VMs shorten pauses.
	maxCheckedPause = 10 * time.Minute
	// answerTime is the time within which an answer passes a delayed link.
	answerTime = 4 * linkDelay
	// departureTime is longer than any run.
	departureTime = 24 * time.Hour
)

// noticeClasses are the upper bounds of the histograms of late requests.
var noticeClasses = []time.Duration{25 * time.Millisecond, 50 * time.Millisecond, noticeGoal, 200 * time.Millisecond, pauseGrace, drainBound}

// NoticeSummary describes the requests that reached servers after their notices.
type NoticeSummary struct {
	// Notices is the number of answers with a notice that reached a VM.
	Notices int
	// Late holds the time from the first notice in force to each request.
	Late DurationSummary
}

func (s NoticeSummary) String() string {
	return fmt.Sprintf("%d answers told VMs, requests after them: %v", s.Notices, s.Late)
}

// notice is what an answer told a VM of a server.
type notice struct {
	request  string
	from, to time.Time
}

// noticeRule is a rule on the requests that a VM may send after a notice.
type noticeRule struct {
	invariant string
	// noticeOf returns the notice in an answer, if there is one.
	noticeOf func(userplatform.Exchange) (notice, bool)
	// excuses are the faults of a VM since the notice that excuse a request.
	excuses func(vm string) scope
	// bound is the time after a notice from which no more than maxLate requests may arrive.
	bound   time.Duration
	maxLate int
}

var departureRule = noticeRule{
	invariant: invariantDeparture, noticeOf: departureOf, excuses: scopeProcess, bound: drainBound,
}

var pauseRule = noticeRule{
	invariant: invariantPause, noticeOf: pauseOf, excuses: scopeVM, bound: pauseGrace, maxLate: maxPauseArrivals,
}

// departureOf returns the notice of an answer that announces a departure. It holds until
// the end of the server's lifetime.
func departureOf(e userplatform.Exchange) (notice, bool) {
	return notice{request: e.Request, from: e.AnsweredAt, to: e.AnsweredAt.Add(departureTime)}, e.Leaving
}

// pauseOf returns the notice of a rejection that asks for a pause with one decimal number.
func pauseOf(e userplatform.Exchange) (notice, bool) {
	if e.Status != http.StatusServiceUnavailable || len(e.RetryAfter) != 1 {
		return notice{}, false
	}
	seconds, err := strconv.ParseFloat(e.RetryAfter[0], 64)
	if err != nil || !(seconds > 0) {
		return notice{}, false
	}
	pause := time.Duration(min(seconds, maxCheckedPause.Seconds()) * float64(time.Second))
	return notice{request: e.Request, from: e.AnsweredAt, to: e.AnsweredAt.Add(pause)}, true
}

// lifetimeOfServer identifies the requests from one VM to one start of a server.
type lifetimeOfServer struct {
	server, vm string
	born       int64
}

// checkNotices checks that VMs follow what servers say in their answers. All times are
// read from one clock, at the servers.
func (h *harness) checkNotices(exchanges []userplatform.Exchange) {
	groups := map[lifetimeOfServer][]userplatform.Exchange{}
	var order []lifetimeOfServer
	for _, e := range h.withAbandoned(exchanges) {
		if e.VM == "" || e.Status == http.StatusMisdirectedRequest {
			continue
		}
		key := lifetimeOfServer{server: e.Server, vm: e.VM, born: e.Born}
		if groups[key] == nil {
			order = append(order, key)
		}
		groups[key] = append(groups[key], e)
	}
	h.departures, h.pauses = NoticeSummary{Late: newDurationSummary(noticeClasses)}, NoticeSummary{Late: newDurationSummary(noticeClasses)}
	for _, key := range order {
		h.checkRule(departureRule, key, groups[key], &h.departures)
		h.checkRule(pauseRule, key, groups[key], &h.pauses)
	}
}

// checkRule checks one rule on the requests from one VM to one start of a server.
func (h *harness) checkRule(rule noticeRule, key lifetimeOfServer, exchanges []userplatform.Exchange, summary *NoticeSummary) {
	var notices []notice
	for _, e := range exchanges {
		if n, ok := rule.noticeOf(e); ok && h.received(e) {
			notices = append(notices, n)
		}
	}
	summary.Notices += len(notices)
	for _, e := range exchanges {
		h.recordLate(rule, key, e, notices, &summary.Late)
	}
	worst := 0
	var detail string
	for _, n := range notices {
		if late := h.lateRequests(rule, key, exchanges, n); len(late) > max(worst, rule.maxLate) {
			worst, detail = len(late), h.describeLate(n, late[len(late)-1])
		}
	}
	if worst > 0 {
		h.violations.add(rule.invariant, "%d requests from %s to %s later than %v: %s", worst, key.vm, key.server, rule.bound, detail)
	}
}

// received reports whether the VM could read the answer: it had not given up, and the
// link worked.
func (h *harness) received(e userplatform.Exchange) bool {
	return !e.AnsweredAt.IsZero() && !e.Gone && !h.faults.active(e.ArrivedAt, e.AnsweredAt.Add(answerTime), scopeLink(e.Server))
}

// withAbandoned returns exchanges in which Gone is set if wasOver.
func (h *harness) withAbandoned(exchanges []userplatform.Exchange) []userplatform.Exchange {
	done := map[string]time.Time{}
	for _, r := range h.requests {
		done[r.id] = r.done
	}
	out := slices.Clone(exchanges)
	for i, e := range out {
		out[i].Gone = e.Gone || h.wasOver(e, done[e.Request])
	}
	return out
}

// wasOver reports whether the VM had closed the connection, or the caller's request had
// ended, before the answer was written. The server may notice it much later.
func (h *harness) wasOver(e userplatform.Exchange, done time.Time) bool {
	closed := h.closes.firstAfter(e.Client, e.ArrivedAt)
	return !closed.IsZero() && closed.Before(e.AnsweredAt) || !done.IsZero() && done.Before(e.AnsweredAt)
}

// recordLate records how long after the first notice in force a request arrived.
func (h *harness) recordLate(rule noticeRule, key lifetimeOfServer, e userplatform.Exchange, notices []notice, late *DurationSummary) {
	var first notice
	excused := false
	for _, n := range notices {
		if !e.ArrivedAt.After(n.from) || e.ArrivedAt.After(n.to) {
			continue
		}
		if h.faults.active(n.from, e.ArrivedAt, rule.excuses(key.vm), scopeLink(key.server)) {
			excused = true
			continue
		}
		if first.from.IsZero() || n.from.Before(first.from) {
			first = n
		}
	}
	if first.from.IsZero() {
		if excused {
			late.add(0, true)
		}
		return
	}
	age := e.ArrivedAt.Sub(first.from)
	late.add(age, false)
	if age >= noticeGoal {
		h.noticeDetails = append(h.noticeDetails, fmt.Sprintf("%s: %s to %s: %s", rule.invariant, key.vm, key.server, h.describeLate(first, e)))
	}
}

// lateRequests returns the requests that arrived later than the bound after a notice,
// while it was in force, except for those that a fault of the VM since then excuses.
func (h *harness) lateRequests(rule noticeRule, key lifetimeOfServer, exchanges []userplatform.Exchange, n notice) []userplatform.Exchange {
	var late []userplatform.Exchange
	for _, e := range exchanges {
		if e.ArrivedAt.Sub(n.from) > rule.bound && e.ArrivedAt.Before(n.to) && !h.faults.active(n.from, e.ArrivedAt, rule.excuses(key.vm)) {
			late = append(late, e)
		}
	}
	return late
}

func (h *harness) describeLate(n notice, e userplatform.Exchange) string {
	return fmt.Sprintf("%s %s arrived at %s, %v after the answer to %s at %s, and got status %d; the soak was delayed by up to %v", e.Method, e.Request,
		e.ArrivedAt.UTC().Format(timeOfDay), e.ArrivedAt.Sub(n.from).Round(time.Millisecond), n.request, n.from.UTC().Format(timeOfDay), e.Status,
		h.delays.longest(n.from.Add(-delayMargin), e.ArrivedAt).Round(time.Millisecond))
}
