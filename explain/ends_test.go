package explain

import (
	"slices"
	"strings"
	"testing"
)

// Guards against an accepted request without an end, or with two, that nobody notices in a log, and
// against a process that ended by itself.
func TestEnds(t *testing.T) {
	const at = "time=2026-06-02T15:26:08.220Z level=info event="
	for _, c := range []struct {
		name string
		log  []string
		want string
	}{
		{name: "all ended", log: []string{
			"vm_started vm=a", "attempt_done vm=a request=r1", "request_done vm=a request=r1 outcome=answered",
			"run_refused vm=a request=r2 peer=b", "vm_stopped vm=a cut=0 accepted=1 ended=1",
		}},
		{name: "no end", log: []string{"vm_started vm=a", "attempt_done vm=a request=r1", "vm_stopped vm=a cut=0 accepted=1 ended=0"}, want: "a: 1 requests accepted, 0 ended\na: 1 requests without an end: r1\n"},
		{name: "two ends", log: []string{
			"vm_started vm=a", "request_done vm=a request=r1", "request_done vm=a request=r1", "vm_stopped vm=a cut=0 accepted=1 ended=2",
		}, want: "a: 1 requests accepted, 2 ended\na: 1 requests with more than one end: r1\n"},
		{name: "no ids", log: []string{
			"vm_started vm=a", "attempt_done vm=a request= backend=b", "request_done vm=a request= status=200", "request_done vm=a request= status=200",
			"vm_stopped vm=a cut=0 accepted=2 ended=2",
		}},
		{name: "cut, ended late", log: []string{
			"vm_started vm=a", "request_cut vm=a request=r1", "request_done vm=a request=r1", "vm_stopped vm=a cut=1 accepted=1 ended=1",
		}},
		{name: "no trace but the numbers", log: []string{"vm_started vm=a", "vm_stopped vm=a cut=0 accepted=3 ended=2"}, want: "a: 3 requests accepted, 2 ended\n"},
		{name: "the process ended by itself", log: []string{"vm_started vm=a", "vm_started vm=a", "vm_started vm=b"}, want: "a: a process ended without vm_stopped: it was killed, or ended by itself\n"},
		{name: "the same id in two processes", log: []string{
			"vm_started vm=a", "request_done vm=a request=r1", "vm_stopped vm=a accepted=1 ended=1", "vm_started vm=a", "request_done vm=a request=r1",
		}},
		{name: "dropped lines", log: []string{"vm_started vm=a", "attempt_done vm=a request=r1", "log_lines_dropped count=7"}, want: "a: 1 requests without an end: r1\na: 7 lines of the log were dropped, ends may be among them\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var e Ends
			var out strings.Builder
			if err := e.Read(strings.NewReader(at + strings.Join(c.log, "\n"+at) + "\n")); err != nil {
				t.Fatal(err)
			}
			if err := e.Write(&out); err != nil {
				t.Fatal(err)
			}
			if out.String() != c.want {
				t.Errorf("got %q, want %q", out.String(), c.want)
			}
		})
	}
}

// Guards against the end of one request that passes for that of another.
func TestEndOfARequest(t *testing.T) {
	var e Ends
	if err := e.Read(strings.NewReader("time=t event=request_done vm=a request=r1\ntime=t event=request_cut vm=a request=r2\ntime=t event=caller_left vm=a request=r3\n")); err != nil {
		t.Fatal(err)
	}
	p := e.Processes()[0]
	if !p.HasEnd("r1") || !p.HasEnd("r2") || p.HasEnd("r3") || !slices.Equal(p.WithoutEnd(), []string{"r3"}) {
		t.Errorf("without an end: %v", p.WithoutEnd())
	}
}
