package kqloss

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// spent is the time along a chain by cause.
type spent [CauseCount]time.Duration

// chain attributes what kept a job: it goes back from the task that ended last
// over the tasks that each waited for. A job that has not ended is followed up
// to the end of the log.
func (a *Analyzer) chain(j *job) spent {
	var out spent
	at := a.last
	if !j.ended.IsZero() {
		at = j.ended
	}
	step := j.lastStep(at)
	for step >= 0 {
		before, ready := j.before(step, at)
		if before < 0 {
			out[CauseAccept] = j.taken.Sub(j.submitted)
			ready = later(ready, j.taken)
		}
		name := j.latest(step, at)
		j.follow(&out, j.tasks[name], ready, at, j.steps[step])
		if before < 0 {
			break
		}
		step, at = before, ready
	}
	return out
}

// endOf returns when a task has ended well, or the given time if it has not.
func endOf(runs map[uint64]*run, otherwise time.Time) time.Time {
	for _, r := range runs {
		if r.done {
			return r.to
		}
	}
	return otherwise
}

// stepEnd returns when the last task of a step that has runs has ended, and
// whether all of its tasks have begun.
func (j *job) stepEnd(step int, otherwise time.Time) (end time.Time, begun bool) {
	n := 0
	for name, runs := range j.tasks {
		if stepOf(name) != step {
			continue
		}
		n++
		if e := endOf(runs, otherwise); e.After(end) {
			end = e
		}
	}
	if n < j.steps[step].Count {
		end = otherwise
	}
	return end, n > 0
}

// lastStep returns the step that ended last, or the one that the job got to.
func (j *job) lastStep(at time.Time) int {
	last, end := 0, time.Time{}
	for n := range j.steps {
		if e, begun := j.stepEnd(n, at); begun && !e.Before(end) {
			last, end = n, e
		}
	}
	return last
}

// before returns the step for which a step waited and when its turn came.
func (j *job) before(step int, at time.Time) (before int, ready time.Time) {
	before, ready = -1, j.submitted
	for _, n := range j.steps[step].After {
		if e, _ := j.stepEnd(n, at); e.After(ready) {
			before, ready = n, e
		}
	}
	return before, ready
}

// latest returns the task of a step that ended last; one that has no run yet
// counts as later than all.
func (j *job) latest(step int, at time.Time) string {
	name, end := "", time.Time{}
	n := 0
	for task, runs := range j.tasks {
		if stepOf(task) != step {
			continue
		}
		n++
		if e := endOf(runs, at); e.After(end) || e.Equal(end) && task < name {
			name, end = task, e
		}
	}
	if n < j.steps[step].Count {
		return ""
	}
	return name
}

// follow adds up what became of the time between a task's turn and its end.
func (j *job) follow(out *spent, runs map[uint64]*run, ready, end time.Time, step kqplan.LoggedStep) {
	cursor := ready
	for _, r := range sorted(runs) {
		out[CauseWait] += max(0, r.from.Sub(cursor))
		from, to := later(r.from, cursor), r.to
		if to.IsZero() || to.After(end) {
			to = end
		}
		took := max(0, to.Sub(from))
		if r.done || r.to.IsZero() {
			if r.done {
				outside := min(took, r.to.Sub(r.from)-r.worked())
				out[CauseOwner] += outside
				took -= outside
			}
			if step.Fills {
				out[CauseSlow] += max(0, took-time.Duration(step.EstimateMS)*time.Millisecond)
			}
		} else {
			out[r.cause] += took
		}
		cursor = later(cursor, to)
	}
	out[CauseWait] += max(0, end.Sub(cursor))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
