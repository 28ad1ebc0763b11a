package readmission

import (
	"container/list"
	"time"
)

const (
	// returningGain is the weight of one outcome in the fraction of callers that return.
	returningGain = 0.02
	// minReturning is the smallest fraction of callers that is assumed to return, so
	// that times stay spread.
	minReturning = 0.1
	// outcomeLifetime is how long the fraction of callers that return is kept after the
	// last refusal.
	outcomeLifetime = time.Minute
)

// organisation holds the promises to the callers of one organisation.
type organisation struct {
	// promises lists the promises in the order in which they were given.
	promises    *list.List
	lastRefusal time.Time
	// returning is the fraction of callers that return at their time.
	returning float64
}

// expected returns the number of callers that are expected to return.
func (o *organisation) expected() float64 {
	return float64(o.promises.Len()) * max(o.returning, minReturning)
}

// expectedTime returns the time in which the callers that are expected to return are
// served, one for each interval.
func (o *organisation) expectedTime(interval time.Duration) time.Duration {
	return time.Duration(min(float64(interval)*o.expected(), float64(maxAfter)))
}

// observe records whether a caller has returned as told.
func (o *organisation) observe(returned bool) {
	outcome := 0.0
	if returned {
		outcome = 1
	}
	o.returning += returningGain * (outcome - o.returning)
}
