package kqplan

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// phase orders jobs by the value that they can still earn: all of it, part of it or none.
type phase int

const (
	phaseInTime phase = iota
	phaseLate
	phaseNoValue
)

// zeroValueFactor is the number of objectives after its submission from which a job has no value.
const zeroValueFactor = kqflow.ZeroValueFactor

// phase returns the phase of a job; a job without an objective is always in time.
func (j *job) phase(now time.Time) phase {
	switch {
	case !j.spec.HasObjective() || !now.After(j.deadline):
		return phaseInTime
	case now.Sub(j.spec.SubmittedAt) <= zeroValueFactor*j.objective:
		return phaseLate
	}
	return phaseNoValue
}

// jobOrder holds the keys by which a scheduling pass orders jobs.
type jobOrder struct {
	job     *job
	phase   phase
	stage   stage
	urgency float64
	work    jobWork
}

// stage orders the jobs of a phase while finite tasks that do not fill wait for capacity.
type stage int

const (
	// stageLongRunning is for long-running jobs: they are packed before others use the capacity.
	stageLongRunning stage = iota
	// stageStarted is for jobs that have run: their work is lost if they have to wait for long.
	stageStarted
	stageNew
)

// stage returns the stage of a job; all jobs have the same one while no finite task waits.
func (p *Planner) stage(j *job) stage {
	switch {
	case !p.finiteTasksWait || j.spec.Steps[0].Fills:
		return stageNew
	case j.spec.Steps[0].LongRunning:
		return stageLongRunning
	case j.state == kqflow.StateRunning && j.spec.HasObjective():
		return stageStarted
	}
	return stageNew
}

// orderedJobs returns the jobs that have not ended in the order in which a pass places them: by
// priority, phase, stage, urgency, deadline and ID. Jobs with only filling tasks are left out unless
// includeFilling is true.
func (p *Planner) orderedJobs(now time.Time, includeFilling bool) []*job {
	var ranked []jobOrder
	totalWork, counts := map[string]float64{}, map[string]float64{}
	for _, j := range p.jobs.All() {
		if j.state.Final() || j.fillingOnly && !includeFilling {
			continue
		}
		work := j.work()
		ranked = append(ranked, jobOrder{job: j, phase: p.updatePhase(now, j), stage: p.stage(j), work: work})
		totalWork[j.queue.Name] += work.total
		counts[j.queue.Name]++
	}
	for i := range ranked {
		o := &ranked[i]
		o.urgency = o.job.urgency(now, o.work, totalWork[o.job.queue.Name]/counts[o.job.queue.Name])
	}
	slices.SortFunc(ranked, func(a, b jobOrder) int {
		return cmp.Or(cmp.Compare(a.job.queue.Priority, b.job.queue.Priority), cmp.Compare(a.phase, b.phase), cmp.Compare(a.stage, b.stage), cmp.Compare(b.urgency, a.urgency),
			a.job.deadline.Compare(b.job.deadline), strings.Compare(a.job.spec.ID, b.job.spec.ID))
	})
	out := make([]*job, len(ranked))
	for i, o := range ranked {
		out[i] = o.job
	}
	return out
}

const (
	// fixedValue is the part of a mean job's value that does not depend on its work. maxValue is the
	// upper limit of a job's value, relative to that of a mean job.
	fixedValue = 0.3
	maxValue   = 4
	// lateValue is the share of its value that a late job earns.
	lateValue = 0.15
	// slackScale is the slack, in objectives, over which the urgency falls by a factor of e.
	slackScale = 0.5
	// minWork is the lower limit of the remaining and mean work in divisions, in core-seconds.
	minWork = 0.1
)

// JobValue returns the value of a job relative to that of a job of mean work; both amounts of work
// are in core-seconds.
func JobValue(work, meanWork float64) float64 {
	return min(maxValue, fixedValue+(1-fixedValue)*work/max(minWork, meanWork))
}

// EarnedShare returns the share of its value, from 0 to 1, that a job earns by completing after the
// time took.
func EarnedShare(took, objective time.Duration) float64 {
	switch {
	case took <= objective:
		return 1
	case took <= zeroValueFactor*objective:
		return lateValue
	}
	return 0
}

// urgency returns the apparent tardiness cost of a job: about the value that one second of waiting
// costs per core-second of remaining work. It is 0 for repeated jobs and jobs without an objective.
// Long-running jobs are ordered by task size instead: placing large tasks first packs best.
func (j *job) urgency(now time.Time, work jobWork, meanWork float64) float64 {
	if j.spec.Steps[0].LongRunning {
		return float64(j.spec.Steps[0].Resources.MilliProcessors)
	}
	if j.spec.Repeat > 0 || j.objective <= 0 {
		return 0
	}
	value := JobValue(work.total, meanWork)
	slack := max(0, j.deadline.Sub(now)-work.criticalPath)
	objective := j.objective.Seconds()
	return value / objective / max(minWork, work.remaining) * math.Exp(-slack.Seconds()/(slackScale*objective))
}

// jobWork is the work of a job.
type jobWork struct {
	// total and remaining are the core-seconds of all tasks, and of those that are not done.
	total     float64
	remaining float64
	// criticalPath is the duration of the longest chain of steps that are not done.
	criticalPath time.Duration
}

// work returns the work of a job, by the estimates and the progress of its runs.
func (j *job) work() jobWork {
	var w jobWork
	stepRemaining := make([]time.Duration, len(j.spec.Steps))
	for _, t := range j.tasks {
		cores := float64(t.step.Resources.MilliProcessors) / milliPerProcessor
		w.total += cores * t.step.Estimate.Seconds()
		if t.done {
			continue
		}
		r := t.remainingTime()
		w.remaining += cores * r.Seconds()
		stepRemaining[t.id.Step] = max(stepRemaining[t.id.Step], r)
	}
	for n, delay := range j.graph.startDelays(stepRemaining) {
		w.criticalPath = max(w.criticalPath, delay+stepRemaining[n])
	}
	return w
}

// remainingTime returns the estimated remaining run time of a task; with several runs, that of the
// one closest to its end.
func (t *task) remainingTime() time.Duration {
	shortest := t.step.Estimate
	for _, r := range t.runs {
		if !r.stopping {
			shortest = min(shortest, time.Duration(float64(t.step.Estimate)*max(0, fullPercent-r.percent)/fullPercent))
		}
	}
	return shortest
}
