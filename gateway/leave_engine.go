package gateway

import (
	"io"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/runend"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// Timing of a run that leaves a sound engine. It goes on there until the engine has ended it.
const (
	// minLeaveInterval and maxLeaveInterval bound the time between two attempts to leave.
	minLeaveInterval = 100 * time.Millisecond
	maxLeaveInterval = 800 * time.Millisecond
	// maxEndWait bounds the time for which one attempt asks the engine to end the run.
	maxEndWait = 400 * time.Millisecond
	// closeDelay is the time after which the connection of a run that its engine has ended is
	// closed if the engine does not close it.
	closeDelay = 50 * time.Millisecond
)

// leaveAttempts spaces the attempts of a run to leave its engine that fail since the engine is not
// ready to end it.
type leaveAttempts struct {
	interval, next time.Duration
}

func (l *leaveAttempts) isDue() bool { return boottime.Now() >= l.next }

func (l *leaveAttempts) delay() {
	l.interval = min(max(2*l.interval, minLeaveInterval), maxLeaveInterval)
	l.next = boottime.Now() + l.interval
}

// relayUntilSwitch relays a segment until it ends, or until the run is to go on from the
// returned copy. The engine has ended the run then, or its connection has ended, and no event of
// the engine is relayed any more. If the engine does not end the run, it goes on there.
//
// Events that have arrived are relayed first. The end of the run may be among them, after
// which the engine with the copy refuses the request.
func (s *stream) relayUntilSwitch(seg *segment) (*connectedCopy, error) {
	var attempts leaveAttempts
	for lost := 0; ; {
		err := s.relay(seg, func() bool { return s.switchRequested() && !seg.hasUnread() && attempts.isDue() })
		if !errors.Is(err, errSwitchover) {
			return nil, err
		}
		source, err := s.connectBoth(seg)
		if err != nil {
			s.log.Info("run_stays", zap.String("backend", seg.vm.ID), telemetry.Error(err))
			attempts.delay()
			continue
		}
		if source == nil {
			s.stay()
			continue
		}
		err = s.relayUntilSettled(seg)
		isQuiet, mayEnd := source.conn.IsQuiet(), source.prepared.isUsable()
		ready := isQuiet && s.g.maySendStarted(source.vm)
		if errors.Is(err, errSwitchover) && ready && mayEnd {
			var left bool
			if left, err = s.leave(seg, source); left {
				return source, errSwitchover
			}
			mayEnd = false
		} else {
			s.log.Info("run_stays", zap.String("backend", seg.vm.ID), zap.String("copy_at", source.vm.ID),
				zap.String("copy_engine_state", string(s.g.stateOf(source.vm))), zap.Bool("connection_lost", !isQuiet),
				zap.Bool("may_end", mayEnd))
		}
		s.returnCopy(source)
		if !errors.Is(err, errSwitchover) {
			return nil, err
		}
		if ready && !mayEnd {
			attempts.delay()
			continue
		}
		if lost++; isQuiet || lost > maxReconnects {
			lost = 0
			s.stay()
		}
	}
}

// connectBoth connects to the engine with the moved copy, and to the engine of the segment for the
// call that ends the run there. The copy is nil if its engine can't be used, the error tells why the
// run can't be ended now.
func (s *stream) connectBoth(seg *segment) (*connectedCopy, error) {
	prepared, err := s.prepareEnd(seg.vm)
	if err != nil {
		return nil, err
	}
	source := s.connectMoved()
	if source == nil {
		prepared.close()
		return nil, nil
	}
	source.prepared = prepared
	source.backupAcquired = s.acquireBackup(source.vm)
	return source, nil
}

// relayUntilSettled relays what arrives until a new connection counts as sound.
func (s *stream) relayUntilSettled(seg *segment) error {
	connected := boottime.Now()
	return s.relay(seg, func() bool {
		s.awaitSettled(seg, connected+settleTime)
		return !seg.hasUnread() || boottime.Now() >= connected+maxCatchUp
	})
}

// leave asks a sound engine to end the run while its events are still relayed. It returns true if the
// run has left the engine. If the engine does not end it, the run stays, and err is errSwitchover or
// what has ended the segment.
func (s *stream) leave(seg *segment, source *connectedCopy) (left bool, err error) {
	if !s.mayAskToEnd() || !seg.answer.Delimited {
		// The close of a stream without a length or chunks would look like its end.
		source.takePrepared().close()
		return true, errSwitchover
	}
	u := &unendedRun{engine: seg.vm, leftAt: boottime.Now(), seen: true}
	u.end = s.beginEnd(u, source.vm, source.takePrepared())
	defer u.end.closeWhenSettled(seg)()
	err = s.relay(seg, func() bool {
		return !u.end.isSettled() && (u.end.isDeclined() || boottime.Now() >= u.leftAt+maxEndWait)
	})
	if err == nil || errors.Is(err, errSwitchover) {
		// The run has ended by itself, or goes on: it must not be ended later.
		seg.endTakenBack = err != nil && !u.end.isDeclined()
		u.end.abandon()
		s.freeUnused(u.end, nil)
		if err != nil {
			s.log.Info("run_stays", zap.String("backend", seg.vm.ID), zap.String("copy_at", source.vm.ID), zap.Bool("end_declined", u.end.isDeclined()))
		}
		return false, err
	}
	s.unended = append(s.unended, u)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		u.end.update(func(_ time.Duration, e *runend.End) { e.StreamClosed() })
	}
	return u.end.isSettled() || backend.ConnectionLost(err), err
}

// closeWhenSettled closes the connection of a segment some time after its run has been ended, unless
// the returned function is called before. An engine that ends a run closes its connection.
func (r *runEnd) closeWhenSettled(seg *segment) (stop func()) {
	stopped := make(chan struct{})
	r.g.inBackground(func() {
		if r.waitSettled(stopped) {
			select {
			case <-time.After(closeDelay):
				seg.cancel()
			case <-stopped:
			}
		}
	})
	return func() { close(stopped) }
}

// waitSettled waits until the end is settled. It returns false if stopped is closed before.
func (r *runEnd) waitSettled(stopped <-chan struct{}) bool {
	for {
		r.mu.Lock()
		settled, changed := r.end.State() != runend.Asked, r.changed
		r.mu.Unlock()
		if settled {
			return true
		}
		select {
		case <-changed:
		case <-stopped:
			return false
		}
	}
}
