package flowcontrol

import "math"

// Usage is the memory use of one stream in tokens.
type Usage struct {
	// Current is what the stream holds now, Remaining what it is expected to add.
	Current, Remaining float64
}

// remainderBuckets is the number of groups of streams by expected remaining length.
const remainderBuckets = lengthBuckets

type remainderBucket struct {
	streams            int
	current, remaining float64
}

// MemoryProjection projects the peak memory use of the running streams of an engine or
// of a pool. Operations take constant time: streams are grouped by remaining length in
// a fixed number of log-spaced buckets. The zero value has no streams.
type MemoryProjection struct {
	buckets [remainderBuckets]remainderBucket
	streams int
}

// Streams returns the number of running streams.
func (p *MemoryProjection) Streams() int { return p.streams }

// Add adds a stream.
func (p *MemoryProjection) Add(u Usage) { p.change(u, 1) }

// Remove removes a stream that was added with the same usage.
func (p *MemoryProjection) Remove(u Usage) { p.change(u, -1) }

func (p *MemoryProjection) change(u Usage, sign int) {
	b := &p.buckets[lengthBucket(u.Remaining)]
	b.streams += sign
	b.current += float64(sign) * u.Current
	b.remaining += float64(sign) * u.Remaining
	if b.streams == 0 {
		*b = remainderBucket{} // clears accumulated rounding errors
	}
	p.streams += sign
}

// Peak returns the projected peak memory use, in tokens, of the running streams and
// one extra stream. A zero extra gives the peak of the running streams alone. It
// visits the streams from the longest remaining length to the shortest. All streams
// are assumed to grow at the same rate, so when those of one bucket end, every longer
// stream has grown by the remaining length of that bucket.
func (p *MemoryProjection) Peak(extra Usage) float64 {
	extraBucket := -1
	if extra.Current > 0 {
		extraBucket = lengthBucket(extra.Remaining)
	}
	var peak, current, streams float64
	for i := remainderBuckets - 1; i >= 0; i-- {
		b := &p.buckets[i]
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
