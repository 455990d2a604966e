package kqplan

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// preempt stops runs of lower priority on one host so that a task fits there, unless the runs that
// are being stopped free enough already. It adds the task's resources to claimed, and to the
// longRunningClaims of the host if the task is long-running, and reports whether the task will fit.
func (p *Planner) preempt(now time.Time, t *task, claimed map[*host]kqmodel.Resources) bool {
	need := t.step.Reserved()
	var best *host
	var victims []*run
	for _, h := range p.hosts.All() {
		if !h.mayPreemptFor(t) || h.health.isQuarantined() && !t.mayUseQuarantined(now) && p.couldRunElsewhere(now, t) || !p.mayRun(now, t, h) || !p.isApproved(now, t, h) {
			continue
		}
		v, ok := h.victims(now, t, need.Add(claimed[h]).Add(h.heldFrom(t)))
		if ok && (best == nil || cmp.Or(cmp.Compare(h.health.rank(), best.health.rank()), cmp.Compare(len(v), len(victims)), strings.Compare(h.name, best.name)) < 0) {
			best, victims = h, v
		}
	}
	if best == nil {
		return false
	}
	claimed[best] = claimed[best].Add(need)
	if t.step.LongRunning {
		best.longRunningClaims = best.longRunningClaims.Add(need)
	}
	for _, r := range victims {
		p.config.Events.EmitFields(now, kqevent.FlowRunPreempted, kqevent.Task(r.task.name), []kqevent.Field{kqevent.Run(r.number)},
			"run %d on %s is preempted for task %s", r.number, r.worker, t.id)
		p.stop(r)
	}
	return true
}

// mayPreemptFor reports whether stopping runs of lower priority, or runs that are being stopped,
// could free the resources that a task reserves. If they are free already, a filling task was
// rejected for another reason, which preemption does not change.
func (h *host) mayPreemptFor(t *task) bool {
	need, priority := t.step.Reserved(), t.job.queue.Priority
	return (h.usage.stoppingRuns > 0 || h.hasLowerPriority(priority)) && need.FitsIn(h.maxFree(priority)) && !(t.step.Fills && need.FitsIn(h.free()))
}

// maxStopTime is the time after which a stop is overdue: more than restartOverhead, which covers a stop
// and the start elsewhere. A worker that hangs never carries a stop out.
const maxStopTime = time.Second

func (r *run) isStopOverdue(now time.Time) bool {
	return r.stopping && !r.stoppingSince.IsZero() && now.Sub(r.stoppingSince) > maxStopTime
}

// updateOverdueStops brings stoppingSince and overdueStops up to date.
func (h *host) updateOverdueStops(now time.Time) {
	h.overdueStops = kqmodel.Resources{}
	if h.usage.stoppingRuns == 0 {
		return
	}
	for _, r := range h.runs.All() {
		if r.stopping && r.stoppingSince.IsZero() {
			r.stoppingSince = now
		}
		if r.isStopOverdue(now) {
			h.overdueStops = h.overdueStops.Add(r.reserved())
		}
	}
}

// victims returns the runs to stop so that need fits, in addition to those that are being stopped. A
// long-running task does not count on stops that are overdue, since it would wait for them although
// runs on another host could be stopped. ok is false if stopping all permitted runs does not free
// enough. Runs with checkpoints come
// first, then those with the least progress.
func (h *host) victims(now time.Time, t *task, need kqmodel.Resources) (out []*run, ok bool) {
	free := h.free()
	maxFree := free
	var preemptible []*run
	for _, r := range h.runs.All() {
		switch {
		case t.step.LongRunning && r.isStopOverdue(now):
		case r.stopping:
			free, maxFree = free.Add(r.reserved()), maxFree.Add(r.reserved())
		case r.task.job.queue.Priority > t.job.queue.Priority && !r.task.step.LongRunning && !r.task.step.Gang:
			preemptible, maxFree = append(preemptible, r), maxFree.Add(r.reserved())
		}
	}
	if !need.FitsIn(maxFree) {
		return nil, false
	}
	slices.SortFunc(preemptible, func(a, b *run) int {
		if a.task.step.Checkpoints != b.task.step.Checkpoints {
			if a.task.step.Checkpoints {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.percent, b.percent), strings.Compare(a.task.name, b.task.name))
	})
	for _, r := range preemptible {
		if need.FitsIn(free) {
			break
		}
		free = free.Add(r.reserved())
		out = append(out, r)
	}
	return out, need.FitsIn(free)
}
