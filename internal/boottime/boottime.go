// Package boottime reads a clock that never jumps and goes on while the machine
// is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start, as a time whose date means
// nothing. Differences of two such times are durations that count suspension,
// which the monotonic reading of time.Now does not.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // a kernel without the clock: only suspension goes uncounted
	}
	return time.Unix(ts.Unix())
}
