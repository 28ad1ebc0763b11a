package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// EventOrderError reports a gap in the sequence of event ids.
type EventOrderError struct{ Last, Got int64 }

func (e *EventOrderError) Error() string {
	return fmt.Sprintf("event out of order: got id %d after %d", e.Got, e.Last)
}

// EventIDError reports an event whose id is not a number.
type EventIDError struct{ ID string }

func (e *EventIDError) Error() string { return fmt.Sprintf("event id %q is not a number", e.ID) }

// relay forwards the events of a segment until the stream is complete. It returns
// errSwitchover if leave returns true, which is called between two events.
func (s *stream) relay(seg *segment, leave func() bool) error {
	for {
		if leave() {
			return errSwitchover
		}
		event, err := seg.reader.next()
		if errors.Is(err, io.EOF) {
			return s.endOfStream(seg)
		}
		if err != nil {
			return err
		}
		fresh, err := s.acceptEvent(seg, event)
		if err != nil {
			return err
		}
		if !fresh {
			continue
		}
		if err := s.forward(seg, event, !seg.reader.buffered()); err != nil {
			return err
		}
		seg.ticket.Progress(s.tokens())
		s.reportBackupProgress()
	}
}

// endOfStream handles the end of a response after a complete event or none. Without
// a new event and without a length or chunks, the engine has broken off, whatever
// engines before it sent.
func (s *stream) endOfStream(seg *segment) error {
	if s.lastEvent == seg.startEvent && !seg.answer.Delimited {
		return &backend.UncertainError{Backend: seg.vm.ID, Cause: io.ErrUnexpectedEOF}
	}
	s.sendHead(seg.answer) // a stream without events
	return nil
}

// acceptEvent checks the id of an event and advances lastEvent. It returns false for
// an event that the caller already has. The first event of a new run may have any positive
// id. A run that goes on from a copy must begin where the caller is, since the events
// before may be lost with the engine that made them.
func (s *stream) acceptEvent(seg *segment, event []byte) (bool, error) {
	id := eventID(event)
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false, &EventIDError{ID: id}
	}
	if n <= s.lastEvent {
		return false, nil
	}
	if n != s.lastEvent+1 && (s.lastEvent > 0 || seg.fromCopy) {
		return false, &EventOrderError{Last: s.lastEvent, Got: n}
	}
	s.lastEvent = n
	return true, nil
}

// forward writes an event to the caller and flushes it on request.
func (s *stream) forward(seg *segment, event []byte, flush bool) error {
	if err := s.beginAt(seg.vm); err != nil {
		return err
	}
	s.sendHead(seg.answer)
	s.recordEvent(seg)
	_, err := s.w.Write(event)
	if err == nil && flush {
		err = http.NewResponseController(s.w).Flush()
	}
	s.writeErr = err
	return err
}

// recordEvent updates the counters and latencies for an event that arrived.
func (s *stream) recordEvent(seg *segment) {
	now := boottime.Now()
	s.events++
	if s.eventCount.Add(1) == 1 {
		s.firstEventAt.Store(int64(now))
		s.firstEvent = now - s.arrived
		s.g.Metrics.firstEvent.Update(s.firstEvent.Microseconds())
	} else {
		s.longestPause = max(s.longestPause, now-s.lastEventAt)
	}
	s.recordPace(seg, now)
	if seg.fromCopy && s.lastEvent == seg.startEvent+1 {
		s.log.Info("run_resumed", zap.String("backend", seg.vm.ID), zap.Duration("pause", now-s.lastEventAt), zap.Int64("event", s.lastEvent))
	}
	s.lastEventAt = now
	if s.eventCount.Load() >= minSuccessEvents {
		s.reportRunSuccess()
	}
}

// sendHead sends the head of the response, once per stream.
func (s *stream) sendHead(answer *backend.HTTPResponse) {
	if s.headSent {
		return
	}
	s.headSent = true
	h := s.w.Header()
	for name, values := range s.g.Edge.ReturnHeader(answer.Header) {
		h[name] = values
	}
	h.Del("Content-Length")
	s.beginAnswer()
	s.status = answer.Status
	s.w.WriteHeader(answer.Status)
	s.limitWrite()
}

// limitWrite bounds the time for which the response is held for a caller that does not read it.
func (c *call) limitWrite() {
	c.limitWriteTo(max(c.remaining(), 0) + responseGrace)
}

func (c *call) limitWriteTo(limit time.Duration) {
	if err := http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(limit)); err != nil {
		c.log.Debug("write_deadline_failed", telemetry.Error(err))
	}
}
