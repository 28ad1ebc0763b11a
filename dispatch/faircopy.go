package dispatch

import (
	"time"

	"github.com/vanillaarch/vanillaarch/flowcontrol"
	"github.com/vanillaarch/vanillaarch/scheduling"
)

// minSpareReserve is the least part of an engine's memory that stays free beside
// the projected peak when room for a spare copy is granted.
const minSpareReserve = 0.30

// spareReserve is the part of memory that stays free beside the projected peak
// when room for a spare copy is granted: as much as runs are expected to hold of
// all engines, or spare copies if that is more, since each has a run somewhere.
// So copies yield before the load doubles, and each run has one while memory is
// plentiful.
func (f *fairPolicy) spareReserve() float64 {
	total := f.poolTokens()
	if total == 0 {
		return minSpareReserve
	}
	peak := max(f.runMemory.Peak(flowcontrol.Usage{}), f.spareMemory.Peak(flowcontrol.Usage{}))
	return max(minSpareReserve, peak/total)
}

// freePoolFraction is the part of the memory of all engines that stays free at the
// projected peak.
func (f *fairPolicy) freePoolFraction() float64 {
	total := f.poolTokens()
	if total == 0 {
		return 1
	}
	return 1 - (f.runMemory.Peak(flowcontrol.Usage{})+f.spareMemory.Peak(flowcontrol.Usage{}))/total
}

// poolTokens is the poolTokens of all live engines in tokens.
func (f *fairPolicy) poolTokens() float64 {
	total := 0.0
	for _, e := range f.liveEngines {
		total += float64(e.blocks * e.blockTokens)
	}
	return total
}

// submitCopy grants room for a copy of a run at once, or returns a
// *NoBackendError. A spare copy needs plenty of room. One of a run that must
// leave its engine needs room for what the run holds now: a later shortage may
// preempt a run, while without room the run is lost. The organisation pays
// nothing, since it pays for the run.
func (f *fairPolicy) submitCopy(now time.Time, r Request) error {
	if r.Spare && f.queue.Len() > 0 {
		return &NoBackendError{Model: r.Model}
	}
	// Engines that have just joined are empty while the others are full, and are
	// to take runs.
	if r.Spare && f.freePoolFraction() < f.spareReserve() {
		return &NoBackendError{Model: r.Model}
	}
	waiting := &waitingRequest{Request: r, submitted: now}
	e := f.chooseCopyEngine(now, waiting)
	if e == nil {
		return &NoBackendError{Model: r.Model}
	}
	f.startStream(now, r.ID, &r.AdmissionRequest, e, 0).startCopy(r.PromptTokens)
	f.copyGrants = append(f.copyGrants, Grant{Request: r.ID, Backend: e.id, Priority: f.priority(waiting)})
	return nil
}

// chooseCopyEngine returns the engine with the best score among those with room.
func (f *fairPolicy) chooseCopyEngine(now time.Time, r *waitingRequest) *engine {
	f.updateNextCapacity(now)
	reserve := f.spareReserve()
	f.candidates = f.candidates[:0]
	f.topHandles = f.capacity.Top(candidatesByCapacity+len(r.Excluded), f.topHandles[:0])
	for _, handle := range f.topHandles {
		f.addCandidate(now, r, f.byHandle[handle], 0)
	}
	f.addZoneCandidates(now, r)
	for i := range f.candidates {
		f.adjustForCopy(&f.candidates[i], r, reserve)
	}
	return f.bestCandidate(r)
}

// adjustForCopy changes a candidate for a run into one for a copy, which processes no
// prompt, but waits for those before it on the link of its engine; that takes
// about as long for a token.
func (f *fairPolicy) adjustForCopy(c *scheduling.Candidate, r *waitingRequest, reserve float64) {
	e := f.byHandle[c.Handle]
	c.Prefilling, c.TimeToFirstToken = false, f.prefillTimes.Estimate(e.prefillTime, e.incomingCopyTokens+r.PromptTokens)
	if r.Spare {
		c.Free -= reserve
	} else if c.Free < 0 {
		c.Free = e.freeWithoutGrowth(float64(r.PromptTokens))
	}
}

// freeWithoutGrowth returns 0 if one more run of this size fits without what the runs
// will add, and -1 otherwise.
func (e *engine) freeWithoutGrowth(tokens float64) float64 {
	if e.blocks > 0 && e.usedTokens+tokens > float64(e.blocks*e.blockTokens) {
		return -1
	}
	return 0
}
