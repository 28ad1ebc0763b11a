package gateway

import (
	"context"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/telemetry"
)

// requestSwitch asks the relay to continue the run from a copy, and waits for the
// result. It returns true if the context or the stream ends first, since nothing is
// left to move then. It runs on the goroutine of the evacuation.
func (s *stream) requestSwitch(ctx context.Context) bool {
	s.copies.mu.Lock()
	if s.copies.ended || s.copies.switchResult != nil || !s.hasCopy() {
		s.copies.mu.Unlock()
		return false
	}
	result := make(chan bool, 1)
	s.copies.switchResult = result
	s.copies.mu.Unlock()
	select {
	case ok := <-result:
		return ok
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return true
}

// switchRequested reports whether a switchover to a copy is pending.
func (s *stream) switchRequested() bool {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	return s.copies.switchResult != nil
}

// switchOver opens a segment on an engine with a copy and closes the current one.
// If that fails, it returns the current segment.
func (s *stream) switchOver(seg *segment) *segment {
	next := seg
	if rc := s.takeCopy(); rc != nil {
		if opened, err := s.openCopy(rc); err == nil {
			next = opened
			s.close(seg, errSwitchover)
		} else {
			s.returnCopy(rc, err)
		}
	}
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	s.copies.switchResult <- next != seg
	s.copies.switchResult = nil
	return next
}

// returnCopy keeps a backup that its engine refused because it had not arrived yet;
// it arrives within a few hundred milliseconds. Any other copy is released.
func (s *stream) returnCopy(rc *runCopy, err error) {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if _, refused := errors.Into[*RefusedError](err); !refused || rc.location.Address != rc.vm.Address {
		rc.ticket.Release(0)
		return
	}
	s.copies.backup = rc
}

// openCopy opens a segment that continues the run from a copy. The caller still
// owns the copy if there is an error.
func (s *stream) openCopy(rc *runCopy) (*segment, error) {
	acquired := s.acquireBackup(rc.vm)
	seg, err := s.open(rc.ticket, rc.vm, &rc.location)
	if err != nil && acquired {
		s.dropBackup()
	}
	s.log.Info("run_goes_on", zap.String("backend", rc.vm.ID), zap.String("copy_at", rc.location.Address),
		zap.Int64("last_event", s.lastEvent), telemetry.Error(err))
	return seg, err
}
