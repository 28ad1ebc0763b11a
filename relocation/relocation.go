// Package relocation schedules the copies of the runs of an engine that is about
// to leave to other engines.
//
// All copies share the link of the engine, and there may not be time for all of
// them before it leaves. A run resumes elsewhere as soon as its copy is complete;
// tokens that it generated after the copy are prefilled there. Every VM with runs
// on the engine reads the same report and computes the same schedule, so that no
// coordination is needed.
package relocation

import (
	"cmp"
	"slices"
	"time"
)

// Run is a run on the leaving engine. It may belong to any VM.
type Run struct {
	ID string
	// Tokens is the memory that the run holds.
	Tokens int
}

// Link describes the network link of an engine.
type Link struct {
	BytesPerToken int64
	Mbps          float64
}

// CopyTime returns how long the copy of a number of tokens occupies the link, 0
// if the bandwidth is unknown.
func (l Link) CopyTime(tokens int) time.Duration {
	if l.Mbps <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(l.BytesPerToken) * 8
	return time.Duration(bits / (l.Mbps * 1e6) * float64(time.Second))
}

// ScheduledCopy is the planned copy of a run. Times count from the notice that
// the engine leaves.
type ScheduledCopy struct {
	ID string
	// CopyAt is when the copy is requested.
	CopyAt time.Duration
	// CopiedAt is when the copy is expected to be complete.
	CopiedAt time.Duration
	// Fits reports whether the copy is expected to complete before the engine
	// leaves.
	Fits bool
}

// Margins of a plan.
const (
	// resumeMargin is the time between the last copy and the departure, in which
	// the last run resumes elsewhere before its stream breaks.
	resumeMargin = 60 * time.Millisecond
	// copyOverhead is the ratio of the duration of a copy to its size divided by
	// the bandwidth.
	copyOverhead = 1.1
	// startSpacing separates the copy requests, so that the engine queues them in
	// the order of the plan even if different VMs send them.
	startSpacing = 4 * time.Millisecond
)

// Plan schedules the runs by size, smallest first, so that as many as possible
// are copied if there is no time for all. available is the time until the engine
// leaves.
func Plan(runs []Run, link Link, available time.Duration) map[string]ScheduledCopy {
	sorted := slices.Clone(runs)
	slices.SortFunc(sorted, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.ID, b.ID))
	})
	plan := make(map[string]ScheduledCopy, len(sorted))
	var copiedAt time.Duration
	for i, r := range sorted {
		copiedAt += time.Duration(copyOverhead * float64(link.CopyTime(r.Tokens)))
		plan[r.ID] = ScheduledCopy{
			ID: r.ID, CopyAt: time.Duration(i) * startSpacing, CopiedAt: copiedAt, Fits: copiedAt <= available-resumeMargin,
		}
	}
	return plan
}
