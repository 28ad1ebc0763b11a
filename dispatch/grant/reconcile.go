package grant

import (
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// declare handles the complete list of grants that a frontend holds in a group.
func (d *dispatcher) declare(from, groupName string, b *peerpb.Declare) {
	c := d.groupState(groupName)
	if c == nil {
		return // the next complete keepalive causes a new declaration
	}
	c.usedAt = d.m.now
	c.declared[from] = true
	held := map[uint64]bool{}
	for _, h := range b.Grants {
		held[h.Sequence] = true
		d.adoptGrant(c, from, h)
	}
	for s, e := range d.entries[from] {
		if e.groupState == c && e.granted && !held[s] && d.m.now.Sub(e.stateSince) > reconcileMinAge {
			d.dropEntry(e)
		}
	}
	if c.reduced {
		d.restoreWindow(c)
	}
	d.issueGrants(c)
}

// adoptGrant adds a declared grant, which another dispatcher may have issued.
func (d *dispatcher) adoptGrant(c *groupState, from string, h *peerpb.HeldGrant) {
	id := dispatch.RequestID{VM: from, Sequence: h.Sequence}
	if e := d.entries[from][h.Sequence]; e != nil {
		if e.granted && e.groupState == c && e.grant.Backend == h.Backend {
			d.applyProgress(e, streamProgress{tokens: int(h.Tokens)})
			return
		}
		d.dropEntry(e)
	}
	g := dispatch.Grant{Request: id, Backend: h.Backend, Priority: int(h.Priority)}
	c.policy.Declare(d.m.now, dispatch.HeldGrant{Grant: g, AdmissionRequest: d.m.view.decodeGrantRequest(c.group.model, h.Request), Tokens: int(h.Tokens)})
	d.addEntry(&entry{groupState: c, id: id, granted: true, stateSince: d.m.now, grant: g, tokens: int(h.Tokens)})
}

// keepalive acknowledges a keepalive. A complete one is reconciled first.
func (d *dispatcher) keepalive(from string, k *peerpb.Keepalive) {
	ack := &peerpb.KeepaliveAck{Number: k.Number}
	if k.Complete {
		ack.Unknown, ack.Unlisted = d.reconcile(from, k)
	}
	_ = d.m.send(from, &peerpb.Dispatch{Message: &peerpb.Dispatch_KeepaliveAck{KeepaliveAck: ack}})
}

// reconcile drops entries that the frontend no longer lists and sends lost grants
// again. It returns the listed sequences that this VM does not hold, and whether it
// still holds unlisted ones that are too recent to drop.
func (d *dispatcher) reconcile(from string, k *peerpb.Keepalive) (unknown []uint64, unlisted bool) {
	listed := map[uint64]bool{}
	for _, s := range deltaDecode(k.Base, k.Waiting) {
		listed[s] = true
		switch e := d.entries[from][s]; {
		case e == nil:
			unknown = append(unknown, s)
		case e.granted:
			d.sendEntryState(e)
		}
	}
	for _, s := range deltaDecode(k.Base, k.Held) {
		if e := d.entries[from][s]; e == nil || !e.granted {
			unknown = append(unknown, s)
			continue
		}
		listed[s] = true
	}
	affected := map[*groupState]bool{}
	for s, e := range d.entries[from] {
		if listed[s] {
			e.groupState.usedAt = d.m.now
		} else if d.m.now.Sub(e.stateSince) > reconcileMinAge {
			affected[e.groupState] = true
			d.dropEntry(e)
		} else {
			unlisted = true
		}
	}
	for c := range affected {
		d.issueGrants(c)
	}
	return unknown, unlisted
}

// tick ends reduced windows and drops the state of expired VMs and groups.
func (d *dispatcher) tick() {
	for _, c := range d.groupStates {
		if c.reduced {
			d.restoreWindow(c)
		}
		d.issueGrants(c)
	}
	if d.m.now.Sub(d.lastExpiryCheck) < progressInterval {
		return
	}
	d.lastExpiryCheck = d.m.now
	for vm := range d.entries {
		if d.vmExpired(vm) {
			d.dropVM(vm)
		}
	}
	for vm, at := range d.lastContact {
		if d.m.now.Sub(at) > silentVMTimeout && d.entries[vm] == nil {
			delete(d.lastContact, vm)
		}
	}
	for name, c := range d.groupStates {
		if !c.owned && d.m.now.Sub(c.usedAt) > movedGroupRetention {
			d.closeGroup(name, c)
		}
	}
}

// vmExpired reports whether a VM has been silent for longer than its timeout.
func (d *dispatcher) vmExpired(vm string) bool {
	if vm == d.m.opts.VM {
		return false
	}
	grace := silentVMTimeout
	if !d.m.view.entryVMs[vm] {
		grace = departedVMTimeout
	}
	return d.m.now.Sub(d.lastContact[vm]) > grace
}

// dropVM drops the requests and grants of a VM.
func (d *dispatcher) dropVM(vm string) {
	d.m.opts.Log.Warn("grants_dropped", zap.String("peer", vm), zap.Int("grants", len(d.entries[vm])))
	affected := map[*groupState]bool{}
	for _, e := range d.entries[vm] {
		affected[e.groupState] = true
		d.dropEntry(e)
	}
	for c := range affected {
		d.issueGrants(c)
	}
}

// closeGroup drops the state of a group that moved to another dispatcher.
func (d *dispatcher) closeGroup(name string, c *groupState) {
	for _, bySequence := range d.entries {
		for _, e := range bySequence {
			if e.groupState == c {
				d.dropEntry(e)
			}
		}
	}
	delete(d.groupStates, name)
	d.m.targets.Store(d.m.pollTargets())
	d.m.opts.Log.Info("group_released", zap.String("group", name), zap.Duration("idle", d.m.now.Sub(c.usedAt).Truncate(time.Millisecond)))
}
