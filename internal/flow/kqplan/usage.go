package kqplan

import (
	"slices"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// usage is the resource accounting of the runs of a host. It is updated with each run that is
// added or removed instead of being summed up on demand, because every waiting task is scored
// against every host.
type usage struct {
	// reserved is the total of the reservations.
	reserved kqmodel.Resources
	// regular, serving and filling are the processors used by each kind of task, in
	// thousandths; regular tasks neither serve nor fill.
	regular int64
	serving int64
	filling int64
	// longRunning is the processors of long-running tasks of all kinds, in thousandths.
	longRunning int64
	// finite is the usage of finite tasks, which may be preempted, by priority.
	finite []priorityUsage
	// stoppingRuns is the number of runs that are being stopped, and stoppingReserved the
	// resources reserved by them.
	stoppingRuns     int
	stoppingReserved kqmodel.Resources
}

// priorityUsage is the usage of the runs of one priority.
type priorityUsage struct {
	priority int
	runs     int
	reserved kqmodel.Resources
}

// ofPriority returns the entry of a priority; it is added if missing.
func (u *usage) ofPriority(priority int) *priorityUsage {
	for i := range u.finite {
		if u.finite[i].priority == priority {
			return &u.finite[i]
		}
	}
	u.finite = append(u.finite, priorityUsage{priority: priority})
	return &u.finite[len(u.finite)-1]
}

// addSigned adds amount to sum, or subtracts it if the sign is not positive.
func addSigned(sum, amount kqmodel.Resources, sign int64) kqmodel.Resources {
	if sign > 0 {
		return sum.Add(amount)
	}
	return sum.Sub(amount)
}

// countRun adds a run to the usage, or removes it if the sign is negative.
func (u *usage) countRun(r *run, sign int64) {
	s := r.task.step
	res := s.Reserved()
	u.reserved = addSigned(u.reserved, res, sign)
	switch {
	case s.Fills:
		u.filling += sign * s.Resources.MilliProcessors
	case s.TailTarget > 0:
		u.serving += sign * s.Resources.MilliProcessors
	default:
		u.regular += sign * s.Resources.MilliProcessors
	}
	if r.stopping {
		u.countStopping(r, sign)
	}
	if s.LongRunning {
		u.longRunning += sign * s.Resources.MilliProcessors
		return
	}
	l := u.ofPriority(r.countedPriority)
	l.runs += int(sign)
	l.reserved = addSigned(l.reserved, res, sign)
}

// countStopping adds a run that is being stopped, or removes it if the sign is negative.
func (u *usage) countStopping(r *run, sign int64) {
	u.stoppingRuns += int(sign)
	u.stoppingReserved = addSigned(u.stoppingReserved, r.reserved(), sign)
}

// addRun and removeRun keep runs, usage and colocation consistent; all changes to h.runs go
// through them.
func (h *host) addRun(r *run) {
	r.countedPriority = r.task.job.queue.Priority
	h.runs.Put(r.key(), r)
	h.usage.countRun(r, 1)
	h.colocation.addRun(r)
}

func (h *host) removeRun(r *run) {
	if h.runs.Get(r.key()) != r {
		return
	}
	h.runs.Delete(r.key())
	h.usage.countRun(r, -1)
	h.colocation.removeRun(r)
}

// recountUsage rebuilds the usage of a host after queue priorities have changed.
func (h *host) recountUsage() {
	h.usage = usage{}
	for _, r := range h.runs.All() {
		r.countedPriority = r.task.job.queue.Priority
		h.usage.countRun(r, 1)
	}
}

// hasLowerPriority reports whether a host has finite runs that a queue of a priority may
// preempt.
func (h *host) hasLowerPriority(priority int) bool {
	return slices.ContainsFunc(h.usage.finite, func(l priorityUsage) bool { return l.priority > priority && l.runs > 0 })
}

// maxFree returns an upper bound on the capacity that a host can free for a queue of a priority
// by preempting all finite runs of lower priority.
func (h *host) maxFree(priority int) kqmodel.Resources {
	total := h.free().Add(h.usage.stoppingReserved)
	for _, l := range h.usage.finite {
		if l.priority > priority {
			total = total.Add(l.reserved)
		}
	}
	return total
}
