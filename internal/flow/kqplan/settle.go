package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
)

// Outcome is how well a job was served.
type Outcome int

// Outcomes of a job that ends.
const (
	// OutcomeInTime and OutcomeLate are jobs that completed while they were worth
	// all or part of their worth.
	OutcomeInTime Outcome = iota
	OutcomeLate
	// OutcomeTooLate is a job that had not ended when it was worth nothing any more.
	OutcomeTooLate
	// OutcomeFailed is a job of which a task had no attempt left.
	OutcomeFailed
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"in_time", "late", "too_late", "failed"}[o]
}

// Settlement says how well a job was served.
type JobOutcome struct {
	// Queue names the class of work.
	Queue string
	// Band is the size of the job among those of its queue.
	Band kqsize.Band
	// Outcome is how well it was served.
	Outcome Outcome
}

// measure takes a job into what is known of its queue. One that an earlier owner
// saw too late was settled by that owner.
func (p *Planner) addToQueueStats(now time.Time, j *job, isNew bool) {
	if !j.spec.HasObjective() {
		return
	}
	work, l := j.spec.Work(), p.statsOf(j.queue.Name)
	l.scale.AddJob(work)
	j.band = l.scale.Band(work)
	j.outcomeRecorded = !isNew && j.phase(now) == phaseNoValue
	if isNew {
		l.demand.AddWork(now, j.spec.ReservedWork())
	}
}

// settle tells once how well a job was served.
func (p *Planner) recordOutcome(j *job, o Outcome) {
	if j.outcomeRecorded || !j.spec.HasObjective() {
		return
	}
	j.outcomeRecorded = true
	if p.config.RecordOutcome != nil {
		p.config.RecordOutcome(JobOutcome{Queue: j.queue.Name, Band: j.band, Outcome: o})
	}
}

// completed settles a job whose last task has ended well.
func (p *Planner) recordCompletion(now time.Time, j *job) {
	took := now.Sub(j.spec.SubmittedAt)
	p.config.Events.EmitFields(now, kqevent.FlowCompleted, kqevent.Job(j.spec.ID), []kqevent.Field{kqevent.Millis("took_ms", took), kqevent.Value("size", j.band.String())},
		"after %s, objective %s", took.Round(time.Millisecond), j.objective)
	switch j.phase(now) {
	case phaseInTime:
		p.recordOutcome(j, OutcomeInTime)
	case phaseLate:
		p.recordOutcome(j, OutcomeLate)
	case phaseNoValue:
		p.recordOutcome(j, OutcomeTooLate)
	}
}

// phase returns the phase of a job that has not ended, and settles it when it has
// become worthless.
func (p *Planner) updatePhase(now time.Time, j *job) phase {
	x := j.phase(now)
	if x == phaseNoValue && !j.outcomeRecorded {
		p.config.Events.EmitFields(now, kqevent.FlowTooLate, kqevent.Job(j.spec.ID), []kqevent.Field{kqevent.Queue(j.queue.Name), kqevent.Value("size", j.band.String())},
			"%s after it was accepted, objective %s, tasks not done: %d of %d", now.Sub(j.spec.SubmittedAt).Round(time.Millisecond), j.objective, j.unfinishedTasks(), len(j.tasks))
		p.recordOutcome(j, OutcomeTooLate)
	}
	return x
}

// open returns how many tasks of a job have not ended well.
func (j *job) unfinishedTasks() int {
	n := 0
	for _, t := range j.tasks {
		if !t.done {
			n++
		}
	}
	return n
}
