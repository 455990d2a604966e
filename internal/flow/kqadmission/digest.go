// Package kqadmission implements admission control for new jobs: while the workers are overloaded,
// an entry accepts, defers or rejects a job based on the latest load digest of the owner. The
// package does no I/O, and the current time is an argument of each decision.
package kqadmission

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
)

const (
	// MinDigestInterval is the minimum time between two digests of an owner.
	MinDigestInterval = 300 * time.Millisecond
	// MaxSendAge is the age above which an owner does not send a digest.
	MaxSendAge = 600 * time.Millisecond
	// MaxDigestAge is the time since receipt after which an entry ignores a digest.
	MaxDigestAge = time.Second
	// RejectionHoldTime is how long an owner suspends rejections after it acquired the cell or lost
	// an entry: the failed process may have been the only one that knew of writes whose outcome is
	// unknown.
	RejectionHoldTime = UnresolvedTTL
)

// Digest is an owner's summary of the waiting work and of the processors that serve it, sent to the
// entries.
type Digest struct {
	// RejectionsHeld is true if entries must not reject jobs for now.
	RejectionsHeld bool `json:"held,omitempty"`
	// Saturated is true if a task that runs for a finite time and reserves its processors found no
	// free capacity.
	Saturated bool `json:"crowded,omitempty"`
	// Levels has one element for each pair of service and priority.
	Levels []Level `json:"levels,omitempty"`
	// Queues holds the digest of each queue by queue name.
	Queues map[string]PerQueue `json:"queues,omitempty"`
	// Returning is the number of rejected jobs that have not been submitted again.
	Returning int `json:"returning,omitempty"`
}

// PerQueue is the part of a Digest about one queue.
type PerQueue struct {
	// Level is the index of the queue's service and priority in Digest.Levels.
	Level int `json:"level"`
	// Bounds splits the queue's jobs into size bands by their work. If HasBounds is false, every
	// job is in the lower band.
	Bounds    kqsize.Bounds `json:"bounds"`
	HasBounds bool          `json:"sized,omitempty"`
	// OverShare lists the segments of the queue whose demand exceeds their fair share.
	OverShare []Segment `json:"over,omitempty"`
	// ExpectedWait is the expected time until a new job that is not in the largest band can start,
	// ExpectedWaitLargest the same for a job in the largest band.
	ExpectedWait        time.Duration `json:"usual,omitempty"`
	ExpectedWaitLargest time.Duration `json:"large,omitempty"`
}

// Segment identifies the jobs of a queue in one size band that arrive through the entries of one
// zone.
type Segment struct {
	// Band is the size band of the jobs.
	Band kqsize.Band `json:"band"`
	// Zone is the availability zone of the entries.
	Zone string `json:"zone,omitempty"`
}

func (c *PerQueue) band(work float64) kqsize.Band {
	if !c.HasBounds {
		return kqsize.BandLower
	}
	return c.Bounds.Band(work)
}

func (c *PerQueue) exceedsShare(s Segment) bool {
	for _, o := range c.OverShare {
		if o == s {
			return true
		}
	}
	return false
}

// Level is the load that all queues of one service and priority have in common.
type Level struct {
	// Service names the pool of workers, Priority is the priority of the queues.
	Service  string `json:"service"`
	Priority int    `json:"priority"`
	// MilliProcessors is the capacity of the workers that no long-running task reserves, in
	// thousandths of a processor.
	MilliProcessors int64 `json:"processors"`
	// MaxWorkerFree is the maximum over the workers of what is free or can be freed by preemption,
	// taken for each resource separately.
	MaxWorkerFree kqmodel.Resources `json:"room"`
	// FreeMilliProcessors is the sum over the workers of the processors that are free or can be
	// freed by preemption, in thousandths.
	FreeMilliProcessors int64 `json:"free"`
	// Releases lists in order of time the processors that become free as runs end that a new job
	// cannot preempt.
	Releases []Release `json:"ends,omitempty"`
	// Waiting is the work that may be scheduled before a new job.
	Waiting []WaitingWork `json:"waiting,omitempty"`
}

// Release is an amount of processors that become free when runs end.
type Release struct {
	// After is the estimated time until then, rounded down by ReleaseBound.
	After time.Duration `json:"after"`
	// MilliProcessors is the amount, in thousandths of a processor.
	MilliProcessors int64 `json:"processors"`
}

// WaitingWork is the total work of similar waiting tasks.
type WaitingWork struct {
	// TaskMilliProcessors is an upper bound of what one of the tasks reserves, in thousandths of a
	// processor, as returned by TaskSizeBound.
	TaskMilliProcessors int64 `json:"size"`
	// SamePriority is true for work of the same priority that can still meet its objective; it is
	// scheduled only before jobs that are late. It is false for work of more urgent queues.
	SamePriority bool `json:"peer,omitempty"`
	// MinSlack is a lower bound of the time until work of the same priority becomes late, as
	// returned by SlackBound.
	MinSlack time.Duration `json:"in_time,omitempty"`
	// Work is the estimated work in processor-seconds.
	Work float64 `json:"work"`
	// MaxRemainingPath is the longest remaining critical path among the jobs of the work.
	MaxRemainingPath time.Duration `json:"longest"`
}

// taskSizeBounds are the upper bounds of the groups in which tasks are counted, in thousandths of a
// processor.
var taskSizeBounds = []int64{250, 500, 1000, 2000, 4000, 8000, 16_000, 32_000, 64_000}

// TaskSizeBound returns the upper bound of the group in which a task is counted that reserves the
// given processors. Argument and result are in thousandths of a processor. A task above all bounds
// is its own bound.
func TaskSizeBound(processors int64) int64 {
	for _, s := range taskSizeBounds {
		if processors <= s {
			return s
		}
	}
	return processors
}

// slackBounds are the lower bounds of the groups in which waiting work is counted by its slack.
var slackBounds = []time.Duration{32 * time.Second, 16 * time.Second, 8 * time.Second, 4 * time.Second, 2 * time.Second, time.Second, 500 * time.Millisecond, 250 * time.Millisecond}

// SlackBound returns the largest of the slack bounds that is not above d, or 0 if all are above d.
func SlackBound(d time.Duration) time.Duration {
	for _, t := range slackBounds {
		if d >= t {
			return t
		}
	}
	return 0
}

const (
	// minRelease is the time below which processors that will become free count as free now.
	minRelease = 125 * time.Millisecond
	// releaseSteps is the number of rounding steps between minRelease times a power of two and the
	// next.
	releaseSteps = 4
)

// ReleaseBound rounds d down to one of a few times, so that processors that become free at about
// the same time are counted together. The result is 0 if d is below 125 ms, and otherwise less than
// d by at most a fifth.
func ReleaseBound(d time.Duration) time.Duration {
	if d < minRelease {
		return 0
	}
	p := minRelease
	for p <= d/2 {
		p *= 2
	}
	return d - (d-p)%(p/releaseSteps)
}
