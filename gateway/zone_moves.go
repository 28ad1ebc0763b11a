package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Pace of the moves of runs out of evacuated zones. Each VM moves one run at a time.
const (
	// zoneMoveSpreadPerVM is the mean time between two moves of a VM, for each entry VM. All VMs
	// together thus move at most 100 runs a second. With 40 engines in a zone, and 490 MB for a run
	// of 3,000 tokens on a link of 24 Gbit/s, that is two fifths of their links.
	zoneMoveSpreadPerVM = 10 * time.Millisecond
	minZoneMoveInterval = 200 * time.Millisecond
	// zoneMoveRetryTime is the time after which a run that could not be moved is tried again.
	zoneMoveRetryTime = time.Second
	// zoneMoveTimeout bounds one move, with the switchover.
	zoneMoveTimeout = moveTimeout + time.Second
	// soonEnded is the time within which a run that ends is not moved.
	soonEnded = 2 * time.Second
)

// zoneMover moves runs of this VM out of evacuated zones. It is used by one goroutine.
type zoneMover struct {
	g *Gateway
	// retryAt holds when runs that could not be moved are tried again.
	retryAt map[*stream]time.Duration
	// unmovable holds the engines of which it was logged that their runs cannot be moved.
	unmovable map[string]bool
}

// MoveOutOfZones moves the runs of this VM out of evacuated zones until ctx ends, also those that
// begin to write during the evacuation. Runs that have a backup outside, or for which no other engine
// has room, stay. It waits for a value of changed while no zone is evacuated.
func (g *Gateway) MoveOutOfZones(ctx context.Context, changed <-chan struct{}) {
	m := &zoneMover{g: g}
	for {
		if len(g.Snapshot().Evacuations.Zones()) == 0 {
			m.retryAt, m.unmovable = map[*stream]time.Duration{}, map[string]bool{}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
			continue
		}
		interval := max(time.Duration(len(g.Snapshot().EntryVMs))*zoneMoveSpreadPerVM, minZoneMoveInterval)
		if !wait.Sleep(ctx, interval/2+rand.N(interval)) {
			return
		}
		if s, vm, ok := m.next(g.Snapshot(), boottime.Now()); ok && !m.move(ctx, s, vm) {
			m.retryAt[s] = boottime.Now() + zoneMoveRetryTime
		}
	}
}

// next returns the run to move next and its engine: the one that needs the least memory, so that most
// runs are out early.
func (m *zoneMover) next(snap *control.Snapshot, now time.Duration) (best *stream, engine vmlist.VM, ok bool) {
	present := map[*stream]time.Duration{}
	size := 0
	for _, vm := range m.g.runs.engines() {
		if snap.Backends[vm.ID].State != vmlist.StateEvacuated || !m.movable(vm) {
			continue
		}
		for _, s := range m.g.runs.streamsOn(vm.ID) {
			if at, failed := m.retryAt[s]; failed {
				present[s] = at
			}
			tokens := s.info.PromptTokens + s.tokens()
			if now < present[s] || !s.mustMoveOut() || ok && tokens >= size {
				continue
			}
			best, engine, size, ok = s, vm, tokens, true
		}
	}
	m.retryAt = present
	return best, engine, ok
}

// movable reports whether the runs of an engine can be moved. It logs once that they cannot.
func (m *zoneMover) movable(vm vmlist.VM) bool {
	if service := m.g.engineService(vm); service != nil && service.Engine.SupportsMove {
		return true
	}
	if !m.unmovable[vm.ID] {
		m.unmovable[vm.ID] = true
		m.g.Log.Info("zone_runs_not_movable", zap.String("zone", vm.Zone), zap.String("backend", vm.ID))
	}
	return false
}

// mustMoveOut reports whether a run in an evacuated zone is to be moved now: it has begun to write, does
// not end soon, and no engine outside has its backup.
func (s *stream) mustMoveOut() bool {
	return s.hasEvents() && !s.hasLiveBackup() && !s.endsWithin(soonEnded)
}

// move moves a run to an engine outside of the evacuated zones. It returns false if the run stays.
func (m *zoneMover) move(ctx context.Context, s *stream, vm vmlist.VM) bool {
	if !s.beginEvacuation() {
		return false // The engine leaves.
	}
	defer s.endEvacuation()
	begin := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, zoneMoveTimeout)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	rc, err := s.copyTo(ctx, vm, []string{vm.ID}, true)
	moved := err == nil && rc != nil && s.requestSwitch(ctx, vm.ID) && !s.isOn(vm)
	fields := []zap.Field{
		zap.String("zone", vm.Zone), zap.String("backend", vm.ID), zap.Int("run_tokens", s.info.PromptTokens+s.tokens()),
		zap.Duration("elapsed", boottime.Now()-begin), telemetry.Error(err),
	}
	if rc != nil {
		fields = append(fields, zap.String("target", rc.vm.ID), zap.String("target_zone", rc.vm.Zone))
	}
	if !moved {
		s.discardMoved()
		m.g.Metrics.runsNotMovedOut.Inc(1)
		s.log.Debug("run_not_moved_out", fields...)
		return false
	}
	m.g.Metrics.runsMovedOut.Inc(1)
	s.log.Info("run_moved_out", fields...)
	return true
}

// discardMoved frees the moved copy of a run that stays at its engine.
func (s *stream) discardMoved() {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	rc := s.copies.moved
	if rc == nil || s.copies.switchResult != nil {
		return // The copy may still be used.
	}
	s.copies.moved = nil
	s.copies.record(rc, copyDropped, nil)
	s.g.inBackground(func() { s.discard(rc) })
}
