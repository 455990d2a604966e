package kqadmission

import (
	"math"
	"time"
)

const (
	// certainRunFraction is the fraction of a run's estimated remaining time that is assumed to be
	// certain: single estimates are off by up to a factor of 2.
	certainRunFraction = 0.5
	// certainWorkFraction is the fraction of the estimated work of many tasks that is assumed to be
	// certain. It is higher than certainRunFraction because the errors of many estimates partly
	// cancel out.
	certainWorkFraction = 0.8
	// expectedRunFactor is the mean ratio of a run's remaining time to the value that ReleaseBound
	// rounded down.
	expectedRunFactor = 1.1
	// unboundedWait means that the job does not start on the processors that are known to become
	// free.
	unboundedWait = time.Duration(math.MaxInt64)
)

// candidate holds the properties of a new job that its wait depends on.
type candidate struct {
	// milliProcessors is the reservation of its smallest task without dependencies, in thousandths
	// of a processor.
	milliProcessors int64
	// isLate is true if the job has missed its objective; valueLeft is the time until it has no
	// value.
	isLate    bool
	valueLeft time.Duration
}

// workAhead returns the work that is scheduled before c, in thousandths of a processor times
// seconds, and the longest remaining critical path of that work, in seconds. Tasks larger than
// those of c are not counted, because c fits into gaps that are too small for them.
func (l *Level) workAhead(c candidate) (work, longestPath float64) {
	for _, w := range l.Waiting {
		if w.TaskMilliProcessors > c.milliProcessors || w.SamePriority && (!c.isLate || w.MinSlack < c.valueLeft) {
			continue
		}
		work += w.Work * milliPerProcessor
		longestPath = max(longestPath, w.MaxRemainingPath.Seconds())
	}
	return work, longestPath
}

const milliPerProcessor = 1000

// minWait returns a lower bound of the time until c can start: until then the work ahead occupies
// all processors that become free, apart from what may still be running when c starts.
func (l *Level) minWait(c candidate) time.Duration {
	work, longestPath := l.workAhead(c)
	return l.waitFor(c.milliProcessors, certainWorkFraction*work, longestPath, certainRunFraction)
}

// expectedWait returns the expected time until c starts if no other jobs arrive.
func (l *Level) expectedWait(c candidate) time.Duration {
	work, _ := l.workAhead(c)
	return l.waitFor(c.milliProcessors, work, 0, expectedRunFactor)
}

// ExpectedWait returns the expected time until a new job starts if no other jobs arrive, at most
// one hour. The argument is the reservation of its smallest task without dependencies, in
// thousandths of a processor.
func (l *Level) ExpectedWait(milliProcessors int64) time.Duration {
	if milliProcessors <= l.MaxWorkerFree.MilliProcessors {
		return 0
	}
	return min(maxRetryAfter, l.expectedWait(candidate{milliProcessors: milliProcessors}))
}

// waitFor returns the time until a task finds milliProcessors free after the given work has been
// done, except for the last longestPath seconds, in which the remaining work may still be running.
// The times of the releases are multiplied by releaseFactor.
func (l *Level) waitFor(milliProcessors int64, work, longestPath, releaseFactor float64) time.Duration {
	free, done, start := float64(max(0, l.FreeMilliProcessors)), 0.0, 0.0
	for n := 0; ; n++ {
		end := math.Inf(1)
		if n < len(l.Releases) {
			end = max(start, releaseFactor*l.Releases[n].After.Seconds())
		}
		if free > 0 && free >= float64(milliProcessors) {
			if at := start + max(0, (work-done)/free-longestPath); at <= end {
				return time.Duration(min(at, unboundedWait.Seconds()/2) * float64(time.Second))
			}
		}
		if n == len(l.Releases) {
			return unboundedWait
		}
		done += free * (end - start)
		free, start = free+float64(l.Releases[n].MilliProcessors), end
	}
}
