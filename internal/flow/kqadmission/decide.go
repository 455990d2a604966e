package kqadmission

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// Job is what a decision depends on of a job.
type Job struct {
	// ID is the caller's name for the job.
	ID string
	// First is the caller's first attempt.
	FirstAttemptAt time.Time
	// Chain is its longest chain of estimates.
	CriticalPath time.Duration
	// Objective is how long it may take; it is not above 0 if it has none.
	Objective time.Duration
	// Least is the least that any task takes which may start at once.
	MinResources kqmodel.Resources
	// Fills is true if a task that may start at once reserves no processors.
	Fills bool
	// Work and Reserved are its processor-seconds, and those that its tasks reserve.
	Work, ReservedWork float64
	// Zone is the availability zone of the entry.
	Zone string
}

// NewJob returns what a decision depends on of a job that has passed Check.
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

// Verdict is what becomes of a new job.
type Verdict string

// Verdicts.
const (
	// Accept means that nothing says that the job will be late.
	Accept Verdict = "accepted"
	// Defer means that the job is accepted though it will be late: the owner places it after those that can be in time.
	Defer Verdict = "deferred"
	// Reject means that the job is not accepted since it cannot be worth anything any more.
	Reject Verdict = "rejected"
)

// Received is the latest digest of an entry.
type ReceivedDigest struct {
	// Digest is nil if the entry has none of its present owner.
	Digest *Digest
	// At is when it came.
	ReceivedAt time.Time
}

// Decision is a verdict with its reasons.
type Decision struct {
	// Verdict is what becomes of the job.
	Verdict Verdict
	// Why is the reason of a verdict that does not rest on the wait.
	Why string
	// Wait is before when the job cannot start, Left for how long it is worth anything; both count from now.
	Wait, Left time.Duration
	// RoomIn is when room is expected, Spread what was added to it so that rejected jobs do not come together, and RetryAfter
	// both in whole seconds.
	RoomIn, Spread, RetryAfter time.Duration
	// Chain is the job's longest chain of estimates.
	Chain time.Duration
	// Returning is how many rejected jobs had not come back.
	Returning int
}

// String gives the reasons in a plain sentence.
func (d Decision) String() string {
	round := func(t time.Duration) time.Duration { return t.Round(time.Millisecond) }
	switch {
	case d.Why != "":
		return d.Why
	case d.Verdict == Reject:
		return fmt.Sprintf("it cannot start within %s, its chain of estimates takes %s, and it is worth nothing after %s; retry after %s: room is expected in %s, and %s spread it among %d rejected jobs that have not come back",
			round(d.Wait), round(d.Chain), round(d.Left), d.RetryAfter, round(d.RoomIn), round(d.Spread), d.Returning)
	}
	return fmt.Sprintf("it cannot start within %s, its chain of estimates takes %s, and it is worth nothing after %s", round(d.Wait), round(d.Chain), round(d.Left))
}

// Decide returns what becomes of a new job of a queue. It rejects only what certainly cannot be worth anything any more.
func Decide(now time.Time, j Job, q kqflow.Queue, r ReceivedDigest) Decision {
	class, level, why := look(now, j, q, r)
	if why != "" {
		return Decision{Verdict: Accept, Why: why}
	}
	late := j.FirstAttemptAt.Add(j.Objective)
	d := Decision{Verdict: Accept, Chain: j.CriticalPath, Left: j.FirstAttemptAt.Add(kqflow.ZeroValueFactor * j.Objective).Sub(now), Returning: r.Digest.Returning}
	x := request{size: j.MinResources.MilliProcessors, late: now.After(late), left: d.Left}
	d.Wait = level.leastWait(x)
	switch {
	case d.Wait <= 0:
		d.Why = "nothing certainly comes first"
		return d
	case d.Wait == never:
		// More than all that is known to come free: nothing is known of the wait.
		return Decision{Verdict: Accept, Why: "no processors are known to come free"}
	case d.Wait+j.CriticalPath <= d.Left:
		if now.Add(d.Wait + j.CriticalPath).After(late) {
			d.Verdict = Defer
		}
		return d
	case !class.isOver(Segment{Band: class.band(j.Work), Zone: j.Zone}):
		return Decision{Verdict: Defer, Why: "its class, size and zone ask for no more than their share"}
	}
	d.Verdict = Reject
	d.RoomIn = level.expectedWait(x)
	d.Spread = spread(j, level, d.Returning)
	d.RetryAfter = retryAfter(d.RoomIn, d.Spread)
	return d
}

// look finds what a digest says of a queue, or why the job is accepted without.
func look(now time.Time, j Job, q kqflow.Queue, r ReceivedDigest) (class *PerQueue, level *Level, why string) {
	d := r.Digest
	switch {
	case j.Objective <= 0:
		return nil, nil, "it has no objective"
	case j.Fills:
		return nil, nil, "its first tasks reserve no processors"
	case d == nil:
		return nil, nil, "no digest of the owner"
	case now.Sub(r.ReceivedAt) > MaxDigestAge || now.Before(r.ReceivedAt):
		return nil, nil, "the owner's digest is old"
	case d.RejectionsHeld:
		return nil, nil, "the owner holds rejections"
	}
	c, ok := d.Queues[q.Name]
	if !ok || c.Level < 0 || c.Level >= len(d.Levels) {
		return nil, nil, "the owner's digest does not know the queue"
	}
	l := &d.Levels[c.Level]
	switch {
	case l.Service != q.Service || l.Priority != q.Priority:
		return nil, nil, "the owner's digest is of another configuration"
	case l.MilliProcessors <= 0:
		return nil, nil, "no worker of the service is known"
	case j.MinResources.Fits(l.MaxWorkerFree):
		return nil, nil, "a worker has room"
	}
	return &c, l, ""
}

const (
	// leastSpread and mostSpread bound over how long rejected jobs are spread.
	leastSpread = time.Second
	mostSpread  = 10 * time.Second
	// mostRetryAfter bounds when a caller is told to come back.
	mostRetryAfter = time.Hour
)

// spread returns the place of a job among those that were rejected: they are spread over the time that the processors take
// for as many jobs of its size as have not come back.
func spread(j Job, l *Level, returning int) time.Duration {
	over := float64(returning+1) * j.ReservedWork * milli / float64(max(1, l.MilliProcessors))
	window := min(mostSpread.Seconds(), max(leastSpread.Seconds(), over))
	return time.Duration(Draw(j.ID) * window * float64(time.Second))
}

// Draw returns a number in [0, 1) that an id always gets.
func Draw(id string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	// The low bits of the hash of like ids differ most.
	const buckets = 1 << 16
	return float64((h.Sum32()^h.Sum32()>>16)%buckets) / buckets
}

// retryAfter returns whole seconds, and not before room is expected.
func retryAfter(room, spread time.Duration) time.Duration {
	if room >= mostRetryAfter {
		return mostRetryAfter
	}
	s := math.Ceil((room + spread).Seconds())
	return time.Duration(max(1, s)) * time.Second
}
