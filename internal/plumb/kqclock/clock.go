// Package kqclock reads the clock that counts the time during which a machine
// was suspended, which the monotonic clock of the runtime leaves out.
package kqclock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Sources are the clocks of a machine, each as the time since some moment.
type Sources struct {
	// Times reads the time of day, which counts suspensions and may be stepped, and
	// the steady clock, which leaves suspensions out, at about the same time.
	Times func() (wall, steady time.Duration)
	// Boot reads the clock that counts suspensions and is never stepped.
	Boot func() (time.Duration, error)
}

// Clock reads the time since boot without a system call as long as the machine
// was not suspended: a suspension moves the time of day against the steady clock,
// and so does a step of the time of day, and only then is the clock of the kernel
// asked again. The zero value is ready for use by several goroutines.
type Clock struct {
	latest atomic.Pointer[reading]
}

// reading is how the clocks stood against each other.
type reading struct {
	// ahead is the time of day less the steady clock, slept the clock that counts
	// suspensions less the steady clock.
	ahead, slept time.Duration
}

const (
	// tolerance is how far the time of day and the steady clock may drift apart
	// before the kernel is asked, and how long its answer may take to be kept.
	tolerance = time.Millisecond
	// mostTries is how often the clocks are read before an answer is not kept.
	mostTries = 3
)

// Read returns the time since boot.
func (c *Clock) Read(s Sources) (boot time.Duration, err error) {
	for range mostTries {
		wall, steady := s.Times()
		ahead := wall - steady
		if r := c.latest.Load(); r != nil && (ahead-r.ahead).Abs() <= tolerance {
			return steady + r.slept, nil
		}
		if boot, err = s.Boot(); err != nil {
			return 0, err
		}
		if _, after := s.Times(); after-steady <= tolerance {
			c.latest.Store(&reading{ahead: ahead, slept: boot - steady})
			return boot, nil
		}
	}
	return boot, nil
}

var (
	process Clock
	began   = time.Now()
	sources = Sources{Times: readTimes, Boot: readBoot}
)

// Now returns the time since boot as a time without a monotonic part. It is
// comparable only with others of the same process.
func Now() time.Time {
	boot, err := process.Read(sources)
	if err != nil {
		return time.Now().Round(0)
	}
	return time.Unix(0, int64(boot))
}

func readTimes() (wall, steady time.Duration) {
	now := time.Now()
	return time.Duration(now.UnixNano()), now.Sub(began)
}

func readBoot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
