package kqadmission

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// Job holds the properties of a job that a decision depends on.
type Job struct {
	// ID is the caller's name for the job.
	ID string
	// FirstAttemptAt is the time of the caller's first attempt to submit the job.
	FirstAttemptAt time.Time
	// CriticalPath is the longest chain of estimates over dependent steps.
	CriticalPath time.Duration
	// Objective is the time within which the job should complete; 0 or less if it has no objective.
	Objective time.Duration
	// MinResources is, for each resource, the smallest amount that a task without dependencies
	// reserves.
	MinResources kqmodel.Resources
	// Fills is true if a task without dependencies is a filling task, which reserves no processors.
	Fills bool
	// Work is the estimated work in processor-seconds, ReservedWork the part of it that is done on
	// reserved processors.
	Work, ReservedWork float64
	// Zone is the availability zone of the entry.
	Zone string
}

// NewJob returns the properties of j that a decision depends on. The job must have passed Validate.
func NewJob(j kqflow.Job, q kqflow.Queue, first time.Time, zone string) Job {
	out := Job{ID: j.ID, FirstAttemptAt: first, Work: j.Work(), ReservedWork: j.ReservedWork(), Zone: zone}
	if !j.HasObjective() {
		return out
	}
	out.CriticalPath, out.Objective = j.CriticalPath(), q.Objective(j)
	out.MinResources = kqmodel.Resources{MilliProcessors: math.MaxInt64, MemoryBytes: math.MaxInt64, Accelerators: math.MaxInt64}
	for _, s := range j.Steps {
		if len(s.After) > 0 {
			continue
		}
		r := s.Reserved()
		out.Fills = out.Fills || s.Fills
		out.MinResources = kqmodel.Resources{MilliProcessors: min(out.MinResources.MilliProcessors, r.MilliProcessors),
			MemoryBytes: min(out.MinResources.MemoryBytes, r.MemoryBytes), Accelerators: min(out.MinResources.Accelerators, r.Accelerators)}
	}
	return out
}

// Verdict is the admission decision on a new job.
type Verdict string

// Verdicts.
const (
	// Accept means that the job is accepted and is not known to miss its objective.
	Accept Verdict = "accepted"
	// Defer means that the job is accepted although it will be late. The owner schedules it after
	// the jobs that can still meet their objectives.
	Defer Verdict = "deferred"
	// Reject means that the job is not accepted, because it cannot complete before its value is 0.
	Reject Verdict = "rejected"
)

// ReceivedDigest is the latest digest that an entry has received.
type ReceivedDigest struct {
	// Digest is nil if the current owner has not sent one.
	Digest *Digest
	// ReceivedAt is the time of receipt.
	ReceivedAt time.Time
}

// Decision is a verdict and the reasons for it.
type Decision struct {
	// Verdict says whether the job is accepted, deferred or rejected.
	Verdict Verdict
	// Why is the reason for the verdict; it is empty if the verdict follows from Wait, Chain and Left.
	Why string
	// Wait is a lower bound of the time until the job can start, Left the time until it has no
	// value; both count from now.
	Wait, Left time.Duration
	// RoomIn is the expected time until there is free capacity, Spread the delay added to it so
	// that rejected jobs do not return at the same time, and RetryAfter their sum rounded up to
	// whole seconds.
	RoomIn, Spread, RetryAfter time.Duration
	// Chain is the critical path of the job, by its estimates.
	Chain time.Duration
	// Returning is the number of rejected jobs that had not been submitted again.
	Returning int
}

// String returns the reasons as a sentence for callers and operators.
func (d Decision) String() string {
	round := func(t time.Duration) time.Duration { return t.Round(time.Millisecond) }
	switch {
	case d.Why != "":
		return d.Why
	case d.Verdict == Reject:
		return fmt.Sprintf("it cannot start within %s, its critical path is estimated at %s, and it has no value after %s; retry after %s: capacity is expected in %s, plus %s to spread retries of %d rejected jobs that have not returned",
			round(d.Wait), round(d.Chain), round(d.Left), d.RetryAfter, round(d.RoomIn), round(d.Spread), d.Returning)
	}
	return fmt.Sprintf("it cannot start within %s, its critical path is estimated at %s, and it has no value after %s", round(d.Wait), round(d.Chain), round(d.Left))
}

// Decide returns the admission decision on a new job of a queue. It rejects a job only if by all
// estimates, with a margin for their errors, the job cannot complete before its value is 0. Without
// a usable digest it accepts the job.
func Decide(now time.Time, j Job, q kqflow.Queue, r ReceivedDigest) Decision {
	queue, level, why := lookup(now, j, q, r)
	if why != "" {
		return Decision{Verdict: Accept, Why: why}
	}
	dueAt := j.FirstAttemptAt.Add(j.Objective)
	d := Decision{Verdict: Accept, Chain: j.CriticalPath, Left: j.FirstAttemptAt.Add(kqflow.ZeroValueFactor * j.Objective).Sub(now), Returning: r.Digest.Returning}
	c := candidate{milliProcessors: j.MinResources.MilliProcessors, isLate: now.After(dueAt), valueLeft: d.Left}
	d.Wait = level.minWait(c)
	switch {
	case d.Wait <= 0:
		d.Why = "no work is certain to be scheduled before it"
		return d
	case d.Wait == unboundedWait:
		// The job needs more than all known releases together, so there is no bound of its wait.
		return Decision{Verdict: Accept, Why: "the digest lists too few processors that will become free"}
	case d.Wait+j.CriticalPath <= d.Left:
		if now.Add(d.Wait + j.CriticalPath).After(dueAt) {
			d.Verdict = Defer
		}
		return d
	case !queue.exceedsShare(Segment{Band: queue.band(j.Work), Zone: j.Zone}):
		return Decision{Verdict: Defer, Why: "the demand of its queue, size band and zone is within their fair share"}
	}
	d.Verdict = Reject
	d.RoomIn = level.expectedWait(c)
	d.Spread = retrySpread(j, level, d.Returning)
	d.RetryAfter = retryAfter(d.RoomIn, d.Spread)
	return d
}

// lookup returns the digest of a queue and its priority level, or the reason why the job is
// accepted without them.
func lookup(now time.Time, j Job, q kqflow.Queue, r ReceivedDigest) (queue *PerQueue, level *Level, why string) {
	d := r.Digest
	switch {
	case j.Objective <= 0:
		return nil, nil, "the job has no objective"
	case j.Fills:
		return nil, nil, "a first step of the job reserves no processors"
	case d == nil:
		return nil, nil, "the owner has not sent a digest"
	case now.Sub(r.ReceivedAt) > MaxDigestAge || now.Before(r.ReceivedAt):
		return nil, nil, "the owner's digest is too old"
	case d.RejectionsHeld:
		return nil, nil, "the owner has suspended rejections"
	}
	c, ok := d.Queues[q.Name]
	if !ok || c.Level < 0 || c.Level >= len(d.Levels) {
		return nil, nil, "the owner's digest does not contain the queue"
	}
	l := &d.Levels[c.Level]
	switch {
	case l.Service != q.Service || l.Priority != q.Priority:
		return nil, nil, "the owner's digest has another service or priority for the queue"
	case l.MilliProcessors <= 0:
		return nil, nil, "the service has no capacity in the owner's digest"
	case j.MinResources.FitsIn(l.MaxWorkerFree):
		return nil, nil, "a worker has free capacity"
	}
	return &c, l, ""
}

const (
	// minSpread and maxSpread bound the time over which the retries of rejected jobs are spread.
	minSpread = time.Second
	maxSpread = 10 * time.Second
	// maxRetryAfter is the longest delay that a caller is given before its next attempt.
	maxRetryAfter = time.Hour
)

// retrySpread returns the delay that spreads the retry of a job. Retries are spread over the time
// that the processors need to run as many jobs of this size as there are rejected jobs that have
// not returned.
func retrySpread(j Job, l *Level, returning int) time.Duration {
	drainSeconds := float64(returning+1) * j.ReservedWork * milliPerProcessor / float64(max(1, l.MilliProcessors))
	window := min(maxSpread.Seconds(), max(minSpread.Seconds(), drainSeconds))
	return time.Duration(HashFraction(j.ID) * window * float64(time.Second))
}

// HashFraction maps an id to a number in [0, 1); the same id always gets the same number.
func HashFraction(id string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	// Similar ids differ mostly in the low bits of their hash, so both halves are combined.
	const buckets = 1 << 16
	return float64((h.Sum32()^h.Sum32()>>16)%buckets) / buckets
}

// retryAfter returns the delay before the next attempt: the expected wait plus the spread, rounded
// up to whole seconds, at least one second and at most maxRetryAfter.
func retryAfter(expectedWait, spread time.Duration) time.Duration {
	if expectedWait >= maxRetryAfter {
		return maxRetryAfter
	}
	seconds := math.Ceil((expectedWait + spread).Seconds())
	return time.Duration(max(1, seconds)) * time.Second
}
