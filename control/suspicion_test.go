package control

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Guards against one log line and one snapshot for each suspicion of a batch:
// 40 partitioned VMs once caused 66,000 log lines on 135 VMs.
func TestSuspicionBatchIsOneChange(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	l := NewLoop(zap.New(core), time.Now)
	list := &vmlist.List{Revision: 1}
	ids := make([]string, 40)
	for i := range ids {
		ids[i] = string(rune('a' + i))
		list.VMs = append(list.VMs, vmlist.VM{ID: ids[i], Role: vmlist.RoleEntry, State: vmlist.StateLive})
	}
	VMListReceived{List: list}.Apply(&l.state)
	SuspicionsChanged{Suspect: ids}.Apply(&l.state)
	SuspicionsChanged{Suspect: ids}.Apply(&l.state)
	SuspicionsChanged{Cleared: ids[10:]}.Apply(&l.state)
	l.publish()
	if n := len(l.Snapshot().EntryVMs); n != 30 {
		t.Errorf("got %d of 40 VMs not suspect, want 30", n)
	}
	lines := logs.FilterMessage("vm_suspicions_changed").All()
	if len(lines) != 2 {
		t.Fatalf("got %d log lines, want 2: one for each message that changed the state", len(lines))
	}
	if n := len(lines[0].ContextMap()["suspect"].([]any)); n != maxLoggedIDs {
		t.Errorf("got %d ids in a log line, want %d", n, maxLoggedIDs)
	}
}
