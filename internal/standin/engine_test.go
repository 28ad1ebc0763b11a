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

// modelled starts an engine with little memory and fast steps.
func modelled(t *testing.T) (*Server, *backend.EngineClient, backend.Target) {
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

// read follows a stream to its end and returns its tokens and how many were flagged.
func read(s *backend.Stream) (tokens, preempted int, err error) {
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

func start(engines *backend.EngineClient, target backend.Target, g api.GenerationID, prompt string, priority int) (*backend.Stream, error) {
	return engines.Start(context.Background(), target, api.CompletionRequest{Prompt: prompt}, backend.StartOptions{
		Generation: g, Priority: priority, FirstTokenTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second,
	})
}

// Guards against a stand-in that loses tokens when its memory runs out, that
// hides preemptions, or that preempts the higher priority.
func TestModelledEngineFlagsPreemptions(t *testing.T) {
	_, engines, target := modelled(t)
	var wg sync.WaitGroup
	flagged := make([]int, 2)
	for priority := range flagged {
		wg.Go(func() {
			s, err := start(engines, target, api.NewGenerationID("e", "org"), "quote [tokens=250]", priority)
			if err != nil {
				t.Error(err)
				return
			}
			tokens, preempted, err := read(s)
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

// Guards against a resume that starts anew or leaves out tokens, against a
// second run for a known id, and against an end without a marker when a
// generation cannot fit.
func TestModelledEngineResumesAndFails(t *testing.T) {
	_, engines, target := modelled(t)
	g := api.NewGenerationID("e", "org")
	first, err := start(engines, target, g, "quote [tokens=60]", 0)
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
	if tokens, _, err := read(resumed); tokens != 50 || err != nil {
		t.Errorf("resumed after 10 of 60: %d tokens, %v", tokens, err)
	}
	again, err := start(engines, target, g, "quote [tokens=60]", 0)
	if err != nil {
		t.Fatal(err)
	}
	if tokens, _, err := read(again); tokens != 60 || err != nil {
		t.Errorf("known id: %d tokens, %v", tokens, err)
	}
	large, err := start(engines, target, api.NewGenerationID("e", "org"), "quote [tokens=1000]", 0)
	if err != nil {
		t.Fatal(err)
	}
	var failed *backend.GenerationFailedError
	if _, _, err := read(large); !errors.As(err, &failed) {
		t.Errorf("generation larger than the memory: %v, want a *backend.FailedError", err)
	}
}

// Guards against reports in another form than the one decisions read.
func TestModelledEngineReports(t *testing.T) {
	server, engines, target := modelled(t)
	s, err := start(engines, target, api.NewGenerationID("e", "org"), strings.Repeat("x", 200)+"[tokens=200]", 0)
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
		get(t, server.URL()+"/load", &report)
		get(t, server.URL()+"/cache-events?after=0", &events)
	}
	if report.Running != 1 || report.BlocksTotal != 24 || report.BlockTokens != 16 || report.BlocksUsed == 0 || report.At.IsZero() {
		t.Errorf("load report %+v", report)
	}
	if len(events) != 1 || events[0].Sequence != 1 || len(events[0].Stored) != 3 {
		t.Errorf("cache events %+v, want one with the 3 full blocks of the prompt", events)
	}
	get(t, server.URL()+"/cache-events?after=1", &events)
	if len(events) != 0 {
		t.Errorf("after the last event: %+v", events)
	}
}

func get(t *testing.T, url string, out any) {
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
