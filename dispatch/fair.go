package dispatch

import (
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/flowcontrol"
	"github.com/vanillaarch/vanillaarch/scheduling"
)

// Defaults of FairOptions.
const (
	// DefaultQueuePerOrganisation and DefaultQueueTotal count waiting requests.
	DefaultQueuePerOrganisation = 512
	DefaultQueueTotal           = 8192
)

// FairOptions are the parameters of the fair policy. Zero values select defaults.
type FairOptions struct {
	// QueuePerOrganisation and QueueTotal bound waiting requests.
	QueuePerOrganisation, QueueTotal int
	// MaxEngineStreams bounds the streams of one engine in addition to its memory.
	// Default 256.
	MaxEngineStreams int
	// AgingDelay is the wait after which a request may use memory that is closed to
	// its organisation. Default 1 s.
	AgingDelay time.Duration
	// OnSuspension is called when an engine that fails runs gets no more of them
	// for a time, and when it serves again. Default none.
	OnSuspension func(engine string, suspended bool)
}

// fairPolicy is the fairPolicy policy of one group of engines.
type fairPolicy struct {
	opts         FairOptions
	tuning       tuning
	queue        *flowcontrol.Queue[*waitingRequest]
	lengths      *flowcontrol.LengthEstimator
	tokenGaps    flowcontrol.TokenGapModel
	prefillTimes flowcontrol.PoolPrefillTime
	prefixes     *scheduling.PrefixIndex
	capacity     *scheduling.CapacityIndex
	outliers     *scheduling.OutlierDetector
	chain        scheduling.Chain
	engines      map[string]*engine
	byHandle     map[int]*engine
	lastHandle   int
	// liveEngines lists live engines, rotation is the one refreshed last, turn the last
	// one that was a candidate in its turn.
	liveEngines                    []*engine
	refreshCursor, candidateCursor int
	// zoneEngines lists the live engines of each zone, zoneTurn the last one of any that
	// was a candidate in its turn.
	zoneEngines map[string][]*engine
	zoneCursor  int
	// accounts has one entry for each entitled organisation. held is the sum of
	// their memory, concentration that of its square over the entitlement.
	accounts                  map[string]*account
	heldTokens, concentration float64
	// runMemory and spareMemory project the memory of runMemory and of spare copies on all engines.
	runMemory, spareMemory flowcontrol.MemoryProjection
	waiting                map[RequestID]*flowcontrol.Item[*waitingRequest]
	streams                map[RequestID]*stream
	// copyGrants are grants of room for copies that Next has not returned yet.
	copyGrants    []Grant
	windowReduced bool

	// Buffers of a routing decision, reused.
	topHandles []int
	matches    []scheduling.Match
	candidates []scheduling.Candidate
}

// waitingRequest is a request in the queue.
type waitingRequest struct {
	Request
	// submitted is when the request joined the queue.
	submitted time.Time
	// blockedSince is when the request was first passed over for lack of room.
	blockedSince time.Time
}

// NewFair returns the fair policy: organisations are served by share and
// weight, and each engine takes as much as its memory is expected to hold. Next
// must be called regularly while requests wait, since room also appears with
// time. A request of an organisation without entitlement gets a *QueueFullError.
func NewFair(o FairOptions) Policy {
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
	if o.MaxEngineStreams == 0 {
		o.MaxEngineStreams = defaultMaxEngineStreams
	}
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
			Filters: []scheduling.Filter{scheduling.NotExcluded{}, scheduling.NotSuspended{}, scheduling.HasCapacity{}, scheduling.NotPrefilling{}},
			Scorers: []scheduling.WeightedScorer{
				{Scorer: scheduling.FreeMemory{}, Weight: freeMemoryWeight},
				{Scorer: scheduling.FreeBatchSlots{}, Weight: freeBatchSlotsWeight},
				{Scorer: scheduling.CachedPrefix{}, Weight: cachedPrefixWeight},
				{Scorer: scheduling.FirstTokenLatency{}, Weight: firstTokenLatencyWeight},
				{Scorer: scheduling.SameZone{}, Weight: sameZoneWeight},
			},
			Picker: scheduling.HighestScore{},
		},
		engines:  map[string]*engine{},
		byHandle: map[int]*engine{},
		accounts: map[string]*account{},
		waiting:  map[RequestID]*flowcontrol.Item[*waitingRequest]{},
		streams:  map[RequestID]*stream{},
	}
}

// SetShares implements Core. Waiting requests of organisations that are no
// longer entitled are dropped.
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
		delete(f.waiting, r.ID)
	}
	f.lengths.Retain(f.queue.Entitled)
	f.setAccounts(shares)
	f.tuning = newTuning(shares)
	f.updateAllCapacities(now)
}

// Submit implements Core.
func (f *fairPolicy) Submit(now time.Time, r Request) error {
	if f.waiting[r.ID] != nil || f.streams[r.ID] != nil {
		return nil // a repeated message
	}
	if !f.hasUsableEngine(r.Excluded) {
		return &NoBackendError{Model: r.Model}
	}
	if r.Spare || r.Resumed {
		return f.submitCopy(now, r)
	}
	a, length := f.accounts[r.Organisation], f.queue.OrganisationLen(r.Organisation)
	if a == nil || a.queueDelay.Expected(now, length) > f.tuning.maxWait {
		return &QueueFullError{Organisation: r.Organisation}
	}
	item := f.queue.Push(r.Organisation, &waitingRequest{Request: r, submitted: now})
	if item == nil {
		return &QueueFullError{Organisation: r.Organisation}
	}
	a.queueDelay.Enqueued(now, length)
	f.waiting[r.ID] = item
	return nil
}

// hasUsableEngine reports whether an engine is left that the request does not exclude.
func (f *fairPolicy) hasUsableEngine(excluded []string) bool {
	left := f.capacity.Len()
	for i, id := range excluded {
		if e := f.engines[id]; e != nil && e.live && !slices.Contains(excluded[:i], id) {
			left--
		}
	}
	return left > 0
}

// Withdraw implements Core.
func (f *fairPolicy) Withdraw(_ time.Time, id RequestID) {
	if item := f.waiting[id]; item != nil {
		f.queue.Remove(item)
		delete(f.waiting, id)
	}
}

// Waiting implements Core.
func (f *fairPolicy) Waiting() map[string]int { return f.queue.Waiting() }
