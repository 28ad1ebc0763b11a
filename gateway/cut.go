package gateway

import (
	"context"
	"net"
	"os"
	"syscall"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/internal/recovery"
	"github.com/vanillaarch/vanillaarch/membudget"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// cutReason is what ended the last connection to an engine of a stream that is cut after its first
// event. Why the stream did not go on from there is a noNextReason.
type cutReason string

const (
	// cutEngineBrokeOff means that the engine closed or reset the connection.
	cutEngineBrokeOff cutReason = "engine_broke_off"
	// cutPartialEvent means that the engine has sent a whole response that ends within an event.
	cutPartialEvent cutReason = "partial_event"
	// cutEngineUnreachable means that the network gave up the connection to the engine.
	cutEngineUnreachable cutReason = "engine_unreachable"

	// The reasons of planned moves: this VM had the engine end the run, or its connection broke
	// meanwhile, and the engine with the copy did not go on. It refused the request, could not be
	// sent the request, gave no answer, or gave one that is no stream.
	cutMoveRefused     cutReason = "move_refused"
	cutMoveUnreachable cutReason = "move_unreachable"
	cutMoveUnanswered  cutReason = "move_unanswered"
	cutMoveRejected    cutReason = "move_rejected"
	// cutMoveNotEnded means that the engine that the run has left may still work on it.
	cutMoveNotEnded cutReason = "move_not_ended"

	// cutEndTakenBack means that the engine closed the connection after this VM had asked it to end the
	// run for a planned move, and had taken that back since no answer came in time.
	cutEndTakenBack cutReason = "end_taken_back"

	// The reasons of what this VM rejects: the framing of the body, an event that is too large,
	// whose id is no number or whose id does not follow.
	cutMalformedBody cutReason = "malformed_body"
	cutEventTooLarge cutReason = "event_too_large"
	cutEventID       cutReason = "event_id"
	cutEventOrder    cutReason = "event_order"

	// cutMemoryRefused means that there was no memory for an event, cutMemoryEvicted that its
	// memory was given to the answer of another server.
	cutMemoryRefused cutReason = "memory_refused"
	cutMemoryEvicted cutReason = "memory_evicted"
	// cutClosedHere means that this VM closed the connection to the engine, cutCancelled that it
	// ended the attempt, in either case for none of the other reasons.
	cutClosedHere cutReason = "closed_here"
	cutCancelled  cutReason = "cancelled"
	// cutPanicked means that the handler of this VM panicked.
	cutPanicked cutReason = "panicked"

	// cutTimeLimit means that the time of the caller or of the route was up, cutWriteTimeLimit that
	// it was up while the caller did not read.
	cutTimeLimit      cutReason = "time_limit"
	cutWriteTimeLimit cutReason = "write_time_limit"
	cutVMStop         cutReason = "vm_stop"
	// cutWriteFailed means that the connection to the caller failed, cutCallerClosedHere that this
	// VM closed it.
	cutWriteFailed      cutReason = "write_failed"
	cutCallerClosedHere cutReason = "caller_closed_here"

	// cutUnknown means that none of the above is known to be true.
	cutUnknown cutReason = "unknown"
)

// cutEndedBy holds, for each reason, who ended the stream.
var cutEndedBy = map[cutReason]endedBy{
	cutEngineBrokeOff: endedByServer, cutPartialEvent: endedByServer,
	cutMoveRefused: endedBySwitchover, cutMoveUnreachable: endedBySwitchover, cutMoveUnanswered: endedBySwitchover,
	cutMoveRejected: endedBySwitchover, cutMoveNotEnded: endedBySwitchover, cutEndTakenBack: endedBySwitchover,
	cutMalformedBody: endedByVM, cutEventTooLarge: endedByVM, cutEventID: endedByVM, cutEventOrder: endedByVM,
	cutMemoryRefused: endedByVM, cutMemoryEvicted: endedByVM, cutClosedHere: endedByVM, cutCancelled: endedByVM,
	cutPanicked: endedByVM, cutCallerClosedHere: endedByVM,
	cutTimeLimit: endedByTimeLimit, cutWriteTimeLimit: endedByTimeLimit, cutVMStop: endedByStop,
	cutWriteFailed:       endedByCaller,
	cutEngineUnreachable: endedByUnknown, cutUnknown: endedByUnknown,
}

// whyCut returns why the stream is cut.
func (s *stream) whyCut() cutReason {
	left, stopping := s.g.drain.remaining()
	switch {
	case errors.Is(s.writeErr, os.ErrDeadlineExceeded):
		return cutWriteTimeLimit
	case stopping && left <= 0:
		return cutVMStop
	case errors.Is(s.writeErr, net.ErrClosed):
		return cutCallerClosedHere
	case s.writeErr != nil:
		return cutWriteFailed
	case errors.Is(s.segmentEnd, errSwitchover) && !s.moveTimedOut():
		return moveReason(s.moveErr)
	case errors.Is(s.segmentEnd, context.DeadlineExceeded), s.remaining() <= 0:
		return cutTimeLimit
	}
	reason := segmentReason(s.segmentEnd)
	if reason == cutEngineBrokeOff && s.endTakenBack {
		return cutEndTakenBack
	}
	return reason
}

// moveTimedOut reports whether the time of the stream was up while the engine with a moved copy was
// asked to go on.
func (s *stream) moveTimedOut() bool {
	return s.remaining() <= 0 && errors.Is(s.moveErr, context.DeadlineExceeded)
}

// moveReason returns why a run did not go on from a moved copy.
func moveReason(err error) cutReason {
	if _, notEnded := errors.Into[*RunNotEndedError](err); notEnded {
		return cutMoveNotEnded
	}
	switch state := usedState(err); {
	case state == copyRefused:
		return cutMoveRefused
	case state == copyUnreachable:
		return cutMoveUnreachable
	case backend.ConnectionLost(err), errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return cutMoveUnanswered
	case err == nil:
		return cutUnknown
	default:
		return cutMoveRejected
	}
}

// segmentReason returns the reason of an error that ended a segment, as far as the error alone shows it.
func segmentReason(err error) cutReason {
	_, memory := errors.Into[*membudget.ExceededError](err)
	_, evicted := errors.Into[*membudget.EvictedError](err)
	_, partial := errors.Into[*PartialEventError](err)
	_, large := errors.Into[*EventTooLargeError](err)
	_, id := errors.Into[*EventIDError](err)
	_, order := errors.Into[*EventOrderError](err)
	_, malformed := errors.Into[*backend.MalformedBodyError](err)
	_, panicked := errors.Into[*recovery.PanicError](err)
	switch {
	case memory:
		return cutMemoryRefused
	case evicted:
		return cutMemoryEvicted
	case partial:
		return cutPartialEvent
	case large:
		return cutEventTooLarge
	case id:
		return cutEventID
	case order:
		return cutEventOrder
	case malformed:
		return cutMalformedBody
	case panicked:
		return cutPanicked
	case errors.Is(err, net.ErrClosed):
		return cutClosedHere
	case errors.Is(err, context.Canceled):
		return cutCancelled
	case backend.ConnectionLost(err):
		return cutEngineBrokeOff
	case errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return cutEngineUnreachable
	default:
		return cutUnknown
	}
}

// noNextReason is why a stream that is cut was not sent to another engine.
type noNextReason string

const (
	// noNextNone means that the stream was sent to another engine, or may be.
	noNextNone noNextReason = ""
	// noNextNotRepeatable means that the request must not run twice, and no copy could be used.
	// What became of the copies is logged beside it.
	noNextNotRepeatable noNextReason = "not_repeatable"
	// noNextNotEnded means that the engine that the run has left may still work on it.
	noNextNotEnded noNextReason = "previous_not_ended"
	// noNextQuarantined means that the prompt or the request has crashed servers.
	noNextQuarantined noNextReason = "quarantined"
	// noNextAttempts and noNextBudget mean that the attempts of the route, or the retry budget of
	// the service, are exhausted.
	noNextAttempts noNextReason = "attempts"
	noNextBudget   noNextReason = "retry_budget"
	// noNextUnconfirmed means that the configuration is not confirmed.
	noNextUnconfirmed noNextReason = "configuration_unconfirmed"
	// noNextEngine means that no engine was granted.
	noNextEngine noNextReason = "no_engine"
	// noNextVersion means that no engine of the software version that began the stream is in service,
	// or that the version is not known.
	noNextVersion noNextReason = "software_version"
	// noNextTime means that the time was up, noNextEnded that the VM stops or the caller has left.
	noNextTime  noNextReason = "time_limit"
	noNextEnded noNextReason = "ended"
)

// cut ends a stream after its first event. err is the error of the last attempt to go on.
func (s *stream) cut(reason cutReason, err error) {
	s.ended = cutEndedBy[reason]
	s.g.Metrics.countCut("streams_cut", string(reason))
	if s.noNext != noNextNone {
		s.g.Metrics.countCut("streams_not_resumed", string(s.noNext))
	}
	fields := append(s.endFields(), zap.String("reason", string(reason)), zap.String("no_next", string(s.noNext)),
		zap.Int64("last_event", s.lastEvent), telemetry.NamedError("segment_error", s.segmentEnd))
	if s.moveErr != nil {
		fields = append(fields, telemetry.NamedError("move_error", s.moveErr))
	}
	s.log.Warn("stream_cut", append(fields, telemetry.NamedError("write_error", s.writeErr), telemetry.Error(err))...)
}
