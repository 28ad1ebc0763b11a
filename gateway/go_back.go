package gateway

import (
	"context"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// An engine that has ended a run for a planned move keeps the memory of the run, and a request may
// go on from it there. The run goes back if the engine with the copy refuses the request or can't be
// reached: the stream would be cut otherwise, although its engine is sound.

// maxReturns is the number of returns after which an evacuation moves a run no more. Each counts
// against the retry budget, as does the request that was refused, and pauses the stream.
const maxReturns = 1

// beginMove begins a planned move. The ticket of the engine that the run leaves is kept until the run goes on.
// The returned function ends the move.
func (s *stream) beginMove(ticket dispatch.Ticket) (endMove func()) {
	ended := make(chan struct{})
	s.copies.mu.Lock()
	s.copies.moveEnded = ended
	s.copies.mu.Unlock()
	s.previousTicket = ticket
	return func() {
		s.releasePrevious()
		close(ended)
	}
}

// releasePrevious releases the ticket of the engine that the run has left, unless the run has gone back.
func (s *stream) releasePrevious() {
	if s.previousTicket != nil {
		s.previousTicket.Release(s.tokens())
		s.previousTicket = nil
	}
}

// goBack opens a segment at the engine that has ended the run for the copy source, if the engine
// still has the memory of the run and may get work. cause is why the run does not go on from source.
// It returns nil if the run can't go back. It is tried once for each planned move.
func (s *stream) goBack(source *connectedCopy, cause error) *segment {
	kept := s.copyToReturnTo(source, cause)
	if kept == nil {
		return nil
	}
	engine := source.end.engine
	back, err := s.connectTo(&runCopy{ticket: s.previousTicket, vm: engine, source: engine, location: *kept})
	if err != nil {
		s.logNotReturned(engine, notReturnedUnreachable, err)
		return nil
	}
	if source.backupAcquired {
		s.dropBackup() // It is named by no request that runs.
		source.backupAcquired = false
	}
	back.backupAcquired = s.acquireBackup(engine)
	ticket := s.previousTicket
	s.previousTicket = nil // It is the segment's.
	seg, err := s.open(ticket, engine, back)
	s.log.Info("run_returned", zap.String("backend", engine.ID), zap.String("from", source.vm.ID),
		zap.Int64("last_event", s.lastEvent), telemetry.NamedError("cause", cause), telemetry.Error(err))
	s.freeUnused(back.end, &back.from)
	if err != nil {
		s.previousTicket = ticket
		back.conn.Close()
		if back.backupAcquired {
			s.dropBackup()
		}
		return nil
	}
	s.g.Metrics.runsReturned.Inc(1)
	s.discardMovedCopy(source, back, cause)
	return seg
}

// copyToReturnTo returns the memory of the run at the engine that has ended it for the copy source, nil if
// the run can't or must not go back there.
func (s *stream) copyToReturnTo(source *connectedCopy, cause error) *edge.Copy {
	if state := usedState(cause); state != copyRefused && state != copyUnreachable {
		return nil // The next engine may have begun the run, and it must not be sent again.
	}
	if s.previousTicket == nil || source.end == nil || source.end.returnTried {
		return nil
	}
	source.end.returnTried = true
	ctx, cancel := context.WithTimeout(s.ctx, copyWaitTimeout)
	defer cancel()
	source.end.awaitCopy(ctx) // The answer names the memory.
	kept := source.end.keptCopy()
	if reason := s.whyNotReturned(source.end.engine, kept); reason != notReturnedNone {
		s.logNotReturned(source.end.engine, reason, cause)
		return nil
	}
	return kept
}

// discardMovedCopy frees and releases the copy source of a run that has gone back and continues from back.
func (s *stream) discardMovedCopy(source, back *connectedCopy, cause error) {
	s.recordCopy(source.runCopy, usedState(cause), cause)
	s.freeUnused(source.end, &back.from)
	if source.location != back.from {
		s.g.inBackground(func() { s.g.freeCopy(s.log, source.source, source.location.Handle) })
	}
	source.release()
}

// notReturnedReason is why a run does not go back to the engine that has ended it.
type notReturnedReason string

const (
	notReturnedNone notReturnedReason = ""
	// notReturnedNoMemory means that the engine has not named the memory of the run in time.
	notReturnedNoMemory notReturnedReason = "no_memory"
	// notReturnedNotAllowed means that the engine must get no work.
	notReturnedNotAllowed  notReturnedReason = "not_allowed"
	notReturnedUnreachable notReturnedReason = "unreachable"
)

// whyNotReturned returns why a run must not go back to the engine that has ended it. A return counts against
// the retry budget, but needs none left: this VM has ended a sound run, and there is one return at most for
// each copy that was refused.
func (s *stream) whyNotReturned(engine vmlist.VM, kept *edge.Copy) notReturnedReason {
	switch {
	case kept == nil:
		return notReturnedNoMemory
	case !s.g.mayReturnTo(engine):
		return notReturnedNotAllowed
	default:
		return notReturnedNone
	}
}

func (s *stream) logNotReturned(engine vmlist.VM, reason notReturnedReason, err error) {
	s.g.Metrics.countCut("runs_not_returned", string(reason))
	s.log.Info("run_not_returned", zap.String("backend", engine.ID), zap.String("reason", string(reason)), telemetry.Error(err))
}

// mayReturnTo reports whether a run may go back to an engine: one that is not paused, and
// is live or may still serve a run that goes on from its backup. That is no new work, but it must be sent
// before a leaving engine must get none.
func (g *Gateway) mayReturnTo(vm vmlist.VM) bool {
	return !g.isPaused(vm) && (g.isLive(vm) || g.mayHoldBackup(vm))
}

// keptCopy returns where the engine that has ended the run keeps its memory, nil if that is not known.
func (r *runEnd) keptCopy() *edge.Copy {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handle == "" {
		return nil
	}
	return &edge.Copy{Address: r.engine.Address, Handle: r.handle}
}

// awaitReturn waits until the planned move of a run has ended. It reports whether the run has gone back
// to the engine. It runs on the goroutine of the evacuation.
func (s *stream) awaitReturn(ctx context.Context, vm vmlist.VM) bool {
	s.copies.mu.Lock()
	moveEnded := s.copies.moveEnded
	s.copies.mu.Unlock()
	if moveEnded == nil {
		return false
	}
	select {
	case <-moveEnded:
		return s.isOn(vm)
	case <-ctx.Done():
		return false
	}
}
