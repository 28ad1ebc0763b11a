package readmission

import (
	"container/list"
	"math"
	"time"
)

// DefaultCapacity is the default number of promises in a table.
const DefaultCapacity = 8192

// sweepInterval is the time between two searches for expired promises.
const sweepInterval = time.Second

// Table keeps the promises of the dispatcher of one pool. A new dispatcher starts with an
// empty table, and treats callers as new. A Table is not safe for concurrent use.
type Table struct {
	capacity int
	// promises holds those whose callers can be recognised, size counts all.
	promises      map[Key]*promise
	size          int
	organisations map[string]*organisation
	sweptAt       time.Time
	// overflows counts the callers that found the table full.
	overflows uint64
}

// promise is a reservation in the table, for a Promise whose Kept is set or whose caller has no
// identity.
type promise struct {
	key Key
	// since is the time of the first refusal, due that of the return.
	since, due time.Time
	element    *list.Element
}

// NewTable returns an empty table for a number of promises, 0 for the default.
func NewTable(capacity int) *Table {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Table{capacity: capacity, promises: map[Key]*promise{}, organisations: map[string]*organisation{}}
}

// Arrive tells whether a request returns as told, is early or is new. It changes nothing
// for the request: the caller then calls Admit or Refuse.
func (t *Table) Arrive(now time.Time, k Key) Arrival {
	t.sweep(now)
	p := t.promises[k]
	switch {
	case p == nil || now.After(p.due.Add(grace)):
		return Arrival{Since: now}
	case now.Before(p.due):
		return Arrival{Kind: KindEarly, Since: now, Remaining: p.due.Sub(now)}
	default:
		return Arrival{Kind: KindReturned, Since: p.since}
	}
}

// Admit removes the promise of a request that is admitted to the queue or served.
func (t *Table) Admit(now time.Time, k Key) {
	t.sweep(now)
	if p := t.promises[k]; p != nil {
		t.organisations[k.Organisation].observe(!now.Before(p.due))
		t.remove(p)
	}
}

// Refuse returns the time after which the caller of a refused request is to return. A
// caller that is early is given its earlier time again. One that has returned as told and
// is refused nevertheless keeps its place, and is given a time ahead of those that have
// yet to return.
func (t *Table) Refuse(now time.Time, k Key, e Expectation) Promise {
	t.sweep(now)
	e = e.valid()
	p := t.promises[k]
	if p == nil {
		return t.refuseNew(now, k, e)
	}
	if now.Before(p.due) {
		return t.refuseEarly(now, p, e)
	}
	after, since := roundUp(max(e.Wait, e.Interval)), p.since
	t.organisations[k.Organisation].observe(true)
	t.remove(p)
	return Promise{After: after, Kept: e.honoured(after) && t.keep(now, k, since, after)}
}

// refuseEarly gives a caller that is early the rest of its time. A caller that cannot wait that
// long loses its place, since it will not return as told.
func (t *Table) refuseEarly(now time.Time, p *promise, e Expectation) Promise {
	after := roundUp(p.due.Sub(now))
	if e.honoured(after) {
		return Promise{After: after, Kept: true}
	}
	t.organisations[p.key.Organisation].observe(false)
	t.remove(p)
	return Promise{After: after}
}

// refuseNew gives a time to a caller without a promise.
func (t *Table) refuseNew(now time.Time, k Key, e Expectation) Promise {
	o := t.organisation(k.Organisation)
	o.lastRefusal = now
	after := roundUp(max(e.Wait, e.Interval) + t.spread(o, e))
	if !e.honoured(after) {
		return Promise{After: after}
	}
	if t.keep(now, k, now, after) {
		return Promise{After: after, Kept: k.Identity != 0}
	}
	return Promise{After: roundUp(after + t.overflowTime(after))}
}

// spread returns how long after the others a caller without a promise is to return: one interval
// for each caller that is expected back, or a time within the window if that is shorter.
func (t *Table) spread(o *organisation, e Expectation) time.Duration {
	spread := o.expectedTime(e.Interval)
	if e.Window > 0 && spread > e.Window {
		return t.overflowTime(e.Window)
	}
	return spread
}

// overflowTime returns the additional time for a caller that finds the table full. Such
// callers are spread evenly over the given window.
func (t *Table) overflowTime(window time.Duration) time.Duration {
	t.overflows++
	_, fraction := math.Modf(float64(t.overflows) * math.Phi)
	return time.Duration(fraction * float64(window))
}

// keep adds a promise. It returns false if the table is full and the organisation already
// has its part of it.
func (t *Table) keep(now time.Time, k Key, since time.Time, after time.Duration) bool {
	o := t.organisation(k.Organisation)
	if t.size >= t.capacity && !t.makeRoom(o) {
		return false
	}
	p := &promise{key: k, since: since, due: now.Add(after)}
	p.element = o.promises.PushBack(p)
	t.size++
	if k.Identity != 0 {
		t.promises[k] = p
	}
	return true
}

// makeRoom removes the last promise of the organisation with the most promises, so that
// refusals of one organisation do not keep out those of others. It returns false if o
// already has its part of the table.
func (t *Table) makeRoom(o *organisation) bool {
	if o.promises.Len() >= t.capacity/len(t.organisations) {
		return false
	}
	largest := o
	for _, x := range t.organisations {
		if x.promises.Len() > largest.promises.Len() {
			largest = x
		}
	}
	if largest == o {
		return false
	}
	t.remove(largest.promises.Back().Value.(*promise))
	return true
}

func (t *Table) remove(p *promise) {
	t.size--
	t.organisations[p.key.Organisation].promises.Remove(p.element)
	if p.key.Identity != 0 {
		delete(t.promises, p.key)
	}
}

// Pending returns the number of callers of an organisation that are expected to return.
func (t *Table) Pending(now time.Time, name string) int {
	t.sweep(now)
	o := t.organisations[name]
	if o == nil {
		return 0
	}
	return int(math.Round(o.expected()))
}

// Len returns the number of promises.
func (t *Table) Len() int { return t.size }

// Clear removes all promises.
func (t *Table) Clear() {
	clear(t.promises)
	clear(t.organisations)
	t.size = 0
}

// sweep removes promises that have expired, and organisations without promises whose last
// refusal was long ago.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for name, o := range t.organisations {
		t.removeExpired(now, o)
		if o.promises.Len() == 0 && now.After(o.lastRefusal.Add(outcomeLifetime)) {
			delete(t.organisations, name)
		}
	}
}

func (t *Table) removeExpired(now time.Time, o *organisation) {
	var next *list.Element
	for at := o.promises.Front(); at != nil; at = next {
		next = at.Next()
		p := at.Value.(*promise)
		if !now.After(p.due.Add(grace)) {
			continue
		}
		if p.key.Identity != 0 {
			o.observe(false)
		}
		t.remove(p)
	}
}

// organisation returns the state of an organisation, creating it if needed.
func (t *Table) organisation(name string) *organisation {
	o := t.organisations[name]
	if o == nil {
		o = &organisation{promises: list.New(), returning: 1}
		t.organisations[name] = o
	}
	return o
}
