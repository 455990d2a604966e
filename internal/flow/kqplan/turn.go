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
	phaseWorthless
)

// lateFactor is how many objectives after its submission a job is worth nothing.
const lateFactor = kqflow.LateFactor

func (j *job) phase(now time.Time) phase {
	switch {
	case !j.spec.HasObjective() || !now.After(j.deadline):
		return phaseInTime
	case now.Sub(j.spec.SubmittedAt) <= lateFactor*j.objective:
		return phaseLate
	}
	return phaseWorthless
}

// turn is what the order of two jobs depends on.
type turn struct {
	job     *job
	phase   phase
	stage   stage
	urgency float64
	load    load
}

// stage orders jobs of a phase while tasks that end and reserve what they take
// find no room.
type stage int

const (
	// stageStanding is jobs that stay: packed before others take the room.
	stageStanding stage = iota
	// stageBegun is jobs whose work so far is lost if they have to wait for long.
	stageBegun
	stageNew
)

func (p *Planner) stage(j *job) stage {
	switch {
	case !p.short || j.spec.Steps[0].Fills:
		return stageNew
	case j.spec.Steps[0].Standing:
		return stageStanding
	case j.state == kqflow.StateRunning && j.spec.HasObjective():
		return stageBegun
	}
	return stageNew
}

// queued lists the jobs that have tasks to start, in order of their turn; jobs that
// only fill are left out unless asked for.
func (p *Planner) queued(now time.Time, filling bool) []*job {
	var turns []turn
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, j := range p.jobs.All() {
		if j.state.Final() || j.fills && !filling {
			continue
		}
		l := j.load()
		turns = append(turns, turn{job: j, phase: p.phase(now, j), stage: p.stage(j), load: l})
		sums[j.queue.Name] += l.whole
		counts[j.queue.Name]++
	}
	for i := range turns {
		t := &turns[i]
		t.urgency = t.job.urgency(now, t.load, sums[t.job.queue.Name]/counts[t.job.queue.Name])
	}
	slices.SortFunc(turns, func(a, b turn) int {
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
	fixedWorth = 0.3
	mostWorth  = 4
	// lateWorth is the part of its worth that a late job earns.
	lateWorth = 0.15
	// slackScale is the slack, in objectives, over which the urgency falls by e.
	slackScale = 0.5
	// leastWork bounds from below what is left of a job, in core-seconds.
	leastWork = 0.1
)

// Worth returns what a job of some work is worth against one of mean work, both
// in core-seconds.
func Worth(work, mean float64) float64 {
	return min(mostWorth, fixedWorth+(1-fixedWorth)*work/max(leastWork, mean))
}

// Earned returns the part of its worth that a job has earned by ending after
// some time.
func Earned(took, objective time.Duration) float64 {
	switch {
	case took <= objective:
		return 1
	case took <= lateFactor*objective:
		return lateWorth
	}
	return 0
}

// urgency returns about what a second of waiting costs for each core-second of
// work that is left: the apparent tardiness cost of scheduling theory. Timed jobs
// have none. Jobs that stay go by size: large tasks first pack best.
func (j *job) urgency(now time.Time, l load, mean float64) float64 {
	if j.spec.Steps[0].Standing {
		return float64(j.spec.Steps[0].Size.MilliProcessors)
	}
	if j.spec.Repeat > 0 || j.objective <= 0 {
		return 0
	}
	worth := Worth(l.whole, mean)
	slack := max(0, j.deadline.Sub(now)-l.chain)
	objective := j.objective.Seconds()
	return worth / objective / max(leastWork, l.left) * math.Exp(-slack.Seconds()/(slackScale*objective))
}

// load is the work of a job.
type load struct {
	// whole and left are all core-seconds and those that are not done.
	whole float64
	left  float64
	// chain is the longest chain of what is not done.
	chain time.Duration
}

func (j *job) load() load {
	var l load
	rest := make([]time.Duration, len(j.spec.Steps))
	for _, t := range j.tasks {
		cores := float64(t.step.Size.MilliProcessors) / milli
		l.whole += cores * t.step.Estimate.Seconds()
		if t.done {
			continue
		}
		r := t.rest()
		l.left += cores * r.Seconds()
		rest[t.id.Step] = max(rest[t.id.Step], r)
	}
	ends := make([]time.Duration, len(rest))
	for n, s := range j.spec.Steps {
		for _, a := range s.After {
			ends[n] = max(ends[n], ends[a])
		}
		ends[n] += rest[n]
		l.chain = max(l.chain, ends[n])
	}
	return l
}

// rest returns how long a task still has to work, by its estimate.
func (t *task) rest() time.Duration {
	least := t.step.Estimate
	for _, r := range t.runs {
		if !r.stopping {
			least = min(least, time.Duration(float64(t.step.Estimate)*max(0, fullPercent-r.percent)/fullPercent))
		}
	}
	return least
}
