package backend

import (
	"bytes"
	"context"
	"io"
	"regexp"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/api"
)

var markerLine = regexp.MustCompile(`(?m)(^|\r)data: ?\[DONE\](\r|$)`)

// FuzzStream feeds arbitrary engine output to a stream. It guards P1 and P2: no
// token is returned twice or out of order, and no stream without an end marker is
// reported as complete.
func FuzzStream(f *testing.F) {
	id := api.GenerationID{Backend: "e", Token: "0123456789abcdef0123456789abcdef"}
	event := func(offset, text string) string {
		return "id: " + id.String() + ":" + offset + "\ndata: {\"choices\":[{\"text\":\"" + text + "\"}]}\n\n"
	}
	for _, seed := range []string{
		"", "data: [DONE]\n\n", "event: error\ndata: [DONE]\n\n", "data: [DONE]",
		event("1", "a") + event("2", "b") + "data: [DONE]\n\n", event("1", "a") + event("1", "a") + event("3", "c"),
		event("1", "a") + event("+2", "b"), event("0", "a") + event("1", "a"), event("1", "[DONE]"), "data\r\rdata: x\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		ctx, cancel := context.WithCancelCause(context.Background())
		watchdog := time.AfterFunc(time.Hour, func() {})
		s := newStream(ctx, cancel, watchdog, &StalledError{}, io.NopCloser(bytes.NewReader(body)),
			Target{ID: "e"}, openOptions{generation: id, idleTimeout: time.Hour})
		defer s.Close()
		for want := 1; ; want++ {
			token, err := s.Next()
			if errors.Is(err, io.EOF) && (!markerLine.Match(body) || !s.Done()) {
				t.Errorf("the stream ended without an end marker, but Next returned io.EOF")
			}
			if err != nil {
				return
			}
			if token.Offset != want {
				t.Fatalf("got token %d, want token %d", token.Offset, want)
			}
		}
	})
}

// TestErrorEventIsNotEndOfStream guards against treating an error event as the end of
// a complete stream because its data equals the end marker.
func TestErrorEventIsNotEndOfStream(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	s := newStream(ctx, cancel, time.AfterFunc(time.Hour, func() {}), &StalledError{},
		io.NopCloser(bytes.NewReader([]byte("event: error\ndata: [DONE]\n\n"))), Target{ID: "e"}, openOptions{idleTimeout: time.Hour})
	defer s.Close()
	_, err := s.Next()
	if _, ok := errors.Into[*GenerationFailedError](err); !ok {
		t.Errorf("got %v, want a GenerationFailedError", err)
	}
}
