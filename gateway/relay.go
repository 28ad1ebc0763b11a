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

// EventOrderError reports an event that does not follow the one before.
type EventOrderError struct{ Last, Got int64 }

func (e *EventOrderError) Error() string {
	return fmt.Sprintf("event %d follows event %d", e.Got, e.Last)
}

// EventIDError reports an event without a number.
type EventIDError struct{ ID string }

func (e *EventIDError) Error() string { return fmt.Sprintf("event has the id %q", e.ID) }

// relay passes the events of a leg on until the stream is complete. It returns
// errSwitch when the run is to go on elsewhere.
func (s *stream) relay(l *leg) error {
	for {
		if s.switchWanted() {
			return errSwitch
		}
		event, err := l.reader.next()
		if errors.Is(err, io.EOF) {
			s.begin(l.answer) // a stream without events
			return nil
		}
		if err != nil {
			return err
		}
		fresh, err := s.follows(event)
		if err != nil {
			return err
		}
		if !fresh {
			continue
		}
		if err := s.forward(l, event, !l.reader.buffered()); err != nil {
			return err
		}
		l.ticket.Progress(s.tokens())
		s.backupProgress()
	}
}

// follows reports whether an event is the next one. Events that the caller has
// already are skipped.
func (s *stream) follows(event []byte) (bool, error) {
	id := eventID(event)
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false, &EventIDError{ID: id}
	}
	if n <= s.lastEvent {
		return false, nil
	}
	if n != s.lastEvent+1 && s.lastEvent > 0 {
		return false, &EventOrderError{Last: s.lastEvent, Got: n}
	}
	s.lastEvent = n
	return true, nil
}

// forward writes one event to the caller.
func (s *stream) forward(l *leg, event []byte, flush bool) error {
	s.begin(l.answer)
	s.count(l)
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return http.NewResponseController(s.w).Flush()
}

// count notes the arrival of an event.
func (s *stream) count(l *leg) {
	now := boottime.Now()
	s.events++
	if s.made.Add(1) == 1 {
		s.firstAt.Store(int64(now))
		s.firstEvent = now - s.arrived
		s.g.Metrics.firstEvent.Update(s.firstEvent.Microseconds())
	} else {
		s.longestPause = max(s.longestPause, now-s.lastAt)
	}
	if l.fromCopy && s.lastEvent == l.from+1 {
		s.log.Info("run_resumed", zap.String("backend", l.vm.ID), zap.Duration("pause", now-s.lastAt), zap.Int64("event", s.lastEvent))
	}
	s.lastAt = now
}

// begin sends the head of the answer.
func (s *stream) begin(answer *backend.HTTPResponse) {
	if s.begun {
		return
	}
	s.begun = true
	h := s.w.Header()
	for name, values := range s.g.Edge.Return(answer.Header) {
		h[name] = values
	}
	h.Del("Content-Length")
	s.status = answer.Status
	s.w.WriteHeader(answer.Status)
	if err := http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(s.remaining() + answerGrace)); err != nil {
		s.log.Debug("write_deadline_failed", telemetry.Error(err))
	}
}
