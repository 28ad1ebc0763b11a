package ratelimit

import (
	"math"
	"time"
)

// bucket holds the free permits of a limited server at its owner.
type bucket struct {
	server serverKey
	// cold is set while the server is cold.
	cold bool
	// rate is the number of tokens that are added a second, 0 if the server is not limited
	// any more.
	rate   float64
	tokens float64
	// at is the time of tokens. It is in the future while a new owner grants nothing.
	at time.Duration
	// waiting is the number of requests that wait for the server, perhaps among others.
	waiting int
	granted uint64
	usedAt  time.Duration
	// lateReturnAt is when a permit was last taken back after its lifetime.
	lateReturnAt time.Duration
}

func (b *bucket) capacity() float64 {
	if b.cold {
		return 1 + coldBurstTime*b.rate
	}
	return 1 + burstTime*b.rate
}

// lifetime returns the time within which a permit must be used.
func (b *bucket) lifetime() time.Duration {
	if b.cold {
		return coldPermitLifetime
	}
	return PermitLifetime
}

// lapses reports whether a token that is not used in time is lost. This is so for a cold
// server of which this VM grants a small part of the rate. Otherwise, in a fleet that is split
// into many network partitions, each partition would keep a token, and all of them could be used
// in one burst.
func (b *bucket) lapses() bool {
	return b.cold && b.limited() && b.rate*coldPermitLifetime.Seconds() < 1
}

func (b *bucket) tokensAt(now time.Duration) float64 {
	tokens := b.tokens + b.rate*max(now-b.at, 0).Seconds()
	if !b.lapses() {
		return min(tokens, b.capacity())
	}
	kept := b.rate * coldPermitLifetime.Seconds()
	return tokens - math.Floor(max(tokens-kept, 0))
}

// startPhase gives a bucket whose tokens lapse a random fraction of a token, so that the partitions
// of a fleet do not all get their tokens at the same time.
func (b *bucket) startPhase(random func() float64) {
	if b.lapses() {
		b.tokens = random()
	}
}

func (b *bucket) refill(now time.Duration) {
	if now > b.at {
		b.tokens, b.at = b.tokensAt(now), now
	}
}

// empty makes the bucket start without tokens at a time.
func (b *bucket) empty(at time.Duration) { b.tokens, b.at = min(b.tokens, 0), at }

// setRate changes the rate from now on.
func (b *bucket) setRate(now time.Duration, rate float64, cold bool) {
	b.refill(now)
	b.rate, b.cold = rate, cold
	if !b.lapses() {
		b.tokens = min(b.tokens, b.capacity())
	}
}

// limited reports whether the server is limited.
func (b *bucket) limited() bool { return b.rate > 0 }

// allows reports whether a permit may be granted at a time, in advance if inDebt is set.
func (b *bucket) allows(now time.Duration, inDebt bool) bool {
	if !b.limited() {
		return true
	}
	least := 1.0
	if inDebt && !b.cold {
		least -= maxDebt
	}
	return b.at <= now && b.tokens >= least
}

// seconds returns the time in seconds until a number of tokens is there.
func (b *bucket) seconds(now time.Duration, tokens float64) float64 {
	return max(b.at-now, 0).Seconds() + max(tokens-b.tokens, 0)/b.rate
}
