// Package kqclock reads the clock that counts the time during which a machine
// was suspended, which the monotonic clock of the runtime leaves out.
package kqclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time without a monotonic part. It is
// comparable only with others of the same process.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now().Round(0)
	}
	return time.Unix(t.Sec, t.Nsec)
}
