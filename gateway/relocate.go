package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/relocation"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Times of the relocation of runs.
const (
	// defaultNotice is the time until an engine leaves that does not tell.
	defaultNotice = 1400 * time.Millisecond
	// reportTimeout bounds the question to a leaving engine.
	reportTimeout = 200 * time.Millisecond
	// targetTimeout bounds the wait for room at another engine.
	targetTimeout = 400 * time.Millisecond
	// moveTimeout bounds one copy.
	moveTimeout = 3 * time.Second
	// relocationWait bounds the pause of a stream whose run is being moved.
	relocationWait = 1500 * time.Millisecond
	// beginPoll is the time between looks at runs that have not begun yet.
	beginPoll = 60 * time.Millisecond
	// discardTimeout bounds the call that frees a copy.
	discardTimeout = 500 * time.Millisecond
	// moveTries bounds the engines that are tried as targets of one run.
	moveTries = 3
)

// runTable holds the streams of this VM by the engine that runs them.
type runTable struct {
	mu   sync.Mutex
	runs map[string]map[*stream]vmlist.VM
	// evacuated holds the engines whose departure is known.
	evacuated map[string]bool
}

func newRunTable() *runTable {
	return &runTable{runs: map[string]map[*stream]vmlist.VM{}, evacuated: map[string]bool{}}
}

func (t *runTable) add(engine vmlist.VM, s *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs[engine.ID] == nil {
		t.runs[engine.ID] = map[*stream]vmlist.VM{}
	}
	t.runs[engine.ID][s] = engine
}

func (t *runTable) remove(engine string, s *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs[engine], s)
	if len(t.runs[engine]) == 0 {
		delete(t.runs, engine)
	}
}

func (t *runTable) of(engine string) []*stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*stream
	for s := range t.runs[engine] {
		out = append(out, s)
	}
	return out
}

// leaving returns the engines with runs of this VM that leave and were not
// returned before. Some engines leave without saying so: their entry goes, and
// they serve on for a while.
func (t *runTable) leaving(snap *control.Snapshot) []vmlist.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []vmlist.VM
	for id, runs := range t.runs {
		if vm, listed := snap.Backends[id]; t.evacuated[id] || listed && vm.State == vmlist.StateLive {
			continue
		}
		t.evacuated[id] = true
		for _, vm := range runs {
			out = append(out, vm)
			break
		}
	}
	for id := range t.evacuated {
		if _, listed := snap.Backends[id]; !listed && len(t.runs[id]) == 0 {
			delete(t.evacuated, id)
		}
	}
	return out
}

// WatchEngines moves runs away from engines that leave, until ctx ends.
func (g *Gateway) WatchEngines(ctx context.Context, changed <-chan struct{}) {
	var moves sync.WaitGroup
	defer moves.Wait()
	for {
		for _, vm := range g.runs.leaving(g.Snapshot()) {
			moves.Go(func() { g.evacuate(ctx, vm) })
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// evacuate moves all runs of this VM away from an engine.
func (g *Gateway) evacuate(ctx context.Context, vm vmlist.VM) {
	noticed := boottime.Now()
	service := g.engineOf(vm)
	if service == nil || !service.Engine.Moves {
		return
	}
	report := g.reportOf(ctx, vm)
	leavesAt := noticed + report.LeavesIn
	orders := relocation.Plan(g.plannedRuns(vm, report, service), linkOf(service), leavesAt-boottime.Now())
	started := map[*stream]bool{}
	var moves sync.WaitGroup
	defer moves.Wait()
	for boottime.Now() < leavesAt {
		for _, s := range g.runs.of(vm.ID) {
			if started[s] || !s.hasBegun() {
				continue
			}
			started[s] = true
			order, planned := orders[s.facts.ID]
			if !planned {
				order = relocation.Order{ID: s.facts.ID}
			}
			if s.endsWithin(leavesAt - boottime.Now()) {
				g.Log.Info("run_left_to_end", zap.String("request", s.facts.ID), zap.String("backend", vm.ID))
				continue
			}
			moves.Go(func() { s.relocate(ctx, vm, order, noticed, leavesAt) })
		}
		if !wait.Sleep(ctx, beginPoll) {
			return
		}
	}
}

// engineOf returns the service of an engine, nil if it is not known as one.
func (g *Gateway) engineOf(vm vmlist.VM) *route.Service {
	table := g.Snapshot().Routes
	if table == nil {
		return nil
	}
	for _, name := range vm.Services {
		if s := table.Service(name); s != nil && s.Engine != nil {
			return s
		}
	}
	return nil
}

func linkOf(s *route.Service) relocation.Link {
	return relocation.Link{BytesPerToken: s.Engine.BytesPerToken, Mbps: s.Engine.LinkMbps}
}

// reportOf asks a leaving engine for its runs and the time of its departure.
func (g *Gateway) reportOf(ctx context.Context, vm vmlist.VM) EngineReport {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := g.Engines.Report(ctx, backend.Target{ID: vm.ID, Address: vm.Address})
	g.Log.Info("engine_leaves", zap.String("backend", vm.ID), zap.Duration("in", report.LeavesIn),
		zap.Int("runs", len(report.Runs)), zap.Int("own_runs", len(g.runs.of(vm.ID))), zap.Error(err))
	if report.LeavesIn <= 0 {
		report.LeavesIn = defaultNotice
	}
	return report
}

// plannedRuns joins the runs that the engine reported with those of this VM.
func (g *Gateway) plannedRuns(vm vmlist.VM, report EngineReport, service *route.Service) []relocation.Run {
	var runs []relocation.Run
	seen := map[string]bool{}
	for _, r := range report.Runs {
		seen[r.ID] = true
		runs = append(runs, relocation.Run{ID: r.ID, Tokens: r.Tokens})
	}
	for _, s := range g.runs.of(vm.ID) {
		if !seen[s.facts.ID] {
			tokens := s.facts.PromptTokens + int(s.made.Load())*service.Engine.TokensPerEvent
			runs = append(runs, relocation.Run{ID: s.facts.ID, Tokens: tokens})
		}
	}
	return runs
}

// moving is the relocation of one run.
type moving struct {
	source vmlist.VM
	target vmlist.VM
	ticket dispatch.Ticket
	// done is closed when no call to the source is under way any more.
	done chan struct{}

	mu     sync.Mutex
	handle string
}

func (m *moving) setHandle(h string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handle = h
}

func (m *moving) copied() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.handle
}

// relocate copies the run to another engine and then stops it here. The relay
// goes on at the other engine when the stream of this one ends.
func (s *stream) relocate(ctx context.Context, vm vmlist.VM, order relocation.Order, noticed, leavesAt time.Duration) {
	// Without the caller there is nothing to move.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	wait.Sleep(ctx, noticed+order.CopyAt-boottime.Now())
	excluded := []string{vm.ID}
	for range moveTries {
		m, err := s.target(ctx, vm, excluded)
		if err != nil {
			s.log.Warn("run_not_moved", zap.String("backend", vm.ID), zap.Error(err))
			return
		}
		if !s.setMoving(m) {
			m.ticket.Release(0)
			return
		}
		err = s.transfer(ctx, m, order, noticed)
		s.log.Info("run_copied", zap.String("backend", vm.ID), zap.String("target", m.target.ID),
			zap.Bool("fits", order.Fits), zap.Duration("planned_final", order.FinalAt),
			zap.Duration("since_notice", boottime.Now()-noticed), zap.Error(err))
		close(m.done)
		if err == nil || m.copied() != "" {
			return
		}
		s.dropMoving(m)
		if boottime.Now() >= leavesAt {
			return
		}
		excluded = append(excluded, m.target.ID)
	}
}

// target obtains room for the run at another engine.
func (s *stream) target(ctx context.Context, source vmlist.VM, excluded []string) (*moving, error) {
	ctx, cancel := context.WithTimeout(ctx, targetTimeout)
	defer cancel()
	ask := s.ask(excluded)
	ask.PromptTokens += s.tokens()
	// A copy to another zone takes twice as long.
	ask.Zone = source.Zone
	ask.MaxTokens = max(ask.MaxTokens-s.tokens(), 1)
	ticket, err := s.g.Admission.Acquire(ctx, ask)
	if err != nil {
		return nil, err
	}
	vm, ok := s.g.Snapshot().Backends[ticket.Backend().ID]
	if !ok || vm.State != vmlist.StateLive {
		ticket.Release(0)
		return nil, &dispatch.NoBackendError{Model: ask.Model}
	}
	return &moving{source: source, target: vm, ticket: ticket, done: make(chan struct{})}, nil
}

// transfer makes the first and the final copy.
func (s *stream) transfer(ctx context.Context, m *moving, order relocation.Order, noticed time.Duration) error {
	if err := s.sendMove(ctx, m, false); err != nil {
		return err
	}
	copiedAt := boottime.Now() - noticed
	finalAt := order.FinalAfter(copiedAt)
	s.log.Info("run_copy_begun", zap.String("backend", m.source.ID), zap.String("target", m.target.ID),
		zap.Bool("same_zone", m.source.Zone == m.target.Zone), zap.Duration("planned", order.CopiedAt),
		zap.Duration("copied", copiedAt), zap.Duration("final", finalAt))
	wait.Sleep(ctx, finalAt-copiedAt)
	return s.sendMove(ctx, m, true)
}

func (s *stream) sendMove(ctx context.Context, m *moving, final bool) error {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	moved, err := s.g.Engines.Move(ctx, backend.Target{ID: m.source.ID, Address: m.source.Address},
		Move{RunID: s.facts.ID, To: m.target.Address, Final: final})
	if failed, ok := errors.Into[*MoveError](err); ok && failed.Handle != "" {
		// The run is stopped and its memory is still where it was.
		m.stay(failed.Handle)
		return err
	}
	if err != nil {
		return err
	}
	m.setHandle(moved.Handle)
	return nil
}

// stay makes the run go on at the engine that has stopped it.
func (m *moving) stay(handle string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.target, m.handle = m.source, handle
}

// setMoving registers the relocation of the run. It returns false if the stream
// has ended or is moved already.
func (s *stream) setMoving(m *moving) bool {
	s.movingMu.Lock()
	defer s.movingMu.Unlock()
	if s.ended || s.moving != nil {
		return false
	}
	s.moving = m
	return true
}

// dropMoving gives up a relocation that made no copy.
func (s *stream) dropMoving(m *moving) {
	s.movingMu.Lock()
	defer s.movingMu.Unlock()
	if s.moving == m {
		s.moving = nil
		m.ticket.Release(0)
	}
}

// takeMoving returns the relocation of a run whose stream has ended early, nil
// if there is none with a copy.
func (s *stream) takeMoving() *moving {
	s.movingMu.Lock()
	m := s.moving
	s.movingMu.Unlock()
	if m == nil {
		return nil
	}
	select {
	case <-m.done:
	case <-s.ctx.Done():
	case <-time.After(relocationWait):
	}
	s.movingMu.Lock()
	defer s.movingMu.Unlock()
	if s.moving != m {
		return nil
	}
	s.moving = nil
	if m.copied() == "" {
		m.ticket.Release(0)
		return nil
	}
	return m
}

// endMoving frees a copy that is not needed, since the stream has ended.
func (s *stream) endMoving() {
	s.movingMu.Lock()
	m := s.moving
	s.moving, s.ended = nil, true
	s.movingMu.Unlock()
	if m == nil {
		return
	}
	s.g.background.Go(func() {
		<-m.done
		m.ticket.Release(0)
		if m.copied() == "" {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), discardTimeout)
		defer cancel()
		// A copy that is not freed ends by itself after its lifetime.
		if err := s.g.Engines.Discard(ctx, backend.Target{ID: m.source.ID, Address: m.source.Address}, m.copied()); err != nil {
			s.log.Info("copy_not_freed", zap.String("backend", m.source.ID), zap.Error(err))
		}
	})
}

// endsWithin reports whether the run is sure to end within a time, by the
// largest length of its output and the pace so far.
func (s *stream) endsWithin(d time.Duration) bool {
	made := s.made.Load()
	if s.facts.MaxTokens <= 0 || made < 2 {
		return false
	}
	perEvent := (boottime.Now() - time.Duration(s.firstAt.Load())) / time.Duration(made-1)
	left := (s.facts.MaxTokens-s.tokens())/s.service.Engine.TokensPerEvent + 1
	return time.Duration(left)*perEvent*2 < d
}
