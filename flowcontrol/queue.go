// Package flowcontrol implements the admission logic of a dispatcher: a two-level fair
// queue, estimators of output length, queueing delay, token gap and prefill time, and
// a projection of engine memory. No code in it reads a clock or depends on map
// iteration order.
package flowcontrol

import (
	"cmp"
	"slices"
)

// maxDebtTokens limits how far, in tokens, an organisation that becomes active may be
// behind the others because of capacity it used while no other organisation was
// waiting.
const maxDebtTokens = 16384

// Tenant is the entitlement of a tenant.
type Tenant struct {
	Name string
	// Share is the tenant's fraction of the pool.
	Share         float64
	Organisations []Organisation
}

// Organisation is the entitlement of an organisation within its tenant. Names are
// unique across tenants.
type Organisation struct {
	Name   string
	Weight float64
}

// Limits are the limits on the number of waiting requests.
type Limits struct {
	// PerOrganisation and Total count waiting requests.
	PerOrganisation, Total int
}

// Item is a waiting request in a Queue.
type Item[T any] struct {
	Value T
	treapNode[T]
	org        *orgQueue[T]
	prev, next *Item[T]
}

// Organisation returns the name of the organisation that the item belongs to.
func (i *Item[T]) Organisation() string { return i.org.name }

// Next returns the item that waits behind this one in its organisation, or nil.
func (i *Item[T]) Next() *Item[T] { return i.next }

// Queue is a two-level fair queue. It serves the tenant with the lowest virtual time,
// and within that tenant the organisation with the lowest virtual time. Charged tokens
// advance virtual time, divided by share or weight. An organisation's requests are served
// in the order of their keys. Operations take O(log n) time in the number of tenants,
// organisations and requests.
type Queue[T any] struct {
	limits      Limits
	tenants     map[string]*tenantQueue[T]
	orgs        map[string]*orgQueue[T]
	active      flowHeap[*tenantQueue[T]]
	parked      []*orgQueue[T]
	virtualTime float64
	length      int
	// sequence is the number of requests that were enqueued.
	sequence uint64
}

type tenantQueue[T any] struct {
	flow
	active            flowHeap[*orgQueue[T]]
	activeVirtualTime float64
}

// NewQueue returns a queue without entitlements.
func NewQueue[T any](limits Limits) *Queue[T] {
	return &Queue[T]{limits: limits, tenants: map[string]*tenantQueue[T]{}, orgs: map[string]*orgQueue[T]{}}
}

// SetShares replaces the entitlements. It returns the waiting requests of
// organisations that are no longer entitled.
func (q *Queue[T]) SetShares(tenants []Tenant) []T {
	q.Unpark()
	tenants = slices.Clone(tenants)
	slices.SortFunc(tenants, func(a, b Tenant) int { return cmp.Compare(a.Name, b.Name) })
	old := q.orgs
	oldTenants := q.tenants
	q.tenants = make(map[string]*tenantQueue[T], len(tenants))
	q.orgs = make(map[string]*orgQueue[T], len(old))
	q.active = flowHeap[*tenantQueue[T]]{}
	for i, t := range tenants {
		tq := oldTenants[t.Name]
		if tq == nil {
			tq = &tenantQueue[T]{}
			tq.virtualTime = q.virtualTime
		}
		tq.flow = flow{virtualTime: tq.virtualTime, weight: positiveOrOne(t.Share), order: i, index: notInHeap}
		tq.active = flowHeap[*orgQueue[T]]{}
		q.tenants[t.Name] = tq
		q.setOrganisations(tq, t.Organisations, old)
		if tq.active.Len() > 0 {
			q.active.push(tq)
		}
	}
	return q.removeUnentitled(old)
}

func (q *Queue[T]) setOrganisations(tq *tenantQueue[T], orgs []Organisation, old map[string]*orgQueue[T]) {
	orgs = slices.Clone(orgs)
	slices.SortFunc(orgs, func(a, b Organisation) int { return cmp.Compare(a.Name, b.Name) })
	for i, o := range orgs {
		oq := old[o.Name]
		if oq == nil {
			oq = &orgQueue[T]{name: o.Name}
			oq.virtualTime = tq.activeVirtualTime
		} else if oq.tenant != tq {
			oq.virtualTime = tq.activeVirtualTime
		}
		oq.flow = flow{
			virtualTime: oq.virtualTime, weight: positiveOrOne(o.Weight), estimatedTokens: oq.estimatedTokens, order: i, index: notInHeap,
		}
		tq.estimatedTokens += oq.estimatedTokens
		oq.tenant = tq
		q.orgs[o.Name] = oq
		if oq.length > 0 {
			tq.active.push(oq)
		}
	}
}

func (q *Queue[T]) removeUnentitled(old map[string]*orgQueue[T]) []T {
	var names []string
	for name := range old {
		if q.orgs[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var values []T
	for _, name := range names {
		for i := old[name].first; i != nil; i = i.next {
			values = append(values, i.Value)
			q.length--
		}
	}
	return values
}

// Push enqueues a request with key 0.
func (q *Queue[T]) Push(organisation string, value T) *Item[T] {
	return q.PushOrdered(organisation, 0, value)
}

// PushOrdered enqueues a request behind those of its organisation with the same or a lower
// key. It returns nil if the organisation is not entitled or a limit is reached.
func (q *Queue[T]) PushOrdered(organisation string, key int64, value T) *Item[T] {
	oq := q.orgs[organisation]
	if oq == nil || oq.length >= q.limits.PerOrganisation || q.length >= q.limits.Total {
		return nil
	}
	q.sequence++
	item := &Item[T]{Value: value, org: oq, treapNode: treapNode[T]{key: key, sequence: q.sequence, rank: mixSequence(q.sequence)}}
	oq.insert(item)
	q.length++
	if oq.length == 1 {
		oq.flow.activate(oq.tenant.active.advanceVirtualTime(&oq.tenant.activeVirtualTime))
		q.activate(oq)
	}
	return item
}

func (q *Queue[T]) activate(oq *orgQueue[T]) {
	t := oq.tenant
	t.active.push(oq)
	if t.index == notInHeap {
		t.flow.activate(q.active.advanceVirtualTime(&q.virtualTime))
		q.active.push(t)
	}
}

func (q *Queue[T]) deactivate(oq *orgQueue[T]) {
	t := oq.tenant
	t.active.remove(oq)
	if t.active.Len() == 0 {
		q.active.remove(t)
	}
}

// Peek returns the item to serve next, or nil if there is none.
func (q *Queue[T]) Peek() *Item[T] {
	if q.active.Len() == 0 {
		return nil
	}
	return q.active.top().active.top().first
}

// First returns the item of an organisation that is served next, or nil if there is none.
func (q *Queue[T]) First(organisation string) *Item[T] {
	if oq := q.orgs[organisation]; oq != nil {
		return oq.first
	}
	return nil
}

// Pop removes an item that is being served. It must belong to the organisation that
// Peek returned.
func (q *Queue[T]) Pop(item *Item[T]) {
	oq := item.org
	q.virtualTime = max(q.virtualTime, oq.tenant.served())
	oq.tenant.activeVirtualTime = max(oq.tenant.activeVirtualTime, oq.served())
	q.Remove(item)
}

// Remove removes a waiting item from the queue without serving it.
func (q *Queue[T]) Remove(item *Item[T]) {
	oq := item.org
	oq.remove(item)
	q.length--
	if oq.length == 0 && oq.index != notInHeap {
		q.deactivate(oq)
	}
}

// Park makes Peek skip the organisation of the item until Unpark is called.
func (q *Queue[T]) Park(item *Item[T]) {
	oq := item.org
	q.deactivate(oq)
	q.parked = append(q.parked, oq)
}

// Unpark makes all parked organisations eligible again.
func (q *Queue[T]) Unpark() {
	for _, oq := range q.parked {
		if oq.length == 0 {
			continue
		}
		t := oq.tenant
		t.active.push(oq)
		if t.index == notInHeap {
			q.active.push(t)
		}
	}
	q.parked = q.parked[:0]
}

// Charge advances the virtual time of an organisation and of its tenant. A negative
// number of tokens corrects an earlier charge.
func (q *Queue[T]) Charge(organisation string, tokens float64) {
	q.change(organisation, tokens, (*flow).charge)
}

// ChargeEstimate charges an organisation and its tenant for the expected length of a stream. A
// negative number of tokens reverts this when the stream has ended.
func (q *Queue[T]) ChargeEstimate(organisation string, tokens float64) {
	q.change(organisation, tokens, (*flow).chargeEstimate)
}

func (q *Queue[T]) change(organisation string, tokens float64, charge func(*flow, float64)) {
	oq := q.orgs[organisation]
	if oq == nil || tokens == 0 {
		return
	}
	charge(&oq.flow, tokens)
	oq.tenant.active.fix(oq)
	charge(&oq.tenant.flow, tokens)
	q.active.fix(oq.tenant)
}

// Entitled reports whether the organisation has an entitlement.
func (q *Queue[T]) Entitled(organisation string) bool { return q.orgs[organisation] != nil }

// OrganisationLen returns the number of waiting requests of an organisation.
func (q *Queue[T]) OrganisationLen(organisation string) int {
	if oq := q.orgs[organisation]; oq != nil {
		return oq.length
	}
	return 0
}

// Ahead returns the number of waiting requests of an organisation that would be served before
// one that is enqueued now with a key.
func (q *Queue[T]) Ahead(organisation string, key int64) int {
	if oq := q.orgs[organisation]; oq != nil {
		return oq.ahead(key)
	}
	return 0
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.length }

// Waiting returns the number of waiting requests for each organisation that has any.
func (q *Queue[T]) Waiting() map[string]int {
	waiting := map[string]int{}
	for name, oq := range q.orgs {
		if oq.length > 0 {
			waiting[name] = oq.length
		}
	}
	return waiting
}

func positiveOrOne(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return 1
}
