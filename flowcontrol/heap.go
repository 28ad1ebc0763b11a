package flowcontrol

import "container/heap"

// notInHeap is the index of a flow that is not in a heap.
const notInHeap = -1

// flow is a tenant or organisation that is scheduled by virtual time.
type flow struct {
	virtualTime, weight float64
	// estimatedTokens is the part of the charged tokens that is the expected length of
	// streams that still run.
	estimatedTokens float64
	// order breaks ties, so that the same calls always give the same results.
	order int
	index int
}

func (f *flow) base() *flow { return f }

// served is the virtual time without estimates.
func (f *flow) served() float64 { return f.virtualTime - f.estimatedTokens/f.weight }

// activate sets the virtual time of a flow that becomes active. A flow gets no credit for
// the time it was idle, and its debt is limited. activeVirtualTime is that of other flows
// without their estimates: if it included them, the flow would be behind by as much once
// they are corrected.
func (f *flow) activate(activeVirtualTime float64) {
	served := min(max(f.served(), activeVirtualTime), activeVirtualTime+maxDebtTokens/f.weight)
	f.virtualTime = served + f.estimatedTokens/f.weight
}

// charge advances the virtual time.
func (f *flow) charge(tokens float64) { f.virtualTime += tokens / f.weight }

// chargeEstimate advances the virtual time by an expected length, or reverts that if the
// number is negative. The flow may have joined after the stream had begun.
func (f *flow) chargeEstimate(tokens float64) {
	f.estimatedTokens = max(f.estimatedTokens+tokens, 0)
	f.charge(tokens)
}

// flowItem is implemented by pointers to types that embed flow.
type flowItem interface {
	comparable
	base() *flow
}

// flowHeap is a heap of active flows, lowest virtual time first.
type flowHeap[F flowItem] struct{ items []F }

func (h *flowHeap[F]) Len() int { return len(h.items) }

func (h *flowHeap[F]) Less(i, j int) bool {
	a, b := h.items[i].base(), h.items[j].base()
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.order < b.order
}

func (h *flowHeap[F]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].base().index, h.items[j].base().index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap[F]) Push(x any) {
	f := x.(F)
	f.base().index = len(h.items)
	h.items = append(h.items, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[F]) Pop() any {
	last := len(h.items) - 1
	f := h.items[last]
	var zero F
	h.items[last] = zero
	h.items = h.items[:last]
	f.base().index = notInHeap
	return f
}

func (h *flowHeap[F]) top() F { return h.items[0] }

func (h *flowHeap[F]) push(f F) { heap.Push(h, f) }

func (h *flowHeap[F]) remove(f F) { heap.Remove(h, f.base().index) }

func (h *flowHeap[F]) fix(f F) {
	if i := f.base().index; i != notInHeap {
		heap.Fix(h, i)
	}
}

// advanceVirtualTime advances the virtual time v to that of the first active flow, without
// its estimates, if that is later, and returns it.
func (h *flowHeap[F]) advanceVirtualTime(v *float64) float64 {
	if len(h.items) > 0 {
		*v = max(*v, h.items[0].base().served())
	}
	return *v
}
