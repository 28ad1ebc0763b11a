package ratelimit

import (
	"cmp"
	"slices"

	"github.com/vanillaarch/vanillaarch/flowcontrol"
)

// level holds the waiting requests of one priority.
type level struct {
	priority int
	queue    *flowcontrol.Queue[*waiter]
	// organisations holds the organisations with waiting requests, in the order of names.
	organisations []*organisation
}

// organisation is an organisation with waiting requests.
type organisation struct {
	name    string
	weight  float64
	waiters []*waiter
	// load is the expected number of permits of each bucket that the waiters take.
	load map[*bucket]float64
}

// level returns the waiting requests of a priority, which it adds if there is none.
func (s *service) level(priority int) *level {
	priority = min(max(priority, 0), maxPriority)
	i, found := slices.BinarySearchFunc(s.levels, priority, func(l *level, p int) int { return cmp.Compare(l.priority, p) })
	if !found {
		l := &level{priority: priority, queue: flowcontrol.NewQueue[*waiter](flowcontrol.Limits{PerOrganisation: maxWaiting, Total: maxWaiting})}
		l.queue.SetShares(s.tenants)
		s.levels = slices.Insert(s.levels, i, l)
	}
	return s.levels[i]
}

// setShares adopts new shares. It returns the requests of organisations without any.
func (l *level) setShares(tenants []flowcontrol.Tenant, weights map[string]float64) []*waiter {
	removed := l.queue.SetShares(tenants)
	for _, o := range l.organisations {
		o.weight = weights[o.name]
	}
	for _, w := range removed {
		l.forget(w)
		w.item = nil
	}
	return removed
}

// find returns the position of an organisation among those with waiting requests.
func (l *level) find(name string) (int, bool) {
	return slices.BinarySearchFunc(l.organisations, name, func(o *organisation, name string) int { return cmp.Compare(o.name, name) })
}

// push adds a waiting request. It returns false if the queue is full.
func (s *service) push(w *waiter) bool {
	l := w.level
	name := w.request.Organisation
	if w.item = l.queue.Push(name, w); w.item == nil {
		return false
	}
	i, found := l.find(name)
	if !found {
		l.organisations = slices.Insert(l.organisations, i, &organisation{name: name, weight: s.weights[name], load: map[*bucket]float64{}})
	}
	o := l.organisations[i]
	o.waiters = append(o.waiters, w)
	w.addLoad(o.load, 1)
	for _, b := range w.buckets {
		b.waiting++
	}
	if w.request.Urgent {
		s.urgentWait++
	}
	s.waiters[w.key] = w
	return true
}

// remove removes a waiting request without serving it.
func (s *service) remove(w *waiter) {
	if w.item != nil {
		w.level.queue.Remove(w.item)
		w.level.forget(w)
	}
	s.removed(w)
}

// pop removes a waiting request that is served.
func (s *service) pop(w *waiter) {
	w.level.queue.Pop(w.item)
	w.level.queue.Charge(w.request.Organisation, requestCharge)
	w.level.forget(w)
	s.removed(w)
}

func (s *service) removed(w *waiter) {
	for _, b := range w.buckets {
		b.waiting--
	}
	if w.request.Urgent {
		s.urgentWait--
	}
	delete(s.waiters, w.key)
}

// forget removes a request from what the level holds beside the queue.
func (l *level) forget(w *waiter) {
	i, found := l.find(w.request.Organisation)
	if !found {
		return
	}
	o := l.organisations[i]
	o.waiters = slices.DeleteFunc(o.waiters, func(other *waiter) bool { return other == w })
	w.addLoad(o.load, -1)
	if len(o.waiters) == 0 {
		l.organisations = slices.Delete(l.organisations, i, i+1)
	}
}

// addLoad adds the expected number of permits of each bucket that the request takes.
func (w *waiter) addLoad(load map[*bucket]float64, n float64) {
	for i, b := range w.buckets {
		load[b] += n * w.parts[i]
	}
}

// setParts divides the request among its candidates by their rates.
func (w *waiter) setParts() {
	total := 0.0
	for _, b := range w.buckets {
		total += b.rate
	}
	w.parts = make([]float64, len(w.buckets))
	for i, b := range w.buckets {
		w.parts[i] = b.rate / total
	}
}

// sum returns the load of the candidates of a request.
func (w *waiter) sum(load map[*bucket]float64) float64 {
	sum := 0.0
	for _, b := range w.buckets {
		sum += load[b]
	}
	return sum
}
