package grant

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Engine poll intervals.
const (
	pollInterval = 200 * time.Millisecond
	// pollTimeout limits one poll. An engine that takes longer counts as failed.
	pollTimeout = 500 * time.Millisecond
	// loadPollsPerCacheRead is the number of load polls per read of cache events.
	// Engines publish these events with a delay, so reading them more often gains
	// little.
	loadPollsPerCacheRead = 5
	// loadPollsBeforeCacheRetry replaces loadPollsPerCacheRead after an engine
	// rejected a read of cache events because it does not support them.
	loadPollsBeforeCacheRetry = 150
	// targetsInterval is the time between checks of the set of engines to poll.
	targetsInterval = 100 * time.Millisecond
)

// pollTargets returns the engines of the groups that this VM dispatches, and those
// with an open circuit breaker, which only a response can close.
func (m *Manager) pollTargets() *[]backend.Target {
	targets := []backend.Target{}
	seen := map[string]bool{}
	add := func(id string) {
		vm, ok := m.view.snap.Backends[id]
		if ok && vm.State == vmlist.StateLive && !seen[id] {
			seen[id] = true
			targets = append(targets, backend.TargetOf(vm))
		}
	}
	for _, c := range m.dispatcher.groupStates {
		for _, id := range c.group.engines {
			add(id)
		}
	}
	for _, id := range m.opts.Breaker.Open() {
		add(id)
	}
	return &targets
}

// Poll polls the engines for their load and cache events until ctx ends.
func (m *Manager) Poll(ctx context.Context, engines *backend.EngineClient) {
	running := map[backend.Target]context.CancelFunc{}
	var wg sync.WaitGroup
	defer wg.Wait()
	for wait.Sleep(ctx, targetsInterval) {
		wanted := map[backend.Target]bool{}
		for _, t := range *m.targets.Load() {
			wanted[t] = true
			if running[t] == nil {
				pollCtx, cancel := context.WithCancel(ctx)
				running[t] = cancel
				p := &poller{m: m, engines: engines, target: t}
				wg.Go(func() { p.run(pollCtx) })
			}
		}
		for t, cancel := range running {
			if !wanted[t] {
				cancel()
				delete(running, t)
			}
		}
	}
	for _, cancel := range running {
		cancel()
	}
}

// poller polls one engine.
type poller struct {
	m       *Manager
	engines *backend.EngineClient
	target  backend.Target
	// lastCacheSequence is the sequence of the last cache event that was read.
	lastCacheSequence uint64
	// pollsUntilCacheRead counts load polls until the next read of cache events.
	pollsUntilCacheRead int
}

func (p *poller) run(ctx context.Context) {
	for wait.Sleep(ctx, pollInterval*3/4+rand.N(pollInterval/2)) {
		p.poll(ctx)
	}
}

// poll reads the load of the engine and, in some polls, its cache events. It sends nothing
// during a pause.
func (p *poller) poll(ctx context.Context) {
	if p.m.isPaused(p.target.ID) {
		return
	}
	var report dispatch.LoadReport
	if p.query(ctx, "/load", &report) == nil {
		p.m.opts.Loop.Post(loadReport{p.m, p.target.ID, report})
	}
	if p.pollsUntilCacheRead--; p.pollsUntilCacheRead <= 0 && !p.m.isPaused(p.target.ID) {
		p.pollsUntilCacheRead = loadPollsPerCacheRead
		p.readCacheEvents(ctx)
	}
}

func (p *poller) query(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return p.engines.Query(ctx, p.target, path, into)
}

func (p *poller) readCacheEvents(ctx context.Context) {
	var events []dispatch.CacheEvent
	err := p.query(ctx, "/cache-events?after="+strconv.FormatUint(p.lastCacheSequence, 10), &events)
	if rejected, ok := errors.Into[*backend.RejectedError](err); ok && rejected.Status < http.StatusInternalServerError {
		p.pollsUntilCacheRead = loadPollsBeforeCacheRetry
		return
	}
	if err != nil || len(events) == 0 {
		return
	}
	p.lastCacheSequence = events[len(events)-1].Sequence
	p.m.opts.Loop.Post(cacheEvents{p.m, p.target.ID, events})
}
