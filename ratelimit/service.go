package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/vanillaarch/vanillaarch/flowcontrol"
	"github.com/vanillaarch/vanillaarch/route"
)

// requestKey identifies a request of a VM.
type requestKey struct {
	vm       string
	sequence uint64
}

// waiter is a request that waits at the owner.
type waiter struct {
	key     requestKey
	request Request
	buckets []*bucket
	// parts are the parts of a permit that the request is expected to take of each bucket.
	parts  []float64
	weight float64
	item   *flowcontrol.Item[*waiter]
	level  *level
	since  time.Duration
	// bound is the longest time that the request waits here.
	bound time.Duration
	// attempt is the last one that was received, at attemptAt. heardAt is when the VM last
	// repeated the request.
	attempt            uint32
	attemptAt, heardAt time.Duration
}

// decided is a decision that is repeated if its VM asks again.
type decided struct {
	key       requestKey
	decision  Decision
	bucket    *bucket
	attempt   uint32
	attemptAt time.Duration
	at        time.Duration
}

// service is the state of a service at the VM that grants its permits.
type service struct {
	node  *Node
	name  string
	owned bool
	// buckets are in the order of their servers.
	buckets []*bucket
	// levels are the waiting requests in the order of priority.
	levels  []*level
	waiters map[requestKey]*waiter
	decided map[requestKey]*decided
	// decisions holds decided in the order of time.
	decisions  []*decided
	holdUntil  time.Duration
	reviewAt   time.Duration
	usedAt     time.Duration
	tableSeen  uint64
	tenants    []flowcontrol.Tenant
	weights    map[string]float64
	askers     askers
	urgentWait int
}

// service returns the state of a service that this VM owns, nil if it does not own it.
func (n *Node) service(name string) *service {
	if len(name) > maxNameLen || n.owner(name) != n.vm {
		return nil
	}
	i, found := slices.BinarySearchFunc(n.services, name, func(s *service, name string) int { return cmp.Compare(s.name, name) })
	if !found {
		if len(n.services) >= maxServices {
			return nil
		}
		s := &service{node: n, name: name, waiters: map[requestKey]*waiter{}, decided: map[requestKey]*decided{}, askers: newAskers()}
		n.services = slices.Insert(n.services, i, s)
		s.owned = true
		s.setShares(n.view.Tenants)
		s.takeOver(n.membersChangedAt)
	}
	s := n.services[i]
	s.usedAt = n.now
	return s
}

// setOwned adopts whether this VM owns the service. Requests that wait at an earlier owner
// are asked for again.
func (s *service) setOwned(owned bool) {
	switch {
	case owned && !s.owned:
		s.owned = true
		s.takeOver(s.node.now)
	case !owned && s.owned:
		s.owned = false
		s.drop(s.ordered())
	}
}

// takeOver starts without tokens some time after this VM became the owner, since another
// one may have granted all of them until then.
func (s *service) takeOver(since time.Duration) {
	s.holdUntil = max(s.holdUntil, since+takeoverHold)
	for _, b := range s.buckets {
		b.empty(max(s.holdUntil, s.node.now))
		b.startPhase(s.node.rand.Float64)
	}
}

// mayOwe reports whether urgent requests may take permits in advance. The debt is lost with
// the owner, so that a new one waits; in a partition the largest part alone may owe.
func (s *service) mayOwe() bool {
	return s.node.now >= s.holdUntil+debtHold && s.majority()
}

// setShares adopts the shares of organisations.
func (s *service) setShares(tenants []flowcontrol.Tenant) {
	s.tenants, s.weights = withAnonymous(tenants), map[string]float64{}
	for _, t := range s.tenants {
		total := 0.0
		for _, o := range t.Organisations {
			total += positiveOrOne(o.Weight)
		}
		for _, o := range t.Organisations {
			s.weights[o.Name] = positiveOrOne(t.Share) * positiveOrOne(o.Weight) / total
		}
	}
	for _, l := range s.levels {
		s.drop(l.setShares(s.tenants, s.weights))
	}
}

// withAnonymous adds the organisation of requests without one, if it has no share.
func withAnonymous(tenants []flowcontrol.Tenant) []flowcontrol.Tenant {
	for _, t := range tenants {
		if slices.ContainsFunc(t.Organisations, func(o flowcontrol.Organisation) bool { return o.Name == route.Anonymous }) {
			return tenants
		}
	}
	return append(slices.Clone(tenants), flowcontrol.Tenant{
		Name: route.Anonymous, Share: 1, Organisations: []flowcontrol.Organisation{{Name: route.Anonymous, Weight: 1}},
	})
}

func positiveOrOne(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return 1
}

// organisation returns the organisation whose share a request uses.
func (s *service) organisation(name string) string {
	if _, known := s.weights[name]; known {
		return name
	}
	return route.Anonymous
}

// bucket returns the bucket of a limited server.
func (s *service) bucket(server serverKey) *bucket {
	i, found := slices.BinarySearchFunc(s.buckets, server, func(b *bucket, k serverKey) int { return compareServers(b.server, k) })
	if !found {
		b := &bucket{server: server, at: max(s.node.now, s.holdUntil)}
		b.rate, b.cold = s.rate(server)
		b.startPhase(s.node.rand.Float64)
		s.buckets = slices.Insert(s.buckets, i, b)
	}
	b := s.buckets[i]
	b.refill(s.node.now)
	b.usedAt = s.node.now
	return b
}

// rate returns the rate at which this VM grants permits for a server, 0 if the server is
// not limited, and whether the server is cold. In a partition each part has an owner, so that
// each grants its part.
func (s *service) rate(server serverKey) (rate float64, cold bool) {
	e, limited := s.node.table.Effective(s.node.now, server)
	if !limited {
		return 0, false
	}
	if e.Cold {
		return e.Rate.effective() * float64(max(len(s.node.view.EntryVMs), 1)) / float64(s.node.listedPeak()), true
	}
	reachable := max(float64(len(s.node.view.EntryVMs)), 1) / float64(max(s.node.view.Listed, 1))
	if s.majority() {
		reachable = min(1, partitionRatio*reachable)
	}
	return e.Rate.effective() * reachable, false
}

// majority reports whether more than half of the listed VMs are reachable.
func (s *service) majority() bool { return 2*len(s.node.view.EntryVMs) > s.node.view.Listed }

// updateRates adopts the records and the view.
func (s *service) updateRates() {
	s.tableSeen = s.node.table.Version()
	for _, b := range s.buckets {
		if rate, cold := s.rate(b.server); rate != b.rate || cold != b.cold {
			lapsed := b.lapses()
			b.setRate(s.node.now, rate, cold)
			if !lapsed {
				b.startPhase(s.node.rand.Float64)
			}
		}
	}
}

// tick applies the passage of time.
func (s *service) tick() {
	if s.tableSeen != s.node.table.Version() {
		s.updateRates()
	}
	s.forgetDecisions()
	s.askers.rotate(s.node.now)
	if len(s.waiters) > 0 {
		s.serve()
		s.expire()
	}
	s.buckets = slices.DeleteFunc(s.buckets, func(b *bucket) bool {
		return b.waiting == 0 && s.node.now-b.usedAt > unlistedRetention
	})
}

// unused reports whether the state has not been needed for so long that nothing is lost
// with it. A state that is added later starts without tokens, but grants at once.
func (s *service) unused() bool {
	return len(s.waiters) == 0 && s.node.now-s.usedAt > unlistedRetention
}

// drop removes requests that this VM cannot decide. Their VMs ask again.
func (s *service) drop(waiters []*waiter) {
	byVM := map[string][]uint64{}
	for _, w := range waiters {
		s.remove(w)
		byVM[w.key.vm] = append(byVM[w.key.vm], w.key.sequence)
	}
	for _, vm := range slices.Sorted(maps.Keys(byVM)) {
		s.node.sendSequences(vm, byVM[vm], func(part []uint64) Message { return Message{Unknown: part} })
	}
}

// ordered returns the waiting requests by priority, organisation and arrival.
func (s *service) ordered() []*waiter {
	waiters := make([]*waiter, 0, len(s.waiters))
	for _, l := range s.levels {
		for _, o := range l.organisations {
			waiters = append(waiters, o.waiters...)
		}
	}
	return waiters
}
