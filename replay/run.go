package replay

import (
	"fmt"
	"time"

	"github.com/vanillaarch/vanillaarch/backend"
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/enginemodel"
)

// Options are the parameters of a replay. The zero value of a field selects its default.
type Options struct {
	// Engine describes all engines.
	Engine enginemodel.Settings
	// VMs is the number of frontends, which receive requests round-robin. Default 20.
	VMs int
	// QueueTimeout bounds the wait for a grant. Default 30 s.
	QueueTimeout time.Duration
	// RetryTimeout is how long after its arrival a rejected request is retried.
	// Default 30 s.
	RetryTimeout time.Duration
	// RetryAfter is the delay before a rejected request is retried. Default 2 s, the
	// delay that frontends ask callers to wait.
	RetryAfter time.Duration
	// FirstTokenTimeout bounds the wait for the first token before a resume. Default 20 s.
	FirstTokenTimeout time.Duration
	// StreamIdleTimeout is the maximum wait for the next token before a resume. Default 3 s.
	StreamIdleTimeout time.Duration
	// ReportInterval is the interval between load reports of an engine. Default 250 ms.
	ReportInterval time.Duration
	// VMListDelay is the delay until a change to the list of VMs reaches the policy.
	// Default 1 s.
	VMListDelay time.Duration
	// StallThreshold is the shortest gap between tokens that counts as stall time.
	// Default 250 ms.
	StallThreshold time.Duration
	// DrainTimeout bounds the time that open requests get to finish after the arrival
	// period. Default 10 min.
	DrainTimeout time.Duration
}

// Limits of attempts, as in package frontend. After the first token, resumes are
// limited to (maxResumes+1)*StreamIdleTimeout without a token.
const (
	maxAttempts = 3
	maxResumes  = 3
	// progressInterval is the number of tokens between progress reports.
	progressInterval = 16
)

func (o *Options) applyDefaults() {
	if o.Engine == (enginemodel.Settings{}) {
		o.Engine = enginemodel.DefaultSettings()
	}
	setDefault(&o.VMs, dispatch.BaselineVMs)
	setDefault(&o.QueueTimeout, 30*time.Second)
	setDefault(&o.RetryTimeout, 30*time.Second)
	setDefault(&o.RetryAfter, 2*time.Second)
	setDefault(&o.FirstTokenTimeout, 20*time.Second)
	setDefault(&o.StreamIdleTimeout, 3*time.Second)
	setDefault(&o.ReportInterval, 250*time.Millisecond)
	setDefault(&o.VMListDelay, time.Second)
	setDefault(&o.StallThreshold, 250*time.Millisecond)
	setDefault(&o.DrainTimeout, 10*time.Minute)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// run is the state of one replay.
type run struct {
	clock
	opts         Options
	trace        *Trace
	policy       dispatch.Policy
	end          time.Time
	networkDelay time.Duration
	engines      []*engine
	byID         map[string]*engine
	requests     map[dispatch.RequestID]*request
	connections  map[string]*connection
	// owners maps a generation to its request, even while no connection reads it.
	owners map[string]*request
	// gapTables holds the token gaps that each frontend has observed.
	gapTables    map[string]*backend.GapTable
	submitted    uint64
	generations  uint64
	openRequests int
	// dirty is set when the policy's state has changed and it may issue grants.
	dirty bool
	meter *meter
}

// engine is an engine model with its state in the replay.
type engine struct {
	id      string
	model   *enginemodel.Engine
	alive   bool
	leaving bool
	// nextAdvance is the time of the next scheduled advance.
	nextAdvance time.Time
	// incarnation counts the starts of the engine; events of an earlier one are ignored.
	incarnation   int
	cacheSequence uint64
}

// Run replays a trace under a policy. It returns an *enginemodel.SettingError if
// an engine setting is out of range.
func Run(t *Trace, policy dispatch.Policy, o Options) (*Report, error) {
	o.applyDefaults()
	if o.Engine.Seed == 0 {
		o.Engine.Seed = t.Header.Seed
	}
	if err := o.Engine.Validate(); err != nil {
		return nil, err
	}
	r := &run{
		clock: clock{now: epoch}, opts: o, trace: t, policy: policy, end: epoch.Add(t.Header.duration()),
		networkDelay: time.Duration(t.Header.OneWayMicros) * time.Microsecond,
		byID:         map[string]*engine{}, requests: map[dispatch.RequestID]*request{},
		connections: map[string]*connection{}, owners: map[string]*request{}, gapTables: map[string]*backend.GapTable{}, meter: newMeter(t, o),
	}
	r.openRequests = len(t.Arrivals)
	r.startEngines()
	policy.SetShares(r.now, t.Header.shares())
	r.updateBackends()
	for _, f := range t.Faults {
		r.scheduleFault(f)
	}
	r.nextArrival(0)
	r.scheduleAfter(o.ReportInterval, r.reportEngineState)
	for limit := r.end.Add(o.DrainTimeout); r.openRequests > 0 && r.now.Before(limit) && r.step(); {
		r.processGrants()
	}
	return r.finish(), nil
}

func (r *run) startEngines() {
	for i := range r.trace.Header.Engines {
		e := &engine{id: EngineID(i)}
		r.engines = append(r.engines, e)
		r.byID[e.id] = e
		r.startEngine(e)
	}
}

// startEngine starts an engine with empty memory.
func (r *run) startEngine(e *engine) {
	settings := r.opts.Engine
	settings.Seed += uint64(len(e.id)) + uint64(e.incarnation)
	e.model, _ = enginemodel.New(settings) // Run has validated the settings
	e.alive, e.leaving, e.cacheSequence, e.nextAdvance = true, false, 0, time.Time{}
	e.incarnation++
}

// updateBackends tells the policy which engines may receive new requests.
func (r *run) updateBackends() {
	backends := make([]dispatch.Backend, 0, len(r.engines))
	for _, e := range r.engines {
		if e.alive && !e.leaving {
			backends = append(backends, dispatch.Backend{
				ID: e.id, BlocksTotal: r.opts.Engine.Blocks, BlockTokens: r.opts.Engine.BlockTokens,
			})
		}
	}
	r.policy.SetBackends(r.now, backends)
	r.dirty = true
}

// nextArrival schedules arrival i, which schedules the one after it.
func (r *run) nextArrival(i int) {
	if i == len(r.trace.Arrivals) {
		return
	}
	a := &r.trace.Arrivals[i]
	r.scheduleAt(epoch.Add(time.Duration(a.AtMicros)*time.Microsecond), func() {
		r.nextArrival(i + 1)
		r.handleArrival(i, a)
	})
}

// reportEngineState passes load reports and cache events to the policy, once per
// ReportInterval.
func (r *run) reportEngineState() {
	for _, e := range r.engines {
		if !e.alive {
			continue
		}
		r.policy.Load(r.now, e.id, e.model.Load(r.now))
		for _, c := range e.model.CacheEvents(r.now, e.cacheSequence) {
			e.cacheSequence = c.Sequence
			r.policy.CacheEvent(r.now, e.id, c)
		}
	}
	r.dirty = true
	r.scheduleAfter(r.opts.ReportInterval, r.reportEngineState)
}

// processGrants collects the grants that the policy issues and schedules the start
// of their generations.
func (r *run) processGrants() {
	if !r.dirty {
		return
	}
	r.dirty = false
	for _, g := range r.policy.Next(r.now) {
		q, ok := r.requests[g.Request]
		if !ok || q.granted {
			continue
		}
		q.granted, q.backend, q.priority = true, g.Backend, g.Priority
		attempt := q.attempts
		// Two network hops: the grant to the frontend, and the request to the engine.
		r.scheduleAfter(2*r.networkDelay, func() {
			if q.attempts == attempt && !q.done {
				r.start(q)
			}
		})
	}
}

// scheduleAdvance schedules the next advance of an engine.
func (r *run) scheduleAdvance(e *engine) {
	due, ok := e.model.Due()
	if !ok || due.Equal(e.nextAdvance) {
		return
	}
	e.nextAdvance = due
	life := e.incarnation
	r.scheduleAt(due, func() {
		if e.incarnation != life || !e.alive || !e.nextAdvance.Equal(due) {
			return
		}
		e.nextAdvance = time.Time{}
		e.model.Advance(r.now, func(ev enginemodel.Event) { r.engineEvent(e, ev) })
		r.scheduleAdvance(e)
	})
}

func (r *run) engineEvent(e *engine, ev enginemodel.Event) {
	if ev.Kind == enginemodel.KindPreempted {
		r.meter.preempted(r.owners[ev.ID])
		return
	}
	c, ok := r.connections[ev.ID]
	if !ok {
		return
	}
	switch ev.Kind {
	case enginemodel.KindFailed:
		r.closeConnection(c)
		r.handleStreamLoss(c.request, outcomeFailed)
	case enginemodel.KindToken:
		if !c.stalled {
			r.token(c, ev)
		}
	}
}

func (r *run) newGeneration(e *engine) string {
	r.generations++
	return fmt.Sprintf("%s.%08x", e.id, r.generations)
}
