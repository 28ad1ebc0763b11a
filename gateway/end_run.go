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

// finalMove is a final move that ends a run at the engine of its previous segment.
type finalMove struct {
	engine vmlist.VM
	// done is closed once the engine has answered, or has not in time. The other fields are
	// valid from then on.
	done chan struct{}
	// handle names the memory of the run, "" if the engine did not have it any more. copied is
	// set if the next engine has all of that memory.
	handle string
	copied bool
}

// ended reports whether the engine has answered.
func (m *finalMove) ended() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// location returns where the next engine has all of the run's memory. It returns nil if it
// does not, or if that is not known yet.
func (m *finalMove) location() *edge.Copy {
	if m == nil || !m.ended() || !m.copied {
		return nil
	}
	return &edge.Copy{Address: m.engine.Address, Handle: m.handle}
}

// endPreviousRun makes sure that the engine of the previous segment does not work on the run
// beside the next engine. Most engines drop a run when its connection closes, but some work
// on until a final move stops them. The move comes after the connection is closed: of a run
// that still exists it copies the whole memory, and the last part of a backup queues behind
// that. Without an answer the run goes on: the engine has stopped it and copies, or this VM
// does not reach it. It returns nil if no move was needed.
func (s *stream) endPreviousRun(next vmlist.VM) *finalMove {
	previous := s.unended
	if previous == nil || previous.ID == next.ID || s.service.Engine == nil || !s.service.Engine.SupportsMove {
		return nil // An engine that is asked again may still have the run if it refuses.
	}
	s.unended = nil
	begin := boottime.Now()
	move := &finalMove{engine: *previous, done: make(chan struct{})}
	s.g.inBackground(func() {
		defer close(move.done)
		s.stopRun(move, next.Address)
	})
	fields := []zap.Field{zap.String("backend", previous.ID), zap.String("next", next.ID)}
	ctx, cancel := context.WithTimeout(s.ctx, endRunTimeout)
	defer cancel()
	select {
	case <-move.done:
		fields = append(fields, zap.Bool("answered", true), zap.Bool("was_running", move.handle != ""), zap.Bool("copied", move.copied))
	case <-ctx.Done():
		fields = append(fields, zap.Bool("answered", false))
	}
	s.log.Info("previous_run_ended", append(fields, zap.Duration("elapsed", boottime.Now()-begin))...)
	return move
}

// stopRun stops the run at the engine of a move that copies it to the engine at an address.
func (s *stream) stopRun(move *finalMove, to string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), moveTimeout)
	defer cancel()
	moved, err := s.g.Engines.Move(ctx, backend.TargetOf(move.engine), edge.MoveRequest{RunID: s.info.ID, To: to, Final: true})
	move.handle, move.copied = moved.Handle, err == nil && moved.Handle != ""
	refused, ok := errors.Into[*edge.MoveError](err)
	if ok {
		move.handle = refused.Handle // The run has stopped, although the other engine took no copy.
	}
	if move.handle == "" && (!ok || refused.Status != http.StatusNotFound) {
		s.log.Info("run_end_unconfirmed", zap.String("backend", move.engine.ID), telemetry.Error(err))
	}
}

// freeUnused frees the memory that a final move has left at the engine, unless the run goes
// on from it. used is where the run goes on from, nil if it does not.
//
// An engine may have extended an earlier copy, and then the copy that the run goes on from
// has the same handle. So nothing may be freed before it is known which copy is used.
func (s *stream) freeUnused(move *finalMove, used *edge.Copy) {
	if move == nil {
		return
	}
	s.g.inBackground(func() {
		<-move.done
		isUsed := used != nil && *used == edge.Copy{Address: move.engine.Address, Handle: move.handle}
		if move.handle != "" && !isUsed {
			s.g.freeCopy(s.log, move.engine, move.handle)
		}
	})
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
