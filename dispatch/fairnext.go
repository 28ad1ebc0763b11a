package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/flowcontrol"
	"github.com/vanillaarch/vanillaarch/scheduling"
)

const (
	// Limits on the number of candidate engines in a routing decision, by how the
	// candidates are selected. The engines with the most free memory may all have just
	// joined, and prompts sent to them would queue behind each other. Other engines
	// are therefore considered in rotation, some of them in the zone of the request.
	candidatesByCapacity = 8
	candidatesByRotation = 10
	candidatesByZone     = 8
	candidatesByPrefix   = 4
	// maxSkippedOrganisations limits the organisations that one call of Next skips.
	maxSkippedOrganisations = 8
	// maxLookahead limits how many requests of an organisation are tried, starting at
	// its first one, while those ahead exclude engines.
	maxLookahead = 8
	// maxOvertakeTime is how long smaller requests may overtake a request that does
	// not fit. After that, nothing else is granted, so that engines free memory for
	// it.
	maxOvertakeTime = 500 * time.Millisecond
	priorityLevels  = 16
)

// Next implements Policy.
func (f *fairPolicy) Next(now time.Time) []Grant {
	f.refuseLate(now)
	grants := f.copyGrants
	f.copyGrants = nil
	if f.queue.Len() == 0 {
		return grants
	}
	f.updateNextCapacity(now)
	defer f.queue.Unpark()
	for skipped := 0; skipped < maxSkippedOrganisations && f.hasCapacity(); {
		first := f.queue.Peek()
		if first == nil {
			break
		}
		if item, e := f.findEngine(now, first); e != nil {
			if f.refuseUnlessInTime(now, item.Value, e) {
				continue
			}
			f.queue.Pop(item)
			f.forget(item.Value)
			grants = append(grants, f.grant(now, item.Value, e))
			continue
		}
		if f.blocksOthers(now, first.Value) {
			break
		}
		f.queue.Park(first)
		skipped++
	}
	return grants
}

// findEngine finds an engine for the first request of an organisation. A request that
// excludes engines does not block those behind it.
func (f *fairPolicy) findEngine(now time.Time, item *flowcontrol.Item[*waitingRequest]) (*flowcontrol.Item[*waitingRequest], *engine) {
	for range maxLookahead {
		if e := f.chooseEngine(now, item.Value); e != nil {
			return item, e
		}
		if len(item.Value.Excluded) == 0 || item.Next() == nil {
			break
		}
		item = item.Next()
	}
	return nil, nil
}

// hasCapacity reports whether any engine may have free capacity.
func (f *fairPolicy) hasCapacity() bool {
	free, ok := f.capacity.Max()
	return ok && free > 0
}

// blocksOthers reports whether a request that does not fit has waited so long that no
// other request may overtake it. A request that excludes engines never blocks others,
// nor does a request of an organisation above its share.
func (f *fairPolicy) blocksOthers(now time.Time, r *waitingRequest) bool {
	if len(r.Excluded) > 0 || f.requiredReserve(r.Organisation) > 0 {
		return false
	}
	if r.blockedSince.IsZero() {
		r.blockedSince = now
	}
	return now.Sub(r.blockedSince) >= maxOvertakeTime
}

// chooseEngine returns the engine that runs a request, or nil if none has capacity.
func (f *fairPolicy) chooseEngine(now time.Time, r *waitingRequest) *engine {
	f.candidates = f.candidates[:0]
	f.matches = f.prefixes.Lookup(r.PrefixHashes, candidatesByPrefix, f.matches[:0])
	for _, m := range f.matches {
		f.addCandidate(now, r, f.byHandle[m.Handle], m.Blocks)
	}
	// Excluded engines do not count against the number of candidates.
	f.topHandles = f.capacity.Top(candidatesByCapacity+len(r.Excluded), f.topHandles[:0])
	for _, handle := range f.topHandles {
		if !f.isCandidate(handle) {
			f.addCandidate(now, r, f.byHandle[handle], 0)
		}
	}
	for range min(candidatesByRotation, len(f.liveEngines)) {
		f.candidateCursor = (f.candidateCursor + 1) % len(f.liveEngines)
		if e := f.liveEngines[f.candidateCursor]; !f.isCandidate(e.handle) {
			f.addCandidate(now, r, e, 0)
		}
	}
	f.addZoneCandidates(now, r)
	return f.bestCandidate(now, r)
}

// addZoneCandidates adds engines in the zone of a request, in rotation.
func (f *fairPolicy) addZoneCandidates(now time.Time, r *waitingRequest) {
	zone := f.zoneEngines[r.Zone]
	for range min(candidatesByZone, len(zone)) {
		f.zoneCursor++
		if e := zone[f.zoneCursor%len(zone)]; !f.isCandidate(e.handle) {
			f.addCandidate(now, r, e, 0)
		}
	}
}

// bestCandidate returns the best of the candidates, or nil if none has capacity.
func (f *fairPolicy) bestCandidate(now time.Time, r *waitingRequest) *engine {
	request := scheduling.Request{
		Prefix: r.PrefixHashes, Excluded: r.Excluded, Zone: r.Zone, AvoidFailing: f.avoidsFailing(now, r),
	}
	request.AvoidSlow = f.avoidsSlow(r)
	c, ok := f.chain.Choose(&request, f.candidates)
	if !ok && request.AvoidSlow && !f.awaitsFast(now, r, &request) {
		request.AvoidSlow = false
		c, ok = f.chain.Choose(&request, f.candidates)
	}
	if !ok {
		return nil
	}
	return f.byHandle[c.Handle]
}

// avoidsFailing reports whether a request must not run on engines whose last outcome is a
// failure. Such engines are always free, and the next run of a request that was repeated may be
// its last. If no other engines are left, it may run on any.
func (f *fairPolicy) avoidsFailing(now time.Time, r *waitingRequest) bool {
	if len(r.Excluded) == 0 {
		return false
	}
	left := f.outliers.CountFailing(now, r.Excluded)
	for _, e := range f.liveEngines {
		if !slices.Contains(r.Excluded, e.id) {
			left--
		}
	}
	return left < 0
}

func (f *fairPolicy) isCandidate(handle int) bool {
	for i := range f.candidates {
		if f.candidates[i].Handle == handle {
			return true
		}
	}
	return false
}

func (f *fairPolicy) addCandidate(now time.Time, r *waitingRequest, e *engine, prefixBlocks int) {
	if !f.mayPrefill(r, e) {
		return
	}
	f.refreshSpeed(now, e)
	shared := e.sharedBlocks.SharedPrefix(r.PrefixHashes)
	cold, full := f.coldState(now, e)
	usage := f.projectUsage(&r.AdmissionRequest, 0, shared, e.blockTokens)
	f.candidates = append(f.candidates, scheduling.Candidate{
		ID: e.id, Handle: e.handle, Zone: e.zone, Free: f.freeFraction(now, e, usage, f.requiredReserveOn(now, r, e)),
		Streams: e.memory.Streams(), StreamLimit: f.streamLimitOf(now, e, r.EventGap), PrefixBlocks: max(prefixBlocks, shared),
		TimeToFirstToken: f.prefillTimes.Estimate(e.prefillTime, e.pendingPrefillTokens+r.PromptTokens), Prefilling: f.prefillPending(now, e), Suspended: f.outliers.Suspended(now, e.id),
		Failing: f.outliers.Failing(now, e.id), Slow: e.slow(), ExtraRunTime: f.extraRunTime(e, usage.Remaining),
		Cold: cold, ColdFull: full,
	})
}

// grant starts a stream and charges its organisation for the prompt and the expected
// output.
func (f *fairPolicy) grant(now time.Time, r *waitingRequest, e *engine) Grant {
	a := f.accounts[r.Organisation]
	a.queueDelay.Dequeued(now)
	if r.limited() {
		a.slack.Granted(now, f.dueOf(r.key))
	}
	priority := f.priority(r)
	e.lastGrantAt = now
	usesReserve := f.mayUseReserve(now, r)
	s := f.startStream(now, r.ID, &r.AdmissionRequest, e, 0)
	s.startPrefill(now, r.PromptTokens)
	f.outliers.RecordGrant(now, e.id)
	f.updateCapacity(now, e)
	if usesReserve {
		s.usesReserve = true
		e.agedStreams++
	}
	f.charge(s, float64(r.PromptTokens))
	f.chargeExpected(s, f.expectedTokens(&r.AdmissionRequest))
	return Grant{Request: r.ID, Backend: e.id, Priority: priority}
}

// priority returns the static priority with which an engine runs a request. Engines
// preempt the stream with the lowest priority first, and among equals the one that
// started last, so that organisations furthest above their share are preempted first.
func (f *fairPolicy) priority(r *waitingRequest) int {
	level := priorityLevels/2 - 2*math.Log2(max(f.shareRatio(r.Organisation), 1.0/priorityLevels))
	return int(min(max(level, 0), priorityLevels-1))
}
