package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/serverstate"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// copies tracks the copies of a run's KV cache on other engines. A backup is
// replicated continuously from the start of the run; a moved copy is made when the
// engine is about to leave.
type copies struct {
	mu sync.Mutex
	// backup is replicated while the run goes on, moved was copied after the
	// engine announced its departure.
	backup, moved *runCopy
	// copying is set by the first copy attempt and closed when the latest
	// attempt ends.
	copying chan struct{}
	// copyingAt is the engine at which a call that copies the run may be in progress: one that was
	// sent and not answered. It is nil if there is none.
	copyingAt *vmlist.VM
	ended     bool
	// lastBackup and lastMoved are the last that became of the two kinds of copies.
	lastBackup, lastMoved copyRecord
	// evacuating is set while an evacuation handles the run.
	evacuating bool
	// engine is the id of the engine of the current segment, "" between two segments.
	engine string
	// switchResult is set while a switchover to a copy is requested. It receives
	// whether the run has left the engine.
	switchResult chan bool
	// moveEnded is closed once the latest planned move has ended: the run goes on at the next engine,
	// has gone back, or has ended. It is nil before the first move.
	moveEnded chan struct{}
}

// runCopy is a copy of a run with the dispatch ticket of the engine that continues
// the run from it. location is where the KV cache is read from.
type runCopy struct {
	ticket   dispatch.Ticket
	vm       vmlist.VM
	location edge.Copy
	// source is the engine that made a moved copy.
	source vmlist.VM
	// beginsAt is the earliest time at which a backup begins to arrive.
	beginsAt time.Duration
}

// isMoved reports whether the copy was moved, in contrast to a backup.
func (rc *runCopy) isMoved() bool { return rc.location.Address != rc.vm.Address }

// takeCopy removes and returns a copy of the run, or nil if there is none. A moved
// copy is preferred to a backup. A copy whose engine is not live is dropped, one whose
// engine is paused is passed over. A run that has begun to write may go on from a backup at
// an engine that has left a short time ago: that is no new work, and the run would be cut
// otherwise.
func (s *stream) takeCopy() *runCopy { return s.takeFirst(&s.copies.moved, &s.copies.backup) }

// takeMoved is takeCopy for a moved copy. Its engine has confirmed that it has it.
func (s *stream) takeMoved() *runCopy { return s.takeFirst(&s.copies.moved) }

func (s *stream) takeFirst(copies ...**runCopy) *runCopy {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	for _, at := range copies {
		rc := *at
		if rc == nil {
			continue
		}
		if s.g.isPaused(rc.vm) {
			s.copies.record(rc, copyPassedOver, nil)
			continue
		}
		*at = nil
		mismatch := s.checkVersion(rc.vm)
		if mismatch == nil && s.g.isLive(rc.vm) {
			return rc
		}
		if mismatch == nil && !rc.isMoved() && s.hasEvents() && s.g.mayHoldBackup(rc.vm) {
			s.log.Info("departed_backup_taken", zap.String("backend", rc.vm.ID), zap.String("backend_state", string(s.g.stateOf(rc.vm))))
			return rc
		}
		s.copies.record(rc, copyDropped, mismatch)
		s.log.Info("copy_dropped", zap.String("backend", rc.vm.ID), zap.String("backend_state", string(s.g.stateOf(rc.vm))),
			zap.Bool("moved", rc.isMoved()), telemetry.Error(mismatch))
		rc.ticket.Release(0)
	}
	return nil
}

// awaitCopy waits up to copyWaitTimeout for a copy in progress after a segment has
// ended early.
func (s *stream) awaitCopy() {
	s.copies.mu.Lock()
	copying := s.copies.copying
	s.copies.mu.Unlock()
	if copying == nil {
		return
	}
	select {
	case <-copying:
	case <-s.ctx.Done():
	case <-time.After(copyWaitTimeout):
	}
}

// isLive reports whether the VM list has the engine as live with the same
// incarnation.
func (g *Gateway) isLive(vm vmlist.VM) bool {
	now, listed := g.Snapshot().Backends[vm.ID]
	if !listed || now.State != vmlist.StateLive || now.Incarnation != vm.Incarnation {
		return false
	}
	// The snapshot follows the answers of servers with a delay.
	_, leaving := errors.Into[*serverstate.LeavingError](g.Servers.Check(vm))
	return !leaving
}

// hasCopyBeside reports whether a live engine has another copy than the given one.
func (s *stream) hasCopyBeside(source *connectedCopy) bool {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	backup := s.copies.backup
	if source.backupAcquired {
		backup = nil // That is the one that the run gets at the engine of the copy.
	}
	return s.hasMoved() || backup != nil && s.g.mayContinueAt(backup.vm)
}

// hasMoved reports whether a live engine has a moved copy. The caller holds s.copies.mu.
func (s *stream) hasMoved() bool {
	return s.copies.moved != nil && s.g.mayContinueAt(s.copies.moved.vm)
}

// hasLiveBackup reports whether a live engine other than that of the current segment has the
// backup. A run may have been moved to the engine with the backup of an earlier one.
func (s *stream) hasLiveBackup() bool {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	backup := s.copies.backup
	return backup != nil && backup.vm.ID != s.copies.engine && s.g.isLive(backup.vm)
}

// mayContinueAt reports whether a run may go on at an engine now: it is live and has not
// asked for a pause.
func (g *Gateway) mayContinueAt(vm vmlist.VM) bool { return g.isLive(vm) && !g.isPaused(vm) }

// maySendStarted reports whether a request that was started at an engine may still be
// sent. The limit after a pause does not count: the request has its place already.
func (g *Gateway) maySendStarted(vm vmlist.VM) bool {
	paused, ok := errors.Into[*serverstate.PausedError](g.Servers.Check(vm))
	return g.isLive(vm) && (!ok || paused.Resuming)
}

// beginCopy registers a copy in progress. The caller closes the returned channel
// when the copy ends. It returns false if the stream has ended.
func (s *stream) beginCopy() (chan struct{}, bool) {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if s.copies.ended {
		return nil, false
	}
	done := make(chan struct{})
	s.copies.copying = done
	return done, true
}

// recordCopyCall records the engine at which a call that copies the run may be in progress.
func (s *stream) recordCopyCall(at *vmlist.VM) {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	s.copies.copyingAt = at
}

// mayBeCopying reports whether a call that copies the run may be in progress at an engine.
func (s *stream) mayBeCopying(vm vmlist.VM) bool {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	return s.copies.copyingAt != nil && s.copies.copyingAt.ID == vm.ID
}

// addCopy stores a completed copy, or discards it if the stream has ended or goes on
// elsewhere.
func (s *stream) addCopy(rc *runCopy) {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if s.copies.ended || s.copies.engine != "" && s.copies.engine != rc.source.ID {
		s.g.inBackground(func() { s.discard(rc) })
		return
	}
	if old := s.copies.moved; old != nil {
		old.ticket.Release(0)
	}
	s.copies.moved = rc
	s.copies.record(rc, copyHeld, nil)
}

// releaseCopies releases all copies after the end of the stream. The engine frees a
// backup itself: at once if the run completed, otherwise when its lifetime expires.
func (s *stream) releaseCopies() {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	s.copies.ended = true
	if s.copies.backup != nil {
		s.copies.backup.ticket.Release(0)
		s.copies.backup = nil
	}
	if rc := s.copies.moved; rc != nil {
		s.copies.moved = nil
		s.g.inBackground(func() { s.discard(rc) })
	}
}

// discard frees a moved copy that was not used, unless its engine has asked for a pause.
func (s *stream) discard(rc *runCopy) {
	rc.ticket.Release(0)
	s.g.freeCopy(s.log, rc.source, rc.location.Handle)
}

// freeCopy frees a copy at the engine that made it, unless that has asked for a pause. The
// engine frees it by itself when its lifetime expires.
func (g *Gateway) freeCopy(log *zap.Logger, source vmlist.VM, handle string) {
	if g.isPaused(source) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), discardTimeout)
	defer cancel()
	if _, err := g.Engines.Discard(ctx, backend.TargetOf(source), handle); err != nil {
		log.Info("copy_not_freed", zap.String("backend", source.ID), telemetry.Error(err))
	}
}
