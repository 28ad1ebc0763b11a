package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// endRunTimeout bounds the wait for an engine that is asked to end a run. An engine without
// the run answers at once. One that has the run stops it first, and answers when all of its
// memory is copied, which the run on the next engine need not wait for.
const endRunTimeout = 100 * time.Millisecond

// endPreviousRun makes sure that the engine of the previous segment does not work on the run
// beside the next engine. Most engines drop a run when its connection closes, but some work
// on until a final move stops them. The move comes after the connection is closed: of a run
// that still exists it copies the whole memory, and the last part of a backup queues behind
// that. Without an answer the run goes on: the engine has stopped it and copies, or this VM
// does not reach it.
func (s *stream) endPreviousRun(next vmlist.VM) {
	previous := s.unended
	s.unended = nil
	if previous == nil || previous.ID == next.ID || s.service.Engine == nil || !s.service.Engine.SupportsMove {
		return
	}
	begin := boottime.Now()
	stopped := make(chan bool, 1)
	s.g.background.Go(func() { stopped <- s.stopRun(*previous, next.Address) })
	fields := []zap.Field{zap.String("backend", previous.ID), zap.String("next", next.ID)}
	ctx, cancel := context.WithTimeout(s.ctx, endRunTimeout)
	defer cancel()
	select {
	case wasRunning := <-stopped:
		fields = append(fields, zap.Bool("answered", true), zap.Bool("was_running", wasRunning))
	case <-ctx.Done():
		fields = append(fields, zap.Bool("answered", false))
	}
	s.log.Info("previous_run_ended", append(fields, zap.Duration("elapsed", boottime.Now()-begin))...)
}

// stopRun stops the run at an engine with a final move to the engine at an address, and frees
// the copy. It reports whether the engine still had the run.
func (s *stream) stopRun(engine vmlist.VM, to string) (wasRunning bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), moveTimeout)
	defer cancel()
	moved, err := s.g.Engines.Move(ctx, backend.TargetOf(engine), edge.MoveRequest{RunID: s.info.ID, To: to, Final: true})
	handle := moved.Handle
	refused, ok := errors.Into[*edge.MoveError](err)
	if ok {
		handle = refused.Handle // The run has stopped, although the other engine took no copy.
	}
	if handle != "" {
		s.g.freeCopy(s.log, engine, handle)
		return true
	}
	if !ok || refused.Status != http.StatusNotFound {
		s.log.Info("run_end_unconfirmed", zap.String("backend", engine.ID), telemetry.Error(err))
	}
	return false
}

// mayStillRun reports whether an engine may work on a run whose segment has ended with err.
func mayStillRun(seg *segment, err error) bool {
	if err == nil || errors.Is(err, errResponded) {
		return false
	}
	if seg.answer != nil && seg.answer.Status != http.StatusOK {
		return false
	}
	_, notSent := errors.Into[*backend.NotSentError](err)
	_, refused := errors.Into[*RefusedError](err)
	return !notSent && !refused
}
