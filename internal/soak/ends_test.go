package soak

import (
	"slices"
	"strings"
	"testing"
)

const endLinePrefix = "time=2026-06-02T15:26:08.220Z level=info event="

// Guards against a play that passes although a request that a VM has read has no end in its log,
// or two, or a process ended by itself; and against one that fails since a VM was killed.
func TestEndFaults(t *testing.T) {
	const started, done, stopped = "vm_started vm=a", "request_done vm=a request=r1 status=200", "vm_stopped vm=a cut=0 accepted=1 ended=1"
	for _, c := range []struct {
		name          string
		log, read     []string
		ended, killed bool
		want          string
	}{
		{name: "answered", log: []string{started, done, stopped}, read: []string{"r1"}, ended: true},
		{name: "still running", log: []string{started, done}, read: []string{"r1"}},
		{name: "named, no end", log: []string{started, "attempt_done vm=a request=r1"}, want: "no end, with 0 lines dropped: r1"},
		{name: "answered, no line", log: []string{started}, read: []string{"r1"}, want: "no end, with 0 lines dropped: r1"},
		{name: "answered, no log", read: []string{"r1"}, want: "1 requests were read, the log has no line"},
		{name: "fewer dropped than missing", log: []string{started, "log_lines_dropped count=1"}, read: []string{"r1", "r2"}, want: "no end, with 1 lines dropped: r1 r2"},
		{name: "dropped", log: []string{started, "log_lines_dropped count=2"}, read: []string{"r1", "r2"}, ended: true},
		{name: "two ends", log: []string{started, done, done}, want: "more than one end: r1"},
		{name: "no balance", log: []string{started, "vm_stopped vm=a cut=0 accepted=2 ended=1"}, ended: true, want: "2 requests accepted, 1 ended"},
		{name: "ended by itself", log: []string{started, done}, read: []string{"r1"}, ended: true, want: "it ended without vm_stopped"},
		{name: "killed", log: []string{started, "attempt_done vm=a request=r1"}, read: []string{"r1", "r2"}, ended: true, killed: true},
		{name: "killed, two ends", log: []string{started, done, done}, ended: true, killed: true, want: "more than one end: r1"},
		{name: "no port, nothing read", ended: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := ""
			for _, line := range c.log {
				text += endLinePrefix + line + "\n"
			}
			if got := strings.Join(endFaults([]byte(text), c.read, c.ended, c.killed), ", "); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against a request that seems to have no end, since the process that read it had started
// just after it was sent.
func TestRequestIsAssignedToTheProcessThatReadIt(t *testing.T) {
	a, b := &process{}, &process{}
	logs := processLogs{{vm: "a", process: a}, {vm: "a", process: b, text: []byte(endLinePrefix + "request_done vm=a request=r2 status=200\n")}}
	got := logs.assign([]readRequest{{"r1", a}, {"r2", a}, {"r3", b}})
	if want := [][]string{{"r1"}, {"r2", "r3"}}; !slices.EqualFunc(got, want, slices.Equal) {
		t.Errorf("got %v, want %v", got, want)
	}
}
