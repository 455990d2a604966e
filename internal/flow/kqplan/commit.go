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
	Record kqflow.Record
	// Version is the version that the stored record must have.
	Version uint64
}

// mostWritten is after how many tasks a transaction takes no more records, so
// that it stays below what a store takes.
const mostWritten = 6000

// Writes returns at most most records to store in one transaction. A job whose
// last write is under way waits.
func (p *Planner) Writes(most int) []Write {
	var out []Write
	tasks := 0
	for id, j := range p.dirty.All() {
		if len(out) >= most || tasks >= mostWritten {
			break
		}
		if j.inFlight {
			continue
		}
		p.dirty.Delete(id)
		j.inFlight = true
		tasks += len(j.tasks)
		out = append(out, Write{Job: id, Record: j.record(p.config.Epoch), Version: j.version})
	}
	return out
}

// Refused puts writes back that certainly were not and will not be applied.
func (p *Planner) Refused(ws []Write) {
	for _, w := range ws {
		if j := p.jobs.Get(w.Job); j != nil {
			j.inFlight = false
			p.dirty.Put(w.Job, j)
		}
	}
}

// Committed takes over that writes were applied, and releases what waited for
// them.
func (p *Planner) Committed(now time.Time, ws []Write, version uint64) {
	for _, w := range ws {
		j := p.jobs.Get(w.Job)
		if j == nil {
			continue
		}
		j.inFlight = false
		j.stored, j.version = w.Record.Revision, version
		if j.committed != w.Record.State {
			j.committed = w.Record.State
			p.effects = append(p.effects, Effect{Job: w.Job, State: j.committed})
			if j.committed.Final() {
				j.endedAt = now
			}
		}
		p.release(now, j)
	}
}

// release lets go of the effects that rest on what is stored now.
func (p *Planner) release(now time.Time, j *job) {
	var kept []heldEffect
	held := j.held
	j.held = nil
	for _, e := range held {
		switch {
		case e.revision > j.stored:
			kept = append(kept, e)
		case e.end != nil:
			e.end.done = true
			p.note(p.host(e.effect.Host))
		case e.run != nil:
			p.releaseRun(now, e)
		}
	}
	j.held = append(kept, j.held...)
	if j.state.Final() && j.idle() {
		j.tasks = nil
	}
}

// releaseRun sends the order of a run, or drops a run that is not wanted any
// more and was never ordered.
func (p *Planner) releaseRun(now time.Time, e heldEffect) {
	r := e.run
	switch {
	case r.host.runs.Get(r.key()) != r:
	case r.stopping && !r.ordered:
		r.task.remove(r)
		p.write(r.task.job)
		p.place = true
	default:
		if !r.ordered {
			r.ordered, r.startedAt, r.movedAt = true, now, now
		}
		p.effects = append(p.effects, e.effect)
	}
}

// Ended returns the jobs that ended before a time and have nothing under way.
func (p *Planner) Ended(before time.Time) []Write {
	var out []Write
	for id, j := range p.jobs.All() {
		if j.committed.Final() && j.idle() && j.endedAt.Before(before) {
			out = append(out, Write{Job: id, Version: j.version})
		}
	}
	return out
}
