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

// maxEventBytes bounds a single server-sent event of an engine's stream.
const maxEventBytes = 1 << 20

// Token is a token event of a generation.
type Token struct {
	// Offset is the position of the token in the generation, starting at 1.
	Offset int
	Text   string
	// FinishReason is set on the last token.
	FinishReason string
	// Preempted reports whether the engine preempted the generation before this token.
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
	// started reports whether a token was returned. Until then the watchdog
	// enforces the first-token timeout, which begins with the request.
	started bool
	done    bool
	// Duplicates counts the repeated tokens that were dropped.
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

// tokenData is the payload of an engine's token event.
type tokenData struct {
	api.Completion
	Preempted bool `json:"preempted,omitempty"`
}

// SetIdleTimeout sets the maximum gap between tokens. It applies from the next call
// of Next.
func (s *Stream) SetIdleTimeout(timeout time.Duration) { s.idleTimeout = timeout }

// Next returns the next token. Each offset is returned once and in order. Next
// returns io.EOF after the end marker; any other end of the stream is a
// *StalledError, *TruncatedError, *UnexpectedEventError or *GenerationFailedError.
func (s *Stream) Next() (Token, error) {
	if s.started {
		s.watchdog.Reset(s.idleTimeout)
	}
	// The watchdog runs only inside Next: time that the caller spends between
	// calls must not count as a stall of the engine. Repeated tokens do not reset it.
	defer s.watchdog.Stop()
	for {
		event, err, ok := s.next()
		if err != nil || !ok {
			return Token{}, s.endError(err)
		}
		if event.Type == api.EventError {
			return Token{}, &GenerationFailedError{Backend: s.backend, Detail: event.Data}
		}
		if event.Data == api.DoneMarker {
			s.done = true
			return Token{}, io.EOF
		}
		token, isNew, err := s.decode(event)
		if err != nil {
			return Token{}, err
		}
		if isNew {
			s.started = true
			return token, nil
		}
		s.Duplicates++
	}
}

// decode returns the token of an event. isNew is false for a token that was already
// returned.
func (s *Stream) decode(event sse.Event) (token Token, isNew bool, err error) {
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

// endError returns the typed error for a stream that ended without its end marker.
func (s *Stream) endError(err error) error {
	if errors.Is(context.Cause(s.ctx), error(s.stalled)) {
		return s.stalled
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return &TruncatedError{Backend: s.backend, Generation: s.want.Generation, Cause: err}
}

// Close closes the connection without cancelling the generation. If the end marker
// was read, it first reads the end of the response, so that the engine can finish it.
func (s *Stream) Close() {
	s.watchdog.Stop()
	if s.done {
		_, _ = io.Copy(io.Discard, io.LimitReader(s.body, 512))
	}
	s.cancel(nil)
	s.stop()
	_ = s.body.Close()
}

// Done reports whether the end marker was read.
func (s *Stream) Done() bool { return s.done }
