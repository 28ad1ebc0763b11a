package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/evacuation"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// zoneRig is a rig with two engines, of which the first is in zone x, whose runs are moved.
type zoneRig struct {
	*gatewayRig
	engines *movingEngines
	changed chan struct{}
}

func newZoneRig(t *testing.T) *zoneRig {
	t.Helper()
	r := &zoneRig{gatewayRig: newGatewayRig(t, 2), engines: &movingEngines{finalStatus: http.StatusNotFound}, changed: make(chan struct{}, 1)}
	r.configure(1, "desk", "engines")
	r.setZone("engine-0", "x")
	r.answer = r.engines.answer
	ctx, cancel := context.WithCancel(t.Context())
	var mover sync.WaitGroup
	mover.Go(func() { r.MoveOutOfZones(ctx, r.changed) })
	t.Cleanup(func() {
		cancel()
		mover.Wait()
		r.Close()
	})
	return r
}

// evacuate evacuates zone x.
func (r *zoneRig) evacuate() {
	r.evacuateZones(true, "x")
	r.changed <- struct{}{}
}

// Guards against runs that stay in an evacuated zone although another engine has room, and against a
// move that asks for a place that a waiting request needs. A run that has not begun to write when the
// evacuation begins is moved once it has.
func TestRunsMoveOutOfEvacuatedZones(t *testing.T) {
	for name, beginsAfter := range map[string]time.Duration{"writing": 0, "before its first event": 600 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			r := newZoneRig(t)
			lines := r.rigLog()
			var mu sync.Mutex
			var moves []dispatch.AdmissionRequest
			r.acquire = func(a dispatch.AdmissionRequest) (dispatch.Ticket, error) {
				if a.Spare && !a.Resumed {
					return nil, &dispatch.NoBackendError{Model: a.Model}
				}
				if a.Resumed {
					mu.Lock()
					defer mu.Unlock()
					moves = append(moves, a)
				}
				return r.grantFirst(a)
			}
			r.answer = func(id string, w http.ResponseWriter, request *http.Request) bool {
				if id == "engine-0" && strings.HasPrefix(request.URL.Path, "/draft/") {
					wait.Sleep(request.Context(), beginsAfter)
				}
				return r.engines.answer(id, w, request)
			}
			time.AfterFunc(200*time.Millisecond, r.evacuate)
			requireEnd(t, r.sendWithin(draftPath, 5*time.Second), lines)
			// The move is counted after the run has gone on, which may end before that.
			for deadline := time.Now().Add(2 * time.Second); r.Metrics.runsMovedOut.Count() == 0 && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			if len(moves) != 1 || !moves[0].Spare || r.Metrics.runsMovedOut.Count() != 1 {
				t.Errorf("moves %v, counted %d\n%s", moves, r.Metrics.runsMovedOut.Count(), lines)
			}
		})
	}
}

// Guards against a run that is cut, or that asks for room all the time, since no engine outside of the
// zone has room, and against a run that is moved although an engine outside has its backup.
func TestRunsThatCannotOrNeedNotMoveStay(t *testing.T) {
	for name, backup := range map[string]bool{"no room": false, "backup outside": true} {
		t.Run(name, func(t *testing.T) {
			const lasts = 1500 * time.Millisecond
			r := newZoneRig(t)
			lines := r.rigLog()
			r.grantCopies(backup, false)
			var asked atomic.Int64
			grant := r.acquire
			r.acquire = func(a dispatch.AdmissionRequest) (dispatch.Ticket, error) {
				if a.Resumed {
					asked.Add(1)
					return nil, &dispatch.NoBackendError{Model: a.Model}
				}
				return grant(a)
			}
			r.answer = func(_ string, w http.ResponseWriter, request *http.Request) bool {
				ctx, cancel := context.WithTimeout(request.Context(), lasts)
				defer cancel()
				runOn(w, request.WithContext(ctx))
				_, _ = fmt.Fprint(w, "id: 100000\ndata: end\n\n")
				return true
			}
			time.AfterFunc(200*time.Millisecond, r.evacuate)
			w := r.sendWithin(draftPath, 5*time.Second)
			if w.Code != http.StatusOK || r.Metrics.runsMovedOut.Count() != 0 {
				t.Errorf("status %d, %d moves\n%s", w.Code, r.Metrics.runsMovedOut.Count(), lines)
			}
			n, most := int(asked.Load()), int(lasts/zoneMoveRetryTime)+1
			if backup && n != 0 || !backup && (n == 0 || n > most) {
				t.Errorf("asked %d times for room", n)
			}
		})
	}
}

// Guards against a server that gets its usual share at once when the evacuation of its zone ends, and
// against one that gets none although no other server is left. 2,000 choices are made half a second
// and long after the end, among two servers of equal load.
func TestPlainServersGetTheirLoadBackGradually(t *testing.T) {
	const choices = 2000
	r := newGatewayRig(t, 2)
	r.setZone("desk-0", "x")
	r.setZone("desk-1", "y")
	count := func(excluded ...string) int {
		n := 0
		for range choices {
			vm, ok := r.services.pick(r.Snapshot(), "desk", excluded, func(vmlist.VM) error { return nil })
			if ok && vm.ID == "desk-0" {
				n++
			}
			r.services.finish(vm.ID, 0)
		}
		return n
	}
	end := func(ago time.Duration) {
		r.mu.Lock()
		defer r.mu.Unlock()
		snap := *r.current
		at := boottime.Now() - ago
		s := (*evacuation.State)(nil).Receive(at, evacuation.NewList(1, []evacuation.Zone{{Name: "x"}}))
		snap.Evacuations = s.Receive(at, evacuation.NewList(2, nil))
		r.current = &snap
	}
	usual := count()
	end(evacuation.SlowStartTime / 10)
	if got := count(); got == 0 || got > usual/2 {
		t.Errorf("%d of %d requests right after the end, usually %d", got, choices, usual)
	}
	if got := count("desk-1"); got != choices {
		t.Errorf("%d of %d requests as the only server", got, choices)
	}
	end(evacuation.SlowStartTime)
	if got := count(); got < usual*3/4 {
		t.Errorf("%d of %d requests after the slow start, usually %d", got, choices, usual)
	}
}
