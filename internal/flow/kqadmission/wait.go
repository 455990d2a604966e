package kqadmission

import (
	"math"
	"time"
)

const (
	// certainRun is the part of the time that a run has left by its estimate which is taken to be certain. Single estimates are
	// off by up to a factor of 2.
	certainRun = 0.5
	// certainWork is the part of the estimated work of many tasks which is taken to be certain: their errors cancel out.
	certainWork = 0.8
	// expectedRun is how much longer than its rounded time a run has left in the mean.
	expectedRun = 1.1
	// never is a wait without end.
	never = time.Duration(math.MaxInt64)
)

// request is what the wait of a job depends on.
type request struct {
	// size is what its smallest first task reserves, in thousandths of a processor.
	size int64
	// late is true if the job is past its objective, left is for how long it is worth anything.
	late bool
	left time.Duration
}

// ahead returns the work that comes before a job, in thousandths of a processor times seconds, and the longest of its tasks.
// Larger tasks than the job's do not hold it up, since it fits into gaps that they do not.
func (l *Level) ahead(r request) (work, longest float64) {
	for _, w := range l.Waiting {
		if w.TaskMilliProcessors > r.size || w.SamePriority && (!r.late || w.MinSlack < r.left) {
			continue
		}
		work += w.Work * milli
		longest = max(longest, w.MaxRemainingPath.Seconds())
	}
	return work, longest
}

// milli is how many thousandths a processor has.
const milli = 1000

// leastWait returns a time before which a job cannot start: what comes free until then is taken by work before it, of which no
// more can be under way than the processors carry.
func (l *Level) leastWait(r request) time.Duration {
	work, longest := l.ahead(r)
	return l.wait(r.size, certainWork*work, longest, certainRun)
}

// expectedWait returns about when a job starts if nothing else comes.
func (l *Level) expectedWait(r request) time.Duration {
	work, _ := l.ahead(r)
	return l.wait(r.size, work, 0, expectedRun)
}

// ExpectedWait returns about when a new job starts whose smallest first task reserves some processors, in thousandths, if
// nothing else comes; at most mostRetryAfter.
func (l *Level) ExpectedWait(size int64) time.Duration {
	if size <= l.MaxWorkerFree.MilliProcessors {
		return 0
	}
	return min(mostRetryAfter, l.expectedWait(request{size: size}))
}

// wait returns the time at which a task of some size finds free processors once work has been done but for what the longest
// tasks may have left; ends come after a part of the time that they are said to come after.
func (l *Level) wait(size int64, work, longest, part float64) time.Duration {
	free, done, from := float64(max(0, l.FreeMilliProcessors)), 0.0, 0.0
	for n := 0; ; n++ {
		till := math.Inf(1)
		if n < len(l.Releases) {
			till = max(from, part*l.Releases[n].After.Seconds())
		}
		if free > 0 && free >= float64(size) {
			if at := from + max(0, (work-done)/free-longest); at <= till {
				return time.Duration(min(at, never.Seconds()/2) * float64(time.Second))
			}
		}
		if n == len(l.Releases) {
			return never
		}
		done += free * (till - from)
		free, from = free+float64(l.Releases[n].MilliProcessors), till
	}
}
