package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// maxCopyPause bounds the wait for an engine with a copy that has asked for a pause. Callers
// give up a stream that pauses for two seconds.
const maxCopyPause = 1200 * time.Millisecond

// refusedAskDelay is the time after which an engine that has refused to go on from a copy is
// asked once more. Callers give up a stream that pauses for two seconds, and each request counts
// against the retry budget of the service.
const refusedAskDelay = 500 * time.Millisecond

// openCopy opens a segment that continues the run from a copy, or from the memory at the engine that
// it has left for that copy, if the copy can't be used. It releases the copy if there is an error.
func (s *stream) openCopy(source *connectedCopy) (*segment, error) {
	sentAt := boottime.Now()
	seg, err := s.open(source.ticket, source.vm, source)
	for reconnects := 0; err != nil; reconnects++ {
		again := s.connectFinal(source, err)
		if again == nil && usedState(err) == copyRefused {
			if back := s.goBack(source, err); back != nil {
				return back, nil
			}
		}
		if again == nil {
			again = s.askAgain(source, err, reconnects)
		}
		if again == nil {
			break
		}
		source = again
		seg, err = s.open(source.ticket, source.vm, source)
	}
	if err != nil {
		if back := s.goBack(source, err); back != nil {
			return back, nil
		}
	}
	s.freeRest(source, err)
	s.recordCopy(source.runCopy, usedState(err), err)
	if err != nil {
		source.release()
	}
	if err != nil && source.backupAcquired {
		s.dropBackup()
	}
	s.log.Info("run_goes_on", zap.String("backend", source.vm.ID), zap.String("copy_at", source.location.Address),
		zap.Int64("last_event", s.lastEvent), zap.Duration("head_after", boottime.Now()-sentAt), telemetry.Error(err))
	return seg, err
}

// connectFinal connects once more to the engine that has refused to go on from a copy, if
// the end of the run at its previous engine has put all of the run's memory there since. It returns nil if not.
func (s *stream) connectFinal(source *connectedCopy, err error) *connectedCopy {
	if usedState(err) != copyRefused || source.end == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, copyWaitTimeout)
	defer cancel()
	source.end.awaitCopy(ctx)
	if at := source.end.location(); at == nil || *at == source.from {
		return nil
	}
	final := s.connectAgain(source, err)
	if final != nil {
		final.useFinal(source.end)
	}
	return final
}

// askAgain connects once more to the engine with a copy, after some time, if the request may
// be sent again: the connection was lost before an answer came, or the engine has refused it,
// no other one has a copy, and the run has made events that a copy can go on from. It returns
// nil if not. attempt counts the requests before. To
// ask again starts no second run: an engine lets a copy be used once, and refuses the request
// after that.
func (s *stream) askAgain(source *connectedCopy, err error, attempt int) *connectedCopy {
	delay, ok := delayOfNextAsk(err, attempt)
	_, refused := errors.Into[*RefusedError](err)
	if !ok || refused && (!s.hasEvents() || s.hasCopyBeside(source)) || !s.mayAskAgain() {
		return nil
	}
	delay = max(delay, s.g.pausedFor(source.vm))
	if delay > maxCopyPause || delay >= s.remaining() || !wait.Sleep(s.ctx, delay) || !s.g.mayContinueAt(source.vm) {
		return nil
	}
	return s.connectAgain(source, err)
}

// mayAskAgain reports whether the retry budget lets the engine with a copy be asked again. A run in a planned move
// needs no budget left: this VM has ended it at a sound engine, and delayOfNextAsk bounds the requests.
func (s *stream) mayAskAgain() bool {
	return s.previousTicket != nil || s.g.budget.Allows(s.service.Name, boottime.Now())
}

// delayOfNextAsk returns the time after which the engine with a copy may be asked again, and
// false if it must not be. An engine that is full refuses a run that goes on from its backup,
// and has room again when another run ends.
func delayOfNextAsk(err error, attempt int) (time.Duration, bool) {
	if refused, ok := errors.Into[*RefusedError](err); ok {
		return refusedAskDelay, !refused.OtherServer && attempt == 0
	}
	_, notSent := errors.Into[*backend.NotSentError](err)
	lost := notSent || backend.ConnectionLost(err)
	return reconnectInterval, lost && !unusable(err) && attempt < maxReconnects
}

// awaitPausedCopy waits until the first engine that has a copy and has asked for a pause may
// be used again, if that is soon enough. It returns false if there is none.
func (s *stream) awaitPausedCopy() bool {
	s.copies.mu.Lock()
	first := time.Duration(0)
	for _, rc := range []*runCopy{s.copies.moved, s.copies.backup} {
		if rc == nil || !s.g.isLive(rc.vm) {
			continue
		}
		if pause := s.g.pausedFor(rc.vm); pause > 0 && (first == 0 || pause < first) {
			first = pause
		}
	}
	s.copies.mu.Unlock()
	if first == 0 || first > maxCopyPause || first >= s.remaining() {
		return false
	}
	return wait.Sleep(s.ctx, first)
}

// connectAgain connects to the engine with a copy after a request for it has failed.
func (s *stream) connectAgain(source *connectedCopy, cause error) *connectedCopy {
	again, err := s.connectTo(source.runCopy)
	if err != nil {
		s.log.Info("copy_unreachable", zap.String("backend", source.vm.ID), telemetry.Error(err))
		return nil
	}
	s.log.Info("copy_asked_again", zap.String("backend", source.vm.ID), telemetry.NamedError("previous_error", cause))
	again.backupAcquired, again.from, again.end = source.backupAcquired, source.from, source.end
	return again
}

// freeRest frees the copies that remain after the run has gone on from a copy, or after it
// could not. err is the error of that.
func (s *stream) freeRest(source *connectedCopy, err error) {
	if err != nil {
		s.freeUnused(source.end, nil)
		return
	}
	s.freeUnused(source.end, &source.from)
	if source.isMoved() && source.from != source.location {
		s.g.inBackground(func() { s.g.freeCopy(s.log, source.source, source.location.Handle) })
	}
}
