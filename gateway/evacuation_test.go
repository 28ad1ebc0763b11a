package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Guards against a run without a copy that is not copied any more since its engine has said
// that it stops earlier, although it serves on and another engine has room meanwhile.
func TestRunIsCopiedWhileItsEngineServesOn(t *testing.T) {
	const roomAfter, stopsAfter = defaultNotice + 300*time.Millisecond, defaultNotice + 1500*time.Millisecond
	r := newGatewayRig(t, 2)
	r.configure(1, "desk", "engines")
	lines := r.rigLog()
	begin := time.Now()
	r.acquire = func(a dispatch.AdmissionRequest) (dispatch.Ticket, error) {
		if a.Spare || a.Resumed && time.Since(begin) < roomAfter {
			return nil, &dispatch.NoBackendError{Model: a.Model}
		}
		return r.grantFirst(a)
	}
	e := &movingEngines{finalStatus: http.StatusNotFound}
	r.answer = func(id string, w http.ResponseWriter, request *http.Request) bool {
		if request.Header.Get("Kv-From") == "" && strings.HasPrefix(request.URL.Path, "/draft/") {
			ctx, cancel := context.WithTimeout(request.Context(), stopsAfter)
			defer cancel()
			runOn(w, request.WithContext(ctx))
			panic(http.ErrAbortHandler)
		}
		return e.answer(id, w, request)
	}
	go r.evacuateFirst(t.Context())
	requireEnd(t, r.sendWithin(draftPath, 10*time.Second), lines)
	r.Close()
}

// Guards against two evacuations that copy one run at the same time: its engine leaves,
// returns and leaves again, and then the engine with its backup leaves.
func TestEngineThatLeavesTwiceIsEvacuatedOnce(t *testing.T) {
	r := newGatewayRig(t, 3)
	r.configure(1, "desk", "engines")
	r.grantCopies(true, true)
	lines := r.rigLog()
	var mu sync.Mutex
	moves, most, total := 0, 0, 0
	e := &movingEngines{finalStatus: http.StatusNotFound}
	r.answer = func(id string, w http.ResponseWriter, request *http.Request) bool {
		if request.URL.Path != "/kv-move" || id != "engine-0" {
			return e.answer(id, w, request)
		}
		mu.Lock()
		moves++
		total++
		most = max(most, moves)
		mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		mu.Lock()
		moves--
		mu.Unlock()
		return e.answer(id, w, request)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	changed := make(chan struct{})
	set := func(id string, state vmlist.State) {
		r.setState(id, state)
		changed <- struct{}{}
	}
	var watch sync.WaitGroup
	watch.Go(func() { r.WatchEngines(ctx, changed) })
	go func() {
		time.Sleep(300 * time.Millisecond)
		for _, state := range []vmlist.State{vmlist.StateLeaving, vmlist.StateLive, vmlist.StateLeaving} {
			set("engine-0", state)
			wait.Sleep(ctx, 200*time.Millisecond)
		}
		set("engine-1", vmlist.StateLeaving)
	}()
	requireEnd(t, r.sendWithin(draftPath, 5*time.Second), lines)
	cancel()
	watch.Wait()
	r.Close()
	if most > 1 {
		t.Errorf("%d moves of one run at the same time, %d in all\n%s", most, total, lines)
	}
}

// Guards against a run that is not moved when its engine leaves, since the evacuation of its
// engine before has not ended yet: it notices only after some time that the run has left. The
// stream was cut when the second engine stopped.
func TestRunIsEvacuatedOnceAnEarlierEvacuationHasEnded(t *testing.T) {
	const endsAfter = 100 * time.Millisecond
	r := newGatewayRig(t, 2)
	r.configure(1, "desk", "engines")
	r.grantCopies(false, true)
	lines := r.rigLog()
	e := &movingEngines{finalStatus: http.StatusNotFound}
	r.answer = e.answer
	go func() {
		s := r.awaitRun(t.Context(), "engine-0")
		if s == nil || !s.beginEvacuation() {
			return
		}
		time.AfterFunc(endsAfter, s.endEvacuation)
		r.setState("engine-0", vmlist.StateLeaving)
		r.evacuate(t.Context(), r.Snapshot().Backends["engine-0"])
	}()
	requireEnd(t, r.sendInOneSecond(draftPath), lines)
	r.Close()
}
