// Package readmission gives refused callers times to return, and recognises the callers that
// come back. Times are spread over the time in which capacity is expected, so that
// callers refused together do not return together. A caller that returns at its time
// finds its earlier place; one that returns before it is treated as new.
package readmission

import "time"

// Key identifies a request over all attempts of its caller.
type Key struct {
	Organisation string
	// Identity is equal for all attempts at the same request. Requests with identity 0
	// are given a time, but are not recognised when they return.
	Identity uint64
}

// Expectation is what the dispatcher expects for a request that it refuses.
type Expectation struct {
	// Wait is the time until the organisation's queue has room again.
	Wait time.Duration
	// Interval is the mean time between two requests of the organisation that are
	// served, 0 if it is unknown.
	Interval time.Duration
	// Window is the longest time after Wait over which callers are spread, 0 if there is none.
	// Callers that are not served within it are better off if they learn so early.
	Window time.Duration
	// Left is the time that the caller has left, 0 if it is unknown.
	Left time.Duration
}

// Promise is the time to return that a refused request is given, and possibly the reservation of
// its place in the queue.
type Promise struct {
	// After is the time after which the caller is to return.
	After time.Duration
	// Kept reports whether the caller finds its place if it returns then. A caller that
	// cannot wait that long, or finds the table full, finds none.
	Kept bool
}

// Kind tells how a request relates to an earlier refusal.
type Kind int

// Kinds of arrivals.
const (
	// KindNew is a request that has no promise, or one that has expired.
	KindNew Kind = iota
	// KindReturned is a request that returns at its time.
	KindReturned
	// KindEarly is a request that returns before its time.
	KindEarly
)

// String returns the kind as it appears in log lines.
func (k Kind) String() string {
	switch k {
	case KindReturned:
		return "returned"
	case KindEarly:
		return "early"
	default:
		return "new"
	}
}

// Arrival is what a table knows of an arriving request.
type Arrival struct {
	Kind Kind
	// Since is the time from which the request's wait counts. It determines its place:
	// the time of the first refusal of a request that returns at its time, and now for
	// all others.
	Since time.Time
	// Remaining is the time until a request that is early is to return.
	Remaining time.Duration
}

const (
	// honouredFraction is the fraction of its remaining time for which a caller waits
	// before it returns, whatever it was told.
	honouredFraction = 1.0 / 3
	// resolution is that of the times given. The Retry-After of an answer has two
	// decimals.
	resolution = 10 * time.Millisecond
	// grace is how long after its time a caller is still expected. It covers the paths
	// to the caller and back.
	grace = 2 * time.Second
	// defaultInterval is the time between callers if no request has been served yet.
	defaultInterval = 50 * time.Millisecond
	// maxAfter bounds the times given, in case an expectation is out of range.
	maxAfter = time.Hour
)

// honoured reports whether a caller waits for the given time.
func (e Expectation) honoured(after time.Duration) bool {
	return e.Left <= 0 || after <= time.Duration(float64(e.Left)*honouredFraction)
}

// valid returns the expectation with durations in range.
func (e Expectation) valid() Expectation {
	e.Wait = min(max(e.Wait, 0), maxAfter)
	if e.Interval <= 0 {
		e.Interval = defaultInterval
	}
	e.Interval = min(e.Interval, maxAfter)
	e.Window = min(max(e.Window, 0), maxAfter)
	return e
}

// roundUp rounds a time up to the resolution.
func roundUp(after time.Duration) time.Duration {
	return (max(after, 1) + resolution - 1) / resolution * resolution
}
