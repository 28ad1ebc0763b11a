package soak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/standin/userplatform"
)

// The rule on limits: from contactBound after a server first named one, it gets in every
// limitSpan at most limitFactor times what the limit allows, and limitSlack requests, from
// the VMs that had such an answer toldMargin before or earlier.
const (
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	toldMargin  = 500 * time.Millisecond
	// minUseTotal is the number of requests that a limit allows at least if its used part is
	// reported. The part of one or two says little.
	minUseTotal = 3
)

// LimitSummary describes the requests that servers got while they named limits.
type LimitSummary struct {
	// Namings counts the times in which a server named limits for longer than contactBound.
	Namings int
	// Counted requests count against a limit, Excused ones are those that a fault of their
	// VM excuses.
	Counted, Excused int
	// Fullest is the largest part of the allowed requests that a server got.
	Fullest float64
	// Used holds the parts of the rate that servers got, for namings in which refused
	// requests would have used the rest and no server had a fault.
	Used []float64
}

func (s LimitSummary) String() string {
	text := fmt.Sprintf("%d namings, %d requests counted, %d excused, fullest span %.2f of the allowed", s.Namings, s.Counted, s.Excused, s.Fullest)
	if len(s.Used) == 0 {
		return text
	}
	sum := 0.0
	for _, part := range s.Used {
		sum += part
	}
	return text + fmt.Sprintf("; used %.2f of the rate, at least %.2f, in %d namings with enough demand",
		sum/float64(len(s.Used)), slices.Min(s.Used), len(s.Used))
}

// naming is a time in which one start of a server names limits without a break.
type naming struct {
	server   string
	engine   bool
	from, to time.Time
	rates    []namedRate
}

// namedRate is a rate that a server names from a time on.
type namedRate struct {
	at   time.Time
	perS float64
}

// highest returns the highest rate in force between two times.
func (n naming) highest(from, to time.Time) float64 {
	highest := 0.0
	for i, rate := range n.rates {
		replaced := i+1 < len(n.rates) && !n.rates[i+1].at.After(from)
		if !replaced && (i == 0 || !rate.at.After(to)) {
			highest = max(highest, rate.perS)
		}
	}
	return highest
}

// total returns the number of requests that the rates allow between two times.
func (n naming) total(from, to time.Time) float64 {
	sum := 0.0
	for i, rate := range n.rates {
		end := to
		if i+1 < len(n.rates) && n.rates[i+1].at.Before(to) {
			end = n.rates[i+1].at
		}
		begin := rate.at
		if begin.Before(from) {
			begin = from
		}
		sum += rate.perS * max(end.Sub(begin), 0).Seconds()
	}
	return sum
}

// namingsOf returns the namings of a server until now, given the changes of its limit.
func namingsOf(server string, engine bool, changes []userplatform.LimitChange, now time.Time) []naming {
	var out []naming
	open := false
	for _, c := range changes {
		if open {
			out[len(out)-1].to = c.At
		}
		if c.Values == nil {
			open = false
			continue
		}
		if !open {
			out = append(out, naming{server: server, engine: engine, from: c.At})
			open = true
		}
		perS, _ := strconv.ParseFloat(c.Values[0], 64)
		last := &out[len(out)-1]
		last.rates, last.to = append(last.rates, namedRate{c.At, perS}), now
	}
	return out
}

// startsOf groups the requests to a server by its starts. Each is a new lifetime, of whose
// limit VMs know nothing.
func startsOf(server string, exchanges []userplatform.Exchange) map[int64][]userplatform.Exchange {
	starts := map[int64][]userplatform.Exchange{}
	for _, e := range exchanges {
		if e.Server == server && e.VM != "" && e.Status != http.StatusMisdirectedRequest {
			starts[e.Born] = append(starts[e.Born], e)
		}
	}
	return starts
}

// checkLimits checks that servers get what they have named at most.
func (h *harness) checkLimits(exchanges []userplatform.Exchange) {
	exchanges, now := h.withAbandoned(exchanges), time.Now()
	for _, x := range h.limited {
		namings := namingsOf(x.ID(), x.IsEngine(), x.LimitChanges(), now)
		starts := startsOf(x.ID(), exchanges)
		born := slices.Sorted(maps.Keys(starts))
		for i, b := range born {
			from, to := time.UnixMilli(b), now
			if i+1 < len(born) {
				to = time.UnixMilli(born[i+1])
			}
			for _, n := range namings {
				n.from, n.to = laterOf(n.from, from), earlierOf(n.to, to)
				h.checkNaming(n, starts[b])
			}
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// checkNaming checks the requests to one start of a server during a naming.
func (h *harness) checkNaming(n naming, exchanges []userplatform.Exchange) {
	begin := n.from.Add(contactBound)
	if !n.to.After(begin) {
		return
	}
	h.limits.Namings++
	worst := h.fullestSpan(n, h.countedAgainst(n, exchanges))
	h.limits.Fullest = max(h.limits.Fullest, float64(worst.requests)/worst.allowed)
	detail := fmt.Sprintf("%s named %s from %s to %s: %d requests in %v to %s, allowed %.1f: %s; %s", n.server, n.describe(),
		n.from.UTC().Format(timeOfDay), n.to.UTC().Format(timeOfDay), worst.requests, limitSpan, worst.to.UTC().Format(timeOfDay), worst.allowed,
		describeVMs(worst.vms), h.recordUse(n, begin, exchanges))
	h.limitDetails = append(h.limitDetails, detail)
	if float64(worst.requests) > worst.allowed {
		h.violations.add(invariantLimit, "%s", detail)
	}
}

// countedAgainst returns the requests that count against the limits of a naming.
func (h *harness) countedAgainst(n naming, exchanges []userplatform.Exchange) (counted []userplatform.Exchange) {
	told := map[string]time.Time{}
	for _, e := range exchanges {
		if e.Limit == nil || e.AnsweredAt.Before(n.from) || !h.received(e) {
			continue
		}
		if at, ok := told[e.VM]; !ok || e.AnsweredAt.Before(at) {
			told[e.VM] = e.AnsweredAt
		}
	}
	for _, e := range exchanges {
		at, ok := told[e.VM]
		if !ok || e.ArrivedAt.Sub(at) < toldMargin || e.ArrivedAt.After(n.to) {
			continue
		}
		if !h.faults.undisturbed(e.ArrivedAt, e.ArrivedAt, scopeVM(e.VM)) {
			h.limits.Excused++
			continue
		}
		h.limits.Counted++
		counted = append(counted, e)
	}
	return counted
}

// limitedSpan is a limitSpan of a naming, with the requests that counted.
type limitedSpan struct {
	to       time.Time
	requests int
	allowed  float64
	vms      map[string]int
}

// fullestSpan returns the span that exceeds what is allowed by most. Spans that end
// contactBound after the first naming or later count, those after a change are measured by
// the higher rate for as long. The time for which the soak stood still does not count, since
// requests that came over that time arrive together.
func (h *harness) fullestSpan(n naming, counted []userplatform.Exchange) limitedSpan {
	begin := n.from.Add(contactBound)
	ends := []time.Time{begin}
	for _, e := range counted {
		if e.ArrivedAt.After(begin) {
			ends = append(ends, e.ArrivedAt)
		}
	}
	var worst limitedSpan
	for i, end := range ends {
		from := end.Add(-limitSpan)
		length := limitSpan + h.delays.longest(from, end)
		s := limitedSpan{to: end, allowed: limitFactor*n.highest(from.Add(-contactBound), end)*length.Seconds() + limitSlack, vms: map[string]int{}}
		for _, e := range counted {
			if e.ArrivedAt.After(from) && !e.ArrivedAt.After(end) {
				s.requests++
				s.vms[e.VM]++
			}
		}
		if i == 0 || float64(s.requests)-s.allowed > float64(worst.requests)-worst.allowed {
			worst = s
		}
	}
	return worst
}

// recordUse records the used part of a limit if there was enough demand for all of it, and
// describes the use.
func (h *harness) recordUse(n naming, from time.Time, exchanges []userplatform.Exchange) string {
	total := n.total(from, n.to)
	if total < minUseTotal || h.faults.active(from, n.to, scopeServers) {
		return "its use is not measured"
	}
	got, refused := 0, 0
	for _, e := range exchanges {
		if e.ArrivedAt.After(from) && e.ArrivedAt.Before(n.to) {
			got++
		}
	}
	for _, r := range h.requests {
		if r.kind.streams() == n.engine && r.done.After(from) && r.done.Before(n.to) && h.refusedForLoad(r) {
			refused++
		}
	}
	if float64(got+refused) >= total {
		h.limits.Used = append(h.limits.Used, float64(got)/total)
	}
	return fmt.Sprintf("got %d of %.1f requests since %s, while %d were refused", got, total, from.UTC().Format(timeOfDay), refused)
}

// refusedForLoad reports whether a VM that was not about to stop refused a request, for a
// reason other than its prompt.
func (h *harness) refusedForLoad(r *request) bool {
	stop, stopping := h.stopRequests.lookup(r.process)
	return r.status == http.StatusServiceUnavailable && !r.quarantined() && !(stopping && r.done.After(stop))
}

func (n naming) describe() string {
	var rates []string
	for _, r := range n.rates {
		rates = append(rates, strconv.FormatFloat(r.perS, 'f', 1, 64))
	}
	return strings.Join(rates, ", then ") + " a second"
}

func describeVMs(counts map[string]int) string {
	var parts []string
	for _, vm := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", vm, counts[vm]))
	}
	return strings.Join(parts, ", ")
}
