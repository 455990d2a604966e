package kqloss

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqpace"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// Cause is what kept a job from ending sooner.
type Cause int

// Causes, along the chain of tasks that decided when a job ended.
const (
	// CauseAccept is the time until the owner took the job into its plan.
	CauseAccept Cause = iota
	// CauseWait is the time in which a task's turn had come and it had no run.
	CauseWait
	// CauseOwner is the time of runs that ended well in which they were not on their
	// worker: the owner's commit and order before, its taking note after.
	CauseOwner
	// CauseSlow is the time that a filling run took beyond its estimate: held back
	// beside serving tasks, a slow worker, or an estimate that was too low.
	CauseSlow
	// CauseMoved is the time of runs that were stopped to go on elsewhere.
	CauseMoved
	// CausePreempted is the time of runs that made room for more urgent ones.
	CausePreempted
	// CauseFailed is the time of runs that failed.
	CauseFailed
	// CauseLost is the time of runs that were lost with their worker or lease.
	CauseLost
	// CauseCount is how many causes there are.
	CauseCount
)

// String returns the name of the cause in tables.
func (c Cause) String() string {
	return [...]string{"accept", "wait", "owner", "slow", "moved", "preempted", "failed", "lost"}[c]
}

// run is a run of a task as the log tells it.
type run struct {
	from, to time.Time
	cause    Cause
	done     bool
	// ran is how long it was on its worker, by the agent; 0 if not known.
	ran time.Duration
}

// worked returns how long a run that has ended was at work: what the agent saw, or
// else what the owner did.
func (r *run) worked() time.Duration {
	seen := r.to.Sub(r.from)
	if r.ran > 0 {
		return min(r.ran, seen)
	}
	return seen
}

// job is a job as the log tells it.
type job struct {
	queue     string
	submitted time.Time
	taken     time.Time
	objective time.Duration
	steps     []kqplan.LoggedStep
	tasks     map[string]map[uint64]*run
	ended     time.Time
	event     kqevent.Number
}

// Account gathers what the logs of a cell tell. The zero value is empty.
type Analyzer struct {
	jobs map[string]*job
	away map[string]turnedAway
	// zones is the availability zone of the entry that first logged a job.
	zones  map[string]string
	pace   kqpace.Stats
	last   time.Time
	unread int
}

// turnedAway is a job that was not accepted with certainty when it was handed in.
type turnedAway struct {
	queue string
	work  float64
	at    time.Time
}

// take takes over a line.
func (a *Analyzer) take(l line) {
	if l.Time.After(a.last) {
		a.last = l.Time
	}
	a.noteZone(l)
	switch l.Event {
	case kqevent.FlowTaken:
		a.taken(l)
	case kqevent.FlowRefused, kqevent.FlowRejected, kqevent.FlowUnresolved:
		if a.away == nil {
			a.away = map[string]turnedAway{}
		}
		if l.Work > 0 {
			a.away[l.ID] = turnedAway{queue: l.Queue, work: l.Work, at: l.Time}
		}
	case kqevent.FlowPaced:
		a.pace.Merge(l.Pace)
	case kqevent.FlowCompleted, kqevent.FlowFailed, kqevent.FlowCancelled:
		if j := a.jobs[l.ID]; j != nil && j.event == 0 {
			j.ended, j.event = l.Time, l.Event
		}
	case kqevent.FlowRunPlaced, kqevent.FlowRunEnded, kqevent.FlowRunLost, kqevent.FlowRunMoved, kqevent.FlowRunPreempted:
		a.ran(l)
	}
}

// noteZone keeps where a job was first handed in.
func (a *Analyzer) noteZone(l line) {
	if l.Zone == "" || a.zones[l.ID] != "" {
		return
	}
	if a.zones == nil {
		a.zones = map[string]string{}
	}
	a.zones[l.ID] = l.Zone
}

func (a *Analyzer) taken(l line) {
	if a.jobs == nil {
		a.jobs = map[string]*job{}
	}
	if !l.hasSteps() {
		a.unread++
		return
	}
	if a.jobs[l.ID] != nil || l.Repeat > 0 {
		return
	}
	a.jobs[l.ID] = &job{queue: l.Queue, taken: l.Time, submitted: l.Time.Add(-time.Duration(l.AgeMS) * time.Millisecond),
		objective: time.Duration(l.ObjectiveMS) * time.Millisecond, steps: l.Steps, tasks: map[string]map[uint64]*run{}}
}

// ran takes over what happened to a run.
func (a *Analyzer) ran(l line) {
	id, _, _ := strings.Cut(l.ID, ".")
	j := a.jobs[id]
	if j == nil {
		return
	}
	runs := j.tasks[l.ID]
	if runs == nil {
		runs = map[uint64]*run{}
		j.tasks[l.ID] = runs
	}
	r := runs[l.Run]
	if r == nil {
		r = &run{from: l.Time, cause: CauseLost}
		runs[l.Run] = r
	}
	switch l.Event {
	case kqevent.FlowRunMoved:
		r.cause = CauseMoved
	case kqevent.FlowRunPreempted:
		r.cause = CausePreempted
	case kqevent.FlowRunLost:
		r.to = l.Time
	case kqevent.FlowRunEnded:
		r.to, r.done = l.Time, l.How == "done"
		r.ran = time.Duration(l.RanMS) * time.Millisecond
		if l.How == "failed" {
			r.cause = CauseFailed
		}
	}
}

// standing reports whether the job's tasks run until it is cancelled.
func (j *job) standing() bool { return len(j.steps) > 0 && j.steps[0].LongRunning }

// work returns the core-seconds of the job, by its estimates.
func (j *job) work() float64 {
	sum := 0.0
	for _, s := range j.steps {
		sum += float64(s.Count) * s.Cores * float64(s.EstimateMS) / 1000
	}
	return sum
}

// trueObjective returns the objective with the estimates of tasks that do not
// fill replaced by what they took: these get the processors that they ask for,
// so what they take is mostly their own work.
func (j *job) trueObjective() time.Duration {
	estimated, took := time.Duration(0), time.Duration(0)
	for n, s := range j.steps {
		estimate := time.Duration(s.EstimateMS) * time.Millisecond
		longest := estimate
		if !s.Fills {
			longest = j.longest(n, estimate)
		}
		estimated += estimate
		took += longest
	}
	if estimated <= 0 {
		return j.objective
	}
	return time.Duration(float64(j.objective) * max(1, float64(took)/float64(estimated)))
}

// longest returns the time of the longest run of a step that ended well.
func (j *job) longest(step int, otherwise time.Duration) time.Duration {
	out := time.Duration(0)
	for name, runs := range j.tasks {
		if stepOf(name) != step {
			continue
		}
		for _, r := range runs {
			if r.done {
				out = max(out, r.worked())
			}
		}
	}
	if out == 0 {
		return otherwise
	}
	return out
}

// value returns what part of its worth a job has earned; one that has not ended
// has earned nothing.
func (j *job) value() float64 {
	if j.event != kqevent.FlowCompleted {
		return 0
	}
	return kqplan.EarnedShare(j.ended.Sub(j.submitted), j.trueObjective())
}

// sorted returns the runs of a task in order.
func sorted(runs map[uint64]*run) []*run {
	out := slices.Collect(maps.Values(runs))
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(a.from.UnixNano(), b.from.UnixNano()) })
	return out
}
