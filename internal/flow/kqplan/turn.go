package kqplan

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// phase orders jobs by what meeting their objective still earns.
type phase int

const (
	phaseInTime phase = iota
	phaseLate
	phaseNoValue
)

// lateFactor is how many objectives after its submission a job is worth nothing.
const zeroValueFactor = kqflow.ZeroValueFactor

func (j *job) phase(now time.Time) phase {
	switch {
	case !j.spec.HasObjective() || !now.After(j.deadline):
		return phaseInTime
	case now.Sub(j.spec.SubmittedAt) <= zeroValueFactor*j.objective:
		return phaseLate
	}
	return phaseNoValue
}

// turn is what the order of two jobs depends on.
type jobOrder struct {
	job     *job
	phase   phase
	stage   stage
	urgency float64
	work    jobWork
}

// stage orders jobs of a phase while tasks that end and reserve what they take
// find no room.
type stage int

const (
	// stageStanding is jobs that stay: packed before others take the room.
	stageLongRunning stage = iota
	// stageBegun is jobs whose work so far is lost if they have to wait for long.
	stageStarted
	stageNew
)

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

// queued lists the jobs that have tasks to start, in order of their turn; jobs that
// only fill are left out unless asked for.
func (p *Planner) orderedJobs(now time.Time, filling bool) []*job {
	var turns []jobOrder
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, j := range p.jobs.All() {
		if j.state.Final() || j.fillingOnly && !filling {
			continue
		}
		l := j.work()
		turns = append(turns, jobOrder{job: j, phase: p.updatePhase(now, j), stage: p.stage(j), work: l})
		sums[j.queue.Name] += l.total
		counts[j.queue.Name]++
	}
	for i := range turns {
		t := &turns[i]
		t.urgency = t.job.urgency(now, t.work, sums[t.job.queue.Name]/counts[t.job.queue.Name])
	}
	slices.SortFunc(turns, func(a, b jobOrder) int {
		return cmp.Or(cmp.Compare(a.job.queue.Priority, b.job.queue.Priority), cmp.Compare(a.phase, b.phase), cmp.Compare(a.stage, b.stage), cmp.Compare(b.urgency, a.urgency),
			a.job.deadline.Compare(b.job.deadline), strings.Compare(a.job.spec.ID, b.job.spec.ID))
	})
	out := make([]*job, len(turns))
	for i, t := range turns {
		out[i] = t.job
	}
	return out
}

const (
	// fixedWorth is the share of a mean job's worth that does not depend on its
	// work, mostWorth the most that a job counts for against the mean.
	fixedValue = 0.3
	maxValue   = 4
	// lateWorth is the part of its worth that a late job earns.
	lateValue = 0.15
	// slackScale is the slack, in objectives, over which the urgency falls by e.
	slackScale = 0.5
	// leastWork bounds from below what is left of a job, in core-seconds.
	minWork = 0.1
)

// Worth returns what a job of some work is worth against one of mean work, both
// in core-seconds.
func JobValue(work, mean float64) float64 {
	return min(maxValue, fixedValue+(1-fixedValue)*work/max(minWork, mean))
}

// Earned returns the part of its worth that a job has earned by ending after
// some time.
func EarnedShare(took, objective time.Duration) float64 {
	switch {
	case took <= objective:
		return 1
	case took <= zeroValueFactor*objective:
		return lateValue
	}
	return 0
}

// urgency returns about what a second of waiting costs for each core-second of
// work that is left: the apparent tardiness cost of scheduling theory. Timed jobs
// have none. Jobs that stay go by size: large tasks first pack best.
func (j *job) urgency(now time.Time, l jobWork, mean float64) float64 {
	if j.spec.Steps[0].LongRunning {
		return float64(j.spec.Steps[0].Resources.MilliProcessors)
	}
	if j.spec.Repeat > 0 || j.objective <= 0 {
		return 0
	}
	worth := JobValue(l.total, mean)
	slack := max(0, j.deadline.Sub(now)-l.criticalPath)
	objective := j.objective.Seconds()
	return worth / objective / max(minWork, l.remaining) * math.Exp(-slack.Seconds()/(slackScale*objective))
}

// load is the work of a job.
type jobWork struct {
	// whole and left are all core-seconds and those that are not done.
	total     float64
	remaining float64
	// chain is the longest chain of what is not done.
	criticalPath time.Duration
}

func (j *job) work() jobWork {
	var l jobWork
	rest := make([]time.Duration, len(j.spec.Steps))
	for _, t := range j.tasks {
		cores := float64(t.step.Resources.MilliProcessors) / milliPerProcessor
		l.total += cores * t.step.Estimate.Seconds()
		if t.done {
			continue
		}
		r := t.remainingTime()
		l.remaining += cores * r.Seconds()
		rest[t.id.Step] = max(rest[t.id.Step], r)
	}
	ends := make([]time.Duration, len(rest))
	for n, s := range j.spec.Steps {
		for _, a := range s.After {
			ends[n] = max(ends[n], ends[a])
		}
		ends[n] += rest[n]
		l.criticalPath = max(l.criticalPath, ends[n])
	}
	return l
}

// rest returns how long a task still has to work, by its estimate.
func (t *task) remainingTime() time.Duration {
	least := t.step.Estimate
	for _, r := range t.runs {
		if !r.stopping {
			least = min(least, time.Duration(float64(t.step.Estimate)*max(0, fullPercent-r.percent)/fullPercent))
		}
	}
	return least
}
