package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/control"
	"github.com/vanillaarch/vanillaarch/edge"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
	"github.com/vanillaarch/vanillaarch/internal/wait"
	"github.com/vanillaarch/vanillaarch/relocation"
	"github.com/vanillaarch/vanillaarch/route"
	"github.com/vanillaarch/vanillaarch/telemetry"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Timing and limits of the relocation of runs.
const (
	// defaultNotice is the assumed time until a departing engine stops, if it doesn't
	// report one.
	defaultNotice = 1400 * time.Millisecond
	// reportTimeout bounds the request for the report of a departing engine.
	reportTimeout = 200 * time.Millisecond
	// targetAcquireTimeout bounds the wait for capacity on another engine.
	targetAcquireTimeout = 400 * time.Millisecond
	// moveTimeout bounds one copy.
	moveTimeout = 3 * time.Second
	// copyWaitTimeout bounds how long an interrupted stream waits for a copy in
	// progress.
	copyWaitTimeout = 1500 * time.Millisecond
	// unstartedRunPollInterval is how often an evacuation checks for runs that have
	// started since, or that an earlier evacuation does not handle any more.
	unstartedRunPollInterval = 60 * time.Millisecond
	// discardTimeout bounds the call that frees a copy.
	discardTimeout = 500 * time.Millisecond
	// backupArrivalTime is the time after the first event, or after the start of a later
	// backup, from which the backup of a run can be relied on. Engines send the prompt's KV
	// cache first, queued behind other transfers.
	backupArrivalTime = 1500 * time.Millisecond
	// backupCheckInterval is how often a run at a leaving engine checks that the engine with
	// its backup is live.
	backupCheckInterval = 30 * time.Millisecond
	// moveRetryInterval is the interval between attempts to copy a run while no
	// engine accepts it.
	moveRetryInterval = 70 * time.Millisecond
	// lateMoveRetryInterval replaces it when the engine goes on for longer than it said.
	lateMoveRetryInterval = 300 * time.Millisecond
)

// runTable indexes the streams of this VM by engine.
type runTable struct {
	mu   sync.Mutex
	runs map[string]map[*stream]vmlist.VM
	// evacuated holds the engines whose departure has already been handled.
	evacuated map[string]bool
	// unnoticed signals that a run has begun at an engine that leaves. Without it, leaving
	// would be called only when the list changes again.
	unnoticed chan struct{}
}

func newRunTable() *runTable {
	return &runTable{runs: map[string]map[*stream]vmlist.VM{}, evacuated: map[string]bool{}, unnoticed: make(chan struct{}, 1)}
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

// signalUnnoticed makes WatchEngines call leaving. It does not block.
func (t *runTable) signalUnnoticed() {
	select {
	case t.unnoticed <- struct{}{}:
	default:
	}
}

// streamsOn returns the streams whose current segment is on an engine.
func (t *runTable) streamsOn(engine string) []*stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*stream
	for s := range t.runs[engine] {
		out = append(out, s)
	}
	return out
}

// count returns the number of streams whose current segment is on any engine.
func (t *runTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, runs := range t.runs {
		n += len(runs)
	}
	return n
}

// streams returns all streams.
func (t *runTable) streams() []*stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*stream
	for _, runs := range t.runs {
		for s := range runs {
			out = append(out, s)
		}
	}
	return out
}

// engines returns the engines that have runs of this VM.
func (t *runTable) engines() []vmlist.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []vmlist.VM
	for _, runs := range t.runs {
		for _, vm := range runs {
			out = append(out, vm)
			break
		}
	}
	return out
}

// leaving returns the departing engines that have runs of this VM, each once per
// departure. An engine whose entry has disappeared counts as departing: some engines
// leave without notice and continue to serve for a while.
func (t *runTable) leaving(snap *control.Snapshot) []vmlist.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []vmlist.VM
	for id, runs := range t.runs {
		if vm, listed := snap.Backends[id]; t.evacuated[id] || listed && stays(vm) {
			continue
		}
		t.evacuated[id] = true
		for _, vm := range runs {
			out = append(out, vm)
			break
		}
	}
	for id := range t.evacuated {
		vm, listed := snap.Backends[id]
		if listed && stays(vm) || !listed && len(t.runs[id]) == 0 {
			delete(t.evacuated, id)
		}
	}
	return out
}

// stays reports whether a listed engine goes on running. One in an evacuated zone does.
func stays(vm vmlist.VM) bool {
	return vm.State == vmlist.StateLive || vm.State == vmlist.StateEvacuated
}

// WatchEngines records departures, and evacuates departing engines, until ctx ends. It checks
// the VM list when changed receives a value, and when a run begins at an engine that leaves.
func (g *Gateway) WatchEngines(ctx context.Context, changed <-chan struct{}) {
	var moves sync.WaitGroup
	defer moves.Wait()
	for {
		snap := g.Snapshot()
		g.departures.update(snap, boottime.Now())
		for _, vm := range g.runs.leaving(snap) {
			moves.Go(func() { g.protect(func() { g.evacuate(ctx, vm) }) })
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-g.runs.unnoticed:
		}
	}
}

// evacuate moves all runs of this VM from a departing engine to other engines, except
// those that end before it stops.
func (g *Gateway) evacuate(ctx context.Context, vm vmlist.VM) {
	noticedAt := boottime.Now()
	service := g.engineService(vm)
	if service == nil || !service.Engine.SupportsMove {
		g.Log.Warn("engine_not_evacuated", zap.String("backend", vm.ID), zap.Int("own_runs", len(g.runs.streamsOn(vm.ID))),
			zap.Bool("service_known", service != nil), zap.Int64("version", version(g.Snapshot())))
		return
	}
	report := g.fetchEngineReport(ctx, vm)
	leavesAt := noticedAt + report.LeavesIn
	scheduledCopies := relocation.Plan(g.plannedRuns(vm, report, service), networkLink(service), leavesAt-boottime.Now())
	rooms := newBackupRooms(g)
	started := map[*stream]bool{}
	var moves sync.WaitGroup
	defer moves.Wait()
	for boottime.Now() < leavesAt {
		for _, s := range g.runs.streamsOn(vm.ID) {
			if started[s] || !s.hasEvents() {
				continue
			}
			if s.endsWithin(leavesAt - boottime.Now()) {
				started[s] = true
				g.Log.Info("run_left_to_end", zap.String("request", s.info.ID), zap.String("backend", vm.ID))
				continue
			}
			if !s.beginEvacuation() {
				continue // Tried again: the evacuation of the engine before may be about to end.
			}
			started[s] = true
			scheduled, planned := scheduledCopies[s.info.ID]
			if !planned {
				scheduled = relocation.ScheduledCopy{ID: s.info.ID}
			}
			moves.Go(func() {
				defer s.endEvacuation()
				g.protect(func() {
					if !s.stayWithBackup(ctx, vm, leavesAt, rooms) {
						s.relocate(ctx, vm, scheduled, noticedAt, leavesAt)
					}
				})
			})
		}
		if !wait.Sleep(ctx, unstartedRunPollInterval) {
			return
		}
	}
}

// beginEvacuation returns false if an earlier evacuation still handles the run: an engine may
// leave, return and leave again, or the run has just left another engine that leaves.
func (s *stream) beginEvacuation() bool {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	if s.copies.evacuating {
		return false
	}
	s.copies.evacuating = true
	return true
}

func (s *stream) endEvacuation() {
	s.copies.mu.Lock()
	defer s.copies.mu.Unlock()
	s.copies.evacuating = false
}

// mayStayOn reports whether the run needs no evacuation: it is at an engine that is live again.
func (s *stream) mayStayOn(vm vmlist.VM) bool { return s.isOn(vm) && s.g.isLive(vm) }

// stayWithBackup waits while the run is at a leaving engine and a live engine has its backup.
// The run goes on from the backup when the engine has stopped: before that, nothing tells
// whether the backup has arrived, and a run that leaves a sound engine for a backup that is
// refused is lost. It returns false once no live engine has a backup, if the engine stops
// before one can be relied on, or if its engine may have had no room for it.
func (s *stream) stayWithBackup(ctx context.Context, vm vmlist.VM, leavesAt time.Duration, rooms *backupRooms) bool {
	if arrivesAt, ok := s.backupArrivesAt(); !ok || arrivesAt > leavesAt || !rooms.mayExist(ctx, s) {
		return false
	}
	for s.isOn(vm) && !s.mayStayOn(vm) {
		if !s.hasLiveBackup() {
			return false
		}
		if !wait.Sleep(ctx, backupCheckInterval) {
			return true
		}
	}
	return true
}

// engineService returns the engine service that a VM serves, nil if there is none. If the
// configuration has dropped it, it is that under which the runs of this VM were admitted.
func (g *Gateway) engineService(vm vmlist.VM) *route.Service {
	if table := g.Snapshot().Routes; table != nil {
		for _, name := range vm.Services {
			if s := table.Service(name); s != nil && s.Engine != nil {
				return s
			}
		}
	}
	for _, s := range g.runs.streamsOn(vm.ID) {
		if s.service.Engine != nil {
			return s.service
		}
	}
	return nil
}

func networkLink(s *route.Service) relocation.Link {
	return relocation.Link{BytesPerToken: s.Engine.BytesPerToken, Mbps: s.Engine.LinkMbps}
}

// fetchEngineReport requests the runs of a departing engine and the time until it
// stops.
func (g *Gateway) fetchEngineReport(ctx context.Context, vm vmlist.VM) edge.EngineReport {
	if g.isPaused(vm) {
		return edge.EngineReport{LeavesIn: defaultNotice}
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := g.Engines.Report(ctx, backend.TargetOf(vm))
	g.Log.Info("engine_leaves", zap.String("backend", vm.ID), zap.Duration("in", report.LeavesIn),
		zap.Int("runs", len(report.Runs)), zap.Int("own_runs", len(g.runs.streamsOn(vm.ID))), telemetry.Error(err))
	if report.LeavesIn <= 0 {
		report.LeavesIn = defaultNotice
	}
	return report
}

// plannedRuns merges the runs that the engine reported with those of this VM.
func (g *Gateway) plannedRuns(vm vmlist.VM, report edge.EngineReport, service *route.Service) []relocation.Run {
	var runs []relocation.Run
	seen := map[string]bool{}
	for _, r := range report.Runs {
		seen[r.ID] = true
		runs = append(runs, relocation.Run{ID: r.ID, Tokens: r.Tokens})
	}
	for _, s := range g.runs.streamsOn(vm.ID) {
		if !seen[s.info.ID] {
			tokens := s.info.PromptTokens + int(s.eventCount.Load())*service.Engine.TokensPerEvent
			runs = append(runs, relocation.Run{ID: s.info.ID, Tokens: tokens})
		}
	}
	return runs
}
