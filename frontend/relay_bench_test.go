package frontend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
)

// BenchmarkForwardToken measures the cost of forwarding one token from an engine's
// stream to a caller's: parsing, checking the offset, encoding and writing.
func BenchmarkForwardToken(b *testing.B) {
	generation := api.NewGenerationID("engine-1", "org")
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := 1; i <= b.N; i++ {
			fmt.Fprintf(w, "id: %s:%d\ndata: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"text\":\"word \"}]}\n\n", generation, i, generation)
		}
		fmt.Fprintf(w, "data: %s\n\n", api.DoneMarker)
	}))
	defer engine.Close()
	engines := backend.NewEngineClient()
	defer engines.Close()
	target := backend.Target{ID: "engine-1", Address: strings.TrimPrefix(engine.URL, "http://")}
	writer := &discardWriter{header: http.Header{}}
	ec := echo.New().NewContext(httptest.NewRequest(http.MethodPost, "/v1/completions", nil), writer)
	s := newSink(&call{Context: ec}, api.CompletionRequest{Stream: true})
	b.ReportAllocs()
	b.ResetTimer()
	stream, err := engines.Start(context.Background(), target, api.CompletionRequest{Model: "m", Prompt: "p"},
		backend.StartOptions{Generation: generation, FirstTokenTimeout: time.Minute, IdleTimeout: time.Minute})
	if err != nil {
		b.Fatal(err)
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			b.Fatal(err)
		}
		if err := s.token(generation, token); err != nil {
			b.Fatal(err)
		}
	}
}

type discardWriter struct{ header http.Header }

func (w *discardWriter) Header() http.Header         { return w.header }
func (w *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardWriter) WriteHeader(int)             {}
func (w *discardWriter) Flush()                      {}
