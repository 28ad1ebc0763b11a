package explain

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-logfmt/logfmt"
)

// Events of the log that tell the begin and the end of a process, or of a request.
const (
	eventStarted = "vm_started"
	eventStopped = "vm_stopped"
	eventDropped = "log_lines_dropped"
	eventDone    = "request_done"
	eventCut     = "request_cut"
)

// requestEvents are the events of which each names a request that its VM has accepted. Other
// events with a request, such as run_refused, are written by VMs that decide for others.
var requestEvents = []string{
	eventCut, "attempt_done", "caller_left", "answer_lost", "stream_cut", "request_panicked", "request_hedged",
}

// Process is what the log of one process of an entry VM tells about the ends of its requests.
type Process struct {
	VM string
	// Started and Stopped are set if the log has the first and the last line of the process.
	Started, Stopped bool
	// Accepted, Ended and Cut are the numbers that the last line names.
	Accepted, Ended, Cut int
	// Done is the number of lines that tell the end of a request, Dropped that of lines that the
	// log lacks.
	Done, Dropped int
	ends          map[string]int
	cut           map[string]bool
}

// WithoutEnd returns the requests that lines name and of which none tells the end. The end of one
// that the stop of its VM has cut is the cut.
func (p *Process) WithoutEnd() []string {
	return p.requests(func(id string, ends int) bool { return ends == 0 && !p.cut[id] })
}

// WithSeveralEnds returns the requests of which more than one line tells the end.
func (p *Process) WithSeveralEnds() []string {
	return p.requests(func(_ string, ends int) bool { return ends > 1 })
}

func (p *Process) requests(match func(id string, ends int) bool) []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(p.ends)) {
		if match(id, p.ends[id]) {
			ids = append(ids, id)
		}
	}
	return ids
}

// HasEnd reports whether a line tells the end of a request.
func (p *Process) HasEnd(id string) bool { return p.ends[id] > 0 || p.cut[id] }

// Missing returns how many accepted requests have no end by the numbers of the last line, negative
// if there are more ends than requests.
func (p *Process) Missing() int { return p.Accepted - p.Ended }

// Ends holds the processes of the logs of entry VMs. The zero value is ready to use.
type Ends struct {
	processes []*Process
	// current holds the latest process of each VM.
	current map[string]*Process
}

// Processes returns the processes in the order of their first lines.
func (e *Ends) Processes() []*Process { return e.processes }

// Read adds a log.
func (e *Ends) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		e.read(lines.Text())
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "read log")
	}
	return nil
}

// read adds a line. A process begins with its first line, or with any line after the last one of
// the process before.
func (e *Ends) read(line string) {
	event := eventOf(line)
	if !e.counts(event) {
		return
	}
	fields := fieldsOf(line)
	p := e.processOf(fields["vm"], event)
	switch event {
	case eventStarted:
		p.Started = true
	case eventStopped:
		p.Stopped = true
		p.Accepted, p.Ended, p.Cut = number(fields["accepted"]), number(fields["ended"]), number(fields["cut"])
	case eventDropped:
		p.Dropped += number(fields["count"])
	default:
		p.addRequest(event, fields["request"])
	}
}

func (e *Ends) counts(event string) bool {
	switch event {
	case eventStarted, eventStopped, eventDropped, eventDone:
		return true
	default:
		return slices.Contains(requestEvents, event)
	}
}

// processOf returns the process that has written a line. The line on dropped lines names no VM.
func (e *Ends) processOf(vm, event string) *Process {
	if event == eventDropped && vm == "" && len(e.processes) > 0 {
		return e.processes[len(e.processes)-1]
	}
	p := e.current[vm]
	if p == nil || event == eventStarted {
		p = &Process{VM: vm, ends: map[string]int{}, cut: map[string]bool{}}
		if e.current == nil {
			e.current = map[string]*Process{}
		}
		e.current[vm] = p
		e.processes = append(e.processes, p)
	}
	return p
}

// addRequest adds a line that names a request. Requests that have no id are not told apart: only the
// numbers of the last line tell whether one of them has no end.
func (p *Process) addRequest(event, id string) {
	if event == eventDone {
		p.Done++
	}
	switch {
	case id == "":
	case event == eventDone:
		p.ends[id]++
	case event == eventCut:
		p.cut[id] = true
	default:
		p.ends[id] += 0 // The request is known.
	}
}

// eventOf returns the event that a line names.
func eventOf(line string) string {
	_, rest, _ := strings.Cut(line, " event=")
	event, _, _ := strings.Cut(rest, " ")
	return event
}

// fieldsOf returns the fields of a line up to the first that can't be read.
func fieldsOf(line string) map[string]string {
	if at := strings.Index(line, "time="); at > 0 {
		line = line[at:]
	}
	fields := map[string]string{}
	decoder := logfmt.NewDecoder(strings.NewReader(line))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	return fields
}

// number returns the number that a field names, 0 if there is none.
func number(field string) int {
	n, err := strconv.Atoi(field)
	if err != nil {
		return 0
	}
	return n
}

// maxListedRequests bounds the requests that are listed for a process.
const maxListedRequests = 20

// Write prints the processes in which accepted requests have no end, or more than one, or whose
// last line is missing although the VM was started again.
func (e *Ends) Write(out io.Writer) error {
	for _, p := range e.processes {
		for _, fault := range p.faults(e.current[p.VM] == p) {
			if _, err := fmt.Fprintf(out, "%s: %s\n", p.VM, fault); err != nil {
				return errors.Wrap(err, "write ends")
			}
		}
	}
	return nil
}

// faults describes what is wrong with the ends of the requests. The latest process of a VM may
// still run.
func (p *Process) faults(latest bool) (faults []string) {
	add := func(ids []string, what string) {
		if len(ids) > 0 {
			faults = append(faults, fmt.Sprintf("%d requests %s: %s", len(ids), what, strings.Join(ids[:min(len(ids), maxListedRequests)], " ")))
		}
	}
	if !p.Stopped && !latest {
		faults = append(faults, "a process ended without vm_stopped: it was killed, or ended by itself")
	}
	if p.Stopped && p.Missing() != 0 {
		faults = append(faults, fmt.Sprintf("%d requests accepted, %d ended", p.Accepted, p.Ended))
	}
	add(p.WithoutEnd(), "without an end")
	add(p.WithSeveralEnds(), "with more than one end")
	if p.Dropped > 0 && len(faults) > 0 {
		faults = append(faults, fmt.Sprintf("%d lines of the log were dropped, ends may be among them", p.Dropped))
	}
	return faults
}
