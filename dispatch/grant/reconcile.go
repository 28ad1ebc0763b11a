package grant

import (
	"time"

	"go.uber.org/zap"

	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/peer/peerpb"
)

// declare takes all grants that a frontend holds in a group.
func (d *dispatcher) declare(from, groupName string, b *peerpb.Declare) {
	c := d.core(groupName)
	if c == nil {
		return // a complete keepalive makes the frontend declare again
	}
	c.usedAt = d.m.now
	c.declared[from] = true
	held := map[uint64]bool{}
	for _, h := range b.Grants {
		held[h.Sequence] = true
		d.adopt(c, from, h)
	}
	for s, e := range d.entries[from] {
		if e.core == c && e.granted && !held[s] && d.m.now.Sub(e.at) > inFlight {
			d.drop(e)
		}
	}
	if c.reduced {
		d.restore(c)
	}
	d.pump(c)
}

// adopt adds a grant of another dispatcher.
func (d *dispatcher) adopt(c *groupCore, from string, h *peerpb.HeldGrant) {
	id := dispatch.RequestID{VM: from, Sequence: h.Sequence}
	if e := d.entries[from][h.Sequence]; e != nil {
		if e.granted && e.core == c && e.grant.Backend == h.Backend {
			d.advance(e, progress{tokens: int(h.Tokens)})
			return
		}
		d.drop(e)
	}
	g := dispatch.Grant{Request: id, Backend: h.Backend, Priority: int(h.Priority)}
	c.core.Declare(d.m.now, dispatch.HeldGrant{Grant: g, AdmissionRequest: d.m.view.decodeAsk(c.group.model, h.Request), Tokens: int(h.Tokens)})
	d.add(&entry{core: c, id: id, granted: true, at: d.m.now, grant: g, tokens: int(h.Tokens)})
}

// keepalive answers, and with a complete one corrects differences.
func (d *dispatcher) keepalive(from string, k *peerpb.Keepalive) {
	ack := &peerpb.KeepaliveAck{Number: k.Number}
	if k.Complete {
		ack.Unknown, ack.Unlisted = d.compare(from, k)
	}
	_ = d.m.send(from, &peerpb.Dispatch{Message: &peerpb.Dispatch_KeepaliveAck{KeepaliveAck: ack}})
}

// compare drops what the frontend no longer wants and sends lost grants again.
// It returns the sequences that this VM does not hold, and whether it still
// holds some that are not listed.
func (d *dispatcher) compare(from string, k *peerpb.Keepalive) (unknown []uint64, unlisted bool) {
	listed := map[uint64]bool{}
	for _, s := range sums(k.Base, k.Waiting) {
		listed[s] = true
		switch e := d.entries[from][s]; {
		case e == nil:
			unknown = append(unknown, s)
		case e.granted:
			d.answer(e)
		}
	}
	for _, s := range sums(k.Base, k.Held) {
		if e := d.entries[from][s]; e == nil || !e.granted {
			unknown = append(unknown, s)
			continue
		}
		listed[s] = true
	}
	touched := map[*groupCore]bool{}
	for s, e := range d.entries[from] {
		if listed[s] {
			e.core.usedAt = d.m.now
		} else if d.m.now.Sub(e.at) > inFlight {
			touched[e.core] = true
			d.drop(e)
		} else {
			unlisted = true
		}
	}
	for c := range touched {
		d.pump(c)
	}
	return unknown, unlisted
}

// tick ends reduced windows and drops the state of VMs and groups that are gone.
func (d *dispatcher) tick() {
	for _, c := range d.cores {
		if c.reduced {
			d.restore(c)
		}
		d.pump(c)
	}
	if d.m.now.Sub(d.checked) < progressInterval {
		return
	}
	d.checked = d.m.now
	for vm := range d.entries {
		if d.gone(vm) {
			d.forget(vm)
		}
	}
	for vm, at := range d.heardAt {
		if d.m.now.Sub(at) > silentGrace && d.entries[vm] == nil {
			delete(d.heardAt, vm)
		}
	}
	for name, c := range d.cores {
		if !c.owned && d.m.now.Sub(c.usedAt) > lingerFor {
			d.close(name, c)
		}
	}
}

// gone reports whether a VM has left or is silent for too long.
func (d *dispatcher) gone(vm string) bool {
	if vm == d.m.opts.VM {
		return false
	}
	grace := silentGrace
	if !d.m.view.entry[vm] {
		grace = goneGrace
	}
	return d.m.now.Sub(d.heardAt[vm]) > grace
}

// forget drops the requests and grants of a VM.
func (d *dispatcher) forget(vm string) {
	d.m.opts.Log.Warn("grants_dropped", zap.String("peer", vm), zap.Int("grants", len(d.entries[vm])))
	touched := map[*groupCore]bool{}
	for _, e := range d.entries[vm] {
		touched[e.core] = true
		d.drop(e)
	}
	for c := range touched {
		d.pump(c)
	}
}

// close ends the state of a group that moved to another dispatcher.
func (d *dispatcher) close(name string, c *groupCore) {
	for _, byVM := range d.entries {
		for _, e := range byVM {
			if e.core == c {
				d.drop(e)
			}
		}
	}
	delete(d.cores, name)
	d.m.targets.Store(d.m.pollTargets())
	d.m.opts.Log.Info("group_released", zap.String("group", name), zap.Duration("idle", d.m.now.Sub(c.usedAt).Truncate(time.Millisecond)))
}
