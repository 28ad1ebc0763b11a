package serverstate

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
)

// Guards against runs that are not ended at a server that has asked for a pause, and against more
// calls in a pause than the users' rule allows.
func TestPausedServerGetsFewCallsThatEndRuns(t *testing.T) {
	server := Server{ID: "engine", Incarnation: 1}
	pause := Observation{Pause: Pause{Delay: 3 * time.Second}}
	for name, before := range map[string]Observation{"live": {}, "leaving": {Leaving: true}} {
		t.Run(name, func(t *testing.T) {
			table := New(Config{VM: "vm"})
			table.Observe(testNow, server, before)
			table.Observe(testNow, server, pause)
			for n := range maxEndsInPause {
				if err := table.StartEnd(testNow+time.Second, server); err != nil {
					t.Fatalf("call %d: %v", n+1, err)
				}
			}
			err := table.StartEnd(testNow+time.Second, server)
			paused, ok := errors.Into[*PausedError](err)
			if !ok || paused.Until < testNow+3*time.Second {
				t.Fatalf("one more call: %v", err)
			}
			table.Observe(testNow+2*time.Second, server, pause) // It is extended.
			if err := table.CheckEnd(testNow+4*time.Second, server); err == nil {
				t.Error("a longer pause allows further calls")
			}
			if err := table.StartEnd(testNow+10*time.Second, server); err != nil {
				t.Errorf("after the pause: %v", err)
			}
			table.Observe(testNow+20*time.Second, server, pause)
			if err := table.StartEnd(testNow+21*time.Second, server); err != nil {
				t.Errorf("in the next pause: %v", err)
			}
		})
	}
}
