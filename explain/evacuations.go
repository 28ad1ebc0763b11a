package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-logfmt/logfmt"
)

// evacuations summarises the log lines on evacuated availability zones. The zero value is ready to use.
type evacuations struct {
	zones          map[string]*zoneEvents
	stopped, moved int
}

// zoneEvents counts the starts and ends of the evacuation of a zone over all VMs.
type zoneEvents struct{ begun, ended int }

// read counts a log line if it is one on evacuations.
func (e *evacuations) read(line string) {
	switch {
	case strings.Contains(line, "event=request_stopped_evacuated"):
		e.stopped++
	case strings.Contains(line, "event=run_moved_out"):
		e.moved++
	case strings.Contains(line, "event=evacuation_begun"):
		e.zone(line).begun++
	case strings.Contains(line, "event=evacuation_ended"):
		e.zone(line).ended++
	}
}

// zone returns the events of the zone that a line names.
func (e *evacuations) zone(line string) *zoneEvents {
	name := ""
	decoder := logfmt.NewDecoder(strings.NewReader(line))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			if string(decoder.Key()) == "zone" {
				name = string(decoder.Value())
			}
		}
	}
	if e.zones == nil {
		e.zones = map[string]*zoneEvents{}
	}
	if e.zones[name] == nil {
		e.zones[name] = &zoneEvents{}
	}
	return e.zones[name]
}

// write prints one line if there were evacuations. refused is the number of requests that were refused
// because of them.
func (e *evacuations) write(out io.Writer, refused int) error {
	if len(e.zones) == 0 && refused == 0 {
		return nil
	}
	var zones []string
	for _, name := range slices.Sorted(maps.Keys(e.zones)) {
		zones = append(zones, fmt.Sprintf("%s (begun on %d VMs, ended on %d)", name, e.zones[name].begun, e.zones[name].ended))
	}
	if _, err := fmt.Fprintf(out, "\nevacuated zones: %s; %d requests refused, %d stopped before they were sent, %d runs moved out\n",
		strings.Join(zones, ", "), refused, e.stopped, e.moved); err != nil {
		return errors.Wrap(err, "write evacuations")
	}
	return nil
}
