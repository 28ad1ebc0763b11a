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
				t.Fatalf("event after the end of %s", ev.ID)
			case ev.Kind == KindToken:
				if offsets[ev.ID]++; offsets[ev.ID] != ev.Offset {
					t.Fatalf("%s: token %d, want %d", ev.ID, ev.Offset, offsets[ev.ID])
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
				t.Fatalf("%s has not ended", id)
			}
		}
		if e.memory.used() != 0 || len(e.waiting) != 0 {
			t.Fatalf("idle with %d blocks used and %d waiting", e.memory.used(), len(e.waiting))
		}
	})
}

func checkMemory(t *rapid.T, e *Engine) {
	if m := e.memory; m.free() < 0 || m.owned < 0 || len(m.cache) > e.settings.CacheBlocks {
		t.Fatalf("free %d, owned %d, cached %d", m.free(), m.owned, len(m.cache))
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
		t.Errorf("preempted %v, want only new", victims)
	}
	if len(last) != 3 || last[2] != "new" || !flagged {
		t.Errorf("ended %v, want new at last; its token after the preemption flagged: %t", last, flagged)
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
		t.Fatalf("%d tokens for one id that was started twice, want 20", len(events))
	}
	now := start.Add(10 * time.Second)
	e.Detach(now, "g")
	e.Detach(now, "g")
	state, err := e.Attach(now.Add(29*time.Second), "g")
	if err != nil || state.Produced != 20 || !state.Finished {
		t.Fatalf("attached to %+v, %v", state, err)
	}
	e.Detach(now.Add(29*time.Second), "g")
	if _, err := e.Attach(now.Add(58*time.Second), "g"); err != nil {
		t.Fatalf("gone 29 s after the last reader: %v", err)
	}
	e.Detach(now.Add(58*time.Second), "g")
	var unknown *UnknownGenerationError
	if _, err := e.Attach(now.Add(88*time.Second), "g"); !errors.As(err, &unknown) {
		t.Fatalf("after 30 s without a reader: %v", err)
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
		t.Errorf("report shows %d running before the lag is over", r.Running)
	}
	if r := e.Load(start.Add(s.LoadLag)); r.Running != 1 || r.BlocksUsed == 0 {
		t.Errorf("report after the lag: %+v", r)
	}
	now := start
	for i := range 20 {
		e.Start(now, Spec{ID: fmt.Sprint(i), PromptTokens: 8, Prefix: []uint64{uint64(2 * i), uint64(2*i + 1)}, Length: 1})
		now = now.Add(time.Second)
		e.Advance(now, func(Event) {})
	}
	if got := e.CacheEvents(start.Add(s.CacheEventLag), 0); len(got) != 0 {
		t.Errorf("%d cache events before their lag", len(got))
	}
	events := e.CacheEvents(now.Add(s.CacheEventLag), 0)
	lost, evicted := int(events[len(events)-1].Sequence)-len(events), 0
	for _, ev := range events {
		evicted += len(ev.Evicted)
	}
	if lost == 0 || evicted == 0 {
		t.Errorf("%d of %d events lost, %d blocks evicted from a cache of %d", lost, len(events), evicted, s.CacheBlocks)
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
		t.Errorf("cold step takes %s, want %s", cold, want)
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
