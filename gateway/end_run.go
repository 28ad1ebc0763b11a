package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/runend"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Limits of the time for which the next engine is held until the one before has ended the run.
// Callers give up a stream that pauses for two seconds, and the next engine needs a part of that.
const (
	// maxHeldPause is the time since the last event.
	maxHeldPause = 1500 * time.Millisecond
	// minHold applies if the run had already paused for longer. Two engines may work on a run for
	// as long by the users' rules.
	minHold = 400 * time.Millisecond
	// maxHoldBeforeEvents applies to a run without events.
	maxHoldBeforeEvents = time.Second
)

// RunNotEndedError reports that a run must not go on, since the engine that it has left may still
// work on it.
type RunNotEndedError struct {
	Engine string
	Reason runend.Reason
}

func (e *RunNotEndedError) Error() string {
	return fmt.Sprintf("engine %s has not ended the run: %s", e.Engine, e.Reason)
}

// unendedRun is a run at an engine that may still work on it after the run has left.
type unendedRun struct {
	engine vmlist.VM
	leftAt time.Duration
	// seen is set if the engine has sent events of the run.
	seen bool
	// end is nil until the next engine is known.
	end *runEnd
}

func (u *unendedRun) isAt(vm vmlist.VM) bool {
	return u.engine.ID == vm.ID && u.engine.Incarnation == vm.Incarnation
}

// oweEnd records that the engine of a segment may still work on the run.
func (s *stream) oweEnd(seg *segment) {
	for _, u := range s.unended {
		if u.isAt(seg.vm) {
			return // It is asked already.
		}
	}
	s.unended = append(s.unended, &unendedRun{engine: seg.vm, leftAt: boottime.Now(), seen: s.lastEvent > seg.startEvent})
}

// unendedEngines returns the ids of the engines that may still work on the run.
func (s *stream) unendedEngines() []string {
	var ids []string
	for _, u := range s.unended {
		ids = append(ids, u.engine.ID)
	}
	return ids
}

// endPreviousRuns makes sure that no engine that the run has left works on it beside the next one,
// as far as this VM can: each is asked to end the run, and the next engine is held until it has, is
// gone or out of reach, or the caller can't wait any longer. Those that have not ended the run by
// then are asked further in the background. It returns the end whose copy is at the next engine,
// nil if there is none, and a *RunNotEndedError if the run must not go on.
//
// A run that leaves a sound engine has been ended before, see leave. Otherwise its connection is
// closed, at which most engines drop it.
func (s *stream) endPreviousRuns(next vmlist.VM) (*runEnd, error) {
	if !s.mayAskToEnd() {
		s.unended = nil
		return nil, nil
	}
	s.beginEnds(next)
	var last *runEnd
	var unsettled []*unendedRun
	for i, u := range s.unended {
		if u.end == nil {
			unsettled = append(unsettled, u)
			continue
		}
		if err := s.awaitEnd(u, next); err != nil {
			s.unended = append(unsettled, s.unended[i:]...)
			return nil, err
		}
		if u.end.to == next.Address {
			last = u.end
		} else {
			s.freeUnused(u.end, nil)
		}
		if !u.end.isSettled() {
			unsettled = append(unsettled, u)
		}
	}
	s.unended = unsettled
	return last, nil
}

// mayAskToEnd reports whether the engines of the service know a call that ends a run.
func (s *stream) mayAskToEnd() bool { return s.service.Engine != nil && s.service.Engine.SupportsMove }

// beginEnds begins to ask the engines that may still work on the run. The next engine is not asked
// any more: it could take the request that follows for the run that it is to end.
func (s *stream) beginEnds(next vmlist.VM) {
	for _, u := range s.unended {
		switch {
		case u.isAt(next):
			if u.end != nil {
				u.end.abandon()
				u.end = nil
			}
		case u.end == nil:
			u.end = s.beginEnd(u, next, nil)
		}
	}
}

// awaitEnd waits until the next engine may begin.
func (s *stream) awaitEnd(u *unendedRun, next vmlist.VM) error {
	begin := boottime.Now()
	holdUntil := s.holdUntil(begin)
	for {
		v, changed := u.end.verdict(holdUntil)
		if v.Decision != runend.Hold {
			s.logVerdict(u, next, v, begin)
		}
		switch v.Decision {
		case runend.Begin:
			return nil
		case runend.GiveUp:
			return &RunNotEndedError{Engine: u.engine.ID, Reason: v.Reason}
		}
		timer := time.NewTimer(v.Until - boottime.Now())
		select {
		case <-changed:
		case <-timer.C:
		case <-s.ctx.Done():
			timer.Stop()
			return &backend.NotSentError{Backend: next.ID, Cause: context.Cause(s.ctx)}
		}
		timer.Stop()
	}
}

// holdUntil returns how long the next engine may be held.
func (s *stream) holdUntil(now time.Duration) time.Duration {
	until := now + maxHoldBeforeEvents
	if s.hasEvents() {
		until = max(now+minHold, s.lastEventAt+maxHeldPause)
	}
	return min(until, s.deadline)
}

func (s *stream) logVerdict(u *unendedRun, next vmlist.VM, v runend.Verdict, begin time.Duration) {
	fields := []zap.Field{
		zap.String("backend", u.engine.ID), zap.String("next", next.ID), zap.String("reason", string(v.Reason)),
		zap.Int("attempts", u.end.attemptCount()), zap.Duration("held", boottime.Now()-begin), zap.Duration("since_left", boottime.Now()-u.leftAt),
	}
	if v.Decision == runend.GiveUp {
		s.g.Metrics.countRunEnd("next_engine_not_allowed", string(v.Reason))
		s.log.Warn("next_engine_not_allowed", fields...)
		return
	}
	s.g.Metrics.countRunEnd("next_engine_allowed", string(v.Reason))
	s.log.Info("next_engine_allowed", fields...)
}

// runEnd asks an engine to end a run until the end is settled, also after the stream has ended.
type runEnd struct {
	g      *Gateway
	log    *zap.Logger
	runID  string
	engine vmlist.VM
	// to is the address of the engine to which the memory of the run is copied.
	to       string
	prepared *preparedEnd
	cancel   context.CancelFunc
	// done is closed once no attempt is in progress and none will be made. The handle is final then.
	done chan struct{}
	free sync.Once
	// returnTried is set once the run was to go back to the engine. It belongs to the goroutine of
	// the request.
	returnTried bool

	mu  sync.Mutex
	end *runend.End
	// changed is closed, and replaced, when the state may have changed.
	changed chan struct{}
	// handle names the memory of the run, "" if the engine did not have it any more. copied is
	// set if the next engine has all of that memory.
	handle string
	copied bool
	// inProgress counts the attempts in progress.
	inProgress int
	lastLogged runend.Outcome
}

// beginEnd begins to ask an engine to end the run, over the prepared connection if there is one.
func (s *stream) beginEnd(u *unendedRun, next vmlist.VM, prepared *preparedEnd) *runEnd {
	ctx, cancel := context.WithCancel(context.WithoutCancel(s.ctx))
	r := &runEnd{
		g: s.g, log: s.log, runID: s.info.ID, engine: u.engine, to: next.Address, prepared: prepared, cancel: cancel,
		done: make(chan struct{}), changed: make(chan struct{}),
		end: runend.NewEnd(runend.Options{
			Begin: boottime.Now(), TimeLimit: s.deadline, RunSeen: u.seen, CopyInProgress: s.mayBeCopying(u.engine), Prepared: prepared != nil,
		}),
	}
	s.g.inBackground(func() { r.run(ctx) })
	return r
}

// run makes the attempts.
func (r *runEnd) run(ctx context.Context) {
	defer close(r.done)
	defer r.cancel()
	for {
		step, changed, finished := r.next(ctx)
		if finished {
			break
		}
		if step.Kind == runend.Ask {
			r.g.inBackground(func() { r.attempt(ctx, step) })
			continue
		}
		r.await(ctx, step, changed)
	}
	r.logSettled()
}

// next returns the next step. finished is set once there is nothing left to do or to wait for.
func (r *runEnd) next(ctx context.Context) (step runend.Step, changed <-chan struct{}, finished bool) {
	now, listed := r.g.Snapshot().Backends[r.engine.ID]
	r.mu.Lock()
	defer r.mu.Unlock()
	if !listed || now.Incarnation != r.engine.Incarnation {
		r.end.Unlisted()
	}
	if ctx.Err() != nil || r.g.isClosing() {
		step = runend.Step{Kind: runend.Done}
	} else {
		step = r.end.Next(boottime.Now())
	}
	if step.Kind == runend.Ask {
		r.inProgress++
	}
	return step, r.changed, step.Kind == runend.Done && r.inProgress == 0
}

// await waits until the next step is due. Once the end is settled, it waits for the attempts in
// progress, whose answers tell what is left of the run.
func (r *runEnd) await(ctx context.Context, step runend.Step, changed <-chan struct{}) {
	if step.Kind == runend.Done {
		<-changed
		return
	}
	timer := time.NewTimer(step.Until - boottime.Now())
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	case <-r.g.closing:
	}
}

// update changes the state, and wakes those that wait for a change.
func (r *runEnd) update(f func(now time.Duration, e *runend.End)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(boottime.Now(), r.end)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runEnd) verdict(holdUntil time.Duration) (runend.Verdict, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end.Verdict(boottime.Now(), holdUntil), r.changed
}

func (r *runEnd) attemptCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end.Attempts()
}

func (r *runEnd) isSettled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end.State() != runend.Asked
}

// isDeclined reports whether the engine has answered without ending the run, or must not be asked.
func (r *runEnd) isDeclined() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end.Declined()
}

// abandon stops asking, and waits until no attempt is in progress.
func (r *runEnd) abandon() {
	r.cancel()
	<-r.done
}

func (r *runEnd) logSettled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.g.Metrics.countRunEnd("run_ends", string(r.end.State()))
	r.log.Info("run_end_settled", zap.String("backend", r.engine.ID), zap.String("state", string(r.end.State())),
		zap.Int("attempts", r.end.Attempts()), zap.Bool("was_running", r.handle != ""), zap.Bool("copied", r.copied))
}

// awaitCopy waits while the engine that is to end the run may be copying it to the next one: a call
// was sent to it and is not answered.
func (r *runEnd) awaitCopy(ctx context.Context) {
	for {
		r.mu.Lock()
		waits, changed := r.end.AwaitsAnswer(), r.changed
		r.mu.Unlock()
		if !waits {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// location returns where the next engine has all of the run's memory. It returns nil if it
// does not, or if that is not known yet.
func (r *runEnd) location() *edge.Copy {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.copied {
		return nil
	}
	return &edge.Copy{Address: r.engine.Address, Handle: r.handle}
}

// freeUnused frees the memory that an engine has left of a run that it has ended, unless the run
// goes on from it. used is where the run goes on from, nil if it does not.
//
// An engine may have extended an earlier copy, and then the copy that the run goes on from
// has the same handle. So nothing may be freed before it is known which copy is used.
func (s *stream) freeUnused(r *runEnd, used *edge.Copy) {
	if r == nil {
		return
	}
	r.free.Do(func() {
		s.g.inBackground(func() {
			<-r.done
			isUsed := used != nil && *used == edge.Copy{Address: r.engine.Address, Handle: r.handle}
			if r.handle != "" && !isUsed {
				s.g.freeCopy(s.log, r.engine, r.handle)
			}
		})
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
