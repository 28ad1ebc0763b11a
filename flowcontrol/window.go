package flowcontrol

import "math"

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

// MemoryProjection projects the memory that the running streams of one engine will take.
// Operations take constant time: streams are grouped by remainder in a bounded
// number of log-spaced buckets. The zero value is the window of an idle engine.
type MemoryProjection struct {
	buckets [remainderBuckets]remainderBucket
	streams int
}

// Streams returns the number of running streams.
func (w *MemoryProjection) Streams() int { return w.streams }

// Add counts a stream.
func (w *MemoryProjection) Add(u Usage) { w.change(u, 1) }

// Remove takes out a stream that was added with the same usage.
func (w *MemoryProjection) Remove(u Usage) { w.change(u, -1) }

func (w *MemoryProjection) change(u Usage, sign int) {
	b := &w.buckets[lengthBucket(u.Remaining)]
	b.streams += sign
	b.current += float64(sign) * u.Current
	b.remaining += float64(sign) * u.Remaining
	if b.streams == 0 {
		*b = remainderBucket{} // removes rounding residue
	}
	w.streams += sign
}

// Peak returns the projected peak of the memory of the running streams and one
// more, in tokens. A zero extra gives that of the running streams. It follows the
// streams from the longest remainder to the shortest: all grow at the same rate, so
// when those of one bucket end, the longer ones have each grown by that remainder.
func (w *MemoryProjection) Peak(extra Usage) float64 {
	extraBucket := -1
	if extra.Current > 0 {
		extraBucket = lengthBucket(extra.Remaining)
	}
	var peak, current, streams float64
	for i := remainderBuckets - 1; i >= 0; i-- {
		b := &w.buckets[i]
		n, c, r := float64(b.streams), b.current, b.remaining
		if i == extraBucket {
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
