package kqloss

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// timeByCause is the time along the critical path of a job, by cause. Unlike
// kqflow.Job.CriticalPath, which follows the estimates, the critical path in this package is the
// chain of tasks that determined when the job ended.
type timeByCause [CauseCount]time.Duration

// criticalPathTime attributes the time that a job took to causes. It starts from the task that
// ended last and goes back over the tasks on which each one depended. A job that has not ended is
// followed up to the end of the log.
func (a *Analyzer) criticalPathTime(j *job) timeByCause {
	var out timeByCause
	at := a.lastLineAt
	if !j.endedAt.IsZero() {
		at = j.endedAt
	}
	step := j.lastStep(at)
	for step >= 0 {
		predecessor, ready := j.predecessor(step, at)
		if predecessor < 0 {
			out[CauseAccept] = j.plannedAt.Sub(j.submittedAt)
			ready = maxTime(ready, j.plannedAt)
		}
		name := j.lastTask(step, at)
		j.addTaskTime(&out, j.runsByTask[name], ready, at, j.steps[step])
		if predecessor < 0 {
			break
		}
		step, at = predecessor, ready
	}
	return out
}

// taskEnd returns when a run of a task succeeded, or fallback if none has.
func taskEnd(runs map[uint64]*run, fallback time.Time) time.Time {
	for _, r := range runs {
		if r.succeeded {
			return r.endedAt
		}
	}
	return fallback
}

// stepEnd returns when the last task of a step succeeded, and whether any of its tasks has a run.
// The end is fallback if not all tasks have a run.
func (j *job) stepEnd(step int, fallback time.Time) (end time.Time, started bool) {
	n := 0
	for name, runs := range j.runsByTask {
		if stepOf(name) != step {
			continue
		}
		n++
		if e := taskEnd(runs, fallback); e.After(end) {
			end = e
		}
	}
	if n < j.steps[step].Count {
		end = fallback
	}
	return end, n > 0
}

// lastStep returns the step that ended last, or that the job had reached at the given time.
func (j *job) lastStep(at time.Time) int {
	last, end := 0, time.Time{}
	for n := range j.steps {
		if e, started := j.stepEnd(n, at); started && !e.Before(end) {
			last, end = n, e
		}
	}
	return last
}

// predecessor returns the dependency of a step that ended last, or -1 if the step was ready when the
// job was submitted, and the time at which the step was ready to start.
func (j *job) predecessor(step int, at time.Time) (predecessor int, ready time.Time) {
	predecessor, ready = -1, j.submittedAt
	for _, n := range j.steps[step].After {
		if e, _ := j.stepEnd(n, at); e.After(ready) {
			predecessor, ready = n, e
		}
	}
	return predecessor, ready
}

// lastTask returns the id of the task of a step that ended last, or an empty string if a task of
// the step has no run yet.
func (j *job) lastTask(step int, at time.Time) string {
	name, end := "", time.Time{}
	n := 0
	for task, runs := range j.runsByTask {
		if stepOf(task) != step {
			continue
		}
		n++
		if e := taskEnd(runs, at); e.After(end) || e.Equal(end) && task < name {
			name, end = task, e
		}
	}
	if n < j.steps[step].Count {
		return ""
	}
	return name
}

// addTaskTime adds the time between the moment a task was ready to start and its end to out, by
// cause.
func (j *job) addTaskTime(out *timeByCause, runs map[uint64]*run, ready, end time.Time, step kqplan.LoggedStep) {
	cursor := ready
	for _, r := range sortedRuns(runs) {
		out[CauseWait] += max(0, r.startedAt.Sub(cursor))
		start, stop := maxTime(r.startedAt, cursor), r.endedAt
		if stop.IsZero() || stop.After(end) {
			stop = end
		}
		duration := max(0, stop.Sub(start))
		if r.succeeded || r.endedAt.IsZero() {
			if r.succeeded {
				ownerTime := min(duration, r.endedAt.Sub(r.startedAt)-r.runTime())
				out[CauseOwner] += ownerTime
				duration -= ownerTime
			}
			if step.Fills {
				out[CauseSlow] += max(0, duration-time.Duration(step.EstimateMS)*time.Millisecond)
			}
		} else {
			out[r.cause] += duration
		}
		cursor = maxTime(cursor, stop)
	}
	out[CauseWait] += max(0, end.Sub(cursor))
}

// maxTime returns the later of two times.
func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
