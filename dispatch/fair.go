package dispatch

import (
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/admission"
	"github.com/vanillaarch/vanillaarch/flowcontrol"
	"github.com/vanillaarch/vanillaarch/readmission"
	"github.com/vanillaarch/vanillaarch/scheduling"
)

// Defaults of FairOptions.
const (
	// DefaultQueuePerOrganisation and DefaultQueueTotal are limits on the number of
	// waiting requests.
	DefaultQueuePerOrganisation = 512
	DefaultQueueTotal           = 8192
)

// FairOptions configures the fair policy. Zero values select the defaults.
type FairOptions struct {
	// QueuePerOrganisation and QueueTotal limit the number of waiting requests.
	QueuePerOrganisation, QueueTotal int
	// MaxEngineStreams limits the concurrent streams of one engine, in addition to the
	// limit that follows from its memory. Default 256.
	MaxEngineStreams int
	// AgingDelay is how long a request waits before it may use reserved memory that is
	// otherwise closed to its organisation. Default 1 s.
	AgingDelay time.Duration
	// OnSuspension is called when an engine is suspended because it fails runs, and
	// when it serves runs again. Default none.
	OnSuspension func(engine string, suspended bool)
	// OnReturn is called with the kind of return of a caller that was refused before: at the
	// time that it was given, or early. Default none.
	OnReturn func(kind readmission.Kind)
	// OnSpeed is called when the learned time per token of an engine, relative to the mean
	// of the pool, has changed. Default none.
	OnSpeed func(engine string, relativeTime float64)
	// ColdRate returns the number of requests a second that a cold engine takes, and false for
	// an engine that is not cold. Default none is.
	ColdRate func(engine string) (float64, bool)
}

// fairPolicy is the fair policy for one group of engines.
type fairPolicy struct {
	opts        FairOptions
	tuning      tuning
	queue       *flowcontrol.Queue[*waitingRequest]
	lengths     *flowcontrol.LengthEstimator
	tokenGaps   flowcontrol.TokenGapModel
	speeds      flowcontrol.PoolSpeed
	eventTokens eventTokens
	// overdue is reused between searches for overdue streams. They are not meaningful
	// before reportsCompleteAt, which follows from activeAt, the time of the last activity.
	overdue                     []flowcontrol.StreamTime
	activeAt, reportsCompleteAt time.Time
	prefillTimes                flowcontrol.PoolPrefillTime
	prefixes                    *scheduling.PrefixIndex
	capacity                    *scheduling.CapacityIndex
	outliers                    *scheduling.OutlierDetector
	chain                       scheduling.Chain
	engines                     map[string]*engine
	byHandle                    map[int]*engine
	lastHandle                  int
	// liveEngines lists the live engines. updateCursor is the index of the engine
	// whose capacity was updated last, candidateCursor that of the last engine
	// considered in rotation.
	liveEngines                   []*engine
	updateCursor, candidateCursor int
	// zoneEngines lists the live engines of each zone. zoneCursor advances with each
	// engine of any zone that is considered in rotation.
	zoneEngines map[string][]*engine
	zoneCursor  int
	// accounts has one entry for each entitled organisation. heldTokens is the sum of
	// heldTokens over all accounts, concentration the sum of heldTokens squared
	// divided by the entitlement.
	accounts                  map[string]*account
	heldTokens, concentration float64
	// runMemory and spareMemory project the memory use of runs and of spare copies on
	// all engines.
	runMemory, spareMemory flowcontrol.MemoryProjection
	waiting                map[RequestID]*flowcontrol.Item[*waitingRequest]
	streams                map[RequestID]*stream
	// expiries holds the waiting requests with a target or a deadline, refused those that
	// Refused has not returned yet.
	expiries admission.Expiries[*waitingRequest]
	refused  []Refusal
	// readmissions holds the times to return that were given to refused callers. A new
	// dispatcher knows none, and treats callers as new.
	readmissions *readmission.Table
	// orderBase is the time from which the keys of waiting requests count.
	orderBase time.Time
	// copyGrants are grants for copies that Next has not returned yet.
	copyGrants    []Grant
	windowReduced bool

	// Buffers that are reused between routing decisions.
	topHandles []int
	matches    []scheduling.Match
	candidates []scheduling.Candidate
}

// waitingRequest is a request in the queue.
type waitingRequest struct {
	Request
	// submitted is when the request entered the queue.
	submitted time.Time
	// blockedSince is when the request was first skipped for lack of capacity.
	blockedSince time.Time
	// orderHash is a hash of the id of a request with time limits.
	orderHash uint64
	// key is the one by which the request is ordered in its organisation.
	key int64
	// expiry is the entry of the request in expiries, nil if it has no time limit.
	expiry *admission.Expiry[*waitingRequest]
}

// NewFair returns the fair policy. It serves organisations according to share and
// weight, and admits to each engine as much as the engine's memory is projected to
// hold. Next must be called regularly while requests wait, since capacity also becomes
// available over time. A request of an organisation without entitlement fails with a
// *QueueFullError.
func NewFair(o FairOptions) Policy {
	o = o.withDefaults()
	return &fairPolicy{
		opts:   o,
		tuning: newTuning(nil),
		queue: flowcontrol.NewQueue[*waitingRequest](flowcontrol.Limits{
			PerOrganisation: o.QueuePerOrganisation, Total: o.QueueTotal,
		}),
		lengths:  flowcontrol.NewLengthEstimator(),
		prefixes: scheduling.NewPrefixIndex(),
		capacity: scheduling.NewCapacityIndex(),
		outliers: scheduling.NewOutlierDetector(),
		chain: scheduling.Chain{
			Filters: []scheduling.Filter{scheduling.NotExcluded{}, scheduling.NotSuspended{}, scheduling.NotFailing{}, scheduling.HasCapacity{}, scheduling.NotPrefilling{}, scheduling.NotSlow{}, scheduling.NotColdFull{}},
			Scorers: []scheduling.WeightedScorer{
				{Scorer: scheduling.FreeMemory{}, Weight: freeMemoryWeight},
				{Scorer: scheduling.FreeBatchSlots{}, Weight: freeBatchSlotsWeight},
				{Scorer: scheduling.CachedPrefix{}, Weight: cachedPrefixWeight},
				{Scorer: scheduling.FirstTokenLatency{}, Weight: firstTokenLatencyWeight},
				{Scorer: scheduling.SameZone{}, Weight: sameZoneWeight},
				{Scorer: scheduling.RunTime{}, Weight: runTimeWeight},
				{Scorer: scheduling.Warm{}, Weight: warmWeight},
			},
			Picker: scheduling.HighestScore{},
		},
		engines:  map[string]*engine{},
		byHandle: map[int]*engine{},
		accounts: map[string]*account{},
		waiting:  map[RequestID]*flowcontrol.Item[*waitingRequest]{},
		streams:  map[RequestID]*stream{},

		readmissions: readmission.NewTable(readmission.DefaultCapacity),
	}
}

// withDefaults replaces zero values by the defaults.
func (o FairOptions) withDefaults() FairOptions {
	if o.QueuePerOrganisation == 0 {
		o.QueuePerOrganisation = DefaultQueuePerOrganisation
	}
	if o.QueueTotal == 0 {
		o.QueueTotal = DefaultQueueTotal
	}
	if o.AgingDelay == 0 {
		o.AgingDelay = defaultAgingDelay
	}
	if o.OnSuspension == nil {
		o.OnSuspension = func(string, bool) {}
	}
	if o.OnSpeed == nil {
		o.OnSpeed = func(string, float64) {}
	}
	if o.OnReturn == nil {
		o.OnReturn = func(readmission.Kind) {}
	}
	if o.MaxEngineStreams == 0 {
		o.MaxEngineStreams = defaultMaxEngineStreams
	}
	return o
}

// SetShares implements Policy. Waiting requests of organisations that are no longer
// entitled are dropped.
func (f *fairPolicy) SetShares(now time.Time, shares []TenantShare) {
	tenants := make([]flowcontrol.Tenant, 0, len(shares))
	for _, s := range shares {
		t := flowcontrol.Tenant{Name: s.Tenant, Share: s.Share}
		for name, weight := range s.Organisations {
			t.Organisations = append(t.Organisations, flowcontrol.Organisation{Name: name, Weight: weight})
		}
		tenants = append(tenants, t)
	}
	for _, r := range f.queue.SetShares(tenants) {
		f.forget(r)
	}
	f.lengths.Retain(f.queue.Entitled)
	f.setAccounts(shares)
	f.tuning = newTuning(shares)
	f.updateAllCapacities(now)
}

// Submit implements Policy.
func (f *fairPolicy) Submit(now time.Time, r Request) error {
	if f.waiting[r.ID] != nil || f.streams[r.ID] != nil {
		return nil // duplicate message
	}
	if !f.hasUsableEngine(r.Excluded) {
		return &NoBackendError{Model: r.Model}
	}
	if r.Spare || r.Resumed {
		return f.submitCopy(now, r)
	}
	return f.enqueue(now, newWaiting(now, r))
}

// hasUsableEngine reports whether at least one live engine is not excluded.
func (f *fairPolicy) hasUsableEngine(excluded []string) bool {
	left := f.capacity.Len()
	for i, id := range excluded {
		if e := f.engines[id]; e != nil && e.live && !slices.Contains(excluded[:i], id) {
			left--
		}
	}
	return left > 0
}

// Withdraw implements Policy.
func (f *fairPolicy) Withdraw(_ time.Time, id RequestID) {
	if item := f.waiting[id]; item != nil {
		f.dequeue(item.Value)
	}
}

// Waiting implements Policy.
func (f *fairPolicy) Waiting() map[string]int { return f.queue.Waiting() }
