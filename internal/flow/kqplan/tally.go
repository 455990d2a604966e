package kqplan

import (
	"slices"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// tally is what the runs of a host take, kept as they come and go: every task
// that waits is weighed against every host.
type tally struct {
	reserved kqmodel.Resources
	// plain, serving and filling are the processors of each kind of task, in
	// thousandths.
	plain   int64
	serving int64
	filling int64
	// standing is the processors of tasks that do not end, whatever kind they are.
	standing int64
	// ending is the runs of tasks that end, which may be preempted, by priority.
	ending []level
	// stopping counts the runs that are being stopped, leaving is what they take.
	stopping int
	leaving  kqmodel.Resources
}

// level is what the runs of one priority take.
type level struct {
	priority int
	runs     int
	reserved kqmodel.Resources
}

// level returns that of a priority.
func (t *tally) level(priority int) *level {
	for i := range t.ending {
		if t.ending[i].priority == priority {
			return &t.ending[i]
		}
	}
	t.ending = append(t.ending, level{priority: priority})
	return &t.ending[len(t.ending)-1]
}

// signed returns a sum with something added, or taken off if the sign is below 0.
func signed(sum, part kqmodel.Resources, sign int64) kqmodel.Resources {
	if sign > 0 {
		return sum.Add(part)
	}
	return sum.Sub(part)
}

func (t *tally) count(r *run, sign int64) {
	s := r.task.step
	res := s.Reserved()
	t.reserved = signed(t.reserved, res, sign)
	switch {
	case s.Fills:
		t.filling += sign * s.Size.MilliProcessors
	case s.TailTarget > 0:
		t.serving += sign * s.Size.MilliProcessors
	default:
		t.plain += sign * s.Size.MilliProcessors
	}
	if r.stopping {
		t.countStopping(r, sign)
	}
	if s.Standing {
		t.standing += sign * s.Size.MilliProcessors
		return
	}
	l := t.level(r.counted)
	l.runs += int(sign)
	l.reserved = signed(l.reserved, res, sign)
}

// countStopping counts a run that is being stopped.
func (t *tally) countStopping(r *run, sign int64) {
	t.stopping += int(sign)
	t.leaving = signed(t.leaving, r.reserved(), sign)
}

// add and drop are the only ways by which runs come to a host and leave it.
func (h *host) add(r *run) {
	r.counted = r.task.job.queue.Priority
	h.runs.Put(r.key(), r)
	h.tally.count(r, 1)
	h.beside.add(r)
}

func (h *host) drop(r *run) {
	if h.runs.Get(r.key()) != r {
		return
	}
	h.runs.Delete(r.key())
	h.tally.count(r, -1)
	h.beside.drop(r)
}

// recount takes over changed priorities.
func (h *host) recount() {
	h.tally = tally{}
	for _, r := range h.runs.All() {
		r.counted = r.task.job.queue.Priority
		h.tally.count(r, 1)
	}
}

// hasBelow reports whether a host has runs that a queue of a priority may take
// the room of.
func (h *host) hasBelow(priority int) bool {
	return slices.ContainsFunc(h.tally.ending, func(l level) bool { return l.priority > priority && l.runs > 0 })
}

// mostRoom returns a bound on the room that a host can have for a queue of a
// priority once what is less urgent has been stopped.
func (h *host) mostRoom(priority int) kqmodel.Resources {
	most := h.free().Add(h.tally.leaving)
	for _, l := range h.tally.ending {
		if l.priority > priority {
			most = most.Add(l.reserved)
		}
	}
	return most
}
