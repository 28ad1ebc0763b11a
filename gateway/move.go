package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/relocation"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// relocate copies the run to another engine and requests a switchover to it. If the run
// can't go on there, it is copied to a further engine, until its engine has stopped or is live
// again. The engine may go on for longer than it said. It runs on the goroutine of the
// evacuation.
func (s *stream) relocate(ctx context.Context, vm vmlist.VM, scheduled relocation.ScheduledCopy, noticedAt, leavesAt time.Duration) {
	// The run needs no copy after the caller has disconnected.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	wait.Sleep(ctx, noticedAt+scheduled.CopyAt-boottime.Now())
	excluded := []string{vm.ID}
	var returnedFrom []string
	for try := 0; s.isOn(vm) && !s.mayStayOn(vm) && len(returnedFrom) <= maxReturns; try++ {
		if len(returnedFrom) > 0 && !s.g.budget.Allows(s.service.Name, boottime.Now()) {
			// A second move that fails would cost two more requests.
			if !wait.Sleep(ctx, moveRetryInterval) {
				return
			}
			continue
		}
		rc, err := s.copyTo(ctx, vm, excluded, false)
		if rc != nil {
			excluded = append(excluded, rc.vm.ID)
		}
		if try == 0 || err == nil {
			s.logCopied(vm, scheduled, noticedAt, rc, err)
		}
		if err == nil && s.requestSwitch(ctx, vm.ID) {
			if !s.awaitReturn(ctx, vm) {
				return
			}
			returnedFrom = append(returnedFrom, rc.vm.ID)
		}
		interval := moveRetryInterval
		if boottime.Now() >= leavesAt || len(returnedFrom) > 0 {
			interval = lateMoveRetryInterval
		}
		if !wait.Sleep(ctx, interval) {
			return
		}
		if rc == nil {
			// No engine had capacity. One that failed before may accept the copy now.
			excluded = append([]string{vm.ID}, returnedFrom...)
		}
	}
}

// logCopied logs the copy of a run for the departure of its engine. rc is nil if no other engine had capacity.
func (s *stream) logCopied(engine vmlist.VM, scheduled relocation.ScheduledCopy, noticedAt time.Duration, rc *runCopy, err error) {
	fields := []zap.Field{
		zap.String("backend", engine.ID), zap.Bool("fits", scheduled.Fits), zap.Duration("planned", scheduled.CopiedAt),
		zap.Duration("since_notice", boottime.Now()-noticedAt), telemetry.Error(err),
	}
	if rc != nil {
		fields = append(fields, zap.String("target", rc.vm.ID), zap.Bool("same_zone", rc.vm.Zone == engine.Zone))
	}
	s.log.Info("run_copied", fields...)
}

// copyTo copies the run to another engine. If mayStay is set, the run may also stay where it is, and
// gets a place only if that delays no waiting request. If the copy fails after an engine was
// acquired, it returns that engine together with the error.
func (s *stream) copyTo(ctx context.Context, source vmlist.VM, excluded []string, mayStay bool) (*runCopy, error) {
	done, ok := s.beginCopy()
	if !ok {
		return nil, nil
	}
	defer close(done)
	acquiring, cancel := context.WithTimeout(ctx, targetAcquireTimeout)
	defer cancel()
	rule := s.mayHoldCopyOf(source)
	request := s.admissionRequest(excluded, s.rejectedBy(rule))
	// The same zone is preferred: a copy to another zone takes twice as long.
	request.Zone, request.Resumed, request.Spare = source.Zone, true, mayStay
	ticket, vm, err := s.acquireEngine(acquiring, request, rule)
	if err != nil {
		s.recordNotCopied(copyNotGranted, "", err)
		return nil, err
	}
	rc := &runCopy{ticket: ticket, vm: vm, source: source}
	if s.g.isPaused(source) {
		ticket.Release(0)
		err := s.g.Servers.Check(source)
		s.recordNotCopied(copyFailed, vm.ID, err)
		return rc, err
	}
	moving, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	s.recordCopyCall(&source)
	moved, err := s.g.Engines.Move(moving, backend.TargetOf(source),
		edge.MoveRequest{RunID: s.info.ID, To: vm.Address})
	if _, unknown := errors.Into[*backend.UncertainError](err); !unknown {
		s.recordCopyCall(nil)
	}
	if err != nil {
		ticket.Release(0)
		s.recordNotCopied(copyFailed, vm.ID, err)
		return rc, err
	}
	rc.location = edge.Copy{Address: source.Address, Handle: moved.Handle}
	s.addCopy(rc)
	return rc, nil
}

// recordNotCopied records that an attempt to copy the run has failed, unless an earlier one
// has not.
func (s *stream) recordNotCopied(state copyState, engine string, err error) {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if s.copies.moved == nil {
		s.copies.recordMoved(state, engine, err)
	}
}

// endsWithin reports whether the run is expected to end within d. The estimate is
// twice the time for the remaining tokens up to max_tokens at the rate so far.
func (s *stream) endsWithin(d time.Duration) bool {
	events := s.eventCount.Load()
	if s.info.MaxTokens <= 0 || events < 2 {
		return false
	}
	perEvent := (boottime.Now() - time.Duration(s.firstEventAt.Load())) / time.Duration(events-1)
	left := (s.info.MaxTokens-s.tokens())/s.service.Engine.TokensPerEvent + 1
	return time.Duration(left)*perEvent*2 < d
}
