package admission

import (
	"container/heap"
	"time"
)

// Expiries orders waiting requests by the time until which they may wait. The zero value is
// ready to use.
type Expiries[T any] struct{ heap expiryHeap[T] }

// Expiry is the entry of one request.
type Expiry[T any] struct {
	Value T
	at    time.Time
	index int
}

// Add adds a request.
func (e *Expiries[T]) Add(at time.Time, value T) *Expiry[T] {
	x := &Expiry[T]{Value: value, at: at}
	heap.Push(&e.heap, x)
	return x
}

// Remove removes an entry. It has no effect on nil.
func (e *Expiries[T]) Remove(x *Expiry[T]) {
	if x != nil {
		heap.Remove(&e.heap, x.index)
	}
}

// Move changes the time of an entry.
func (e *Expiries[T]) Move(x *Expiry[T], at time.Time) {
	x.at = at
	heap.Fix(&e.heap, x.index)
}

// Passed returns the entry with the earliest time if that has passed, or nil.
func (e *Expiries[T]) Passed(now time.Time) *Expiry[T] {
	if len(e.heap) == 0 || !now.After(e.heap[0].at) {
		return nil
	}
	return e.heap[0]
}

// Len returns the number of entries.
func (e *Expiries[T]) Len() int { return len(e.heap) }

type expiryHeap[T any] []*Expiry[T]

func (h expiryHeap[T]) Len() int           { return len(h) }
func (h expiryHeap[T]) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

func (h expiryHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap[T]) Push(x any) {
	e := x.(*Expiry[T])
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap[T]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
