package kqplan

import (
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// WorkerEnd is an agent's report that an incarnation of its worker has ended.
type WorkerEnd struct {
	// Worker is the incarnation.
	Worker kqexecution.Incarnation `json:"worker"`
	// Departed is true if the worker has left for good, so that the runs on it have ended and none will
	// start under its id.
	Departed bool `json:"departed,omitempty"`
	// Crashed is true if the incarnation neither left nor drained before it ended.
	Crashed bool `json:"crashed,omitempty"`
	// SilentFor is the time since the incarnation stopped answering, as of the report.
	SilentFor time.Duration `json:"silent,omitempty"`
	// Runs lists the runs that a crashed incarnation may have started.
	Runs []StartedRun `json:"runs,omitempty"`
	// inferred is true if the owner has inferred the end: no agent has reported it, so it is unknown
	// which of the runs had started, and when the incarnation ended.
	inferred bool
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

// WorkerEnded applies an agent's report of the end of an incarnation, once per incarnation. It reports
// whether the end was not known.
func (p *Planner) WorkerEnded(now time.Time, name string, e WorkerEnd) bool {
	if _, known := p.workerEnds[e.Worker]; known || e.Worker == "" {
		return false
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
	if e.Departed {
		p.WorkerDeparted(now, e.Worker)
	}
	return true
}

// WorkerDeparted records that an incarnation of a worker has left, and marks the runs of this incarnation
// and of earlier ones as lost, whichever agent or earlier owner has learned it.
func (p *Planner) WorkerDeparted(now time.Time, worker kqexecution.Incarnation) {
	if worker == "" {
		return
	}
	hasEnded := func(w kqexecution.Incarnation) bool { return w == worker || worker.Supersedes(w) }
	for _, h := range p.hosts.All() {
		p.inferWorkerEnds(now, h, hasEnded, h.info)
		for _, r := range h.runList() {
			if hasEnded(r.worker) {
				p.markLost(now, r, "its worker has departed")
			}
		}
		if hasEnded(h.info.Worker) {
			h.info = WorkerInfo{}
		}
	}
}

// HostedWorkers returns the incarnations that the agent of a host has described or that have runs there, and
// that are a given one or, if that has no birth time, have its id.
func (p *Planner) HostedWorkers(name string, worker kqexecution.Incarnation) (out []kqexecution.Incarnation) {
	h := p.hosts.Get(name)
	if h == nil {
		return nil
	}
	_, born := worker.Born()
	add := func(w kqexecution.Incarnation) {
		if (w == worker || !born && w != "" && w.SameWorker(worker)) && !slices.Contains(out, w) {
			out = append(out, w)
		}
	}
	add(h.info.Worker)
	for _, r := range h.runs.All() {
		add(r.worker)
	}
	return out
}

// inferWorkerEnds records the ends of incarnations with runs on a host that no agent has reported,
// because the agent has restarted meanwhile. previous describes the worker that the host had.
func (p *Planner) inferWorkerEnds(now time.Time, h *host, hasEnded func(worker kqexecution.Incarnation) bool, previous WorkerInfo) {
	ends := map[kqexecution.Incarnation]*WorkerEnd{}
	for _, r := range h.runs.All() {
		if !hasEnded(r.worker) || !r.ordered || r.transferred {
			continue
		}
		e := ends[r.worker]
		if e == nil {
			e = &WorkerEnd{Worker: r.worker, inferred: true, Crashed: r.worker != previous.Worker || !previous.Draining}
			ends[r.worker] = e
		}
		e.Runs = append(e.Runs, StartedRun{Run: r.key(), RunTime: max(0, r.lastReportAt.Sub(r.startedAt))})
	}
	for _, e := range ends {
		p.WorkerEnded(now, h.name, *e)
	}
}
