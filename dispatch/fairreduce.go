package dispatch

import "time"

// noEnd is later than any end of a warm-up.
const noEnd = 100 * 365 * 24 * time.Hour

// ReduceWindow starts or ends the warm-up, in which the window of each engine
// is reduced. It serves dispatchers that know when the warm-up can end.
func (f *fair) ReduceWindow(now time.Time, reduced bool) {
	f.warmUntil = now
	if reduced {
		f.warmUntil = now.Add(noEnd)
	}
	f.refreshAll(now)
}
