package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/api"
	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/enginemodel"
)

// startModelEngine starts an engine model with little memory and short steps.
func startModelEngine(t *testing.T) (*Server, *backend.EngineClient, backend.Target) {
	t.Helper()
	s := enginemodel.DefaultSettings()
	s.Blocks, s.CacheBlocks, s.WatermarkBlocks, s.CacheEventLoss = 24, 6, 1, 0
	s.StepBase, s.StepPerSequence, s.StepPerPrefillToken = time.Millisecond, 0, 0
	s.LoadLag, s.CacheEventLag = 20*time.Millisecond, 20*time.Millisecond
	server, err := Listen("127.0.0.1:0", NewEngine(EngineOptions{ID: "e", Model: &s}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	engines := backend.NewEngineClient()
	t.Cleanup(engines.Close)
	return server, engines, backend.Target{ID: "e", Address: server.Address()}
}

// readStream reads a stream to its end and returns the number of its tokens and
// of those flagged as preempted.
func readStream(s *backend.Stream) (tokens, preempted int, err error) {
	defer s.Close()
	for {
		token, err := s.Next()
		if errors.Is(err, io.EOF) {
			return tokens, preempted, nil
		}
		if err != nil {
			return tokens, preempted, err
		}
		tokens++
		if token.Preempted {
			preempted++
		}
	}
}

func startStream(engines *backend.EngineClient, target backend.Target, g api.GenerationID, prompt string, priority int) (*backend.Stream, error) {
	return engines.Start(context.Background(), target, api.CompletionRequest{Prompt: prompt}, backend.StartOptions{
		Generation: g, Priority: priority, FirstTokenTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second,
	})
}

// Guards against an engine that loses tokens when its memory is full, does not
// report preemptions, or preempts the generation of higher priority.
func TestModelledEngineFlagsPreemptions(t *testing.T) {
	_, engines, target := startModelEngine(t)
	var wg sync.WaitGroup
	flagged := make([]int, 2)
	for priority := range flagged {
		wg.Go(func() {
			s, err := startStream(engines, target, api.NewGenerationID("e", "org"), "quote [tokens=250]", priority)
			if err != nil {
				t.Error(err)
				return
			}
			tokens, preempted, err := readStream(s)
			if tokens != 250 || err != nil {
				t.Errorf("priority %d: %d of 250 tokens, %v", priority, tokens, err)
			}
			flagged[priority] = preempted
		})
	}
	wg.Wait()
	if flagged[0] == 0 || flagged[1] != 0 {
		t.Errorf("tokens flagged as preempted by priority: %v", flagged)
	}
}

// Guards against a resume that starts over or skips tokens, a second generation
// for a known id, and a generation that exceeds the memory but ends without an
// error event.
func TestModelledEngineResumesAndFails(t *testing.T) {
	_, engines, target := startModelEngine(t)
	g := api.NewGenerationID("e", "org")
	first, err := startStream(engines, target, g, "quote [tokens=60]", 0)
	if err != nil {
		t.Fatal(err)
	}
	for range 10 {
		if _, err := first.Next(); err != nil {
			t.Fatal(err)
		}
	}
	first.Close()
	resumed, err := engines.Resume(context.Background(), target, g, 10, 5*time.Second, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if tokens, _, err := readStream(resumed); tokens != 50 || err != nil {
		t.Errorf("resumed after 10 of 60: %d tokens, %v, want 50", tokens, err)
	}
	again, err := startStream(engines, target, g, "quote [tokens=60]", 0)
	if err != nil {
		t.Fatal(err)
	}
	if tokens, _, err := readStream(again); tokens != 60 || err != nil {
		t.Errorf("start with a known id: %d tokens, %v, want 60", tokens, err)
	}
	large, err := startStream(engines, target, api.NewGenerationID("e", "org"), "quote [tokens=1000]", 0)
	if err != nil {
		t.Fatal(err)
	}
	var failed *backend.GenerationFailedError
	if _, _, err := readStream(large); !errors.As(err, &failed) {
		t.Errorf("generation larger than the memory: %v, want a *backend.GenerationFailedError", err)
	}
}

// Guards against load reports and cache events that the dispatcher cannot decode.
func TestModelledEngineReports(t *testing.T) {
	server, engines, target := startModelEngine(t)
	s, err := startStream(engines, target, api.NewGenerationID("e", "org"), strings.Repeat("x", 200)+"[tokens=200]", 0)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var report dispatch.LoadReport
	var events []dispatch.CacheEvent
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline) && (report.Running == 0 || len(events) == 0); {
		if _, err := s.Next(); err != nil {
			break
		}
		getJSON(t, server.URL()+"/load", &report)
		getJSON(t, server.URL()+"/cache-events?after=0", &events)
	}
	if report.Running != 1 || report.BlocksTotal != 24 || report.BlockTokens != 16 || report.BlocksUsed == 0 || report.At.IsZero() {
		t.Errorf("load report %+v", report)
	}
	if len(events) != 1 || events[0].Sequence != 1 || len(events[0].Stored) != 3 {
		t.Errorf("cache events %+v, want one with the 3 full blocks of the prompt", events)
	}
	getJSON(t, server.URL()+"/cache-events?after=1", &events)
	if len(events) != 0 {
		t.Errorf("cache events after the last one: %+v, want none", events)
	}
}

func getJSON(t *testing.T, url string, out any) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		t.Fatal(err)
	}
}
