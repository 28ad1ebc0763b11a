package gateway

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// departedBackupTime is the time after the departure of an engine for which a run that has
// lost its own engine may go on from its backup there. Engines are assumed to serve for that
// long. It ends well within the three seconds after which a leaving server must get no work.
const departedBackupTime = defaultNotice

// departures records which servers the VM list had as live, and which of them it has not any
// more. The zero value is ready to use.
type departures struct {
	mu sync.Mutex
	// live holds the incarnations of the servers that were live in the last list.
	live map[string]int64
	left map[string]departure
}

// departure is the end of one incarnation of a server as a live one.
type departure struct {
	incarnation int64
	// at is when this VM learned of it, on the clock of package boottime.
	at time.Duration
}

// update records the departures since the last snapshot, and forgets those that are too old
// to matter.
func (d *departures) update(snap *control.Snapshot, now time.Duration) {
	live := map[string]int64{}
	for id, vm := range snap.Backends {
		if vm.State == vmlist.StateLive {
			live[id] = vm.Incarnation
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	left := map[string]departure{}
	for id, gone := range d.left {
		if now-gone.at < departedBackupTime && live[id] != gone.incarnation {
			left[id] = gone
		}
	}
	for id, incarnation := range d.live {
		if live[id] != incarnation {
			left[id] = departure{incarnation, now}
		}
	}
	d.live, d.left = live, left
}

// isRecent reports whether a server that is not live any more was live a short time ago. It
// is also true if the list that lacks the server was not recorded yet.
func (d *departures) isRecent(vm vmlist.VM, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if gone, ok := d.left[vm.ID]; ok && gone.incarnation == vm.Incarnation {
		return now-gone.at < departedBackupTime
	}
	incarnation, ok := d.live[vm.ID]
	return ok && incarnation == vm.Incarnation
}

// mayHoldBackup reports whether an engine that is not live any more may still serve a run that
// goes on from its backup there, and may be asked to: it has left the VM list, or leaves by it,
// for a short time only. An engine in an evacuated zone is not asked. An engine that has announced its departure is not asked, nor is its
// next start, which has no backup.
func (g *Gateway) mayHoldBackup(vm vmlist.VM) bool {
	if now, listed := g.Snapshot().Backends[vm.ID]; listed && now.Incarnation != vm.Incarnation {
		return false
	}
	if checkZone(g.Snapshot(), vm) != nil {
		return false
	}
	if _, announced := errors.Into[*serverstate.LeavingError](g.Servers.Check(vm)); announced {
		return false
	}
	return g.departures.isRecent(vm, boottime.Now())
}
