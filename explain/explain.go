// Package explain summarises the requests in the logs of entry VMs: their outcomes
// and how long each stage took.
package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logfmt/logfmt"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Request holds the fields of a request_done log line.
type Request struct {
	ID, VM, Route string
	Outcome       string
	Problem       string
	Cause         string
	// EndedBy is who ended a request that has no whole answer.
	EndedBy string
	// RefusedBy names the part that refused the request, "" if none did.
	RefusedBy string
	// Hedged is set if the request was sent to a second server before the first had answered,
	// HedgeWon if the second one answered first.
	Hedged, HedgeWon bool
	Status           int
	// Events is the number of streamed events, or 0 for a request with a single
	// response.
	Events int
	// PromptTokens is the length of the prompt of a stream that was sent to an engine, Sends the
	// number of sends.
	PromptTokens, Sends                       int
	Elapsed, Queued, FirstEvent, LongestPause time.Duration
}

// Summary aggregates the requests of one or more logs. The zero value is ready to
// use.
type Summary struct {
	requests []Request
	// Unparsed counts request_done lines that could not be parsed.
	Unparsed    int
	evacuations evacuations
	ends        Ends
}

// Read adds the requests of a log to the summary.
func (s *Summary) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		s.evacuations.read(lines.Text())
		s.ends.read(lines.Text())
		if !strings.Contains(lines.Text(), "event=request_done") {
			continue
		}
		request, err := parse(lines.Text())
		if err != nil {
			s.Unparsed++
			continue
		}
		s.requests = append(s.requests, request)
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "read log")
	}
	return nil
}

// parse parses a log line. Any text before the time field is ignored.
func parse(line string) (Request, error) {
	if at := strings.Index(line, "time="); at > 0 {
		line = line[at:]
	}
	var r Request
	decoder := logfmt.NewDecoder(strings.NewReader(line))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			if err := r.set(string(decoder.Key()), string(decoder.Value())); err != nil {
				return r, err
			}
		}
	}
	if err := decoder.Err(); err != nil {
		return r, errors.Wrap(err, "parse line")
	}
	return r, nil
}

func (r *Request) set(key, value string) error {
	texts := map[string]*string{
		"request": &r.ID, "vm": &r.VM, "route": &r.Route, "outcome": &r.Outcome, "problem": &r.Problem, "cause": &r.Cause, "ended_by": &r.EndedBy,
		"refused_by": &r.RefusedBy,
	}
	flags := map[string]*bool{"hedged": &r.Hedged, "hedge_won": &r.HedgeWon}
	times := map[string]*time.Duration{
		"elapsed": &r.Elapsed, "queued": &r.Queued, "first_event": &r.FirstEvent, "longest_pause": &r.LongestPause,
	}
	numbers := map[string]*int{"status": &r.Status, "events": &r.Events, "prompt_tokens": &r.PromptTokens, "sends": &r.Sends}
	var err error
	switch {
	case texts[key] != nil:
		*texts[key] = value
	case times[key] != nil:
		*times[key], err = time.ParseDuration(value)
	case numbers[key] != nil:
		*numbers[key], err = strconv.Atoi(value)
	case flags[key] != nil:
		*flags[key], err = strconv.ParseBool(value)
	}
	if err != nil {
		return errors.Wrap(err, key)
	}
	return nil
}

// Len returns the number of requests.
func (s *Summary) Len() int { return len(s.requests) }

// Write prints a table of routes and a table of failures, grouped by reason.
func (s *Summary) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "route\trequests\tanswered\tnot run\tunknown\tcut\tcaller left\tp50\tp99\tqueued p99\tpause p99")
	for _, route := range s.routes() {
		s.writeRoute(w, route)
	}
	s.writeHedges(w)
	fmt.Fprintln(w)
	fmt.Fprintln(w, "count\toutcome\tstatus\treason\tone of them")
	for _, f := range s.failures() {
		fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\n", f.count, f.outcome, f.status, f.reason, f.example)
	}
	s.writePrompts(w)
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	if err := s.evacuations.write(out, s.refusedBy("evacuation")); err != nil {
		return err
	}
	return s.ends.Write(out)
}

// refusedBy returns the number of requests that a part of the system has refused.
func (s *Summary) refusedBy(part string) (n int) {
	for _, r := range s.requests {
		if r.RefusedBy == part {
			n++
		}
	}
	return n
}

// writeHedges prints how many requests were sent to two servers at once, if any was.
func (s *Summary) writeHedges(w io.Writer) {
	hedged, won := 0, 0
	for _, r := range s.requests {
		if r.Hedged {
			hedged++
		}
		if r.HedgeWon {
			won++
		}
	}
	if hedged > 0 {
		fmt.Fprintf(w, "\nsent to a second server before the first had answered: %d, answered first by the second: %d\n", hedged, won)
	}
}

// writePrompts prints the prompt tokens that engines were sent, and those of requests that were
// not answered, by the reason. Each send of a request counts, and all but the last are in vain.
func (s *Summary) writePrompts(w io.Writer) {
	sent, inVain, reasons := 0, 0, map[string]int{}
	for _, r := range s.requests {
		answered := 0
		if r.Outcome == "answered" {
			answered = r.PromptTokens
		}
		tokens := r.PromptTokens * r.Sends
		sent += tokens
		if lost := tokens - answered; lost > 0 {
			inVain += lost
			reasons[r.lostPrompt()] += lost
		}
	}
	if sent == 0 {
		return
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "prompt tokens\tpart\tsent to engines")
	fmt.Fprintf(w, "%d\t100%%\tall\n%d\t%s\tin vain\n", sent, inVain, percentage(inVain, sent))
	for _, reason := range slices.SortedFunc(maps.Keys(reasons), func(a, b string) int {
		return cmp.Or(cmp.Compare(reasons[b], reasons[a]), cmp.Compare(a, b))
	}) {
		fmt.Fprintf(w, "%d\t%s\tin vain: %s\n", reasons[reason], percentage(reasons[reason], sent), reason)
	}
}

func percentage(part, whole int) string {
	return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(whole))
}

// lostPrompt returns why prompt tokens of the request were processed in vain.
func (r *Request) lostPrompt() string {
	switch r.Outcome {
	case "answered":
		return "sent again"
	case "caller_left":
		return "caller left"
	default:
		return r.reason()
	}
}

func (s *Summary) routes() []string {
	var names []string
	for _, r := range s.requests {
		if !slices.Contains(names, r.Route) {
			names = append(names, r.Route)
		}
	}
	slices.Sort(names)
	return names
}

func (s *Summary) writeRoute(w io.Writer, route string) {
	counts := map[string]int{}
	var latencies, queued, pauses []time.Duration
	total := 0
	for _, r := range s.requests {
		if r.Route != route {
			continue
		}
		total++
		counts[r.Outcome]++
		latency := r.Elapsed
		if r.Events > 0 {
			latency = r.FirstEvent
			queued = append(queued, r.Queued)
			pauses = append(pauses, r.LongestPause)
		}
		latencies = append(latencies, latency)
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", cmp.Or(route, "(none)"), total,
		counts["answered"], counts["not_run"], counts["unknown"], counts["aborted"], counts["caller_left"],
		quantile(latencies, 0.5), quantile(latencies, 0.99), quantile(queued, 0.99), quantile(pauses, 0.99))
}

// quantile formats a quantile of values, or "-" if there are none.
func quantile(values []time.Duration, q float64) string {
	if len(values) == 0 {
		return "-"
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))].Round(time.Millisecond).String()
}

type failure struct {
	outcome, reason, example string
	status, count            int
}

// reason returns why the request failed: the problem, and who ended or refused it if that is known.
func (r *Request) reason() string {
	if r.RefusedBy != "" {
		return r.Problem + ", refused by " + r.RefusedBy
	}
	if r.EndedBy == "" {
		return cmp.Or(r.Problem, "-")
	}
	return strings.TrimPrefix(r.Problem+" by "+r.EndedBy, " ")
}

// failures groups failed requests by outcome, status and reason, the largest group
// first.
func (s *Summary) failures() []failure {
	groups := map[failure]*failure{}
	for _, r := range s.requests {
		if r.Outcome == "answered" || r.Outcome == "caller_left" {
			continue
		}
		key := failure{outcome: r.Outcome, status: r.Status, reason: r.reason()}
		if groups[key] == nil {
			first := key
			first.example = r.ID
			groups[key] = &first
		}
		groups[key].count++
	}
	var out []failure
	for _, f := range groups {
		out = append(out, *f)
	}
	slices.SortFunc(out, func(a, b failure) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.outcome+a.reason, b.outcome+b.reason), cmp.Compare(a.status, b.status))
	})
	return out
}
