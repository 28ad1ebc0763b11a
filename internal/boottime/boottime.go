// Package boottime reads a clock that neither stands still while the machine
// is suspended nor jumps with the time of day.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

var started = time.Now()

// Now returns the time since the machine was started, including suspension.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Only a kernel older than 2.6.39 lacks the clock.
		return time.Since(started)
	}
	return time.Duration(ts.Nano())
}
