package standin

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/enginemodel"
)

// runner produces the tokens of generations.
type runner interface {
	// start begins a generation, or attaches to a known one.
	start(enginemodel.Spec)
	// attach adds a reader; false means that the generation is gone.
	attach(id string) bool
	// detach removes a reader.
	detach(id string)
	// wait blocks until token n exists.
	wait(ctx context.Context, id string, n int) waitResult
	cancel(id string)
	load() dispatch.LoadReport
	cacheEvents(after uint64) []dispatch.CacheEvent
}

// waitResult is the result of waiting for a token.
type waitResult int

const (
	tokenReady waitResult = iota
	// tokenPreempted is a token before which the generation was preempted.
	tokenPreempted
	// tokenNever: the reader left or the generation was cancelled.
	tokenNever
	// tokenFailed: the generation exceeds the engine's memory.
	tokenFailed
)

// fixedRunner produces a token of each generation at a fixed interval, without
// any limit.
type fixedRunner struct {
	interval time.Duration
	mu       sync.Mutex
	runs     map[string]*fixedRun
}

type fixedRun struct {
	begun, ends, lastRead time.Time
	cancelled             chan struct{}
}

func newFixedRateRunner(interval time.Duration) *fixedRunner {
	return &fixedRunner{interval: interval, runs: map[string]*fixedRun{}}
}

func (f *fixedRunner) start(s enginemodel.Spec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.runs[s.ID] == nil {
		now := time.Now()
		f.runs[s.ID] = &fixedRun{
			begun: now, ends: now.Add(time.Duration(s.Length) * f.interval), lastRead: now, cancelled: make(chan struct{}),
		}
	}
}

func (f *fixedRunner) attach(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	run, ok := f.runs[id]
	if ok && time.Since(run.lastRead) > orphanLifetime {
		f.end(id)
		return false
	}
	return ok
}

func (f *fixedRunner) detach(string) {}

func (f *fixedRunner) cancel(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end(id)
}

// end forgets a run. The caller holds the lock.
func (f *fixedRunner) end(id string) {
	if run, ok := f.runs[id]; ok {
		close(run.cancelled)
		delete(f.runs, id)
	}
}

func (f *fixedRunner) wait(ctx context.Context, id string, n int) waitResult {
	f.mu.Lock()
	run, ok := f.runs[id]
	f.mu.Unlock()
	if !ok {
		return tokenNever
	}
	timer := time.NewTimer(time.Until(run.begun.Add(time.Duration(n) * f.interval)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return tokenNever
	case <-run.cancelled:
		return tokenNever
	}
	f.mu.Lock()
	run.lastRead = time.Now()
	f.mu.Unlock()
	return tokenReady
}

// An engine with fixed intervals reports more memory than tests fill, since a
// dispatcher trusts an engine of unknown memory with few streams only.
const (
	fixedBlocks      = 1 << 16
	fixedBlockTokens = 16
)

func (f *fixedRunner) load() dispatch.LoadReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := dispatch.LoadReport{At: time.Now(), BlocksTotal: fixedBlocks, BlockTokens: fixedBlockTokens}
	for _, run := range f.runs {
		if run.ends.After(report.At) {
			report.Running++
		}
	}
	return report
}

func (f *fixedRunner) cacheEvents(uint64) []dispatch.CacheEvent { return nil }

// modelRunner runs an engine model under the wall clock.
type modelRunner struct {
	mu    sync.Mutex
	model *enginemodel.Engine
	runs  map[string]*modelRun
	timer *time.Timer
}

// modelRun is what readers see of a generation.
type modelRun struct {
	produced  int
	preempted map[int]bool
	ended     waitResult
	// changed is closed and replaced at each change.
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
	// The model may have forgotten a generation that was known before.
	m.runs[s.ID] = &modelRun{preempted: map[int]bool{}, changed: make(chan struct{})}
	m.model.Start(time.Now(), s)
	m.schedule()
}

// advance brings the model up to now. The caller holds the lock.
func (m *modelRunner) advance() { m.model.Advance(time.Now(), m.see) }

// schedule sets the timer to the model's next step. The caller holds the lock.
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

// see takes an event of the model. The caller holds the lock.
func (m *modelRunner) see(ev enginemodel.Event) {
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
	run.notify()
}

func (r *modelRun) notify() {
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
		run.ended = tokenNever
		run.notify()
		delete(m.runs, id)
	}
}

func (m *modelRunner) wait(ctx context.Context, id string, n int) waitResult {
	m.mu.Lock()
	run, ok := m.runs[id]
	if !ok {
		m.mu.Unlock()
		return tokenNever
	}
	for run.produced < n && run.ended == tokenReady {
		changed := run.changed
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return tokenNever
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
