package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// MaxStartDelay bounds the time after sending during which an unanswered start may still be
// carried out: workers take up to 12 s.
const MaxStartDelay = 15 * time.Second

// removedRun is a run that was removed from a host.
type removedRun struct {
	worker    kqexecution.Incarnation
	removedAt time.Time
}

// removedRuns holds the runs that were removed from a host within the last MaxStartDelay. A
// delayed copy of their start may still be carried out if the worker restarts under the same ID.
type removedRuns struct {
	runs     map[kqexecution.Run]removedRun
	prunedAt time.Time
}

// add records a removed run if its worker reports its start time. If it does not, a new
// incarnation has another ID and refuses orders for the previous one.
func (rs *removedRuns) add(now time.Time, r *run) {
	if _, ok := r.worker.Born(); !ok || !r.ordered {
		return
	}
	if rs.runs == nil {
		rs.runs = map[kqexecution.Run]removedRun{}
	}
	if now.Sub(rs.prunedAt) > MaxStartDelay {
		rs.prune(now)
	}
	rs.runs[r.key()] = removedRun{r.worker, now}
}

// prune drops the runs whose start can no longer be carried out.
func (rs *removedRuns) prune(now time.Time) {
	rs.prunedAt = now
	for k, x := range rs.runs {
		if now.Sub(x.removedAt) > MaxStartDelay {
			delete(rs.runs, k)
		}
	}
}

// handleIncarnation resolves the runs of other incarnations than the given one, which now runs
// on the host; previous describes the worker that the host had before. A different ID proves that
// the runs of the previous worker have ended and will not start. Under the same ID an unanswered
// start may still be carried out, so each run is first stopped on the new incarnation and resolved
// with the outcome of that stop.
func (p *Planner) handleIncarnation(now time.Time, h *host, worker kqexecution.Incarnation, previous WorkerInfo) {
	p.inferWorkerEnds(now, h, func(w kqexecution.Incarnation) bool { return w != worker }, previous)
	for _, r := range h.runList() {
		switch {
		case r.worker == worker:
		case r.ordered && r.worker.SameWorker(worker):
			p.transferRun(now, r, worker)
		default:
			p.markLost(now, r, "its worker was replaced")
		}
	}
	h.removed.prune(now)
	for k, x := range h.removed.runs {
		if worker.Supersedes(x.worker) {
			p.effects = append(p.effects, Effect{Host: h.name, Order: &Order{Run: k, Stop: true, Worker: worker}})
		}
	}
}

// transferRun orders the stop of a run on a later incarnation of its worker. The stop follows
// from the worker's own report, so it is sent without waiting for a commit.
func (p *Planner) transferRun(now time.Time, r *run, worker kqexecution.Incarnation) {
	p.config.Events.EmitFields(now, kqevent.FlowRunLost, kqevent.Task(r.task.name), []kqevent.Field{kqevent.Run(r.number)},
		"run %d on %s: its worker restarted as %s, where the run is stopped before it is marked lost", r.number, r.worker, worker)
	r.worker, r.transferred = worker, true
	if !r.stopping {
		r.markStopping()
	}
	p.effects = append(p.effects, Effect{Host: r.host.name, Order: r.stopOrder()})
	p.markDirty(r.task.job)
	p.stopGang(r.task)
}

// ifNotTransferred returns the run, or nil if it was ordered from an earlier incarnation than
// the one that reports its end. Such an end says nothing about the health of the new
// incarnation.
func (r *run) ifNotTransferred() *run {
	if r == nil || r.transferred {
		return nil
	}
	return r
}
