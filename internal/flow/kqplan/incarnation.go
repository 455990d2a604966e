package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// LateStart bounds how long after it was sent a start that was not answered may
// be carried out: workers take up to 12 s.
const MaxStartDelay = 15 * time.Second

// departure is a run that has left a host.
type removedRun struct {
	worker    kqexecution.Incarnation
	removedAt time.Time
}

// departures are the runs that have left a host of late. A copy of their starts
// may still be carried out if the worker begins again under its id.
type removedRuns struct {
	runs     map[kqexecution.Run]removedRun
	prunedAt time.Time
}

// note remembers a run whose worker sends births; without births a second
// incarnation has another id and refuses what is meant for the first.
func (d *removedRuns) add(now time.Time, r *run) {
	if _, ok := r.worker.Born(); !ok || !r.ordered {
		return
	}
	if d.runs == nil {
		d.runs = map[kqexecution.Run]removedRun{}
	}
	if now.Sub(d.prunedAt) > MaxStartDelay {
		d.prune(now)
	}
	d.runs[r.key()] = removedRun{r.worker, now}
}

// prune forgets the runs whose starts cannot be carried out any more.
func (d *removedRuns) prune(now time.Time) {
	d.prunedAt = now
	for k, x := range d.runs {
		if now.Sub(x.removedAt) > MaxStartDelay {
			delete(d.runs, k)
		}
	}
}

// succeed takes over that a worker has begun anew. Another id proves that what
// the last one ran is gone and will not begin. Under the same id a start that was
// not answered may still be carried out, so each run is stopped there first and
// given up with the outcome of that stop.
func (p *Planner) handleIncarnation(now time.Time, h *host, worker kqexecution.Incarnation) {
	for _, r := range h.runList() {
		switch {
		case r.worker == worker:
		case r.ordered && r.worker.Same(worker):
			p.transferRun(now, r, worker)
		default:
			p.markLost(now, r, "its worker is gone")
		}
	}
	h.removed.prune(now)
	for k, d := range h.removed.runs {
		if worker.Follows(d.worker) {
			p.effects = append(p.effects, Effect{Host: h.name, Order: &Order{Run: k, Stop: true, Worker: worker}})
		}
	}
}

// transfer has a run stopped on a later incarnation of its worker. The stop rests
// on the worker's own word, so it needs no commit.
func (p *Planner) transferRun(now time.Time, r *run, worker kqexecution.Incarnation) {
	p.config.Events.EmitFields(now, kqevent.FlowRunLost, kqevent.Task(r.task.name), []kqevent.Field{kqevent.Run(r.number)},
		"run %d on %s: its worker began again as %s, where it is stopped before it is given up", r.number, r.worker, worker)
	r.worker, r.transferred = worker, true
	if !r.stopping {
		r.stopping = true
		r.host.usage.countStopping(r, 1)
	}
	p.effects = append(p.effects, Effect{Host: r.host.name, Order: r.stopOrder()})
	p.markDirty(r.task.job)
	p.stopGang(r.task)
}

// learnable returns the run if the worker that reports its end was given it; nil
// if an earlier incarnation was, of which the later one has learned nothing.
func (r *run) ifNotTransferred() *run {
	if r == nil || r.transferred {
		return nil
	}
	return r
}
