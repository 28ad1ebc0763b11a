package dispatch

import "time"

// coldState reports whether an engine is cold, and whether it has got a request so lately that
// no permit for another one is expected.
func (f *fairPolicy) coldState(now time.Time, e *engine) (cold, full bool) {
	if f.opts.ColdRate == nil {
		return false, false
	}
	rate, cold := f.opts.ColdRate(e.id)
	if !cold {
		return false, false
	}
	return true, now.Sub(e.lastGrantAt).Seconds()*rate < 1
}
