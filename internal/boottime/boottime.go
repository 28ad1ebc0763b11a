// Package boottime reads the boot-time clock, which keeps counting while the
// machine is suspended and is not affected by changes of the wall clock.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

var started = time.Now()

// Now returns the time since boot, including time spent suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME is available since Linux 2.6.39.
		return time.Since(started)
	}
	return time.Duration(ts.Nano())
}
