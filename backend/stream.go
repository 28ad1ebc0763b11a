package backend

import (
	"context"
	"encoding/json"
	"io"
	"iter"
	"time"

	"github.com/go-faster/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/vanillaarch/vanillaarch/api"
)

// maxEventBytes bounds one event of an engine's stream.
const maxEventBytes = 1 << 20

// Token is one token event of a generation.
type Token struct {
	// Offset counts tokens of the generation from 1.
	Offset int
	Text   string
	// FinishReason is set on the last token.
	FinishReason string
	// Preempted says that the engine pushed the generation aside before this token.
	Preempted bool
}

// Stream reads the tokens of one generation over one connection. It is not
// safe for concurrent use.
type Stream struct {
	ctx         context.Context
	cancel      context.CancelCauseFunc
	watchdog    *time.Timer
	stalled     *StalledError
	body        io.ReadCloser
	backend     string
	want        api.EventID
	idleTimeout time.Duration
	next        func() (sse.Event, error, bool)
	stop        func()
	// started says that an event has arrived. Until then the watchdog runs from
	// the moment of the request.
	started bool
	done    bool
	// Duplicates counts tokens that arrived again and were dropped.
	Duplicates int
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, watchdog *time.Timer, stalled *StalledError,
	body io.ReadCloser, t Target, o openOptions,
) *Stream {
	next, stop := iter.Pull2(sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}))
	return &Stream{
		ctx: ctx, cancel: cancel, watchdog: watchdog, stalled: stalled, body: body, backend: t.ID,
		want:        api.EventID{Generation: o.generation.String(), Offset: o.offset + 1},
		idleTimeout: o.idleTimeout, next: next, stop: stop,
	}
}

// tokenData is the data of an engine's token event.
type tokenData struct {
	api.Completion
	Preempted bool `json:"preempted,omitempty"`
}

// SetIdleTimeout changes the bound of the gap between tokens from the next call of Next on.
func (s *Stream) SetIdleTimeout(idle time.Duration) { s.idleTimeout = idle }

// Next returns the next token, each offset once and in order. It returns
// io.EOF after the finish marker; any other end of the stream is a
// *StalledError, *TruncatedError, *MismatchError or *FailedError.
func (s *Stream) Next() (Token, error) {
	if s.started {
		s.watchdog.Reset(s.idleTimeout)
	}
	// A caller that reads slowly does not make the engine stalled.
	defer s.watchdog.Stop()
	for {
		event, err, ok := s.next()
		if err != nil || !ok {
			return Token{}, s.endError(err)
		}
		s.started = true
		s.watchdog.Reset(s.idleTimeout)
		if event.Type == api.EventError {
			return Token{}, &GenerationFailedError{Backend: s.backend, Detail: event.Data}
		}
		if event.Data == api.DoneMarker {
			s.done = true
			return Token{}, io.EOF
		}
		token, fresh, err := s.decode(event)
		if err != nil {
			return Token{}, err
		}
		if fresh {
			return token, nil
		}
		s.Duplicates++
	}
}

func (s *Stream) decode(event sse.Event) (token Token, fresh bool, err error) {
	id, err := api.ParseEventID(event.LastEventID)
	if err != nil || id.Generation != s.want.Generation || id.Offset > s.want.Offset {
		return Token{}, false, &UnexpectedEventError{Backend: s.backend, Want: s.want.String(), Got: event.LastEventID}
	}
	if id.Offset < s.want.Offset {
		return Token{}, false, nil
	}
	var data tokenData
	if err := json.Unmarshal([]byte(event.Data), &data); err != nil || len(data.Choices) != 1 {
		return Token{}, false, &UnexpectedEventError{Backend: s.backend, Want: s.want.String(), Got: event.Data}
	}
	s.want.Offset++
	choice := data.Choices[0]
	return Token{Offset: id.Offset, Text: choice.Text, FinishReason: choice.FinishReason, Preempted: data.Preempted}, true, nil
}

// endError returns the typed reason for a stream that endError without its marker.
func (s *Stream) endError(err error) error {
	if errors.Is(context.Cause(s.ctx), error(s.stalled)) {
		return s.stalled
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return &TruncatedError{Backend: s.backend, Generation: s.want.Generation, Cause: err}
}

// Close releases the connection. It does not cancel the generation. A stream
// that was read to its end keeps its connection for reuse.
func (s *Stream) Close() {
	s.watchdog.Stop()
	if s.done {
		_, _ = io.Copy(io.Discard, io.LimitReader(s.body, 512))
	}
	s.cancel(nil)
	s.stop()
	_ = s.body.Close()
}

// Done reports whether the finish marker was read.
func (s *Stream) Done() bool { return s.done }
