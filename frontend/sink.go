package frontend

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"
	"github.com/tmaxmax/go-sse"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/telemetry"
)

// sink writes the answer of one request to the caller.
type sink interface {
	// token writes one token of generation g, or buffers it.
	token(g api.GenerationID, t backend.Token) error
	// started reports whether the response has been started.
	started() bool
	// reset discards buffered tokens before another generation starts.
	reset()
	// finish completes the answer.
	finish() error
	// fail returns p. If the response has started, p is also sent as its last event.
	fail(p *api.Problem) error
}

func newSink(c *call, r api.CompletionRequest) sink {
	if r.Stream {
		return &eventSink{c: c}
	}
	return &documentSink{c: c, request: r}
}

// eventSink sends each token as a server-sent event.
type eventSink struct {
	c         *call
	committed bool
}

func (s *eventSink) started() bool { return s.committed }
func (s *eventSink) reset()        {}

func (s *eventSink) commit() {
	if s.committed {
		return
	}
	s.committed = true
	h := s.c.Response().Header()
	h.Set(echo.HeaderContentType, api.ContentTypeEventStream)
	h.Set("Cache-Control", "no-store")
	s.c.Response().WriteHeader(http.StatusOK)
}

func (s *eventSink) token(g api.GenerationID, t backend.Token) error {
	id := api.EventID{Generation: g.String(), Offset: t.Offset}
	data, err := json.Marshal(api.Completion{
		ID:      g.String(),
		Choices: []api.Choice{{Text: t.Text, FinishReason: t.FinishReason}},
	})
	if err != nil {
		return errors.Wrap(err, "encode token")
	}
	return s.send(sse.Message{ID: sse.ID(id.String())}, string(data))
}

func (s *eventSink) send(m sse.Message, data string) error {
	s.commit()
	m.AppendData(data)
	if _, err := m.WriteTo(s.c.Response()); err != nil {
		return errors.Wrap(err, "write event")
	}
	s.c.Response().Flush()
	return nil
}

func (s *eventSink) finish() error { return s.send(sse.Message{}, api.DoneMarker) }

func (s *eventSink) fail(p *api.Problem) error {
	if !s.committed {
		return p
	}
	p.TraceID = telemetry.TraceID(s.c.ctx)
	data, err := json.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "encode problem")
	}
	if err := s.send(sse.Message{Type: sse.Type(api.EventError)}, string(data)); err != nil {
		p.Cause = errors.Join(p.Cause, err)
	}
	return p
}

// documentSink buffers the whole answer and sends it as one JSON document.
type documentSink struct {
	c          *call
	request    api.CompletionRequest
	generation string
	text       strings.Builder
	tokens     int
	reason     string
}

func (s *documentSink) started() bool { return false }

func (s *documentSink) reset() {
	s.text.Reset()
	s.tokens, s.reason = 0, ""
}

func (s *documentSink) token(g api.GenerationID, t backend.Token) error {
	limit := s.c.answerLimit
	if int64(s.text.Len()+len(t.Text)) > limit {
		return api.NewProblem(api.ProblemAnswerTooLarge, http.StatusBadGateway, api.OutcomeFailed,
			fmt.Sprintf("the answer exceeds %d bytes; request a stream", limit))
	}
	s.generation, s.reason = g.String(), t.FinishReason
	s.text.WriteString(t.Text)
	s.tokens++
	return nil
}

func (s *documentSink) finish() error {
	return s.c.JSON(http.StatusOK, api.Completion{
		ID: s.generation, Model: s.request.Model,
		Choices: []api.Choice{{Text: s.text.String(), FinishReason: s.reason}},
		Usage:   &api.Usage{PromptTokens: 1 + len(s.request.Prompt)/bytesPerToken, CompletionTokens: s.tokens},
	})
}

func (s *documentSink) fail(p *api.Problem) error { return p }

func writeProblem(c echo.Context, p *api.Problem) error {
	data, err := json.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "encode problem")
	}
	if p.RetryAfter > 0 {
		setRetryAfter(c.Response().Header(), p.RetryAfter)
	}
	return c.Blob(p.Status, api.ContentTypeProblem, data)
}

// setRetryAfter sets when a request may be sent again, in whole seconds.
func setRetryAfter(h http.Header, d time.Duration) {
	h.Set(backend.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(d.Seconds()))))
}
