package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// Write is the record of a job to be stored.
type Write struct {
	// Job names the job.
	Job string
	// Record is what to store.
	Record kqflow.JobRecord
	// Version is the version that the stored record must have.
	Version uint64
}

// mostWritten is after how many tasks a transaction takes no more records, so
// that it stays below what a store takes.
const maxTasksPerTransaction = 6000

// Writes returns at most most records to store in one transaction. A job whose
// last write is under way waits.
func (p *Planner) TakeWrites(most int) []Write {
	var out []Write
	tasks := 0
	for id, j := range p.dirty.All() {
		if len(out) >= most || tasks >= maxTasksPerTransaction {
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

// Refused puts writes back that certainly were not and will not be applied.
func (p *Planner) WritesRefused(ws []Write) {
	for _, w := range ws {
		if j := p.jobs.Get(w.Job); j != nil {
			j.writeInFlight = false
			p.dirty.Put(w.Job, j)
		}
	}
}

// Committed takes over that writes were applied, and releases what waited for
// them.
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

// release lets go of the effects that rest on what is stored now.
func (p *Planner) releaseEffects(now time.Time, j *job) {
	var kept []pendingEffect
	held := j.pendingEffects
	j.pendingEffects = nil
	for _, e := range held {
		switch {
		case e.revision > j.storedRevision:
			kept = append(kept, e)
		case e.end != nil:
			e.end.committed = true
			p.acknowledgeEnds(p.host(e.effect.Host))
		case e.run != nil:
			p.releaseRunOrder(now, e)
		}
	}
	j.pendingEffects = append(kept, j.pendingEffects...)
	if j.state.Final() && j.idle() {
		j.tasks = nil
	}
}

// releaseRun sends the order of a run, or drops a run that is not wanted any
// more and was never ordered.
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

// Ended returns the jobs that ended before a time and have nothing under way.
func (p *Planner) EndedJobs(before time.Time) []Write {
	var out []Write
	for id, j := range p.jobs.All() {
		if j.committedState.Final() && j.idle() && j.endedAt.Before(before) {
			out = append(out, Write{Job: id, Version: j.version})
		}
	}
	return out
}
