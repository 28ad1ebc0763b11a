package flowcontrol

import "math"

// Policy selects how an engine's window judges room.
type Policy int

// Policies of an admission window.
const (
	// PeakPolicy projects the peak of memory over time, with each stream at its
	// estimated remainder and freed when it ends.
	PeakPolicy Policy = iota
	// SumPolicy adds all streams at their estimated full size.
	SumPolicy
	// PromptPolicy counts what streams use now, without a remainder.
	PromptPolicy
	// FixedPolicy limits the number of streams.
	FixedPolicy
)

// FixedStreams is the limit of FixedPolicy.
const FixedStreams = 16

// Usage is the memory of one stream in tokens.
type Usage struct {
	// Current is what the stream holds now, Remaining what it is expected to add.
	Current, Remaining float64
}

// remainderBuckets groups streams by expected remainder.
const remainderBuckets = lengthBuckets

type remainderBucket struct {
	streams            int
	current, remaining float64
}

// Window projects the memory that the running streams of one engine will take.
// Operations take constant time: streams are grouped by remainder in a bounded
// number of log-spaced buckets.
type Window struct {
	policy  Policy
	buckets [remainderBuckets]remainderBucket
	streams int
}

// NewWindow returns the window of an idle engine.
func NewWindow(policy Policy) *Window { return &Window{policy: policy} }

// Streams returns the number of running streams.
func (w *Window) Streams() int { return w.streams }

// Add counts a stream.
func (w *Window) Add(u Usage) { w.change(u, 1) }

// Remove takes out a stream that was added with the same usage.
func (w *Window) Remove(u Usage) { w.change(u, -1) }

func (w *Window) change(u Usage, sign int) {
	b := &w.buckets[lengthBucket(u.Remaining)]
	b.streams += sign
	b.current += float64(sign) * u.Current
	b.remaining += float64(sign) * u.Remaining
	if b.streams == 0 {
		*b = remainderBucket{} // removes rounding residue
	}
	w.streams += sign
}

// Demand returns the projected memory of the running streams and one more in
// tokens. A zero extra gives that of the running streams.
func (w *Window) Demand(extra Usage) float64 {
	switch w.policy {
	case SumPolicy:
		return w.sum(1) + extra.Current + extra.Remaining
	case PromptPolicy:
		return w.sum(0) + extra.Current
	case FixedPolicy:
		return 0
	default:
		return w.peak(extra)
	}
}

func (w *Window) sum(remainder float64) float64 {
	total := 0.0
	for i := range w.buckets {
		total += w.buckets[i].current + remainder*w.buckets[i].remaining
	}
	return total
}

// peak follows the streams from the longest remainder to the shortest. All
// streams grow at the same rate, so when those of one bucket end, the longer
// ones have each grown by that remainder.
func (w *Window) peak(extra Usage) float64 {
	at := -1
	if extra.Current > 0 {
		at = lengthBucket(extra.Remaining)
	}
	var peak, current, streams float64
	for i := remainderBuckets - 1; i >= 0; i-- {
		b := &w.buckets[i]
		n, c, r := float64(b.streams), b.current, b.remaining
		if i == at {
			n, c, r = n+1, c+extra.Current, r+extra.Remaining
		}
		if n == 0 {
			continue
		}
		current += c
		peak = math.Max(peak, current+r+streams*(r/n))
		streams += n
	}
	return peak
}
