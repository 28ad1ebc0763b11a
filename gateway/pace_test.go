package gateway

import (
	"testing"
	"time"
)

// Guards against a slow stream that counts for too short or too long a time.
func TestSlowestPaceLastsForAWindow(t *testing.T) {
	const start = time.Hour
	slow := enginePace{firstEvent: 3 * time.Second, tokenInterval: 40 * time.Millisecond}
	for _, test := range []struct {
		name  string
		later time.Duration
		want  enginePace
	}{
		{"at once", 0, slow},
		{"in the next window", 2*paceWindow - time.Second, slow},
		{"after that", 2 * paceWindow, assumedPace},
	} {
		table := newPaceTable()
		table.record("engines", slow, start)
		table.record("engines", enginePace{firstEvent: time.Second}, start+time.Second)
		if got := table.slowest("engines", start+test.later); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
		if got := table.slowest("others", start); got != assumedPace {
			t.Errorf("another service: %+v", got)
		}
	}
}

// Guards against records of services that are gone, which would stay for ever.
func TestPaceOfOldServicesIsDropped(t *testing.T) {
	table := newPaceTable()
	table.record("old", enginePace{firstEvent: time.Second}, time.Hour)
	table.record("new", enginePace{firstEvent: time.Second}, time.Hour+2*paceWindow)
	if _, ok := table.services["old"]; ok || len(table.services) != 1 {
		t.Errorf("services: %v", table.services)
	}
}
