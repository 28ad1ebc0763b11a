package gateway

import (
	"context"
	"maps"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// unlist removes the entry of a server from the list.
func (r *gatewayRig) unlist(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	snap := *r.current
	snap.Backends = maps.Clone(r.current.Backends)
	delete(snap.Backends, id)
	r.current = &snap
}

// restart replaces the entry of a server by that of its next start.
func (r *gatewayRig) restart(id string) {
	r.changeEntry(id, func(vm *vmlist.VM) { vm.Incarnation++ })
}

// watch runs WatchEngines until the test ends. The returned function makes it check the list,
// and returns once it has.
func (r *gatewayRig) watch() (check func()) {
	ctx, cancel := context.WithCancel(r.t.Context())
	changed := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() { r.WatchEngines(ctx, changed) })
	r.t.Cleanup(func() { cancel(); done.Wait() })
	check = func() {
		changed <- struct{}{}
		changed <- struct{}{} // Received after the list of the first was checked.
	}
	check()
	return check
}

// Guards against a run that is cut when its engine crashes, since the engine with its backup
// left the list right before that: engines that leave serve on for a while. Guards as well
// against work for an engine that has announced its departure, that has left too long ago, or
// that would begin the run anew.
func TestRunGoesOnFromABackupWhoseEngineHasJustLeft(t *testing.T) {
	for name, test := range map[string]struct {
		leave func(*gatewayRig)
		// unseen is set if the watch of engines has not seen the departure yet.
		unseen bool
		// crashAfter is the time from the departure until the engine of the run crashes.
		crashAfter time.Duration
		noEvent    bool
		want       bool
	}{
		"entry removed":           {leave: func(r *gatewayRig) { r.unlist("engine-1") }, want: true},
		"entry removed, not seen": {leave: func(r *gatewayRig) { r.unlist("engine-1") }, unseen: true, want: true},
		"leaves by its entry":     {leave: func(r *gatewayRig) { r.setState("engine-1", vmlist.StateLeaving) }, want: true},
		"entry removed long ago":  {leave: func(r *gatewayRig) { r.unlist("engine-1") }, crashAfter: departedBackupTime + 100*time.Millisecond},
		"announced": {leave: func(r *gatewayRig) {
			r.known.announceLeaving(r.Snapshot().Backends["engine-1"])
			r.setState("engine-1", vmlist.StateLeaving)
		}},
		"announced, entry removed": {leave: func(r *gatewayRig) {
			r.known.announceLeaving(r.Snapshot().Backends["engine-1"])
			r.unlist("engine-1")
		}},
		"started again":    {leave: func(r *gatewayRig) { r.restart("engine-1") }},
		"before any event": {leave: func(r *gatewayRig) { r.unlist("engine-1") }, noEvent: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newGatewayRig(t, 2)
			r.configure(1, "desk", "engines")
			r.grantCopies(true, false)
			lines := r.rigLog()
			check := r.watch()
			var asked atomic.Int64
			e := &movingEngines{finalStatus: http.StatusNotFound}
			r.answer = func(id string, w http.ResponseWriter, request *http.Request) bool {
				switch {
				case request.Header.Get("Kv-From") != "":
					asked.Add(1)
				case strings.HasPrefix(request.URL.Path, "/draft/"):
					if !test.noEvent {
						beginRun(w)
					}
					test.leave(r)
					if !test.unseen {
						check()
					}
					time.Sleep(test.crashAfter)
					panic(http.ErrAbortHandler)
				}
				return e.answer(id, w, request)
			}
			got := r.sendWithin(draftPath, 5*time.Second)
			r.Close()
			if test.want {
				requireEnd(t, got, lines)
				return
			}
			if n := asked.Load(); n > 0 {
				t.Errorf("%d requests at an engine that has left\n%s", n, lines)
			}
		})
	}
}

// Guards against a run that goes on at an engine which has left the list, stays there, and is
// cut when that engine stops: the list does not change any more, after which engines that leave
// were looked for.
func TestRunThatGoesOnAtAnEngineThatLeavesIsMoved(t *testing.T) {
	r := newGatewayRig(t, 3)
	r.configure(1, "desk", "engines")
	r.grantCopies(true, true)
	lines := r.rigLog()
	check := r.watch()
	e := &movingEngines{finalStatus: http.StatusNotFound}
	r.answer = func(id string, w http.ResponseWriter, request *http.Request) bool {
		from := request.Header.Get("Kv-From")
		switch {
		case from == "" && strings.HasPrefix(request.URL.Path, "/draft/"):
			beginRun(w)
			r.unlist("engine-1")
			check()
			panic(http.ErrAbortHandler)
		case id == "engine-1" && from != "":
			runOn(w, request)
			return true
		}
		return e.answer(id, w, request)
	}
	requireEnd(t, r.sendWithin(draftPath, 3*time.Second), lines)
	r.Close()
}

// Guards against a run that is not copied from an engine that leaves: an evacuation found it among the
// runs of that engine before it was on the engine, and took it for one that had left.
func TestRunIsOnItsEngineOnceItIsAmongTheRunsThere(t *testing.T) {
	r := newGatewayRig(t, 1)
	vm := r.Snapshot().Backends["engine-0"]
	s := &stream{call: &call{g: r.Gateway, log: zap.NewNop()}, ctx: t.Context()}
	checks := 0
	snapshot := r.Gateway.Snapshot
	r.Gateway.Snapshot = func() *control.Snapshot { // Called by enterEngine, too.
		for _, found := range r.runs.streamsOn(vm.ID) {
			checks++
			if !found.isOn(vm) {
				t.Error("the run is among those of its engine, and not on it")
			}
		}
		return snapshot()
	}
	s.enterEngine(vm)
	r.Snapshot()
	s.leaveEngine(vm)
	r.Snapshot()
	if checks != 2 {
		t.Errorf("%d checks of the run, want one while it enters the engine and one after", checks)
	}
}

// Guards against departures that are kept for good, against one of an earlier start that counts
// for a later one, and against one that counts although the server is back.
func TestDeparturesAreForgotten(t *testing.T) {
	server := func(incarnation int64) vmlist.VM {
		return vmlist.VM{ID: "e", State: vmlist.StateLive, Incarnation: incarnation}
	}
	snap := func(vms ...vmlist.VM) *control.Snapshot {
		s := &control.Snapshot{Backends: map[string]vmlist.VM{}}
		for _, vm := range vms {
			s.Backends[vm.ID] = vm
		}
		return s
	}
	var d departures
	if d.isRecent(server(1), 0) {
		t.Error("a server that was never listed has left")
	}
	d.update(snap(server(1)), 0)
	d.update(snap(server(2)), 0)
	if !d.isRecent(server(1), departedBackupTime-1) || d.isRecent(server(1), departedBackupTime) {
		t.Error("the departure does not count for departedBackupTime")
	}
	d.update(snap(), time.Second)
	if !d.isRecent(server(2), departedBackupTime) || d.isRecent(server(1), time.Second) {
		t.Error("the departure of the later start does not replace that of the earlier one")
	}
	d.update(snap(server(2)), time.Second)
	d.update(snap(), 2*time.Second)
	if !d.isRecent(server(2), time.Second+departedBackupTime) {
		t.Error("a server that was back has left for the time of its first departure only")
	}
	d.update(snap(), 2*time.Second+departedBackupTime)
	if len(d.left) > 0 || len(d.live) > 0 {
		t.Errorf("%+v is kept", d.left)
	}
}
