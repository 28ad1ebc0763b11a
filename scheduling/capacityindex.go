package scheduling

import "container/heap"

// CapacityIndex orders engines by free capacity, largest first. Updates take O(log n)
// time; the k engines with the most free capacity are found in O(k log k) time.
type CapacityIndex struct {
	heap capacityHeap
}

type capacityEntry struct {
	handle int
	free   float64
}

type capacityHeap struct {
	entries   []capacityEntry
	positions map[int]int
}

// NewCapacityIndex returns an empty index.
func NewCapacityIndex() *CapacityIndex {
	return &CapacityIndex{heap: capacityHeap{positions: map[int]int{}}}
}

// Set adds an engine or updates its free capacity.
func (x *CapacityIndex) Set(handle int, free float64) {
	if i, ok := x.heap.positions[handle]; ok {
		if x.heap.entries[i].free != free {
			x.heap.entries[i].free = free
			heap.Fix(&x.heap, i)
		}
		return
	}
	heap.Push(&x.heap, capacityEntry{handle, free})
}

// Remove removes an engine from the index.
func (x *CapacityIndex) Remove(handle int) {
	if i, ok := x.heap.positions[handle]; ok {
		heap.Remove(&x.heap, i)
	}
}

// Len returns the number of engines.
func (x *CapacityIndex) Len() int { return len(x.heap.entries) }

// Max returns the largest free capacity, or false if the index is empty.
func (x *CapacityIndex) Max() (float64, bool) {
	if len(x.heap.entries) == 0 {
		return 0, false
	}
	return x.heap.entries[0].free, true
}

// Top appends the handles of the k engines with the most free capacity, largest first.
func (x *CapacityIndex) Top(k int, handles []int) []int {
	if len(x.heap.entries) == 0 {
		return handles
	}
	// frontier holds the heap positions whose parents have been visited.
	frontier := make([]int, 1, k+1)
	for range min(k, len(x.heap.entries)) {
		best := 0
		for i := range frontier {
			if x.heap.Less(frontier[i], frontier[best]) {
				best = i
			}
		}
		at := frontier[best]
		handles = append(handles, x.heap.entries[at].handle)
		frontier[best] = frontier[len(frontier)-1]
		frontier = frontier[:len(frontier)-1]
		for child := 2*at + 1; child <= 2*at+2 && child < len(x.heap.entries); child++ {
			frontier = append(frontier, child)
		}
	}
	return handles
}

func (h *capacityHeap) Len() int { return len(h.entries) }

func (h *capacityHeap) Less(i, j int) bool {
	if h.entries[i].free != h.entries[j].free {
		return h.entries[i].free > h.entries[j].free
	}
	return h.entries[i].handle < h.entries[j].handle
}

func (h *capacityHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.positions[h.entries[i].handle], h.positions[h.entries[j].handle] = i, j
}

// Push implements heap.Interface.
func (h *capacityHeap) Push(x any) {
	e := x.(capacityEntry)
	h.positions[e.handle] = len(h.entries)
	h.entries = append(h.entries, e)
}

// Pop implements heap.Interface.
func (h *capacityHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries = h.entries[:last]
	delete(h.positions, e.handle)
	return e
}
