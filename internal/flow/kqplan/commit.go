package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// Write is a record of a job to be stored, or a row to be deleted.
type Write struct {
	// Job is the ID of the job.
	Job string
	// Record is the record to store.
	Record kqflow.JobRecord
	// Version is the version that the record in the store must have for the write to succeed.
	Version uint64
}

// maxTasksPerTransaction is the number of tasks from which on no more records are added to a batch, since
// a transaction holds about as many. The owner returns those that it does not hold.
const maxTasksPerTransaction = 6000

// TakeWrites returns up to limit records to store in one transaction and marks them as in
// flight. A job whose previous write is in flight is skipped.
func (p *Planner) TakeWrites(limit int) []Write {
	var out []Write
	tasks := 0
	for id, j := range p.dirty.All() {
		if len(out) >= limit || tasks >= maxTasksPerTransaction {
			break
		}
		if j.writeInFlight {
			continue
		}
		p.dirty.Delete(id)
		j.writeInFlight = true
		tasks += len(j.tasks)
		out = append(out, Write{Job: id, Record: j.record(p.config.Epoch), Version: j.version})
	}
	return out
}

// WritesRefused schedules writes again that were not applied and certainly will not be.
func (p *Planner) WritesRefused(ws []Write) {
	for _, w := range ws {
		if j := p.jobs.Get(w.Job); j != nil {
			j.writeInFlight = false
			p.dirty.Put(w.Job, j)
		}
	}
}

// WritesCommitted records that writes were applied at a version, and releases the effects that
// depend on them.
func (p *Planner) WritesCommitted(now time.Time, ws []Write, version uint64) {
	for _, w := range ws {
		j := p.jobs.Get(w.Job)
		if j == nil {
			continue
		}
		j.writeInFlight = false
		j.storedRevision, j.version = w.Record.Revision, version
		if j.committedState != w.Record.State {
			j.committedState = w.Record.State
			p.effects = append(p.effects, Effect{Job: w.Job, State: j.committedState})
			if j.committedState.Final() {
				j.endedAt = now
			}
		}
		p.releaseEffects(now, j)
	}
}

// releaseEffects releases the effects whose revision is stored.
func (p *Planner) releaseEffects(now time.Time, j *job) {
	var remaining []pendingEffect
	pending := j.pendingEffects
	j.pendingEffects = nil
	for _, e := range pending {
		switch {
		case e.revision > j.storedRevision:
			remaining = append(remaining, e)
		case e.end != nil:
			e.end.committed = true
			p.acknowledgeEnds(p.host(e.effect.Host))
		case e.run != nil:
			p.releaseRunOrder(now, e)
		}
	}
	j.pendingEffects = append(remaining, j.pendingEffects...)
	if j.state.Final() && j.isQuiescent() {
		j.tasks = nil
	}
}

// releaseRunOrder sends the order of a run, or drops a run that is stopping and was never
// ordered.
func (p *Planner) releaseRunOrder(now time.Time, e pendingEffect) {
	r := e.run
	switch {
	case r.host.runs.Get(r.key()) != r:
	case r.stopping && !r.ordered:
		r.task.removeRun(r)
		p.markDirty(r.task.job)
		p.passRequested = true
	default:
		if !r.ordered {
			r.ordered, r.startedAt, r.progressedAt = true, now, now
		}
		p.effects = append(p.effects, e.effect)
	}
}

// EndedJobs returns the quiescent jobs that ended before a time, so that their rows can be
// deleted.
func (p *Planner) EndedJobs(before time.Time) []Write {
	var out []Write
	for id, j := range p.jobs.All() {
		if j.committedState.Final() && j.isQuiescent() && j.endedAt.Before(before) {
			out = append(out, Write{Job: id, Version: j.version})
		}
	}
	return out
}
