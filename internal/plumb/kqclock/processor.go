package kqclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Processor returns the processor time that this process has used, of its own and
// of the kernel's for it; 0 if the kernel does not say.
func ProcessorTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
