package ratelimit

import (
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/serverstate"
)

// serverKey identifies a lifetime of a server.
type serverKey = serverstate.Server

// exchange sends records to other VMs.
type exchange struct {
	node *Node
	// spreads holds the servers whose record was sent to peers less than spreadInterval
	// ago, or has to be sent, in the order in which they were added.
	spreads map[serverKey]*spread
	order   []*spread
	// syncedAt is when all records were last sent to a peer because its digest differed.
	syncedAt map[string]time.Duration
	synced   bool
	// pulls holds when each VM was last asked for all records, until this VM is synced.
	// firstPull and lastPull are when this VM first and last asked some of its choice.
	pulls               map[string]time.Duration
	firstPull, lastPull time.Duration
	// heardUnsynced is set if a VM that was asked knows no better.
	heardUnsynced bool
}

type spread struct {
	server serverKey
	sentAt time.Duration
	sent   bool
	due    bool
	// from is the VM from which the record came, "" for an own one.
	from string
}

// setView forgets peers that are gone.
func (x *exchange) setView() {
	others := x.others()
	if len(others) == 0 {
		x.setSynced()
	}
	for vm := range x.syncedAt {
		if !slices.Contains(others, vm) {
			delete(x.syncedAt, vm)
		}
	}
	x.pull()
}

// others returns the reachable VMs except this one.
func (x *exchange) others() []string {
	var others []string
	for _, vm := range x.node.view.EntryVMs {
		if vm.ID != x.node.vm {
			others = append(others, vm.ID)
		}
	}
	return others
}

// pull asks some VMs for all records until one has answered. VMs that start at the same
// time know of no records; a VM that hears only of such ones goes on after startGrace.
func (x *exchange) pull() {
	now := x.node.now
	if x.heardUnsynced && now-x.firstPull >= startGrace {
		x.setSynced()
	}
	if x.synced || x.lastPull != 0 && now-x.lastPull < pullInterval {
		return
	}
	if x.firstPull == 0 {
		x.firstPull = now
	}
	x.lastPull = now
	for _, vm := range x.choose(x.others()) {
		x.pullFrom(vm)
	}
}

func (x *exchange) pullFrom(vm string) {
	x.pulls[vm] = x.node.now
	x.node.send(vm, Message{Pull: true})
}

// receivePull sends all records to a VM. A VM that is not synced itself sends what it knows
// and asks back, which tells the other one so.
func (x *exchange) receivePull(from string) {
	if x.synced {
		x.sendAll(from)
		return
	}
	x.heardUnsynced = true
	x.sendRecords(from, false)
	if at, asked := x.pulls[from]; !asked || x.node.now-at >= pullInterval {
		x.pullFrom(from)
	}
}

func (x *exchange) setSynced() { x.synced, x.pulls = true, nil }

// choose returns a random selection of VMs.
func (x *exchange) choose(vms []string) []string {
	x.node.rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	return vms[:min(len(vms), fanout)]
}

// peers returns the VMs to which news are sent.
func (x *exchange) peers() []string {
	if peers := x.node.view.Peers; len(peers) > 0 {
		return peers[:min(len(peers), fanout)]
	}
	return x.choose(x.others())
}

// spread sends changed records to peers, at most one of each server in spreadInterval.
func (x *exchange) spread(from string, changed []Limit) {
	for _, l := range changed {
		s := x.spreads[l.Server]
		if s == nil {
			s = &spread{server: l.Server}
			x.spreads[l.Server] = s
			x.order = append(x.order, s)
		}
		s.due, s.from = true, from
	}
	x.flush()
}

// flush sends the records that are due.
func (x *exchange) flush() {
	var due []*spread
	for _, s := range x.order {
		if s.due && (!s.sent || x.node.now-s.sentAt >= spreadInterval) {
			s.due, s.sent, s.sentAt = false, true, x.node.now
			due = append(due, s)
		}
	}
	if len(due) == 0 {
		return
	}
	for _, peer := range x.peers() {
		var limits []Limit
		for _, s := range due {
			if l, known := x.node.table.Record(s.server); known && s.from != peer {
				limits = append(limits, l)
			}
		}
		for part := range slices.Chunk(limits, maxMessageLimits) {
			x.node.send(peer, Message{Limits: part})
		}
	}
}

// tick sends the records that have become due.
func (x *exchange) tick() {
	x.pull()
	if len(x.order) == 0 {
		return
	}
	x.flush()
	x.order = slices.DeleteFunc(x.order, func(s *spread) bool {
		expired := !s.due && x.node.now-s.sentAt >= spreadInterval
		if expired {
			delete(x.spreads, s.server)
		}
		return expired
	})
}

// receiveDigest sends all records to a VM whose records differ.
func (x *exchange) receiveDigest(from string, digest uint64) {
	if digest == x.node.table.Digest(x.node.now) {
		if digest != 0 { // a VM that has just started knows of no records
			x.setSynced()
		}
		return
	}
	at, synced := x.syncedAt[from]
	if synced && x.node.now-at < syncInterval || !slices.Contains(x.others(), from) {
		return
	}
	x.syncedAt[from] = x.node.now
	x.sendAll(from)
}

func (x *exchange) sendAll(to string) { x.sendRecords(to, true) }

// sendRecords sends the records of this VM. complete tells the receiver that they are all
// that is known.
func (x *exchange) sendRecords(to string, complete bool) {
	limits := x.node.table.Limits()
	for len(limits) > maxMessageLimits {
		x.node.send(to, Message{Limits: limits[:maxMessageLimits]})
		limits = limits[maxMessageLimits:]
	}
	if complete || len(limits) > 0 {
		x.node.send(to, Message{Limits: limits, Complete: complete})
	}
}
