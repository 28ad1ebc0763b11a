package enginemodel

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

var start = time.Unix(0, 0)

func smallSettings() Settings {
	s := DefaultSettings()
	s.Blocks, s.CacheBlocks, s.WatermarkBlocks, s.BlockTokens = 40, 10, 1, 4
	s.MaxPrefillTokens, s.CacheEventLoss = 32, 0
	return s
}

func mustNew(t interface{ Fatal(...any) }, s Settings) *Engine {
	e, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// drain advances until the engine is idle, and returns the events.
func drain(e *Engine) []Event {
	var events []Event
	for {
		due, ok := e.Due()
		if !ok {
			return events
		}
		e.Advance(due, func(ev Event) { events = append(events, ev) })
	}
}

// Guards against leaked blocks, lost or repeated tokens, and an engine that
// stops with work left, under any mix of starts, cancels and preemptions.
func TestMemoryAndTokensUnderRandomLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := mustNew(t, smallSettings())
		now, offsets, lengths, ended := start, map[string]int{}, map[string]int{}, map[string]bool{}
		observe := func(ev Event) {
			switch {
			case ended[ev.ID]:
				t.Fatalf("generation %s: event after its end: %+v", ev.ID, ev)
			case ev.Kind == KindToken:
				if offsets[ev.ID]++; offsets[ev.ID] != ev.Offset {
					t.Fatalf("generation %s: token offset %d, want %d", ev.ID, ev.Offset, offsets[ev.ID])
				}
				ended[ev.ID] = ev.Last
			case ev.Kind == KindFailed:
				ended[ev.ID] = true
			}
			checkMemory(t, e)
		}
		for i := range rapid.IntRange(1, 30).Draw(t, "requests") {
			id := fmt.Sprint(i)
			lengths[id] = rapid.IntRange(1, 80).Draw(t, "length")
			prompt := rapid.IntRange(1, 100).Draw(t, "prompt")
			family := uint64(rapid.IntRange(0, 2).Draw(t, "family")) * 100
			e.Start(now, Spec{
				ID: id, PromptTokens: prompt, Prefix: []uint64{family, family + 1, family + 2}, Length: lengths[id],
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
			})
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			e.Advance(now, observe)
			if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 {
				e.Cancel(now, id)
				ended[id] = true
			}
			checkMemory(t, e)
		}
		for due, ok := e.Due(); ok; due, ok = e.Due() {
			e.Advance(due, observe)
		}
		for id := range lengths {
			if !ended[id] {
				t.Fatalf("generation %s has not ended, but the engine is idle", id)
			}
		}
		if e.memory.used() != 0 || len(e.waiting) != 0 {
			t.Fatalf("idle engine has %d blocks used and %d requests waiting, want 0 and 0", e.memory.used(), len(e.waiting))
		}
	})
}

func checkMemory(t *rapid.T, e *Engine) {
	if m := e.memory; m.free() < 0 || m.owned < 0 || len(m.cache) > e.settings.CacheBlocks {
		t.Fatalf("memory has %d free, %d owned and %d cached blocks; want none negative and at most %d cached",
			m.free(), m.owned, len(m.cache), e.settings.CacheBlocks)
	}
}

// Guards against preempting a stream of higher priority, or an older one of the same.
func TestPreemptsLowestPriorityThenLatestArrival(t *testing.T) {
	e := mustNew(t, smallSettings())
	for _, s := range []Spec{
		{ID: "high", Priority: 1}, {ID: "old", Priority: 0}, {ID: "new", Priority: 0},
	} {
		s.PromptTokens, s.Length = 8, 60
		e.Start(start, s)
	}
	events := drain(e)
	var victims, last []string
	flagged := false
	for _, ev := range events {
		if ev.Kind == KindPreempted {
			victims = append(victims, ev.ID)
		}
		if ev.Last {
			last = append(last, ev.ID)
		}
		flagged = flagged || (ev.ID == "new" && ev.Preempted)
	}
	if len(victims) == 0 || slices.ContainsFunc(victims, func(id string) bool { return id != "new" }) {
		t.Errorf("preempted streams %v, want at least one and only \"new\"", victims)
	}
	if len(last) != 3 || last[2] != "new" || !flagged {
		t.Errorf("streams ended in order %v, want 3 with \"new\" last; \"new\" has an event marked as preempted: %t, want true", last, flagged)
	}
}

// Guards against a second generation for a known id, and against a generation that
// is removed before its orphan lifetime has passed or is never removed.
func TestAttachAndOrphans(t *testing.T) {
	e := mustNew(t, smallSettings())
	spec := Spec{ID: "g", PromptTokens: 8, Length: 20}
	e.Start(start, spec)
	e.Start(start, spec)
	if events := drain(e); len(events) != 20 {
		t.Fatalf("%d events for an id that was started twice, want 20", len(events))
	}
	now := start.Add(10 * time.Second)
	e.Detach(now, "g")
	e.Detach(now, "g")
	state, err := e.Attach(now.Add(29*time.Second), "g")
	if err != nil || state.Produced != 20 || !state.Finished {
		t.Fatalf("attach 29 s after the detach: state %+v, error %v; want 20 tokens and finished", state, err)
	}
	e.Detach(now.Add(29*time.Second), "g")
	if _, err := e.Attach(now.Add(58*time.Second), "g"); err != nil {
		t.Fatalf("attach 29 s after the last detach: %v", err)
	}
	e.Detach(now.Add(58*time.Second), "g")
	var unknown *UnknownGenerationError
	if _, err := e.Attach(now.Add(88*time.Second), "g"); !errors.As(err, &unknown) {
		t.Fatalf("attach 30 s after the last detach: error %v, want an *UnknownGenerationError", err)
	}
}

// Guards against load reports without a lag and cache events that are early or
// complete: policies would come to depend on information that engines do not give.
func TestReportsLagAndCacheEventsHaveGaps(t *testing.T) {
	s := smallSettings()
	s.CacheEventLoss = 3
	e := mustNew(t, s)
	e.Start(start, Spec{ID: "first", PromptTokens: 8, Length: 200})
	if r := e.Load(start.Add(s.LoadLag - time.Millisecond)); r.Running != 0 {
		t.Errorf("load report before LoadLag shows %d running, want 0", r.Running)
	}
	if r := e.Load(start.Add(s.LoadLag)); r.Running != 1 || r.BlocksUsed == 0 {
		t.Errorf("load report after LoadLag: %+v, want 1 running and blocks used", r)
	}
	now := start
	for i := range 20 {
		e.Start(now, Spec{ID: fmt.Sprint(i), PromptTokens: 8, Prefix: []uint64{uint64(2 * i), uint64(2*i + 1)}, Length: 1})
		now = now.Add(time.Second)
		e.Advance(now, func(Event) {})
	}
	if got := e.CacheEvents(start.Add(s.CacheEventLag), 0); len(got) != 0 {
		t.Errorf("%d cache events before CacheEventLag, want 0", len(got))
	}
	events := e.CacheEvents(now.Add(s.CacheEventLag), 0)
	lost, evicted := int(events[len(events)-1].Sequence)-len(events), 0
	for _, ev := range events {
		evicted += len(ev.Evicted)
	}
	if lost == 0 || evicted == 0 {
		t.Errorf("%d cache events lost and %d received, %d blocks evicted from a cache of %d; want some lost and some evicted",
			lost, len(events), evicted, s.CacheBlocks)
	}
}

// Guards against step times that do not depend on the work done, with which batching
// and prefix caching would have no effect.
func TestStepTimeGrowsWithBatchAndUncachedPrompt(t *testing.T) {
	s := DefaultSettings()
	e := mustNew(t, s)
	spec := Spec{ID: "a", PromptTokens: 160, Prefix: []uint64{1, 2, 3, 4, 5}, Length: 2}
	step := func() time.Duration {
		due, _ := e.Due()
		return due.Sub(start)
	}
	e.Start(start, spec)
	cold := step()
	if want := s.StepBase + s.StepPerSequence + 160*s.StepPerPrefillToken; cold != want {
		t.Errorf("step without cached prompt takes %s, want %s", cold, want)
	}
	drain(e)
	start := start.Add(time.Minute)
	spec.ID = "b"
	e.Start(start, spec)
	due, _ := e.Due()
	if warm, want := due.Sub(start), cold-80*s.StepPerPrefillToken; warm != want {
		t.Errorf("step with half of the prompt cached takes %s, want %s", warm, want)
	}
}
