package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/membudget"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// segment is the part of a stream that one engine produces over one connection.
type segment struct {
	ticket  dispatch.Ticket
	vm      vmlist.VM
	answer  *backend.HTTPResponse
	reader  *eventReader
	memory  *membudget.Reservation
	cancel  context.CancelFunc
	started time.Duration
	// startEvent is the last event before the segment. A segment that continues
	// from a copy counts as resumed once its first event has arrived.
	startEvent int64
	fromCopy   bool
	// endTakenBack is set if the engine was asked to end the run, and the call was taken back before
	// an answer came.
	endTakenBack bool
}

// RefusedError reports a response that states that the request was not executed.
type RefusedError struct {
	Backend string
	Status  int
	// OtherServer is set if another server than the addressed one has refused the request.
	OtherServer bool
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("backend %s refused the request with status %d", e.Backend, e.Status)
}

// open sends the request to an engine and reads the head of its response. source is
// the connected copy from which the run continues, nil for a new run. For a new run,
// open releases the ticket if it returns an error; otherwise the caller still owns it.
func (s *stream) open(ticket dispatch.Ticket, vm vmlist.VM, source *connectedCopy) (*segment, error) {
	if err := s.beforeOpen(vm, source); err != nil {
		if source == nil {
			ticket.Release(0)
		}
		return nil, err
	}
	ctx, cancel := context.WithCancel(s.ctx)
	seg := &segment{ticket: ticket, vm: vm, cancel: cancel, started: boottime.Now(), startEvent: s.lastEvent, fromCopy: source != nil}
	s.openSegment = seg
	s.enterEngine(vm)
	if !s.hasEvents() {
		s.g.pace.beginWait(s, seg.started)
	}
	if err := s.send(ctx, seg, source); err != nil {
		s.closeConnection(seg, err)
		s.reportRunFailure(seg, err)
		if source == nil {
			s.lastServer = vm
			s.reportEngineFailure(seg, err)
			ticket.Release(0)
		}
		return nil, err
	}
	s.lastServer = vm
	seg.reader = newEventReader(seg.answer, seg.memory)
	return seg, nil
}

// beforeOpen checks that an engine may run the rest of the stream, and makes sure that no other works on it.
func (s *stream) beforeOpen(vm vmlist.VM, source *connectedCopy) error {
	if err := s.checkVersion(vm); err != nil {
		return &backend.NotSentError{Backend: vm.ID, Cause: err}
	}
	return s.leavePreviousEngines(vm, source)
}

// leavePreviousEngines makes sure that the engines that the run has left do not work on it beside the
// engine that is next.
func (s *stream) leavePreviousEngines(next vmlist.VM, source *connectedCopy) error {
	end, err := s.endPreviousRuns(next)
	if source == nil {
		s.freeUnused(end, nil)
		return err
	}
	source.useFinal(end)
	return err
}

// send makes one attempt and checks the head of the response.
func (s *stream) send(ctx context.Context, seg *segment, source *connectedCopy) error {
	a := edge.Attempt{
		Server: seg.vm, Remaining: s.remaining(), Organisation: s.organisationName(), Priority: s.priority(),
		Backup: s.backupAddress(seg.vm),
	}
	s.sentBackup = a.Backup
	if source != nil {
		a.Copy = &source.from
	}
	if s.lastEvent > 0 {
		a.LastEvent = strconv.FormatInt(s.lastEvent, 10)
	}
	if err := s.checkConfirmed(); err != nil && source == nil {
		return &backend.NotSentError{Backend: seg.vm.ID, Cause: err}
	}
	if err := s.checkQuarantine(); err != nil && source == nil {
		return &backend.NotSentError{Backend: seg.vm.ID, Cause: err}
	}
	if source == nil {
		if err := s.recordOrigin(seg.vm); err != nil {
			return &backend.NotSentError{Backend: seg.vm.ID, Cause: err}
		}
	}
	before := s.mayHaveRun
	request := s.request(a)
	seg.memory = request.Memory
	answer, err := s.exchange(ctx, seg.vm, source, request)
	if err != nil {
		if ctx.Err() == nil && !unusable(err) && !isQuarantined(err) {
			s.g.recordUnreachable(seg.vm, err)
		}
		return err
	}
	seg.answer = answer
	err = s.checkResponseHead(seg, source != nil, before)
	if misdirected(err) {
		s.g.recordUnreachable(seg.vm, err)
		return err
	}
	s.g.Breaker.RecordResponse(seg.vm.ID)
	return err
}

// exchange sends the request: over the connection of source if the run continues from a
// copy, else as a new attempt.
func (s *stream) exchange(ctx context.Context, vm vmlist.VM, source *connectedCopy, r *backend.HTTPRequest) (*backend.HTTPResponse, error) {
	if source == nil {
		return s.sendAttempt(ctx, vm, r)
	}
	s.logResend(vm.ID, true)
	// Continuing a run is no new attempt, but it counts against the retry budget.
	s.g.budget.Charge(s.service.Name, boottime.Now())
	sentAt := boottime.Now()
	answer, err := source.conn.Do(ctx, r)
	s.g.finishRequest(source.started, vm, sentAt, s.info.ID, answer)
	return answer, err
}

// checkResponseHead returns an error if the response is no signed success.
func (s *stream) checkResponseHead(seg *segment, fromCopy, ranBefore bool) error {
	info := s.g.Edge.DecodeResponse(seg.answer.Status, seg.answer.Header)
	if info.NotRun {
		if !fromCopy {
			s.revertAttempt(ranBefore, seg.answer.Status)
		}
		return &RefusedError{Backend: seg.vm.ID, Status: seg.answer.Status, OtherServer: s.fromOtherServer(seg.answer.Status)}
	}
	if seg.answer.Status != http.StatusOK {
		return s.deliverEngineFailure(seg.answer, seg.vm, info)
	}
	if !info.Signed {
		return &backend.UncertainError{Backend: seg.vm.ID, Cause: &UnsignedError{Status: seg.answer.Status}}
	}
	return nil
}

// hasUnread reports whether events or the end of the stream have arrived that were not
// relayed yet.
func (seg *segment) hasUnread() bool { return seg.reader.buffered() || seg.answer.HasUnread() }

// close closes the connection of a segment and releases its ticket.
func (s *stream) close(seg *segment, err error) {
	s.endSegment(seg, err)
	seg.ticket.Release(s.tokens())
}

// endSegment closes the connection of a segment.
func (s *stream) endSegment(seg *segment, err error) {
	s.closeConnection(seg, err)
	s.reportRunFailure(seg, err)
	s.reportEngineFailure(seg, err)
}

// reportEngineFailure reports an engine to the dispatcher if it failed the run
// before the first event. It ignores failures after the caller has disconnected or
// the deadline has passed.
func (s *stream) reportEngineFailure(seg *segment, err error) {
	if err == nil || s.hasEvents() || s.ctx.Err() != nil || s.remaining() <= 0 {
		return
	}
	if _, notSent := errors.Into[*backend.NotSentError](err); notSent || withoutMemory(err) {
		return
	}
	if _, refused := errors.Into[*RefusedError](err); refused {
		return
	}
	if seg.answer != nil && s.g.Edge.DecodeResponse(seg.answer.Status, seg.answer.Header).Notice.AsksForPause() {
		return // A pause is no failure, also if the answer does not say that the request did not run.
	}
	if errors.Is(err, errResponded) && !serverError(seg.answer.Status) {
		return
	}
	seg.ticket.Failed()
	s.g.Metrics.runsFailedBeforeEvent.Inc(1)
	s.log.Info("engine_failed_run", zap.String("backend", seg.vm.ID), zap.Duration("engine_age", engineAge(seg.vm)),
		zap.String("organisation", s.organisationName()), zap.Int("prompt_tokens", s.info.PromptTokens),
		promptParts(s.info.Prefix), s.identity.Field(), telemetry.Error(err))
}

// engineAge returns the time since the start of an engine, by the wall clock.
func engineAge(vm vmlist.VM) time.Duration { return time.Since(time.UnixMilli(vm.Incarnation)) }

// maxLoggedParts bounds the prompt parts in a log line.
const maxLoggedParts = 8

// promptParts returns a log field with the ids of the parts of a prompt that other
// requests may share.
func promptParts(prefix []edge.PromptPart) zap.Field {
	ids := sharedParts(prefix)
	return zap.Strings("prompt_parts", ids[:min(len(ids), maxLoggedParts)])
}

// serverError reports whether a status means that the engine is at fault. 504 means
// that the deadline of the request has passed.
func serverError(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout
}

func (s *stream) closeConnection(seg *segment, err error) {
	s.openSegment = nil
	if seg.answer != nil {
		seg.answer.Close()
	}
	seg.cancel()
	s.g.pace.endWait(s)
	seg.memory.Release()
	s.logMemory(seg.vm.ID, err)
	s.leaveEngine(seg.vm)
	if mayStillRun(seg, err) {
		s.oweEnd(seg)
	}
	s.recordResult(seg.vm.ID, err)
	s.recordWorkAfterCaller()
	fields := []zap.Field{
		zap.String("backend", seg.vm.ID), zap.String("service", s.service.Name),
		zap.Int("send", s.sends), zap.Bool("from_copy", seg.fromCopy), zap.Int64("from_event", seg.startEvent),
		zap.Int64("to_event", s.lastEvent), zap.Duration("elapsed", boottime.Now()-seg.started), telemetry.Error(err),
	}
	s.log.Info("attempt_done", append(fields, s.sinceLeft()...)...)
}

// deliverEngineFailure forwards the engine's error response to the caller and
// returns errResponded. It returns another error if the head of a response was already
// sent, or if the status would wrongly tell the caller that the request did not run.
// It does not read the body then, which may not end.
func (s *stream) deliverEngineFailure(answer *backend.HTTPResponse, vm vmlist.VM, info edge.ResponseInfo) error {
	if s.headSent || impliesNotRun(answer.Status) {
		return &backend.UncertainError{Backend: vm.ID, Cause: &backend.RejectedError{Backend: vm.ID, Status: answer.Status}}
	}
	complete, err := s.readPlain(answer, vm, info)
	if err != nil {
		return err
	}
	if err := s.deliver(complete); err != nil {
		return err
	}
	return errResponded
}

// impliesNotRun reports whether a status tells the caller that the request was not
// executed. Such a response is forwarded only if the backend server explicitly
// confirms it.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
