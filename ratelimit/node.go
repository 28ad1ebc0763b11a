package ratelimit

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/vanillaarch/vanillaarch/flowcontrol"
	"github.com/vanillaarch/vanillaarch/rendezvous"
	"github.com/vanillaarch/vanillaarch/vmlist"
)

// Node is the part of one VM in the protocol. It is deterministic and not safe for
// concurrent use.
type Node struct {
	vm    string
	table *Table
	rand  *rand.Rand

	view View
	// peakListed is the largest number of listed entry VMs lately, last seen at peakAt.
	peakListed int
	peakAt     time.Duration
	// membersChangedAt is when the reachable entry VMs last changed.
	membersChangedAt time.Duration
	// owners holds the owners of services in this view, as far as they were needed.
	owners   map[string]string
	lastTick time.Duration

	client client
	// services are in the order of names.
	services []*service
	exchange exchange

	// now and effects are those of the current event. local are messages of this VM to
	// itself, which are processed at the end of the event.
	now     time.Duration
	effects Effects
	local   []Message
}

// NewNode returns a node without a view. The seed determines its random parts, and should
// differ among VMs.
func NewNode(vm string, table *Table, seed uint64) *Node {
	n := &Node{vm: vm, table: table, rand: rand.New(rand.NewPCG(seed, 0)), owners: map[string]string{}}
	n.client = client{
		node: n, pending: map[uint64]*pending{}, abandoned: map[uint64]abandoned{}, avoids: map[avoidKey]avoid{},
		owners: map[string]*ownerState{}, floors: map[serverKey]*floor{},
	}
	n.exchange = exchange{node: n, spreads: map[serverKey]*spread{}, pulls: map[string]time.Duration{}, syncedAt: map[string]time.Duration{}}
	return n
}

// begin starts an event. After a pause of this VM another one may have granted permits.
func (n *Node) begin(now time.Duration) {
	n.now = max(n.now, now)
	n.table.expireCold(n.now)
	if n.lastTick == 0 || n.now-n.lastTick <= stallLimit {
		return
	}
	n.lastTick = n.now
	for _, s := range n.services {
		s.takeOver(n.now)
	}
}

// end processes the messages of this VM to itself and returns the effects of the event.
func (n *Node) end() Effects {
	for len(n.local) > 0 {
		m := n.local[0]
		n.local = n.local[1:]
		n.receive(n.vm, m)
	}
	n.local = nil
	e := n.effects
	n.effects = Effects{}
	return e
}

func (n *Node) send(to string, m Message) {
	if to == n.vm {
		n.local = append(n.local, m)
		return
	}
	n.effects.Send = append(n.effects.Send, Outgoing{To: to, Message: m})
}

// sendSequences sends a list of sequences in messages of limited size.
func (n *Node) sendSequences(to string, sequences []uint64, message func([]uint64) Message) {
	for part := range slices.Chunk(sequences, maxMessageSequences) {
		n.send(to, message(part))
	}
}

// SetView adopts a view of the fleet.
func (n *Node) SetView(now time.Duration, v View) Effects {
	n.begin(now)
	v.Tenants = slices.Clone(v.Tenants)
	v.EntryVMs = slices.SortedFunc(slices.Values(v.EntryVMs), func(a, b vmlist.VM) int { return strings.Compare(a.ID, b.ID) })
	v.Listed = max(v.Listed, len(v.EntryVMs), 1)
	sameMembers := slices.EqualFunc(n.view.EntryVMs, v.EntryVMs, func(a, b vmlist.VM) bool {
		return a.ID == b.ID && a.CPU == b.CPU && a.Incarnation == b.Incarnation
	})
	sameShares := slices.EqualFunc(n.view.Tenants, v.Tenants, equalTenants)
	n.view = v
	n.updateListedPeak()
	if !sameMembers {
		n.membersChangedAt = n.now
		clear(n.owners)
	}
	for _, s := range n.services {
		s.setOwned(n.owner(s.name) == n.vm)
		if !sameShares {
			s.setShares(v.Tenants)
		}
		s.updateRates()
	}
	if !sameMembers {
		n.client.ownersChanged()
	}
	n.exchange.setView()
	return n.end()
}

func equalTenants(a, b flowcontrol.Tenant) bool {
	return a.Name == b.Name && a.Share == b.Share && slices.Equal(a.Organisations, b.Organisations)
}

// owner returns the VM that grants the permits of a service, this one if it knows no VM.
func (n *Node) owner(service string) string {
	owner, known := n.owners[service]
	if !known {
		if owner = rendezvous.Owner("ratelimit/"+service, vmlist.LargestByCPU(n.view.EntryVMs)); owner == "" {
			owner = n.vm
		}
		if len(n.owners) >= maxServices {
			clear(n.owners)
		}
		n.owners[service] = owner
	}
	return owner
}

// Request asks for a permit. Its decision is among the effects of this or a later event.
func (n *Node) Request(now time.Duration, r Request) Effects {
	n.begin(now)
	n.client.request(r)
	return n.end()
}

// Withdraw ends a request whose caller has left. It gets no decision.
func (n *Node) Withdraw(now time.Duration, sequence uint64) Effects {
	n.begin(now)
	if p := n.client.pending[sequence]; p != nil {
		n.client.abandon(p)
	}
	return n.end()
}

// Return gives back a permit that is not used.
func (n *Node) Return(now time.Duration, d Decision) Effects {
	n.begin(now)
	switch {
	case !d.Granted:
	case d.Floor:
		n.client.returnFloor(d.Server)
	default:
		n.send(n.owner(d.Service), Message{Return: []uint64{d.Sequence}})
	}
	return n.end()
}

// Announce spreads a record that Table.Observe has changed.
func (n *Node) Announce(now time.Duration, l Limit) Effects {
	n.begin(now)
	n.limitsChanged("", []Limit{l})
	return n.end()
}

// limitsChanged adopts records that have changed in the table.
func (n *Node) limitsChanged(from string, changed []Limit) {
	if len(changed) == 0 {
		return
	}
	n.exchange.spread(from, changed)
	for _, s := range n.services {
		s.updateRates()
		s.serve()
	}
	n.client.limitsChanged(changed)
}

// merge adopts the records of a peer.
func (n *Node) merge(from string, limits []Limit) {
	changed := n.table.Merge(n.now, limits[:min(len(limits), maxMessageLimits)])
	n.effects.Changed = append(n.effects.Changed, changed...)
	n.limitsChanged(from, changed)
}

// Receive processes a message of another VM.
func (n *Node) Receive(now time.Duration, from string, m Message) Effects {
	n.begin(now)
	n.receive(from, m)
	return n.end()
}

func (n *Node) receive(from string, m Message) {
	n.merge(from, m.Limits)
	if m.Complete {
		n.exchange.setSynced()
	}
	if m.Pull {
		n.exchange.receivePull(from)
	}
	if m.Ask != nil {
		n.receiveAsk(from, *m.Ask)
	}
	if m.Reply != nil {
		n.client.receiveReply(from, *m.Reply)
	}
	n.receiveWaiting(from, bounded(m.Waiting))
	n.receiveWithdrawn(from, bounded(m.Withdraw))
	n.receiveReturned(from, bounded(m.Return))
	n.client.receiveQueued(from, bounded(m.Queued))
	n.client.receiveUnknown(from, bounded(m.Unknown))
}

func bounded(sequences []uint64) []uint64 {
	return sequences[:min(len(sequences), maxMessageSequences)]
}

// ReceiveDigest processes the digest of the table of another VM, which heartbeats carry.
func (n *Node) ReceiveDigest(now time.Duration, from string, digest uint64) Effects {
	n.begin(now)
	n.exchange.receiveDigest(from, digest)
	return n.end()
}

// Tick applies the passage of time. It must be called every TickInterval.
func (n *Node) Tick(now time.Duration) Effects {
	n.begin(now)
	n.lastTick = n.now
	for _, s := range n.services {
		s.tick()
	}
	n.services = slices.DeleteFunc(n.services, (*service).unused)
	n.client.tick()
	n.exchange.tick()
	return n.end()
}

// Synced reports whether this VM knows the records of a peer, or has no peers. Until then
// it may not know of limits that its earlier start obeyed.
func (n *Node) Synced() bool { return n.exchange.synced }

// Waiting reports whether requests wait for a decision of this VM or of an owner.
func (n *Node) Waiting() bool {
	return len(n.client.pending) > 0 || slices.ContainsFunc(n.services, func(s *service) bool { return len(s.waiters) > 0 })
}

// Stats returns the state of the node.
func (n *Node) Stats(now time.Duration) Stats {
	st := Stats{Pending: len(n.client.pending), Granted: n.client.granted, Denied: n.client.denied, Floor: n.client.floored}
	for _, s := range n.services {
		for _, b := range s.buckets {
			st.Servers = append(st.Servers, ServerStats{
				Server: b.server, Service: s.name, Rate: b.rate, Tokens: b.tokensAt(now), Waiting: b.waiting, Granted: b.granted,
			})
		}
	}
	slices.SortStableFunc(st.Servers, func(a, b ServerStats) int { return compareServers(a.Server, b.Server) })
	return st
}
