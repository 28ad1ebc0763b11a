package gateway

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// leaveBehind makes the first engine leave in the list once it has a run, and evacuates it.
func (r *gatewayRig) leaveBehind(state vmlist.State) {
	engine := r.Snapshot().Backends["engine-0"]
	if r.awaitRun(r.t.Context(), engine.ID) == nil {
		return
	}
	r.departures.update(r.Snapshot(), boottime.Now())
	r.setState(engine.ID, state)
	r.departures.update(r.Snapshot(), boottime.Now())
	r.evacuate(r.t.Context(), engine)
}

// Guards against a stream that is cut since a planned move has ended its run at a sound engine and the
// next engine refuses the copy, although the first one keeps the memory of the run.
func TestRunGoesBackIfItsNextEngineFails(t *testing.T) {
	for name, test := range map[string]struct {
		next func(http.ResponseWriter)
		// used is the copy from which the run goes on, freed are those that are freed.
		used, freed string
	}{
		"refuses": {refuseCopy, "engine-0/h2", "engine-0/h1"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newGatewayRig(t, 2)
			r.configure(1, "desk", "engines")
			r.grantCopies(false, true)
			for range 20 { // The budget for retries is that of a service in use.
				r.budget.Request("engines", boottime.Now())
			}
			lines := r.rigLog()
			var asked, freed calls
			names := map[string]string{}
			for id, vm := range r.Snapshot().Backends {
				names[vm.Address] = id
			}
			e := &movingEngines{finalHandle: "h2", finalStatus: http.StatusOK}
			r.answer = func(id string, w http.ResponseWriter, request *http.Request) bool {
				if handle, ok := strings.CutPrefix(request.URL.Path, "/kv-handle/"); ok {
					freed.add(id + "/" + handle)
				}
				if from := request.Header.Get("Kv-From"); from != "" && id == "engine-1" {
					test.next(w)
					return true
				} else if from != "" {
					address, handle, _ := strings.Cut(from, "/")
					asked.add(names[address] + "/" + handle)
				}
				return e.answer(id, w, request)
			}
			go r.leaveBehind(vmlist.StateLeaving)
			requireEnd(t, r.sendWithin(draftPath, 5*time.Second), lines)
			r.Close()
			if got := strings.Join(asked.all(), " "); got != test.used {
				t.Errorf("the first engine was asked to go on from %q, want %q", got, test.used)
			}
			all := freed.all()
			slices.Sort(all)
			if got := strings.Join(all, " "); got != test.freed {
				t.Errorf("freed %q, want %q", got, test.freed)
			}
			if n := r.Metrics.runsReturned.Count(); n != 1 {
				t.Errorf("%d runs returned", n)
			}
		})
	}
}

// Guards against a run that is sent back to an engine which must get no work: one that has announced its
// departure, pauses, or is in an evacuated zone, and against a copy that stays at such an engine. The log
// tells this from a run that is not sent back for another reason.
func TestRunDoesNotGoBackToAnEngineThatWantsNoWork(t *testing.T) {
	for name, test := range map[string]struct {
		before func(*gatewayRig, vmlist.VM)
		handle string
		reason notReturnedReason
	}{
		"has announced its departure": {func(r *gatewayRig, vm vmlist.VM) { r.known.announceLeaving(vm) }, "h2", notReturnedNotAllowed},
		"pauses":                      {func(r *gatewayRig, vm vmlist.VM) { r.known.announcePause(vm, time.Minute) }, "h2", notReturnedNotAllowed},
		"restarts":                    {func(r *gatewayRig, vm vmlist.VM) { r.restartEntry(vm.ID) }, "h2", notReturnedNotAllowed},
		"names no memory":             {func(*gatewayRig, vmlist.VM) {}, "", notReturnedNoMemory},
	} {
		t.Run(name, func(t *testing.T) {
			r := newGatewayRig(t, 2)
			r.configure(1, "desk", "engines")
			r.grantCopies(false, true)
			lines := r.rigLog()
			var made calls
			engine := r.Snapshot().Backends["engine-0"]
			e := &movingEngines{finalHandle: test.handle, finalStatus: http.StatusOK}
			r.answer = func(id string, w http.ResponseWriter, request *http.Request) bool {
				if request.Header.Get("Kv-From") != "" {
					made.add("ask " + id)
					test.before(r, engine)
					refuseCopy(w)
					return true
				}
				return e.answer(id, w, request)
			}
			go r.leaveBehind(vmlist.StateLeaving)
			r.sendWithin(draftPath, 2*time.Second)
			r.Close()
			if at, ok := made.first("ask engine-0"); ok {
				t.Errorf("engine-0 was asked at %v: %v", at, made.all())
			}
			if got := logLine(t, lines, "stream_cut"); got["reason"] != string(cutMoveRefused) {
				t.Errorf("got %v", got)
			}
			if got := logLine(t, lines, "run_not_returned"); got["reason"] != string(test.reason) {
				t.Errorf("got %v, want %s", got, test.reason)
			}
		})
	}
}

// Guards against a draft that is cut since the retry budget was used up by planned moves before it: this VM
// has a sound engine end the run, the next engine refuses the copy, and the run may not go back. Guards as well
// against moves that are tried again without a budget: each would cost two more requests.
func TestPlannedMoveWithoutRetryBudgetCutsNoStream(t *testing.T) {
	r := newGatewayRig(t, 2)
	var made calls
	r.configure(1, "desk", "engines")
	r.grantCopies(false, true)
	lines := r.rigLog()
	e := &movingEngines{finalHandle: "h2", finalStatus: http.StatusOK}
	r.answer = func(id string, w http.ResponseWriter, request *http.Request) bool {
		if request.Header.Get("Kv-From") != "" {
			made.add("ask " + id)
		}
		if request.Header.Get("Kv-From") != "" && id == "engine-1" {
			refuseCopy(w)
			return true
		}
		return e.answer(id, w, request)
	}
	for r.budget.Take("engines", boottime.Now()) {
	}
	go r.leaveBehind(vmlist.StateLeaving)
	requireEnd(t, r.sendWithin(draftPath, 5*time.Second), lines)
	r.Close()
	if back := slices.DeleteFunc(made.all(), func(name string) bool { return name != "ask engine-0" }); len(back) != 1 {
		t.Errorf("the run went back %d times: %v", len(back), made.all())
	}
}

// Guards against a draft that is cut since the retry budget is used up: a planned move has had its engine, which
// leaves and gets no work any more, end the run, and the next engine is full for a moment or resets the connection.
// It is asked again with a budget. Guards as well against an engine that refuses and is asked without end.
func TestPlannedMoveWithoutRetryBudgetAsksTheNextEngineAgain(t *testing.T) {
	for name, test := range map[string]struct {
		failures, asked int
		fail            func(http.ResponseWriter)
		whole           bool
	}{
		"refuses once":             {1, 2, refuseCopy, true},
		"resets three connections": {maxReconnects, maxReconnects + 1, func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, true},
		"refuses always":           {10, 2, refuseCopy, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newGatewayRig(t, 2)
			r.configure(1, "desk", "engines")
			r.grantCopies(false, true)
			lines := r.rigLog()
			var made calls
			engine := r.Snapshot().Backends["engine-0"]
			e := &movingEngines{finalHandle: "h2", finalStatus: http.StatusOK}
			r.answer = func(id string, w http.ResponseWriter, request *http.Request) bool {
				if request.Header.Get("Kv-From") == "" {
					return e.answer(id, w, request)
				}
				r.known.announceLeaving(engine)
				made.add("ask " + id)
				if len(made.all()) <= test.failures {
					test.fail(w)
					return true
				}
				return e.answer(id, w, request)
			}
			for r.budget.Take("engines", boottime.Now()) {
			}
			go r.leaveBehind(vmlist.StateLeaving)
			got := r.sendWithin(draftPath, 5*time.Second)
			r.Close()
			if whole := strings.Contains(got.Body.String(), "data: end"); whole != test.whole {
				t.Errorf("whole draft: %v\n%s", whole, lines)
			}
			if asked := made.all(); len(asked) != test.asked || slices.Contains(asked, "ask engine-0") {
				t.Errorf("requests for the copy: %v", asked)
			}
		})
	}
}

// restartEntry replaces the entry of a server that leaves by that of its next start.
func (r *gatewayRig) restartEntry(id string) {
	r.setState(id, vmlist.StateLive)
	r.restart(id)
}
