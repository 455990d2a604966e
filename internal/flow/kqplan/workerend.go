package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// WorkerEnd is an agent's report that an incarnation of its worker has ended.
type WorkerEnd struct {
	// Worker is the incarnation.
	Worker kqexecution.Incarnation `json:"worker"`
	// Crashed is true if the incarnation neither left nor drained before it ended.
	Crashed bool `json:"crashed,omitempty"`
	// SilentFor is the time since the incarnation stopped answering, as of the report.
	SilentFor time.Duration `json:"silent,omitempty"`
	// Runs lists the runs that a crashed incarnation may have started.
	Runs []StartedRun `json:"runs,omitempty"`
}

// StartedRun is a run that a worker may have started before it crashed.
type StartedRun struct {
	// Run identifies the run.
	Run kqexecution.Run `json:"run"`
	// RunTime is how long the run had been at work; 0 if its start was not answered.
	RunTime time.Duration `json:"ran,omitempty"`
}

// knownEndRetention is how long the owner remembers that it has recorded the end of an incarnation. It
// exceeds the time for which agents repeat the report.
const knownEndRetention = 10 * time.Minute

// WorkerEnded applies an agent's report of the end of an incarnation, once per incarnation.
func (p *Planner) WorkerEnded(now time.Time, name string, e WorkerEnd) {
	if _, known := p.workerEnds[e.Worker]; known || e.Worker == "" {
		return
	}
	for worker, at := range p.workerEnds {
		if now.Sub(at) > knownEndRetention {
			delete(p.workerEnds, worker)
		}
	}
	p.workerEnds[e.Worker] = now
	if e.Crashed {
		p.workerCrashed(now, p.host(name), e)
	}
}

// workerCrashed logs the crash of a worker.
func (p *Planner) workerCrashed(now time.Time, h *host, e WorkerEnd) {
	p.config.Events.EmitFields(now, kqevent.WorkerCrashed, kqevent.Worker(string(e.Worker)), []kqevent.Field{kqevent.Millis("silent_ms", e.SilentFor), kqevent.Value("runs", len(e.Runs))},
		"host %s: ended without leaving, silent for %s, %d runs were at work", h.name, e.SilentFor.Round(time.Millisecond), len(e.Runs))
}
