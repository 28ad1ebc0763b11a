package grant

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// groupState is the state of a group on a VM that dispatches it.
type groupState struct {
	group  *group
	policy dispatch.Policy
	// owned reports whether this VM owns the group in its own view. The views of
	// other VMs may differ; their requests are served as well.
	owned        bool
	usedAt       time.Time
	reducedSince time.Time
	reduced      bool
	// declared holds the VMs that have declared their grants.
	declared map[string]bool
	queued   int
	granted  int
}

// entry is a queued or granted request of a group.
type entry struct {
	groupState *groupState
	id         dispatch.RequestID
	granted    bool
	// stateSince is the time of the submission or, once granted, of the grant.
	stateSince time.Time
	// organisation is set for requests that were queued here, not for declared grants.
	organisation string
	grant        dispatch.Grant
	tokens       int
}

// dispatcher is the side of the protocol that issues grants.
type dispatcher struct {
	m           *Manager
	groupStates map[string]*groupState
	// entries holds the requests of all groups by VM and sequence.
	entries         map[string]map[uint64]*entry
	lastContact     map[string]time.Time
	reports         map[string]dispatch.LoadReport
	lastExpiryCheck time.Time
}

func newDispatcher(m *Manager) *dispatcher {
	return &dispatcher{
		m: m, groupStates: map[string]*groupState{}, entries: map[string]map[uint64]*entry{},
		lastContact: map[string]time.Time{}, reports: map[string]dispatch.LoadReport{},
	}
}

func (d *dispatcher) recordContact(vm string) { d.lastContact[vm] = d.m.now }

// resetTimeouts restarts the silence timeouts of all VMs after a pause of this VM.
func (d *dispatcher) resetTimeouts() {
	for vm := range d.lastContact {
		d.lastContact[vm] = d.m.now
	}
}

// adoptGroups updates the groups from the view. It takes over those that this VM
// now owns and marks those that moved to another VM.
func (d *dispatcher) adoptGroups() {
	v := d.m.view
	for name, c := range d.groupStates {
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
			if c := d.groupState(name); !c.owned {
				c.owned = true
				d.startReducedWindow(c)
			}
		}
	}
	for id := range d.reports {
		if _, ok := v.snap.Backends[id]; !ok {
			delete(d.reports, id)
		}
	}
}

// adoptShares passes the entitlements of a new bundle to all policies.
func (d *dispatcher) adoptShares() {
	for _, c := range d.groupStates {
		c.policy.SetShares(d.m.now, d.m.view.shares)
	}
	d.rejectUnentitled()
}

// rejectUnentitled rejects the queued requests of organisations that a new bundle
// no longer names. Policies drop these requests from their queues.
func (d *dispatcher) rejectUnentitled() {
	for vm, bySequence := range d.entries {
		for s, e := range bySequence {
			if !e.granted && !d.m.view.entitled(e.organisation) {
				d.dropEntry(e)
				d.reject(vm, s, peerpb.RejectReason_REJECT_REASON_VIEWS_DIFFER)
			}
		}
	}
}

// groupState returns the state of a group and creates it if necessary. It returns nil if
// neither the state nor the group exists.
func (d *dispatcher) groupState(name string) *groupState {
	c := d.groupStates[name]
	if c != nil {
		return c
	}
	g := d.m.view.groups[name]
	if g == nil {
		return nil
	}
	c = &groupState{group: g, policy: d.m.opts.NewPolicy(), usedAt: d.m.now, declared: map[string]bool{}}
	d.groupStates[name] = c
	d.m.targets.Store(d.m.pollTargets())
	c.policy.SetShares(d.m.now, d.m.view.shares)
	d.setBackendsOf(c)
	d.startReducedWindow(c)
	return c
}

// startReducedWindow reduces the admission window and asks the frontends to declare
// their grants.
func (d *dispatcher) startReducedWindow(c *groupState) {
	c.reducedSince, c.reduced = d.m.now, true
	d.applyWindow(c)
	for _, vm := range d.m.view.declarers[c.group.region] {
		_ = d.m.send(vm.ID, &peerpb.Dispatch{
			Group: c.group.name, Message: &peerpb.Dispatch_DeclareRequest{DeclareRequest: &peerpb.DeclareRequest{}},
		})
	}
	d.m.opts.Log.Info("group_dispatched", zap.String("group", c.group.name), zap.Int("engines", len(c.group.engines)))
}

func (d *dispatcher) applyWindow(c *groupState) {
	if r, ok := c.policy.(WindowReducer); ok {
		r.ReduceWindow(d.m.now, c.reduced)
	}
}

// restoreWindow restores the full window once all frontends have declared or
// reducedWindowTimeout has passed.
func (d *dispatcher) restoreWindow(c *groupState) {
	all := !slices.ContainsFunc(d.m.view.declarers[c.group.region], func(vm vmlist.VM) bool { return !c.declared[vm.ID] })
	if all || d.m.now.Sub(c.reducedSince) >= reducedWindowTimeout {
		c.reduced = false
		d.applyWindow(c)
		d.issueGrants(c)
	}
}

// setBackends updates the engines that are eligible for new work in all policies.
func (d *dispatcher) setBackends() {
	for _, c := range d.groupStates {
		d.setBackendsOf(c)
		d.issueGrants(c)
	}
}

// setBackendsOf excludes engines that do not respond. If none of at least
// isolationMinEngines responds, the fault is more likely between this VM and the
// engines. All engines then stay eligible, and frontends decide by their own
// connections.
func (d *dispatcher) setBackendsOf(c *groupState) {
	engines := slices.DeleteFunc(slices.Clone(c.group.engines), func(id string) bool { return !d.m.opts.Breaker.Allowed(id) })
	if len(engines) == 0 && len(c.group.engines) >= isolationMinEngines {
		engines = c.group.engines
	}
	backends := make([]dispatch.Backend, 0, len(engines))
	for _, id := range engines {
		blocks, blockTokens := d.kvCacheSize(id)
		backends = append(backends, dispatch.Backend{
			ID: id, Zone: d.m.view.snap.Backends[id].Zone, BlocksTotal: blocks, BlockTokens: blockTokens,
		})
	}
	c.policy.SetBackends(d.m.now, backends)
}

// kvCacheSize returns the KV cache size of an engine, or zero if it is unknown.
func (d *dispatcher) kvCacheSize(engine string) (blocks, blockTokens int) {
	if r, reported := d.reports[engine]; reported || d.m.opts.KVCacheSize == nil {
		return r.BlocksTotal, r.BlockTokens
	}
	return d.m.opts.KVCacheSize(engine)
}

// request queues a request. A repeated request is answered with its current state.
func (d *dispatcher) request(from, groupName string, r *peerpb.GrantRequest) {
	if e := d.entries[from][r.Sequence]; e != nil {
		d.sendEntryState(e)
		return
	}
	c := d.groupState(groupName)
	if c == nil || d.m.view.groups[groupName] == nil || !d.m.view.entitled(r.Organisation) {
		d.reject(from, r.Sequence, peerpb.RejectReason_REJECT_REASON_VIEWS_DIFFER)
		return
	}
	c.usedAt = d.m.now
	id := dispatch.RequestID{VM: from, Sequence: r.Sequence}
	if err := c.policy.Submit(d.m.now, dispatch.Request{ID: id, AdmissionRequest: d.m.view.decodeGrantRequest(c.group.model, r)}); err != nil {
		d.reject(from, r.Sequence, rejectReason(err))
		return
	}
	e := d.addEntry(&entry{groupState: c, id: id, stateSince: d.m.now, organisation: r.Organisation})
	if d.issueGrants(c); !e.granted {
		d.sendEntryState(e)
	}
}

func (d *dispatcher) addEntry(e *entry) *entry {
	if d.entries[e.id.VM] == nil {
		d.entries[e.id.VM] = map[uint64]*entry{}
	}
	d.entries[e.id.VM][e.id.Sequence] = e
	if e.granted {
		e.groupState.granted++
	} else {
		e.groupState.queued++
	}
	return e
}

// sendEntryState sends the state of an entry to its frontend.
func (d *dispatcher) sendEntryState(e *entry) {
	message := &peerpb.Dispatch{}
	if e.granted {
		message.Message = &peerpb.Dispatch_Grant{Grant: &peerpb.Grant{
			Sequence: e.id.Sequence, Backend: e.grant.Backend, Priority: uint32(e.grant.Priority),
		}}
	} else {
		message.Group = e.groupState.group.name
		message.Message = &peerpb.Dispatch_Received{Received: &peerpb.Received{
			Sequences: []uint64{e.id.Sequence}, Waiting: uint32(e.groupState.queued),
		}}
	}
	// The next complete keepalive recovers a lost message.
	_ = d.m.send(e.id.VM, message)
}

func (d *dispatcher) reject(to string, sequence uint64, reason peerpb.RejectReason) {
	_ = d.m.send(to, &peerpb.Dispatch{Message: &peerpb.Dispatch_GrantRejected{
		GrantRejected: &peerpb.GrantRejected{Sequence: sequence, Reason: reason},
	}})
}

// issueGrants sends the grants that the policy allows now.
func (d *dispatcher) issueGrants(c *groupState) {
	if c.queued == 0 || c.reduced && d.m.now.Sub(c.reducedSince) < takeoverHold {
		return
	}
	for _, g := range c.policy.Next(d.m.now) {
		e := d.entries[g.Request.VM][g.Request.Sequence]
		if e == nil || e.granted {
			d.m.opts.Log.Error("grant_without_request", zap.String("peer", g.Request.VM), zap.Uint64("sequence", g.Request.Sequence))
			continue
		}
		e.granted, e.grant, e.stateSince = true, g, d.m.now
		c.queued--
		c.granted++
		d.sendEntryState(e)
	}
}

// dropEntry removes a queued or granted entry from its policy.
func (d *dispatcher) dropEntry(e *entry) {
	if e.granted {
		e.groupState.policy.Finish(d.m.now, e.id, e.tokens)
		e.groupState.granted--
	} else {
		e.groupState.policy.Withdraw(d.m.now, e.id)
		e.groupState.queued--
	}
	delete(d.entries[e.id.VM], e.id.Sequence)
	if len(d.entries[e.id.VM]) == 0 {
		delete(d.entries, e.id.VM)
	}
}

func (d *dispatcher) withdraw(from string, sequence uint64) {
	if e := d.entries[from][sequence]; e != nil {
		d.dropEntry(e)
		d.issueGrants(e.groupState)
	}
}

// progress charges running streams for their tokens and removes finished ones.
func (d *dispatcher) progress(from string, b *peerpb.Progress) {
	affected := map[*groupState]bool{}
	for _, p := range decodeProgress(b) {
		e := d.entries[from][p.sequence]
		if e == nil {
			continue
		}
		affected[e.groupState] = true
		if p.unreachable && e.granted {
			d.m.opts.Breaker.Trip(e.grant.Backend)
		}
		d.applyProgress(e, p)
	}
	if d.m.opts.Breaker.Version() != d.m.breakerVersion {
		d.setBackends()
	}
	for c := range affected {
		d.issueGrants(c)
	}
}

func (d *dispatcher) applyProgress(e *entry, p streamProgress) {
	tokens := max(e.tokens, p.tokens)
	if e.granted && p.preempted {
		e.groupState.policy.Preempted(d.m.now, e.id)
	}
	if e.granted && p.failed {
		e.groupState.policy.Failed(d.m.now, e.id)
	}
	if p.finished {
		e.tokens = tokens
		d.dropEntry(e)
		return
	}
	if e.granted && tokens > e.tokens {
		e.tokens = tokens
		e.groupState.policy.Progress(d.m.now, e.id, tokens)
	}
}

// applyLoadReport stores the load report of an engine and passes it to the policies.
func (d *dispatcher) applyLoadReport(engine string, r dispatch.LoadReport) {
	if _, ok := d.m.view.snap.Backends[engine]; !ok {
		return
	}
	known := d.reports[engine]
	d.reports[engine] = r
	for _, c := range d.groupStatesOf(engine) {
		if known.BlocksTotal != r.BlocksTotal || known.BlockTokens != r.BlockTokens {
			d.setBackendsOf(c)
		}
		c.policy.Load(d.m.now, engine, r)
		d.issueGrants(c)
	}
}

func (d *dispatcher) cacheEvents(engine string, events []dispatch.CacheEvent) {
	for _, c := range d.groupStatesOf(engine) {
		for _, e := range events {
			c.policy.CacheEvent(d.m.now, engine, e)
		}
	}
}

func (d *dispatcher) groupStatesOf(engine string) []*groupState {
	var states []*groupState
	for _, model := range d.m.view.snap.Backends[engine].Models {
		if g := d.m.view.groupOf[modelEngine{model, engine}]; g != nil && d.groupStates[g.name] != nil {
			states = append(states, d.groupStates[g.name])
		}
	}
	return states
}
