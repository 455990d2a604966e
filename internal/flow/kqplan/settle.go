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
type Settlement struct {
	// Queue names the class of work.
	Queue string
	// Band is the size of the job among those of its queue.
	Band kqsize.Band
	// Outcome is how well it was served.
	Outcome Outcome
}

// measure takes a job into what is known of its queue. One that an earlier owner
// saw too late was settled by that owner.
func (p *Planner) measure(now time.Time, j *job, isNew bool) {
	if !j.spec.HasObjective() {
		return
	}
	work, l := j.spec.Work(), p.loadOf(j.queue.Name)
	l.scale.Add(work)
	j.band = l.scale.Band(work)
	j.settled = !isNew && j.phase(now) == phaseWorthless
	if isNew {
		l.demand.Add(now, j.spec.ReservedWork())
	}
}

// settle tells once how well a job was served.
func (p *Planner) settle(j *job, o Outcome) {
	if j.settled || !j.spec.HasObjective() {
		return
	}
	j.settled = true
	if p.config.Settled != nil {
		p.config.Settled(Settlement{Queue: j.queue.Name, Band: j.band, Outcome: o})
	}
}

// completed settles a job whose last task has ended well.
func (p *Planner) completed(now time.Time, j *job) {
	took := now.Sub(j.spec.SubmittedAt)
	p.config.Events.EmitFields(now, kqevent.FlowCompleted, kqevent.Job(j.spec.ID), []kqevent.Field{kqevent.Millis("took_ms", took), kqevent.Value("size", j.band.String())},
		"after %s, objective %s", took.Round(time.Millisecond), j.objective)
	switch j.phase(now) {
	case phaseInTime:
		p.settle(j, OutcomeInTime)
	case phaseLate:
		p.settle(j, OutcomeLate)
	case phaseWorthless:
		p.settle(j, OutcomeTooLate)
	}
}

// phase returns the phase of a job that has not ended, and settles it when it has
// become worthless.
func (p *Planner) phase(now time.Time, j *job) phase {
	x := j.phase(now)
	if x == phaseWorthless && !j.settled {
		p.config.Events.EmitFields(now, kqevent.FlowTooLate, kqevent.Job(j.spec.ID), []kqevent.Field{kqevent.Queue(j.queue.Name), kqevent.Value("size", j.band.String())},
			"%s after it was accepted, objective %s, tasks not done: %d of %d", now.Sub(j.spec.SubmittedAt).Round(time.Millisecond), j.objective, j.open(), len(j.tasks))
		p.settle(j, OutcomeTooLate)
	}
	return x
}

// open returns how many tasks of a job have not ended well.
func (j *job) open() int {
	n := 0
	for _, t := range j.tasks {
		if !t.done {
			n++
		}
	}
	return n
}
