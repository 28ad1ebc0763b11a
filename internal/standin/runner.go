package standin

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/enginemodel"
)

// runner schedules the tokens of generations.
type runner interface {
	// start starts a generation, or attaches a reader to a known one.
	start(enginemodel.Spec)
	// attach adds a reader. It returns false if the generation no longer exists.
	attach(id string) bool
	// detach removes a reader.
	detach(id string)
	// wait blocks until token n of a generation is available or will never be.
	wait(ctx context.Context, id string, n int) waitResult
	cancel(id string)
	load() dispatch.LoadReport
	cacheEvents(after uint64) []dispatch.CacheEvent
}

// waitResult is the result of waiting for a token.
type waitResult int

const (
	tokenReady waitResult = iota
	// tokenPreempted: the token is available, and the generation was preempted
	// before it.
	tokenPreempted
	// tokenUnavailable: the reader disconnected, or the generation is unknown or was
	// cancelled.
	tokenUnavailable
	// tokenFailed: the generation exceeds the engine's memory.
	tokenFailed
)

// fixedRateRunner produces the tokens of each generation at a fixed interval,
// however many generations run.
type fixedRateRunner struct {
	interval time.Duration
	mu       sync.Mutex
	runs     map[string]*fixedRun
}

type fixedRun struct {
	started, endsAt, lastReadAt time.Time
	cancelled                   chan struct{}
}

func newFixedRateRunner(interval time.Duration) *fixedRateRunner {
	return &fixedRateRunner{interval: interval, runs: map[string]*fixedRun{}}
}

func (f *fixedRateRunner) start(s enginemodel.Spec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runs[s.ID] == nil {
		now := time.Now()
		f.runs[s.ID] = &fixedRun{
			started: now, endsAt: now.Add(time.Duration(s.Length) * f.interval), lastReadAt: now, cancelled: make(chan struct{}),
		}
	}
}

func (f *fixedRateRunner) attach(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	run, ok := f.runs[id]
	if ok && time.Since(run.lastReadAt) > orphanLifetime {
		f.remove(id)
		return false
	}
	return ok
}

func (f *fixedRateRunner) detach(string) {}

func (f *fixedRateRunner) cancel(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(id)
}

// remove cancels and removes a run. f.mu must be held.
func (f *fixedRateRunner) remove(id string) {
	if run, ok := f.runs[id]; ok {
		close(run.cancelled)
		delete(f.runs, id)
	}
}

func (f *fixedRateRunner) wait(ctx context.Context, id string, n int) waitResult {
	f.mu.Lock()
	run, ok := f.runs[id]
	f.mu.Unlock()
	if !ok {
		return tokenUnavailable
	}
	timer := time.NewTimer(time.Until(run.started.Add(time.Duration(n) * f.interval)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return tokenUnavailable
	case <-run.cancelled:
		return tokenUnavailable
	}
	f.mu.Lock()
	run.lastReadAt = time.Now()
	f.mu.Unlock()
	return tokenReady
}

// Reported memory of an engine with a fixed token interval. It exceeds what
// tests use, because a dispatcher sends only few streams to an engine whose
// memory is unknown.
const (
	fixedBlocks      = 1 << 16
	fixedBlockTokens = 16
)

func (f *fixedRateRunner) load() dispatch.LoadReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := dispatch.LoadReport{At: time.Now(), BlocksTotal: fixedBlocks, BlockTokens: fixedBlockTokens}
	for _, run := range f.runs {
		if run.endsAt.After(report.At) {
			report.Running++
		}
	}
	return report
}

func (f *fixedRateRunner) cacheEvents(uint64) []dispatch.CacheEvent { return nil }

// modelRunner runs an engine model in real time.
type modelRunner struct {
	mu    sync.Mutex
	model *enginemodel.Engine
	runs  map[string]*modelRun
	timer *time.Timer
}

// modelRun is the progress of a generation.
type modelRun struct {
	produced  int
	preempted map[int]bool
	ended     waitResult
	// changed is closed and replaced on each change, to wake readers.
	changed chan struct{}
}

func newModelRunner(s enginemodel.Settings) (*modelRunner, error) {
	model, err := enginemodel.New(s)
	if err != nil {
		return nil, err
	}
	return &modelRunner{model: model, runs: map[string]*modelRun{}}, nil
}

func (m *modelRunner) start(s enginemodel.Spec) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	if _, err := m.model.Attach(time.Now(), s.ID); err == nil {
		return
	}
	// The model may have dropped an earlier generation of this id.
	m.runs[s.ID] = &modelRun{preempted: map[int]bool{}, changed: make(chan struct{})}
	m.model.Start(time.Now(), s)
	m.schedule()
}

// advance runs the model up to the current time. m.mu must be held.
func (m *modelRunner) advance() { m.model.Advance(time.Now(), m.handleEvent) }

// schedule sets the timer for the next step of the model. m.mu must be held.
func (m *modelRunner) schedule() {
	due, ok := m.model.Due()
	if !ok {
		return
	}
	if m.timer != nil {
		m.timer.Stop()
	}
	m.timer = time.AfterFunc(time.Until(due), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.advance()
		m.schedule()
	})
}

// handleEvent applies an event of the model to its run. m.mu must be held.
func (m *modelRunner) handleEvent(ev enginemodel.Event) {
	run, ok := m.runs[ev.ID]
	if !ok {
		return
	}
	switch ev.Kind {
	case enginemodel.KindPreempted:
		return
	case enginemodel.KindFailed:
		run.ended = tokenFailed
	case enginemodel.KindToken:
		run.produced = ev.Offset
		if ev.Preempted {
			run.preempted[ev.Offset] = true
		}
	}
	run.broadcast()
}

func (r *modelRun) broadcast() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (m *modelRunner) attach(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	if _, err := m.model.Attach(time.Now(), id); err != nil {
		delete(m.runs, id)
		return false
	}
	return true
}

func (m *modelRunner) detach(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.model.Detach(time.Now(), id)
}

func (m *modelRunner) cancel(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.model.Cancel(time.Now(), id)
	if run, ok := m.runs[id]; ok {
		run.ended = tokenUnavailable
		run.broadcast()
		delete(m.runs, id)
	}
}

func (m *modelRunner) wait(ctx context.Context, id string, n int) waitResult {
	m.mu.Lock()
	run, ok := m.runs[id]
	if !ok {
		m.mu.Unlock()
		return tokenUnavailable
	}
	for run.produced < n && run.ended == tokenReady {
		changed := run.changed
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return tokenUnavailable
		case <-changed:
		}
		m.mu.Lock()
	}
	defer m.mu.Unlock()
	switch {
	case run.produced < n:
		return run.ended
	case run.preempted[n]:
		return tokenPreempted
	}
	return tokenReady
}

func (m *modelRunner) load() dispatch.LoadReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.model.Load(time.Now())
}

func (m *modelRunner) cacheEvents(after uint64) []dispatch.CacheEvent {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.model.CacheEvents(time.Now(), after)
}
