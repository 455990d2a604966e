package kqplan

import (
	"slices"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// tally is what the runs of a host take, kept as they come and go: every task
// that waits is weighed against every host.
type usage struct {
	reserved kqmodel.Resources
	// plain, serving and filling are the processors of each kind of task, in
	// thousandths.
	regular int64
	serving int64
	filling int64
	// standing is the processors of tasks that do not end, whatever kind they are.
	longRunning int64
	// ending is the runs of tasks that end, which may be preempted, by priority.
	finite []priorityUsage
	// stopping counts the runs that are being stopped, leaving is what they take.
	stoppingRuns     int
	stoppingReserved kqmodel.Resources
}

// level is what the runs of one priority take.
type priorityUsage struct {
	priority int
	runs     int
	reserved kqmodel.Resources
}

// level returns that of a priority.
func (t *usage) ofPriority(priority int) *priorityUsage {
	for i := range t.finite {
		if t.finite[i].priority == priority {
			return &t.finite[i]
		}
	}
	t.finite = append(t.finite, priorityUsage{priority: priority})
	return &t.finite[len(t.finite)-1]
}

// signed returns a sum with something added, or taken off if the sign is below 0.
func addSigned(sum, part kqmodel.Resources, sign int64) kqmodel.Resources {
	if sign > 0 {
		return sum.Add(part)
	}
	return sum.Sub(part)
}

func (t *usage) countRun(r *run, sign int64) {
	s := r.task.step
	res := s.Reserved()
	t.reserved = addSigned(t.reserved, res, sign)
	switch {
	case s.Fills:
		t.filling += sign * s.Resources.MilliProcessors
	case s.TailTarget > 0:
		t.serving += sign * s.Resources.MilliProcessors
	default:
		t.regular += sign * s.Resources.MilliProcessors
	}
	if r.stopping {
		t.countStopping(r, sign)
	}
	if s.LongRunning {
		t.longRunning += sign * s.Resources.MilliProcessors
		return
	}
	l := t.ofPriority(r.countedPriority)
	l.runs += int(sign)
	l.reserved = addSigned(l.reserved, res, sign)
}

// countStopping counts a run that is being stopped.
func (t *usage) countStopping(r *run, sign int64) {
	t.stoppingRuns += int(sign)
	t.stoppingReserved = addSigned(t.stoppingReserved, r.reserved(), sign)
}

// add and drop are the only ways by which runs come to a host and leave it.
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

// recount takes over changed priorities.
func (h *host) recountUsage() {
	h.usage = usage{}
	for _, r := range h.runs.All() {
		r.countedPriority = r.task.job.queue.Priority
		h.usage.countRun(r, 1)
	}
}

// hasBelow reports whether a host has runs that a queue of a priority may take
// the room of.
func (h *host) hasLowerPriority(priority int) bool {
	return slices.ContainsFunc(h.usage.finite, func(l priorityUsage) bool { return l.priority > priority && l.runs > 0 })
}

// mostRoom returns a bound on the room that a host can have for a queue of a
// priority once what is less urgent has been stopped.
func (h *host) maxFree(priority int) kqmodel.Resources {
	most := h.free().Add(h.usage.stoppingReserved)
	for _, l := range h.usage.finite {
		if l.priority > priority {
			most = most.Add(l.reserved)
		}
	}
	return most
}
