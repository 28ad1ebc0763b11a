package grant

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

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
	refusals        refusals
}

func newDispatcher(m *Manager) *dispatcher {
	return &dispatcher{
		m: m, groupStates: map[string]*groupState{}, entries: map[string]map[uint64]*entry{},
		lastContact: map[string]time.Time{}, reports: map[string]dispatch.LoadReport{}, refusals: newRefusals(m.opts.Metrics),
	}
}

func (d *dispatcher) recordContact(vm string) { d.lastContact[vm] = d.m.now }

// resetTimeouts restarts the silence timeouts of all VMs after a pause of this VM.
func (d *dispatcher) resetTimeouts() {
	for vm := range d.lastContact {
		d.lastContact[vm] = d.m.now
	}
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
		d.rejectWith(from, r.Sequence, err)
		return
	}
	e := d.addEntry(&entry{groupState: c, id: id, stateSince: d.m.now, organisation: r.Organisation})
	if d.issueGrants(c); !e.granted && d.entries[from][r.Sequence] == e {
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
	d.sendRejection(to, &peerpb.GrantRejected{Sequence: sequence, Reason: reason})
}

// rejectWith rejects a request with an error of its policy.
func (d *dispatcher) rejectWith(to string, sequence uint64, err error) {
	b := &peerpb.GrantRejected{Sequence: sequence, Reason: rejectReason(err)}
	if full, ok := errors.Into[*dispatch.QueueFullError](err); ok {
		b.RetryAfterMs = encodeMilliseconds(full.RetryAfter)
		d.refusals.record(d.m.opts.Log, to, sequence, full)
	}
	d.sendRejection(to, b)
}

func (d *dispatcher) sendRejection(to string, b *peerpb.GrantRejected) {
	_ = d.m.send(to, &peerpb.Dispatch{Message: &peerpb.Dispatch_GrantRejected{GrantRejected: b}})
}

// issueGrants sends the grants that the policy allows now.
func (d *dispatcher) issueGrants(c *groupState) {
	if c.queued == 0 {
		return
	}
	defer d.sendRefusals(c)
	if c.reduced && d.m.now.Sub(c.reducedSince) < takeoverHold {
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

// sendRefusals tells frontends of the queued requests that the policy has refused.
func (d *dispatcher) sendRefusals(c *groupState) {
	policy, ok := c.policy.(dispatch.Refuser)
	if !ok {
		return
	}
	for _, r := range policy.Refused(d.m.now) {
		e := d.entries[r.Request.VM][r.Request.Sequence]
		if e == nil || e.granted {
			d.m.opts.Log.Error("refusal_without_request", zap.String("peer", r.Request.VM), zap.Uint64("sequence", r.Request.Sequence))
			continue
		}
		d.dropEntry(e)
		d.rejectWith(r.Request.VM, r.Request.Sequence, r.Err)
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
