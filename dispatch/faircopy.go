package dispatch

import (
	"time"

	"github.com/vanillaarch/vanillaarch/flowcontrol"
	"github.com/vanillaarch/vanillaarch/scheduling"
)

// minSpareReserve is the minimum fraction of memory that must stay free above the
// projected peak when a spare copy is admitted.
const minSpareReserve = 0.30

// spareReserve returns the fraction of memory that must stay free above the projected
// peak when a spare copy is admitted. It is the projected memory use of all runs, or
// of all spare copies if that is larger, since each spare copy belongs to a run
// somewhere. Spare copies are therefore rejected before the load doubles, while every
// run can have one as long as there is ample free memory.
func (f *fairPolicy) spareReserve() float64 {
	total := f.poolTokens()
	if total == 0 {
		return minSpareReserve
	}
	peak := max(f.runMemory.Peak(flowcontrol.Usage{}), f.spareMemory.Peak(flowcontrol.Usage{}))
	return max(minSpareReserve, peak/total)
}

// freePoolFraction returns the fraction of the memory of all engines that stays free
// at the projected peak.
func (f *fairPolicy) freePoolFraction() float64 {
	total := f.poolTokens()
	if total == 0 {
		return 1
	}
	return 1 - (f.runMemory.Peak(flowcontrol.Usage{})+f.spareMemory.Peak(flowcontrol.Usage{}))/total
}

// poolTokens returns the memory of all live engines in tokens.
func (f *fairPolicy) poolTokens() float64 {
	total := 0.0
	for _, e := range f.liveEngines {
		total += float64(e.blocks * e.blockTokens)
	}
	return total
}

// submitCopy grants memory for a copy of a run immediately, or returns a
// *NoBackendError. A spare copy is only admitted with ample free memory. The copy of a
// run that may stay at its engine is only admitted if the whole run fits. The copy of a
// run that must leave its engine only needs space for what the run holds now: a later
// shortage may preempt a run, but without a copy the run is lost. The organisation is
// not charged for copies, since it is charged for the run.
func (f *fairPolicy) submitCopy(now time.Time, r Request) error {
	if r.Spare && f.queue.Len() > 0 {
		return &NoBackendError{Model: r.Model}
	}
	// Newly joined engines are empty while the others are full. Their memory is needed
	// for runs, so the whole pool is checked and not just one engine.
	if r.isBackup() && f.freePoolFraction() < f.spareReserve() {
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

// chooseCopyEngine returns the engine with the best score among those with capacity
// for a copy, or nil if there is none.
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
	return f.bestCandidate(now, r)
}

// adjustForCopy turns a candidate for a run into a candidate for a copy. A copy has no
// prompt to process, but it queues behind other copies on the link of its engine,
// which takes about as long per token as prefill does.
func (f *fairPolicy) adjustForCopy(c *scheduling.Candidate, r *waitingRequest, reserve float64) {
	e := f.byHandle[c.Handle]
	c.Prefilling, c.TimeToFirstToken = false, f.prefillTimes.Estimate(e.prefillTime, e.incomingCopyTokens+r.PromptTokens)
	if r.isBackup() {
		c.Free -= reserve
	} else if c.Free < 0 && !r.Spare {
		c.Free = e.freeWithoutGrowth(float64(r.PromptTokens))
	}
}

// freeWithoutGrowth returns 0 if one more run of this size fits when the expected
// growth of the running streams is ignored, and -1 otherwise.
func (e *engine) freeWithoutGrowth(tokens float64) float64 {
	if e.blocks > 0 && e.usedTokens+tokens > float64(e.blocks*e.blockTokens) {
		return -1
	}
	return 0
}
