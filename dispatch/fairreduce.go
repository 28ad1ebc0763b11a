package dispatch

import "time"

// ReduceWindow reduces the window of each engine or restores it. A dispatcher
// that has just taken over reduces it until the frontends have declared what
// they hold.
func (f *fairPolicy) ReduceWindow(now time.Time, reduced bool) {
	f.windowReduced = reduced
	f.updateAllCapacities(now)
}
