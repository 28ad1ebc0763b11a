// Package relocation decides how the runs of an engine that is about to leave
// are moved to other engines, so that their streams go on without a long pause.
//
// All copies of an engine queue behind each other on its link. A run is copied
// while it goes on; a second, final call stops it and copies only what is new.
// The final call of one run must not queue behind the first copy of another,
// or its stream pauses for that long. So all first copies go before all final
// calls. Every VM with runs on the engine reads the same report and comes to
// the same plan without a message to the others.
package relocation

import (
	"cmp"
	"slices"
	"time"
)

// Run is a run on the engine that leaves, of this VM or another.
type Run struct {
	ID string
	// Tokens is the memory that it holds.
	Tokens int
	// Skip says that the run is expected to end before the engine leaves.
	Skip bool
}

// Link is the link of the engine.
type Link struct {
	BytesPerToken int64
	Mbps          float64
}

// CopyTime returns how long a number of tokens occupies the link.
func (l Link) CopyTime(tokens int) time.Duration {
	if l.Mbps <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(l.BytesPerToken) * 8
	return time.Duration(bits / (l.Mbps * 1e6) * float64(time.Second))
}

// Order says when the calls for a run are made, as times since the notice.
type Order struct {
	ID string
	// CopyAt is the time of the first copy.
	CopyAt time.Duration
	// CopiedAt is when the first copy is expected to end.
	CopiedAt time.Duration
	// FinalAt is the time of the final call.
	FinalAt time.Duration
	// LatestFinal is the last time at which the final call makes sense.
	LatestFinal time.Duration
	// Fits says that the first copy is expected to end in time.
	Fits bool
}

// Times of a plan.
const (
	// finalReserve is kept before the departure for the final calls: each takes a
	// few milliseconds, and the requests that go on take a round trip.
	finalReserve = 350 * time.Millisecond
	// linkLoss is the part by which copies take longer than their size says.
	linkLoss = 1.15
	// startStep divides the calls for first copies, so that they queue in the
	// order of the plan, whichever VM makes them.
	startStep = 4 * time.Millisecond
	// settleTime is left between the last first copy and the first final call.
	settleTime = 20 * time.Millisecond
)

// Plan orders the runs by size, the smallest first, so that as many as possible
// are whole if the time does not suffice for all. available is the time until
// the departure.
func Plan(runs []Run, link Link, available time.Duration) map[string]Order {
	sorted := slices.DeleteFunc(slices.Clone(runs), func(r Run) bool { return r.Skip })
	slices.SortFunc(sorted, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.ID, b.ID))
	})
	orders := make(map[string]Order, len(sorted))
	var busy, copied time.Duration
	latest := max(available-finalReserve, 0)
	for i, r := range sorted {
		o := Order{ID: r.ID, CopyAt: time.Duration(i) * startStep, LatestFinal: latest}
		busy += time.Duration(linkLoss * float64(link.CopyTime(r.Tokens)))
		o.CopiedAt = busy
		if o.Fits = busy <= latest; o.Fits {
			copied = busy
		} else {
			// It is called last, so that it does not hold up those that fit.
			o.CopyAt = copied
		}
		orders[r.ID] = o
	}
	final := min(copied+settleTime, latest)
	for id, o := range orders {
		o.FinalAt = final
		orders[id] = o
	}
	return orders
}

// FinalAfter returns the time of the final call in view of the time at which the
// first copy has ended. Copies that take longer than planned, between zones or
// on a link that others use, take longer for the other runs too.
func (o Order) FinalAfter(copiedAt time.Duration) time.Duration {
	final := o.FinalAt
	if o.CopiedAt > 0 && copiedAt > o.CopiedAt {
		final = time.Duration(float64(o.FinalAt) * float64(copiedAt) / float64(o.CopiedAt))
	}
	return max(min(final, o.LatestFinal), copiedAt)
}
