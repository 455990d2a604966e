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

// Cause is a reason why a job did not complete earlier.
type Cause int

// Causes of the time spent along the chain of tasks that determined when a job ended.
const (
	// CauseAccept is the time from submission until the owner added the job to its schedule.
	CauseAccept Cause = iota
	// CauseWait is the time in which a task was ready to start and had no run.
	CauseWait
	// CauseOwner is the part of successful runs that was not spent on a worker: the owner committed
	// and sent the order before it, and processed the end after it.
	CauseOwner
	// CauseSlow is the time that filling runs took beyond their estimate, because they were
	// throttled in favor of colocated serving tasks, the worker was slow, or the estimate was too
	// low.
	CauseSlow
	// CauseMoved is the time of runs that were stopped to continue on another worker.
	CauseMoved
	// CausePreempted is the time of runs that were preempted by more urgent ones.
	CausePreempted
	// CauseFailed is the time of runs that failed.
	CauseFailed
	// CauseLost is the time of runs that were lost because their worker failed or their lease
	// expired.
	CauseLost
	// CauseCount is the number of causes.
	CauseCount
)

// String returns the name of the cause in reports.
func (c Cause) String() string {
	return [...]string{"accept", "wait", "owner", "slow", "moved", "preempted", "failed", "lost"}[c]
}

// run is a run of a task, reconstructed from the log.
type run struct {
	startedAt, endedAt time.Time
	cause              Cause
	succeeded          bool
	// reportedRunTime is how long the run was on its worker, as reported by the agent; 0 if
	// unknown.
	reportedRunTime time.Duration
}

// runTime returns how long a run that has ended was on its worker: the time reported by the agent,
// or if there is none, the time between start and end as logged by the owner.
func (r *run) runTime() time.Duration {
	observed := r.endedAt.Sub(r.startedAt)
	if r.reportedRunTime > 0 {
		return min(r.reportedRunTime, observed)
	}
	return observed
}

// job is a job, reconstructed from the log.
type job struct {
	queue       string
	submittedAt time.Time
	plannedAt   time.Time
	objective   time.Duration
	steps       []kqplan.LoggedStep
	runsByTask  map[string]map[uint64]*run
	endedAt     time.Time
	endEvent    kqevent.Number
}

// Analyzer reads the logs of a cell and reports how much value its jobs earned and lost. The zero
// value is ready to use.
type Analyzer struct {
	jobs        map[string]*job
	notAccepted map[string]unacceptedJob
	// zones holds, by job id, the availability zone of the entry that first logged the job.
	zones           map[string]string
	pacing          kqpace.Stats
	lastLineAt      time.Time
	unreadableLines int
}

// unacceptedJob is a submitted job that was refused or rejected, or whose outcome was unknown.
type unacceptedJob struct {
	queue         string
	work          float64
	lastAttemptAt time.Time
}

// addLine processes a line of a log.
func (a *Analyzer) addLine(l logLine) {
	if l.Time.After(a.lastLineAt) {
		a.lastLineAt = l.Time
	}
	a.recordZone(l)
	switch l.Event {
	case kqevent.FlowPlanned:
		a.addJob(l)
	case kqevent.FlowRefused, kqevent.FlowRejected, kqevent.FlowUnresolved:
		if a.notAccepted == nil {
			a.notAccepted = map[string]unacceptedJob{}
		}
		if l.Work > 0 {
			a.notAccepted[l.ID] = unacceptedJob{queue: l.Queue, work: l.Work, lastAttemptAt: l.Time}
		}
	case kqevent.FlowPacing:
		a.pacing.Merge(l.Pace)
	case kqevent.FlowCompleted, kqevent.FlowFailed, kqevent.FlowCancelled:
		if j := a.jobs[l.ID]; j != nil && j.endEvent == 0 {
			j.endedAt, j.endEvent = l.Time, l.Event
		}
	case kqevent.FlowRunPlaced, kqevent.FlowRunEnded, kqevent.FlowRunLost, kqevent.FlowRunMoved, kqevent.FlowRunPreempted:
		a.addRunEvent(l)
	}
}

// recordZone records the zone of the first entry that logged the job.
func (a *Analyzer) recordZone(l logLine) {
	if l.Zone == "" || a.zones[l.ID] != "" {
		return
	}
	if a.zones == nil {
		a.zones = map[string]string{}
	}
	a.zones[l.ID] = l.Zone
}

// addJob records a job that the owner added to its schedule. Timed jobs, which have no objective,
// are skipped.
func (a *Analyzer) addJob(l logLine) {
	if a.jobs == nil {
		a.jobs = map[string]*job{}
	}
	if !l.hasValidSteps() {
		a.unreadableLines++
		return
	}
	if a.jobs[l.ID] != nil || l.Repeat > 0 {
		return
	}
	a.jobs[l.ID] = &job{queue: l.Queue, plannedAt: l.Time, submittedAt: l.Time.Add(-time.Duration(l.AgeMS) * time.Millisecond),
		objective: time.Duration(l.ObjectiveMS) * time.Millisecond, steps: l.Steps, runsByTask: map[string]map[uint64]*run{}}
}

// addRunEvent updates a run from an event about it.
func (a *Analyzer) addRunEvent(l logLine) {
	id, _, _ := strings.Cut(l.ID, ".")
	j := a.jobs[id]
	if j == nil {
		return
	}
	runs := j.runsByTask[l.ID]
	if runs == nil {
		runs = map[uint64]*run{}
		j.runsByTask[l.ID] = runs
	}
	r := runs[l.Run]
	if r == nil {
		r = &run{startedAt: l.Time, cause: CauseLost}
		runs[l.Run] = r
	}
	switch l.Event {
	case kqevent.FlowRunMoved:
		r.cause = CauseMoved
	case kqevent.FlowRunPreempted:
		r.cause = CausePreempted
	case kqevent.FlowRunLost:
		r.endedAt = l.Time
	case kqevent.FlowRunEnded:
		r.endedAt, r.succeeded = l.Time, l.EndReason == "done"
		r.reportedRunTime = time.Duration(l.RanMS) * time.Millisecond
		if l.EndReason == "failed" {
			r.cause = CauseFailed
		}
	}
}

// longRunning reports whether the tasks of the job run until it is cancelled.
func (j *job) longRunning() bool { return len(j.steps) > 0 && j.steps[0].LongRunning }

// work returns the estimated processor-seconds of the job.
func (j *job) work() float64 {
	sum := 0.0
	for _, s := range j.steps {
		sum += float64(s.Count) * s.Cores * float64(s.EstimateMS) / 1000
	}
	return sum
}

// adjustedObjective returns the objective, scaled up if the steps ran longer than estimated.
// Filling steps count with their estimate; the others count with their longest run, because their
// tasks get the processors that they request and so their run time is mostly their own work.
func (j *job) adjustedObjective() time.Duration {
	estimated, actual := time.Duration(0), time.Duration(0)
	for n, s := range j.steps {
		estimate := time.Duration(s.EstimateMS) * time.Millisecond
		longest := estimate
		if !s.Fills {
			longest = j.longestRun(n, estimate)
		}
		estimated += estimate
		actual += longest
	}
	if estimated <= 0 {
		return j.objective
	}
	return time.Duration(float64(j.objective) * max(1, float64(actual)/float64(estimated)))
}

// longestRun returns the run time of the longest successful run of a step, or fallback if there is
// none.
func (j *job) longestRun(step int, fallback time.Duration) time.Duration {
	out := time.Duration(0)
	for name, runs := range j.runsByTask {
		if stepOf(name) != step {
			continue
		}
		for _, r := range runs {
			if r.succeeded {
				out = max(out, r.runTime())
			}
		}
	}
	if out == 0 {
		return fallback
	}
	return out
}

// earnedShare returns the fraction of its value that a job has earned; it is 0 for a job that has
// not completed.
func (j *job) earnedShare() float64 {
	if j.endEvent != kqevent.FlowCompleted {
		return 0
	}
	return kqplan.EarnedShare(j.endedAt.Sub(j.submittedAt), j.adjustedObjective())
}

// sortedRuns returns the runs of a task in order of their start.
func sortedRuns(runs map[uint64]*run) []*run {
	out := slices.Collect(maps.Values(runs))
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(a.startedAt.UnixNano(), b.startedAt.UnixNano()) })
	return out
}
