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

// FuzzStream guards P1 and P2 against an engine that sends anything: a token
// out of order or twice, or an answer without its marker that looks whole.
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
				t.Errorf("the stream ended without its marker")
			}
			if err != nil {
				return
			}
			if token.Offset != want {
				t.Fatalf("token %d came as token %d", token.Offset, want)
			}
		}
	})
}

// TestErrorEventIsNoEnd guards against an error event that counts as the end of
// a complete answer because its data is the marker.
func TestErrorEventIsNoEnd(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	s := newStream(ctx, cancel, time.AfterFunc(time.Hour, func() {}), &StalledError{},
		io.NopCloser(bytes.NewReader([]byte("event: error\ndata: [DONE]\n\n"))), Target{ID: "e"}, openOptions{idleTimeout: time.Hour})
	defer s.Close()
	_, err := s.Next()
	if _, ok := errors.Into[*GenerationFailedError](err); !ok {
		t.Errorf("got %v, want a FailedError", err)
	}
}
