package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/evacuation"
	"github.com/vanillaarch/vanillaarch/flowcontrol"
	"github.com/vanillaarch/vanillaarch/scheduling"
)

const (
	// unknownMemoryStreamLimit is the stream limit of an engine whose memory size is
	// not known yet.
	unknownMemoryStreamLimit = 4
	// defaultMaxEngineStreams is the default of FairOptions.MaxEngineStreams.
	defaultMaxEngineStreams = 256
	// reducedWindowFraction is the fraction of an engine's memory that may be granted
	// while windows are reduced.
	reducedWindowFraction = 0.5
	// unaccountedReports is the number of consecutive load reports that must show
	// memory use beyond the streams known to this policy before it is taken into
	// account.
	unaccountedReports = 4
	// unaccountedLifetime is how long that memory is taken into account without a new
	// report.
	unaccountedLifetime = 5 * time.Second
	// prefillSteps is the number of steps that an engine is expected to need for the
	// prompt of a granted request.
	prefillSteps = 2
	// windowShrinkFactor, windowGrowthPerSecond and minWindowFraction control how the
	// window of an engine shrinks on a preemption and recovers.
	windowShrinkFactor    = 0.9
	windowGrowthPerSecond = 0.01
	minWindowFraction     = 0.5
	// windowShrinkInterval is the minimum time between two reductions, so that several
	// preemptions of one shortage count once.
	windowShrinkInterval = time.Second
)

// engine is the state of an engine that is live or still has streams.
type engine struct {
	id           string
	handle       int
	zone         string
	live         bool
	blocks       int
	blockTokens  int
	memory       *flowcontrol.MemoryProjection
	sharedBlocks *scheduling.SharedBlocks
	// usedTokens is the memory held by known streams, in tokens.
	usedTokens float64
	// unaccounted holds the memory beyond usedTokens in the last load reports, in
	// tokens. reportCount is the number of reports received.
	unaccounted  [unaccountedReports]float64
	reportCount  int
	lastReportAt time.Time
	// pendingPrefillTokens is the number of prompt tokens of streams that have not
	// produced a token yet.
	pendingPrefillTokens int
	// prefilledTokens is the number of prompt tokens of all streams that have produced a
	// token.
	prefilledTokens int
	// incomingCopyTokens is the number of tokens of copies that are being transferred
	// to the engine.
	incomingCopyTokens int
	// prefillTime is the engine's processing time per prompt token.
	prefillTime flowcontrol.EnginePrefillTime
	// speed is the learned speed of the engine, relativeTime its last result, reportedTime
	// the one that was last reported, at speedReportedAt.
	speed                      flowcontrol.EngineSpeed
	relativeTime, reportedTime float64
	speedReportedAt            time.Time
	// refreshedAt is when the speed was last updated without a new observation.
	refreshedAt time.Time
	// streams lists the streams of the engine.
	streams []*stream
	// eventGaps holds the event gaps that the routes of the streams allow.
	eventGaps eventGaps
	// agedStreams is the number of streams that were allowed to use the reserve
	// because of their wait.
	agedStreams int
	lastGrantAt time.Time
	// windowFraction is the fraction of memory that the window allowed at
	// windowChangedAt.
	windowFraction  float64
	windowChangedAt time.Time
	// resumedAt is Backend.ResumedAt.
	resumedAt time.Time
}

// SetBackends implements Policy. Streams on a removed engine continue.
func (f *fairPolicy) SetBackends(now time.Time, backends []Backend) {
	listed := make(map[string]bool, len(backends))
	for _, b := range backends {
		listed[b.ID] = true
		e := f.getOrCreateEngine(b.ID)
		if !e.live {
			e.live = true
			f.liveEngines = append(f.liveEngines, e)
		}
		e.zone, e.resumedAt = b.Zone, b.ResumedAt
		e.setMemorySize(b.BlocksTotal, b.BlockTokens)
		f.updateCapacity(now, e)
	}
	f.retainListed(listed)
}

// retainListed stops grants to engines that are not listed.
func (f *fairPolicy) retainListed(listed map[string]bool) {
	var unlisted []*engine
	for id, e := range f.engines {
		if !listed[id] {
			unlisted = append(unlisted, e)
		}
	}
	slices.SortFunc(unlisted, func(a, b *engine) int { return cmp.Compare(a.handle, b.handle) })
	f.liveEngines = slices.DeleteFunc(f.liveEngines, func(e *engine) bool { return !listed[e.id] })
	f.zoneEngines = map[string][]*engine{}
	for _, e := range f.liveEngines {
		f.zoneEngines[e.zone] = append(f.zoneEngines[e.zone], e)
	}
	for _, e := range unlisted {
		e.live = false
		f.capacity.Remove(e.handle)
		f.prefixes.Remove(e.handle)
		f.removeUnusedEngine(e)
	}
}

// getOrCreateEngine returns the state of an engine, creating it if needed.
func (f *fairPolicy) getOrCreateEngine(id string) *engine {
	e := f.engines[id]
	if e == nil {
		f.lastHandle++
		e = &engine{id: id, handle: f.lastHandle, memory: &flowcontrol.MemoryProjection{}, sharedBlocks: scheduling.NewSharedBlocks(), windowFraction: 1, prefillTime: f.prefillTimes.NewEngine(), relativeTime: 1, reportedTime: 1}
		f.engines[id] = e
		f.byHandle[e.handle] = e
	}
	return e
}

// removeUnusedEngine removes the state of an engine that is not live and has no
// streams.
func (f *fairPolicy) removeUnusedEngine(e *engine) {
	if !e.live && e.memory.Streams() == 0 {
		delete(f.engines, e.id)
		delete(f.byHandle, e.handle)
		f.outliers.Remove(e.id)
	}
}

func (e *engine) setMemorySize(blocks, blockTokens int) {
	if blocks > 0 && blockTokens > 0 {
		e.blocks, e.blockTokens = blocks, blockTokens
	}
}

// Load implements Policy.
func (f *fairPolicy) Load(now time.Time, backend string, r LoadReport) {
	e := f.engines[backend]
	if e == nil {
		return
	}
	e.setMemorySize(r.BlocksTotal, r.BlockTokens)
	e.unaccounted[e.reportCount%unaccountedReports] = float64(r.BlocksUsed*r.BlockTokens) - e.usedTokens - e.orphanedTokens()
	e.reportCount++
	e.lastReportAt = now
	f.updateCapacity(now, e)
}

// unaccountedTokens returns the memory held by streams that this policy does not know.
// It is the minimum over the last reports, since single reports lag behind.
func (e *engine) unaccountedTokens(now time.Time) float64 {
	if e.reportCount < unaccountedReports || now.Sub(e.lastReportAt) > unaccountedLifetime {
		return 0
	}
	least := e.unaccounted[0]
	for _, x := range e.unaccounted[1:] {
		least = min(least, x)
	}
	return max(least, 0)
}

// orphanedTokens returns the memory that no running stream accounts for, in tokens.
func (e *engine) orphanedTokens() float64 { return float64(e.sharedBlocks.Orphans() * e.blockTokens) }

// CacheEvent implements Policy.
func (f *fairPolicy) CacheEvent(_ time.Time, backend string, c CacheEvent) {
	if e := f.engines[backend]; e != nil && e.live {
		f.prefixes.Update(e.handle, c.Sequence, c.Stored, c.Evicted, c.Cleared)
	}
}

// freeFraction returns the fraction of an engine's memory that stays free at the
// projected peak with one more stream, after subtracting the reserved fraction. It is
// negative if the stream does not fit.
func (f *fairPolicy) freeFraction(now time.Time, e *engine, extra flowcontrol.Usage, reserved float64) float64 {
	if e.blocks == 0 {
		return 1 - float64(e.memory.Streams())/float64(min(unknownMemoryStreamLimit, f.opts.MaxEngineStreams))
	}
	total := float64(e.blocks * e.blockTokens)
	usable := total * (1 - reserved) * e.windowFractionAt(now)
	if f.windowReduced {
		usable *= reducedWindowFraction
	}
	return (usable - e.unaccountedTokens(now) - e.orphanedTokens() - e.memory.Peak(extra)) / total
}

// windowFractionAt returns the fraction of memory that the window allows now. It
// recovers linearly after a reduction.
func (e *engine) windowFractionAt(now time.Time) float64 {
	return min(1, e.windowFraction+windowGrowthPerSecond*now.Sub(e.windowChangedAt).Seconds())
}

// shrinkWindow reduces the window after a preemption.
func (e *engine) shrinkWindow(now time.Time) {
	if now.Sub(e.windowChangedAt) < windowShrinkInterval {
		return
	}
	e.windowFraction = max(minWindowFraction, e.windowFractionAt(now)*windowShrinkFactor)
	e.windowChangedAt = now
}

// prefillPending reports whether the engine is expected to still be processing the
// prompt of the last granted request.
func (f *fairPolicy) prefillPending(now time.Time, e *engine) bool {
	gap := f.tokenGaps.Gap(e.memory.Streams())
	if e.relativeTime != 1 {
		gap = time.Duration(float64(gap) * e.relativeTime)
	}
	return now.Sub(e.lastGrantAt) < prefillSteps*gap
}

// streamLimit returns the batch size limit of an engine, with a stream whose route allows
// the given event gap, or 0 if there is no such stream.
func (f *fairPolicy) streamLimit(e *engine, eventGap time.Duration) int {
	limit := f.opts.MaxEngineStreams
	if n, ok := f.tokenGaps.BatchLimitAt(f.tuning.tokenRateFraction, e.relativeTime); ok {
		limit = min(limit, n)
	}
	if n, ok := f.eventGapLimit(e, eventGap); ok {
		limit = min(limit, n)
	}
	return limit
}

// streamLimitOf returns the batch size limit of an engine, as streamLimit does. It grows after an
// evacuation.
func (f *fairPolicy) streamLimitOf(now time.Time, e *engine, eventGap time.Duration) int {
	limit := f.streamLimit(e, eventGap)
	if e.resumedAt.IsZero() {
		return limit
	}
	return max(int(evacuation.ShareAfter(now.Sub(e.resumedAt))*float64(limit)), 1)
}

// updateCapacity updates an engine's position in the capacity index.
func (f *fairPolicy) updateCapacity(now time.Time, e *engine) {
	if !e.live {
		return
	}
	f.refreshSpeed(now, e)
	n := e.memory.Streams()
	free := f.freeFraction(now, e, flowcontrol.Usage{}, 0)
	if limit := f.streamLimitOf(now, e, 0); n >= limit {
		free = min(free, float64(limit-n-1)/float64(limit))
	} else {
		free = min(free, float64(limit-n)/float64(limit))
	}
	if e.slow() && free > 0 {
		free *= slowCapacityFactor
	}
	if f.outliers.Suspended(now, e.id) {
		free = -1
	}
	f.capacity.Set(e.handle, free)
}

func (f *fairPolicy) updateAllCapacities(now time.Time) {
	for _, e := range f.liveEngines {
		f.updateCapacity(now, e)
	}
}

// updateNextCapacity updates one engine in rotation, since capacity also changes over
// time and with the token gap model.
func (f *fairPolicy) updateNextCapacity(now time.Time) {
	if len(f.liveEngines) > 0 {
		f.updateCursor = (f.updateCursor + 1) % len(f.liveEngines)
		f.updateCapacity(now, f.liveEngines[f.updateCursor])
	}
}
