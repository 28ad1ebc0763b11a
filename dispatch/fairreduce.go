package dispatch

import "time"

// ReduceWindow reduces or restores the window of every engine. A dispatcher that has
// just taken over reduces the windows until the frontends have declared the grants
// they hold.
func (f *fairPolicy) ReduceWindow(now time.Time, reduced bool) {
	f.windowReduced = reduced
	f.updateAllCapacities(now)
}
