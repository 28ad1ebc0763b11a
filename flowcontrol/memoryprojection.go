package flowcontrol

import (
	"math"
	"math/bits"
)

// Usage is the memory use of one stream in tokens.
type Usage struct {
	// Current is what the stream holds now, Remaining what it is expected to add.
	Current, Remaining float64
	// RelativeTime is the time that the stream takes for a token, relative to the others in
	// the projection. 0 counts as 1.
	RelativeTime float64
}

// relativeTime returns the relative time per token.
func (u Usage) relativeTime() float64 {
	if u.RelativeTime == 0 {
		return 1
	}
	return u.RelativeTime
}

// remainderBuckets is the number of groups of streams by expected remaining time, in
// tokens of a stream with relative time 1.
const remainderBuckets = lengthBuckets

// wordBits is the number of buckets in a word of MemoryProjection.occupied.
const wordBits = 64

type remainderBucket struct {
	streams            int
	current, remaining float64
	// time is the sum of the remaining times, rate that of the tokens per time.
	time, rate float64
}

// MemoryProjection projects the peak memory use of the running streams of an engine or
// of a pool. Operations take constant time: streams are grouped in
// a fixed number of log-spaced buckets by remaining time. The zero value has no streams.
type MemoryProjection struct {
	buckets [remainderBuckets]remainderBucket
	// occupied has one bit for each bucket with streams.
	occupied [(remainderBuckets + wordBits - 1) / wordBits]uint64
	streams  int
}

// Streams returns the number of running streams.
func (p *MemoryProjection) Streams() int { return p.streams }

// Add adds a stream.
func (p *MemoryProjection) Add(u Usage) { p.change(u, 1) }

// Remove removes a stream that was added with the same usage.
func (p *MemoryProjection) Remove(u Usage) { p.change(u, -1) }

func (p *MemoryProjection) change(u Usage, sign int) {
	relative := u.relativeTime()
	i := lengthBucket(u.Remaining * relative)
	b := &p.buckets[i]
	b.streams += sign
	b.current += float64(sign) * u.Current
	b.remaining += float64(sign) * u.Remaining
	b.time += float64(sign) * u.Remaining * relative
	b.rate += float64(sign) / relative
	if b.streams == 0 {
		*b = remainderBucket{} // clears accumulated rounding errors
		p.occupied[i/wordBits] &^= 1 << (i % wordBits)
	} else {
		p.occupied[i/wordBits] |= 1 << (i % wordBits)
	}
	p.streams += sign
}

// Peak returns the projected peak memory use, in tokens, of the running streams and
// one extra stream. A zero extra gives the peak of the running streams alone. It
// visits the streams from the longest remaining time to the shortest. When those of one
// bucket end, every longer stream has grown by the tokens that it produces in the
// remaining time of that bucket.
func (p *MemoryProjection) Peak(extra Usage) float64 {
	extraBucket, extraTime := -1, extra.Remaining*extra.relativeTime()
	if extra.Current > 0 {
		extraBucket = lengthBucket(extraTime)
	}
	occupied := p.occupied
	if extraBucket >= 0 {
		occupied[extraBucket/wordBits] |= 1 << (extraBucket % wordBits)
	}
	var peak, current, rate float64
	for word := len(occupied) - 1; word >= 0; word-- {
		for left := occupied[word]; left != 0; {
			bit := bits.Len64(left) - 1
			left &^= 1 << bit
			b := &p.buckets[word*wordBits+bit]
			n, c, r, t, grown := float64(b.streams), b.current, b.remaining, b.time, b.rate
			if word*wordBits+bit == extraBucket {
				n, c, r, t, grown = n+1, c+extra.Current, r+extra.Remaining, t+extraTime, grown+1/extra.relativeTime()
			}
			current += c
			peak = math.Max(peak, current+r+rate*(t/n))
			rate += grown
		}
	}
	return peak
}
