// Package relocation decides in which order the runs of an engine that is about
// to leave are copied to other engines.
//
// All copies of an engine queue behind each other on its link, and the time
// until it leaves may not suffice for all. A run goes on elsewhere as soon as its
// copy is complete; what it has made since is read anew. Every VM with runs on
// the engine reads the same report and comes to the same order without a message
// to the others.
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

// ScheduledCopy says when a run is copied, as times since the notice.
type ScheduledCopy struct {
	ID string
	// CopyAt is the time of the call.
	CopyAt time.Duration
	// CopiedAt is when the copy is expected to be complete.
	CopiedAt time.Duration
	// Fits says that this is before the engine leaves.
	Fits bool
}

// Times of a plan.
const (
	// resumeMargin is kept before the departure, so that the last run can go on
	// elsewhere before its stream breaks.
	resumeMargin = 60 * time.Millisecond
	// copyOverhead is the part by which copies take longer than their size says.
	copyOverhead = 1.1
	// startSpacing divides the calls, so that they queue in the order of the plan,
	// whichever VM makes them.
	startSpacing = 4 * time.Millisecond
)

// Plan orders the runs by size, the smallest first, so that as many as possible
// are saved if the time does not suffice for all. available is the time until
// the departure.
func Plan(runs []Run, link Link, available time.Duration) map[string]ScheduledCopy {
	sorted := slices.Clone(runs)
	slices.SortFunc(sorted, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.ID, b.ID))
	})
	orders := make(map[string]ScheduledCopy, len(sorted))
	var busy time.Duration
	for i, r := range sorted {
		busy += time.Duration(copyOverhead * float64(link.CopyTime(r.Tokens)))
		orders[r.ID] = ScheduledCopy{
			ID: r.ID, CopyAt: time.Duration(i) * startSpacing, CopiedAt: busy, Fits: busy <= available-resumeMargin,
		}
	}
	return orders
}
