package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/quarantine"
	"github.com/vanillaarch/vanillaarch/softwareversion"
)

// maxStreamUnsentAttempts bounds the attempts that fail before anything is sent to
// the addressed engine.
const maxStreamUnsentAttempts = 6

// stream relays server-sent events to a caller. Its methods run on the goroutine of
// the request unless documented otherwise.
type stream struct {
	*call
	ctx context.Context
	// lastEvent is the id of the last event sent to the caller, lastEventAt the time
	// of its arrival.
	lastEvent   int64
	lastEventAt time.Duration
	// headSent is set once the head of the response has been sent. abandoned is set if the
	// response has ended after it, and before its end, since the caller has disconnected.
	headSent  bool
	abandoned bool
	// openSegment is nil if no segment is open.
	openSegment *segment
	// previousTicket is the ticket of the engine that the run has left in a planned move, until the run
	// goes on at the next one. It is nil otherwise.
	previousTicket dispatch.Ticket
	excluded       []string
	unsentAttempts int
	// eventCount is the number of events of the response, firstEventAt the time of the
	// first one.
	eventCount, firstEventAt atomic.Int64

	// copies tracks the copies of the run's KV cache.
	copies copies
	// sentBackup is the address of the engine that the current request names for the backup, "" if
	// it names none.
	sentBackup string
	// segmentEnd is the error that ended the last segment of which events were relayed, nil
	// before the first one has ended.
	segmentEnd error
	// moveErr is why the run did not go on from the copy for which it has left its last engine.
	moveErr error
	// endTakenBack is that of the segment that segmentEnd is of.
	endTakenBack bool
	// noNext is why the stream is not sent to another engine.
	noNext noNextReason
	// software is the software version that the stream is bound to.
	software softwareversion.Binding
	// firstEventOrigin is nil until the first event, and in a stream that the caller has taken up.
	firstEventOrigin atomic.Pointer[firstEventOrigin]
	// origin is the record of where the stream began.
	origin originRecord
	// unended holds the engines of previous segments that may still work on the run.
	unended []*unendedRun

	// succeeded is set once the run has written, failedBeforeSuccess once an engine broke the
	// connection before that.
	succeeded, failedBeforeSuccess bool
}

// errResponded ends a stream to which nothing more is sent: the engine's error
// response was forwarded, or the caller has disconnected.
var errResponded = errors.New("engine response already delivered")

// errSwitchover ends a segment whose run continues from a copy on another engine.
var errSwitchover = errors.New("run continues on another engine")

// stream serves a request with a stream of events. A request with the id of the
// last event resumes an earlier stream.
func (c *call) stream() error {
	ctx, cancel := c.context(true)
	defer cancel()
	defer c.returnPermit()
	s := &stream{call: c, ctx: ctx}
	c.run = s
	defer s.g.pace.endWait(s)
	defer s.releaseAfterPanic()
	if err := s.checkQuarantine(); err != nil {
		return s.giveUp(err)
	}
	if c.info.LastEvent != "" {
		n, err := strconv.ParseInt(c.info.LastEvent, 10, 64)
		if err != nil || n < 0 {
			return api.NewProblem(api.ProblemInvalidRequest, http.StatusBadRequest, api.OutcomeNotRun,
				"the id of the last event is not a number").WithCause(err)
		}
		s.lastEvent = n
	}
	if err := s.resolveTakeUp(); err != nil {
		return err
	}
	err := s.run()
	if _, begun := s.software.Version(); err == nil || !begun {
		s.endOrigin() // Nobody takes the stream up.
	}
	if errors.Is(err, errResponded) {
		s.abandoned = s.headSent
		return nil
	}
	return err
}

// releaseAfterPanic gives back the place at the engine of a segment that was not closed, which
// is so after a panic only.
func (s *stream) releaseAfterPanic() {
	if seg := s.openSegment; seg != nil {
		seg.cancel()
		s.leaveEngine(seg.vm)
		seg.ticket.Release(s.tokens())
	}
}

// run relays one segment after another until the stream is complete.
func (s *stream) run() error {
	defer s.releaseCopies()
	seg, err := s.openNext(nil)
	for err == nil {
		var source *connectedCopy
		source, err = s.relayUntilSwitch(seg)
		s.segmentEnd, s.endTakenBack = err, seg.endTakenBack
		if source != nil {
			seg, err = s.leaveTo(seg, source, err)
			continue
		}
		s.close(seg, err)
		if err == nil {
			if seg.answer.Delimited {
				s.reportRunSuccess()
			}
			return nil
		}
		seg, err = s.resume(seg, err)
	}
	return err
}

// leaveTo ends a segment whose engine has ended the run, and opens the next one: from source, at the same
// engine if source can't be used, or from another copy.
func (s *stream) leaveTo(seg *segment, source *connectedCopy, cause error) (*segment, error) {
	endMove := s.beginMove(seg.ticket)
	defer endMove()
	s.endSegment(seg, cause)
	next, err := s.openCopy(source)
	if err == nil || errors.Is(err, errResponded) {
		return next, err
	}
	s.moveErr = err
	s.releasePrevious() // The stream may wait for another engine.
	return s.resume(seg, err)
}

// openNext opens a segment without a copy: the first one, or the one after a
// failure with the given cause.
func (s *stream) openNext(cause error) (*segment, error) {
	for {
		if s.callerLeft() || cause != nil && !s.mayResume(cause) {
			return nil, s.giveUp(cause)
		}
		ticket, vm, err := s.acquire()
		if err != nil {
			s.noNext = whyNotAcquired(err)
			return nil, s.giveUp(err)
		}
		if s.callerLeft() {
			ticket.Release(0)
			return nil, s.giveUp(cause)
		}
		if err := s.acquireEnginePermit(vm); err != nil {
			ticket.Release(0)
			if s.ctx.Err() != nil {
				return nil, s.giveUp(err)
			}
			cause = nil // Admission avoids the engine until a permit is expected.
			continue
		}
		if err := s.confirmStart(vm); err != nil {
			ticket.Release(0)
			s.excluded = append(s.excluded, vm.ID)
			cause = nil // Nothing was sent to it, which is no attempt.
			continue
		}
		acquired := s.acquireBackup(vm)
		seg, err := s.open(ticket, vm, nil)
		if err == nil || errors.Is(err, errResponded) {
			return seg, err
		}
		if acquired {
			s.dropBackup()
		}
		if unusable(err) && s.ctx.Err() == nil {
			cause = nil // It announced that after it was granted, which is no attempt.
			continue
		}
		s.excluded = append(s.excluded, vm.ID)
		cause = err
	}
}

// resume opens the segment after one that has ended early. It continues from a copy
// of the run if there is one. Without a copy, the cause decides whether the run may
// start anew: the failure to open a copy says nothing about the run itself.
func (s *stream) resume(seg *segment, cause error) (*segment, error) {
	if s.callerLeft() {
		return nil, s.giveUp(cause)
	}
	s.excluded = append(s.excluded, seg.vm.ID)
	s.awaitCopy()
	for {
		for source := s.connectCopy(); source != nil; source = s.connectCopy() {
			source.backupAcquired = s.acquireBackup(source.vm)
			next, err := s.openCopy(source)
			if err == nil || errors.Is(err, errResponded) {
				return next, err
			}
		}
		if !s.awaitPausedCopy() {
			return s.openNext(cause)
		}
	}
}

// giveUp returns the error that ends the request after the last attempt.
func (s *stream) giveUp(err error) error {
	if s.callerLeft() && s.headSent {
		return errResponded
	}
	if s.headSent {
		s.cut(s.whyCut(), err)
		return errAborted
	}
	return s.failure(err)
}

// mayResume reports whether the stream may continue on another engine without a
// copy. It takes the retry from the retry budget.
func (s *stream) mayResume(err error) bool {
	s.noNext = s.whyNotResumed(err)
	return s.noNext == noNextNone
}

// whyNotResumed returns why the stream may not continue on another engine after an error, noNextNone if it
// may. It takes the retry from the retry budget, and counts attempts that were not sent.
func (s *stream) whyNotResumed(err error) noNextReason {
	if s.mayHaveRun && !s.route.Retryable() {
		return noNextNotRepeatable
	}
	if _, notEnded := errors.Into[*RunNotEndedError](err); notEnded {
		return noNextNotEnded
	}
	if s.failedBeforeSuccess && !s.g.Quarantine.MayRepeat(s.identity) || s.checkQuarantine() != nil {
		return noNextQuarantined
	}
	if _, notSent := errors.Into[*backend.NotSentError](err); (notSent || misdirected(err)) && !s.headSent {
		// The addressed engine was not reached, so no retry budget is taken.
		s.unsentAttempts++
		if s.unsentAttempts < maxStreamUnsentAttempts && s.remaining() > 0 {
			return noNextNone
		}
		return noNextAttempts
	}
	if !s.retryAllowed(s.ctx) {
		return s.whyNoRetry()
	}
	if !s.takeRetry() {
		return noNextBudget
	}
	return noNextNone
}

// whyNoRetry returns why retryAllowed does not allow a retry.
func (s *stream) whyNoRetry() noNextReason {
	switch {
	case s.remaining() <= 0:
		return noNextTime
	case s.ctx.Err() != nil:
		return noNextEnded
	case s.sends >= s.route.MaxAttempts:
		return noNextAttempts
	default:
		return noNextUnconfirmed
	}
}

// whyNotAcquired returns the reason of an error of acquire.
func whyNotAcquired(err error) noNextReason {
	if _, refused := errors.Into[*quarantine.RefusedError](err); refused {
		return noNextQuarantined
	}
	switch {
	case isVersionError(err):
		return noNextVersion
	case errors.Is(err, context.DeadlineExceeded):
		return noNextTime
	case errors.Is(err, context.Canceled):
		return noNextEnded
	default:
		return noNextEngine
	}
}

// tokens returns the number of tokens that were received for the caller.
func (s *stream) tokens() int {
	if s.service.Engine == nil {
		return 0
	}
	return int(s.eventCount.Load()) * s.service.Engine.TokensPerEvent
}

// hasEvents reports whether the first event has arrived.
func (s *stream) hasEvents() bool { return s.eventCount.Load() > 0 }
