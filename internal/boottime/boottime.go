// Package boottime reads CLOCK_BOOTTIME, a clock that is never stepped and that
// continues while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, as a time whose date has no
// meaning. Differences between two such times include suspension, which the
// monotonic reading of time.Now does not.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // kernel without CLOCK_BOOTTIME: suspension is not counted
	}
	return time.Unix(ts.Unix())
}
