package replay

import (
	"container/heap"
	"time"
)

// clock is a virtual clock with a heap of events. Events scheduled for the same
// time run in the order in which they were scheduled.
type clock struct {
	now      time.Time
	events   eventHeap
	sequence uint64
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// epoch is the start of virtual time. Reports contain only differences of times.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// scheduleAt schedules an event; a time in the past means now.
func (c *clock) scheduleAt(t time.Time, run func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.sequence++
	heap.Push(&c.events, event{at: t, sequence: c.sequence, run: run})
}

func (c *clock) scheduleAfter(d time.Duration, run func()) { c.scheduleAt(c.now.Add(d), run) }

// step runs the next event; false means that there is none.
func (c *clock) step() bool {
	if len(c.events) == 0 {
		return false
	}
	e := heap.Pop(&c.events).(event)
	c.now = e.at
	e.run()
	return true
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
