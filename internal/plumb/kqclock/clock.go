// Package kqclock reads the clock of the kernel that includes the time during which the machine
// was suspended. The monotonic clock of the Go runtime does not include it.
package kqclock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Sources reads the clocks of a machine, each as the time since a fixed moment.
type Sources struct {
	// ReadTimes reads, at about the same time, the wall clock, which includes suspensions and
	// may be stepped, and the monotonic clock, which does not include suspensions.
	ReadTimes func() (wall, monotonic time.Duration)
	// ReadBoot reads the time since boot, which includes suspensions and is never stepped.
	ReadBoot func() (time.Duration, error)
}

// Clock reads the time since boot without a system call unless the machine was suspended. It
// adds a known offset to the monotonic clock. A suspension changes the difference between the
// wall clock and the monotonic clock, and so does a step of the wall clock; only after such a
// change is the kernel's clock read again. The zero value is ready for use by several
// goroutines.
type Clock struct {
	latest atomic.Pointer[offsets]
}

// offsets holds the differences between the clocks at a reading of the kernel's clock.
type offsets struct {
	// wall is the wall clock minus the monotonic clock, boot the time since boot minus the
	// monotonic clock.
	wall, boot time.Duration
}

const (
	// tolerance is how far the wall clock and the monotonic clock may drift apart before the
	// kernel's clock is read again. It is also the longest duration of a reading whose offsets
	// are kept: the process may have been descheduled during a longer one.
	tolerance = time.Millisecond
	// maxTries is the number of readings after which Read returns the time without keeping the
	// offsets.
	maxTries = 3
)

// Read returns the time since boot, including suspensions.
func (c *Clock) Read(s Sources) (boot time.Duration, err error) {
	for range maxTries {
		wall, monotonic := s.ReadTimes()
		wallOffset := wall - monotonic
		if r := c.latest.Load(); r != nil && (wallOffset-r.wall).Abs() <= tolerance {
			return monotonic + r.boot, nil
		}
		if boot, err = s.ReadBoot(); err != nil {
			return 0, err
		}
		if _, after := s.ReadTimes(); after-monotonic <= tolerance {
			c.latest.Store(&offsets{wall: wallOffset, boot: boot - monotonic})
			return boot, nil
		}
	}
	return boot, nil
}

var (
	systemClock   Clock
	startedAt     = time.Now()
	systemSources = Sources{ReadTimes: readTimes, ReadBoot: readBoot}
)

// Now returns the time since boot as a time.Time without a monotonic part. It is comparable only
// with other results in the same process. If the kernel's clock cannot be read, it returns the
// wall clock.
func Now() time.Time {
	boot, err := systemClock.Read(systemSources)
	if err != nil {
		return time.Now().Round(0)
	}
	return time.Unix(0, int64(boot))
}

func readTimes() (wall, monotonic time.Duration) {
	now := time.Now()
	return time.Duration(now.UnixNano()), now.Sub(startedAt)
}

func readBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
