package kqclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// ProcessorTime returns the processor time that this process has used so far, in user and in
// kernel mode; 0 if it cannot be read.
func ProcessorTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
