package gateway

import (
	"testing"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Guards against runs that are not evacuated when an engine leaves after its entry
// has expired and reappeared, and against two evacuations for one departure.
func TestEachDepartureIsNoticedOnce(t *testing.T) {
	table := newRunTable()
	engine := vmlist.VM{ID: "e", State: vmlist.StateLive}
	table.add(engine, &stream{})
	snap := func(state vmlist.State) *control.Snapshot {
		s := &control.Snapshot{Backends: map[string]vmlist.VM{}}
		if state != "" {
			s.Backends["e"] = vmlist.VM{ID: "e", State: state}
		}
		return s
	}
	for i, step := range []struct {
		state vmlist.State
		want  int
	}{
		{vmlist.StateLive, 0},
		{"", 1},
		{"", 0},
		{vmlist.StateLive, 0},
		{vmlist.StateLeaving, 1},
		{vmlist.StateLeaving, 0},
		{"", 0},
	} {
		if got := len(table.leaving(snap(step.state))); got != step.want {
			t.Errorf("step %d: %d departures, want %d", i, got, step.want)
		}
	}
}
