package grant

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// groupCore is the state of a group on the VM that dispatches it.
type groupCore struct {
	group *group
	core  dispatch.Core
	// owned says that this VM is the dispatcher in its own view. Other VMs may
	// have another view; their requests are served as well.
	owned   bool
	usedAt  time.Time
	since   time.Time
	reduced bool
	// declared holds the VMs that have declared their grants.
	declared map[string]bool
	queued   int
	granted  int
}

// entry is a request that a core holds.
type entry struct {
	core    *groupCore
	id      dispatch.RequestID
	granted bool
	// at is the time of the submission, or of the grant.
	at time.Time
	// organisation is set while the request waits.
	organisation string
	grant        dispatch.Grant
	tokens       int
}

// dispatcher is the side of the protocol that gives grants.
type dispatcher struct {
	m     *Manager
	cores map[string]*groupCore
	// entries holds the requests of all cores by VM and sequence.
	entries map[string]map[uint64]*entry
	heardAt map[string]time.Time
	reports map[string]dispatch.LoadReport
	checked time.Time
}

func newDispatcher(m *Manager) *dispatcher {
	return &dispatcher{
		m: m, cores: map[string]*groupCore{}, entries: map[string]map[uint64]*entry{},
		heardAt: map[string]time.Time{}, reports: map[string]dispatch.LoadReport{},
	}
}

func (d *dispatcher) heard(vm string) { d.heardAt[vm] = d.m.now }

// resumed restarts all timeouts after a pause of this VM.
func (d *dispatcher) resumed() {
	for vm := range d.heardAt {
		d.heardAt[vm] = d.m.now
	}
}

// adoptGroups takes over groups that this VM now owns and marks those that moved.
func (d *dispatcher) adoptGroups() {
	v := d.m.view
	for name, c := range d.cores {
		g := v.groups[name]
		if g == nil {
			g = &group{name: name, model: c.group.model, region: c.group.region}
		}
		c.group = g
		if c.owned = c.owned && g.owner == d.m.opts.VM; !c.owned {
			clear(c.declared)
		}
	}
	for name, g := range v.groups {
		if g.owner == d.m.opts.VM {
			if c := d.core(name); !c.owned {
				c.owned = true
				d.reduce(c)
			}
		}
	}
	for id := range d.reports {
		if _, ok := v.snap.Backends[id]; !ok {
			delete(d.reports, id)
		}
	}
}

// adoptShares gives the entitlements of a new bundle to all cores.
func (d *dispatcher) adoptShares() {
	for _, c := range d.cores {
		c.core.SetShares(d.m.now, d.m.view.shares)
	}
	d.rejectUnentitled()
}

// rejectUnentitled ends the wait of organisations that a new bundle no longer
// names, which cores drop from their queues.
func (d *dispatcher) rejectUnentitled() {
	for vm, bySequence := range d.entries {
		for s, e := range bySequence {
			if !e.granted && !d.m.view.entitled(e.organisation) {
				d.drop(e)
				d.reject(vm, s, peerpb.RejectReason_REJECT_REASON_VIEWS_DIFFER)
			}
		}
	}
}

// core returns the state of a group, or nil if the view has no such group.
func (d *dispatcher) core(name string) *groupCore {
	c := d.cores[name]
	if c != nil {
		return c
	}
	g := d.m.view.groups[name]
	if g == nil {
		return nil
	}
	c = &groupCore{group: g, core: d.m.opts.NewCore(), usedAt: d.m.now, declared: map[string]bool{}}
	d.cores[name] = c
	d.m.targets.Store(d.m.pollTargets())
	c.core.SetShares(d.m.now, d.m.view.shares)
	d.setBackendsOf(c)
	d.reduce(c)
	return c
}

// reduce admits less until the frontends have declared their grants.
func (d *dispatcher) reduce(c *groupCore) {
	c.since, c.reduced = d.m.now, true
	d.reduceWindow(c)
	for _, vm := range d.m.view.declarers[c.group.region] {
		_ = d.m.send(vm.ID, &peerpb.Dispatch{
			Group: c.group.name, Message: &peerpb.Dispatch_DeclareRequest{DeclareRequest: &peerpb.DeclareRequest{}},
		})
	}
	d.m.opts.Log.Info("group_dispatched", zap.String("group", c.group.name), zap.Int("engines", len(c.group.engines)))
}

func (d *dispatcher) reduceWindow(c *groupCore) {
	if r, ok := c.core.(WindowReducer); ok {
		r.ReduceWindow(d.m.now, c.reduced)
	}
}

// restore ends a reduced window when all frontends have declared or the time is up.
func (d *dispatcher) restore(c *groupCore) {
	all := !slices.ContainsFunc(d.m.view.declarers[c.group.region], func(vm vmlist.VM) bool { return !c.declared[vm.ID] })
	if all || d.m.now.Sub(c.since) >= reducedFor {
		c.reduced = false
		d.reduceWindow(c)
		d.pump(c)
	}
}

// setBackends updates the engines that may get new work.
func (d *dispatcher) setBackends() {
	for _, c := range d.cores {
		d.setBackendsOf(c)
		d.pump(c)
	}
}

// setBackendsOf excludes engines that do not respond. If none of several
// responds, the fault is more likely between this VM and the engines, and
// frontends decide by their own connections.
func (d *dispatcher) setBackendsOf(c *groupCore) {
	engines := slices.DeleteFunc(slices.Clone(c.group.engines), func(id string) bool { return !d.m.opts.Breaker.Allowed(id) })
	if len(engines) == 0 && len(c.group.engines) >= isolatedEngines {
		engines = c.group.engines
	}
	backends := make([]dispatch.Backend, 0, len(engines))
	for _, id := range engines {
		blocks, blockTokens := d.memory(id)
		backends = append(backends, dispatch.Backend{
			ID: id, Zone: d.m.view.snap.Backends[id].Zone, BlocksTotal: blocks, BlockTokens: blockTokens,
		})
	}
	c.core.SetBackends(d.m.now, backends)
}

// memory returns the size of an engine's memory, zero if it is not known.
func (d *dispatcher) memory(engine string) (blocks, blockTokens int) {
	if r, reported := d.reports[engine]; reported || d.m.opts.Memory == nil {
		return r.BlocksTotal, r.BlockTokens
	}
	return d.m.opts.Memory(engine)
}

// request queues a request. A request that is already known is answered again.
func (d *dispatcher) request(from, groupName string, r *peerpb.GrantRequest) {
	if e := d.entries[from][r.Sequence]; e != nil {
		d.answer(e)
		return
	}
	c := d.core(groupName)
	if c == nil || d.m.view.groups[groupName] == nil || !d.m.view.entitled(r.Organisation) {
		d.reject(from, r.Sequence, peerpb.RejectReason_REJECT_REASON_VIEWS_DIFFER)
		return
	}
	c.usedAt = d.m.now
	id := dispatch.RequestID{VM: from, Sequence: r.Sequence}
	if err := c.core.Submit(d.m.now, dispatch.Request{ID: id, Ask: d.m.view.decodeAsk(c.group.model, r)}); err != nil {
		d.reject(from, r.Sequence, asRejection(err))
		return
	}
	e := d.add(&entry{core: c, id: id, at: d.m.now, organisation: r.Organisation})
	if d.pump(c); !e.granted {
		d.answer(e)
	}
}

func (d *dispatcher) add(e *entry) *entry {
	if d.entries[e.id.VM] == nil {
		d.entries[e.id.VM] = map[uint64]*entry{}
	}
	d.entries[e.id.VM][e.id.Sequence] = e
	if e.granted {
		e.core.granted++
	} else {
		e.core.queued++
	}
	return e
}

// answer sends the state of an entry to its frontend.
func (d *dispatcher) answer(e *entry) {
	message := &peerpb.Dispatch{}
	if e.granted {
		message.Message = &peerpb.Dispatch_Grant{Grant: &peerpb.Grant{
			Sequence: e.id.Sequence, Backend: e.grant.Backend, Priority: uint32(e.grant.Priority),
		}}
	} else {
		message.Group = e.core.group.name
		message.Message = &peerpb.Dispatch_Received{Received: &peerpb.Received{
			Sequences: []uint64{e.id.Sequence}, Waiting: uint32(e.core.queued),
		}}
	}
	// A lost answer is made good by the next complete keepalive.
	_ = d.m.send(e.id.VM, message)
}

func (d *dispatcher) reject(to string, sequence uint64, reason peerpb.RejectReason) {
	_ = d.m.send(to, &peerpb.Dispatch{Message: &peerpb.Dispatch_GrantRejected{
		GrantRejected: &peerpb.GrantRejected{Sequence: sequence, Reason: reason},
	}})
}

// pump sends the grants that can be given now.
func (d *dispatcher) pump(c *groupCore) {
	if c.queued == 0 || c.reduced && d.m.now.Sub(c.since) < heldFor {
		return
	}
	for _, g := range c.core.Next(d.m.now) {
		e := d.entries[g.Request.VM][g.Request.Sequence]
		if e == nil || e.granted {
			d.m.opts.Log.Error("grant_without_request", zap.String("peer", g.Request.VM), zap.Uint64("sequence", g.Request.Sequence))
			continue
		}
		e.granted, e.grant, e.at = true, g, d.m.now
		c.queued--
		c.granted++
		d.answer(e)
	}
}

// drop ends an entry in whatever state it is.
func (d *dispatcher) drop(e *entry) {
	if e.granted {
		e.core.core.Finish(d.m.now, e.id, e.tokens)
		e.core.granted--
	} else {
		e.core.core.Withdraw(d.m.now, e.id)
		e.core.queued--
	}
	delete(d.entries[e.id.VM], e.id.Sequence)
	if len(d.entries[e.id.VM]) == 0 {
		delete(d.entries, e.id.VM)
	}
}

func (d *dispatcher) withdraw(from string, sequence uint64) {
	if e := d.entries[from][sequence]; e != nil {
		d.drop(e)
		d.pump(e.core)
	}
}

// progress charges running streams and takes back finished ones.
func (d *dispatcher) progress(from string, b *peerpb.Progress) {
	touched := map[*groupCore]bool{}
	for _, p := range decodeProgress(b) {
		e := d.entries[from][p.sequence]
		if e == nil {
			continue
		}
		touched[e.core] = true
		if p.unreachable && e.granted {
			d.m.opts.Breaker.Trip(e.grant.Backend)
		}
		d.advance(e, p)
	}
	if d.m.opts.Breaker.Version() != d.m.breakerAt {
		d.setBackends()
	}
	for c := range touched {
		d.pump(c)
	}
}

func (d *dispatcher) advance(e *entry, p progress) {
	tokens := max(e.tokens, p.tokens)
	if e.granted && p.preempted {
		e.core.core.Preempted(d.m.now, e.id)
	}
	if e.granted && p.failed {
		e.core.core.Failed(d.m.now, e.id)
	}
	if p.finished {
		e.tokens = tokens
		d.drop(e)
		return
	}
	if e.granted && tokens > e.tokens {
		e.tokens = tokens
		e.core.core.Progress(d.m.now, e.id, tokens)
	}
}

// load takes an engine's report.
func (d *dispatcher) load(engine string, r dispatch.LoadReport) {
	if _, ok := d.m.view.snap.Backends[engine]; !ok {
		return
	}
	known := d.reports[engine]
	d.reports[engine] = r
	for _, c := range d.coresOf(engine) {
		if known.BlocksTotal != r.BlocksTotal || known.BlockTokens != r.BlockTokens {
			d.setBackendsOf(c)
		}
		c.core.Load(d.m.now, engine, r)
		d.pump(c)
	}
}

func (d *dispatcher) cacheEvents(engine string, events []dispatch.CacheEvent) {
	for _, c := range d.coresOf(engine) {
		for _, e := range events {
			c.core.CacheEvent(d.m.now, engine, e)
		}
	}
}

func (d *dispatcher) coresOf(engine string) []*groupCore {
	var cores []*groupCore
	for _, model := range d.m.view.snap.Backends[engine].Models {
		if g := d.m.view.groupOf[placement{model, engine}]; g != nil && d.cores[g.name] != nil {
			cores = append(cores, d.cores[g.name])
		}
	}
	return cores
}
