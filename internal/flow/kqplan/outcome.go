package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqsize"
)

// Outcome tells whether a job met its objective.
type Outcome int

// Outcomes of a job that has an objective.
const (
	// OutcomeInTime is a job that completed within its objective, at its full value.
	// OutcomeLate is a job that completed later, at a reduced value.
	OutcomeInTime Outcome = iota
	OutcomeLate
	// OutcomeTooLate is a job that had not completed when its value had fallen to zero.
	OutcomeTooLate
	// OutcomeFailed is a job with a task that had no attempt left.
	OutcomeFailed
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"in_time", "late", "too_late", "failed"}[o]
}

// JobOutcome is the outcome of a job with its queue and size, for metrics.
type JobOutcome struct {
	// Queue is the queue of the job.
	Queue string
	// Band is the size band of the job among the jobs of its queue.
	Band kqsize.Band
	// Outcome tells whether the job met its objective.
	Outcome Outcome
}

// addToQueueStats adds a job to the statistics of its queue. The outcome of a restored job that
// is already without value was recorded by an earlier owner.
func (p *Planner) addToQueueStats(now time.Time, j *job, isNew bool) {
	if !j.spec.HasObjective() {
		return
	}
	work, stats := j.spec.Work(), p.statsOf(j.queue.Name)
	stats.classifier.AddJob(work)
	j.band = stats.classifier.Band(work)
	j.outcomeRecorded = !isNew && j.phase(now) == phaseNoValue
	if isNew {
		stats.demand.AddWork(now, j.spec.ReservedWork())
	}
}

// recordOutcome reports the outcome of a job to the callback, once per job.
func (p *Planner) recordOutcome(j *job, o Outcome) {
	if j.outcomeRecorded || !j.spec.HasObjective() {
		return
	}
	j.outcomeRecorded = true
	if p.config.RecordOutcome != nil {
		p.config.RecordOutcome(JobOutcome{Queue: j.queue.Name, Band: j.band, Outcome: o})
	}
}

// recordCompletion logs the completion of a job and records its outcome.
func (p *Planner) recordCompletion(now time.Time, j *job) {
	took := now.Sub(j.spec.SubmittedAt)
	p.config.Events.EmitFields(now, kqevent.FlowCompleted, kqevent.Job(j.spec.ID), []kqevent.Field{kqevent.Millis("took_ms", took), kqevent.Value("size", j.band.String())},
		"completed %s after submission, objective %s", took.Round(time.Millisecond), j.objective)
	switch j.phase(now) {
	case phaseInTime:
		p.recordOutcome(j, OutcomeInTime)
	case phaseLate:
		p.recordOutcome(j, OutcomeLate)
	case phaseNoValue:
		p.recordOutcome(j, OutcomeTooLate)
	}
}

// updatePhase returns the phase of a job that has not ended, and records the outcome of a job
// whose value has fallen to zero.
func (p *Planner) updatePhase(now time.Time, j *job) phase {
	x := j.phase(now)
	if x == phaseNoValue && !j.outcomeRecorded {
		p.config.Events.EmitFields(now, kqevent.FlowExpired, kqevent.Job(j.spec.ID), []kqevent.Field{kqevent.Queue(j.queue.Name), kqevent.Value("size", j.band.String())},
			"job has no value any more: %s after it was accepted, objective %s, tasks not done: %d of %d", now.Sub(j.spec.SubmittedAt).Round(time.Millisecond), j.objective, j.unfinishedTasks(), len(j.tasks))
		p.recordOutcome(j, OutcomeTooLate)
	}
	return x
}

// unfinishedTasks returns the number of tasks of a job that are not done.
func (j *job) unfinishedTasks() int {
	n := 0
	for _, t := range j.tasks {
		if !t.done {
			n++
		}
	}
	return n
}
