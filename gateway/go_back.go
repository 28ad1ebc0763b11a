package gateway

import (
	"context"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// An engine that has ended a run for a planned move keeps the memory of the run, and a request may
// go on from it there. The run goes back if the engine with the copy refuses it or can't be sent it: the
// stream would be cut otherwise, although its engine is sound.

// maxReturns is the number of returns after which an evacuation moves a run no more. Each counts twice
// against the retry budget, without which a run can't go back, and pauses the stream.
const maxReturns = 1

// leaveFor keeps the place of a run at the engine that it leaves in a planned move until it is known
// that it goes on elsewhere. The returned function ends that.
func (s *stream) leaveFor(ticket dispatch.Ticket) (settled func()) {
	result := make(chan struct{})
	s.copies.mu.Lock()
	s.copies.goingOn = result
	s.copies.mu.Unlock()
	s.left = ticket
	return func() {
		s.releaseLeft()
		close(result)
	}
}

// releaseLeft gives back the place at the engine that the run has left, if it has not gone back.
func (s *stream) releaseLeft() {
	if s.left != nil {
		s.left.Release(s.tokens())
		s.left = nil
	}
}

// goBack opens a segment at the engine that has ended the run for the copy source, if the engine
// still has the memory of the run and may get work. cause is why the run does not go on from source.
// It returns nil if the run can't go back. It is tried once for each planned move.
func (s *stream) goBack(source *connectedCopy, cause error) *segment {
	if state := usedState(cause); state != copyRefused && state != copyUnreachable {
		return nil // The next engine may have begun the run, and it must not be sent again.
	}
	if s.left == nil || source.end == nil || source.end.returnTried {
		return nil
	}
	source.end.returnTried = true
	ctx, cancel := context.WithTimeout(s.ctx, copyWaitTimeout)
	defer cancel()
	source.end.awaitCopy(ctx) // The answer names the memory.
	engine, kept := source.end.engine, source.end.kept()
	if kept == nil || !s.g.mayReturnTo(engine) || !s.g.budget.Allows(s.service.Name, boottime.Now()) {
		return nil
	}
	back, err := s.connectTo(&runCopy{ticket: s.left, vm: engine, source: engine, location: *kept})
	if err != nil {
		s.log.Info("run_not_returned", zap.String("backend", engine.ID), telemetry.Error(err))
		return nil
	}
	if source.backupAcquired {
		s.dropBackup() // It is named by no request that runs.
		source.backupAcquired = false
	}
	back.backupAcquired = s.acquireBackup(engine)
	ticket := s.left
	s.left = nil // It is the segment's.
	seg, err := s.open(ticket, engine, back)
	s.log.Info("run_returned", zap.String("backend", engine.ID), zap.String("from", source.vm.ID),
		zap.Int64("last_event", s.lastEvent), telemetry.NamedError("cause", cause), telemetry.Error(err))
	s.freeUnused(back.end, &back.from)
	if err != nil {
		s.left = ticket
		back.conn.Close()
		if back.backupAcquired {
			s.dropBackup()
		}
		return nil
	}
	s.g.Metrics.runsReturned.Inc(1)
	s.recordCopy(source.runCopy, usedState(cause), cause)
	s.freeUnused(source.end, &back.from)
	if source.location != back.from {
		s.g.inBackground(func() { s.g.freeCopy(s.log, source.source, source.location.Handle) })
	}
	source.release()
	return seg
}

// mayReturnTo reports whether a run may go back to an engine: as to one with a backup, that is no new
// work, and it must end before a leaving engine must get none.
func (g *Gateway) mayReturnTo(vm vmlist.VM) bool {
	return !g.isPaused(vm) && (g.isLive(vm) || g.mayHoldBackup(vm))
}

// kept returns where the engine that has ended the run keeps its memory, nil if that is not known.
func (r *runEnd) kept() *edge.Copy {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handle == "" {
		return nil
	}
	return &edge.Copy{Address: r.engine.Address, Handle: r.handle}
}

// comesBack waits until a run that has left an engine in a planned move goes on. It returns true if
// it goes on at that engine. It runs on the goroutine of the evacuation.
func (s *stream) comesBack(ctx context.Context, vm vmlist.VM) bool {
	s.copies.mu.Lock()
	goingOn := s.copies.goingOn
	s.copies.mu.Unlock()
	if goingOn == nil {
		return false
	}
	select {
	case <-goingOn:
		return s.isOn(vm)
	case <-ctx.Done():
		return false
	}
}
