package backend_test

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/internal/standin"
)

// TestSlowReader guards against treating an engine as stalled because the caller
// reads slowly. The connection would be closed, and the engine would drop the
// generation after 30 s without a reader.
func TestSlowReader(t *testing.T) {
	const idle, length = 100 * time.Millisecond, 20
	server := httptest.NewServer(standin.NewEngine(standin.EngineOptions{ID: "engine-1", TokenInterval: time.Millisecond}))
	defer server.Close()
	engines := backend.NewEngineClient()
	defer engines.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	target := backend.Target{ID: "engine-1", Address: server.Listener.Addr().String()}
	stream, err := engines.Start(ctx, target, api.CompletionRequest{Prompt: "[tokens=20]"},
		backend.StartOptions{Generation: api.NewGenerationID("engine-1", "org"), FirstTokenTimeout: time.Second, IdleTimeout: idle})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	for want := 1; ; want++ {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) && want == length+1 {
			return
		}
		if err != nil || token.Offset != want {
			t.Fatalf("token %d: got %+v and error %v", want, token, err)
		}
		if want == 3 {
			time.Sleep(3 * idle)
		}
	}
}
