package grant

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/internal/boottime"
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

// takeOverAgain treats all owned groups as if this VM had just taken them over.
func (d *dispatcher) takeOverAgain() {
	for _, c := range d.groupStates {
		if c.owned {
			clear(c.declared)
			d.startReducedWindow(c)
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
// reducedWindowTimeout has passed. The window of a group that this VM does not own stays
// reduced: most frontends declare to the owner, which admits up to the full window.
func (d *dispatcher) restoreWindow(c *groupState) {
	if !c.owned {
		return
	}
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
			ResumedAt: d.resumedAt(d.m.view.snap.Backends[id].Zone),
		})
	}
	c.policy.SetBackends(d.m.now, backends)
}

// resumedAt returns when the evacuation of a zone ended, the zero time if it has not lately.
func (d *dispatcher) resumedAt(zone string) time.Time {
	ended, ok := d.m.view.snap.Evacuations.EndedAt(zone)
	if !ok {
		return time.Time{}
	}
	return d.m.now.Add(ended - boottime.Now())
}

// kvCacheSize returns the KV cache size of an engine, or zero if it is unknown.
func (d *dispatcher) kvCacheSize(engine string) (blocks, blockTokens int) {
	if r, reported := d.reports[engine]; reported || d.m.opts.KVCacheSize == nil {
		return r.BlocksTotal, r.BlockTokens
	}
	return d.m.opts.KVCacheSize(engine)
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
