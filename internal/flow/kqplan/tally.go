package kqplan

import "github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"

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
	// byPriority counts the runs of tasks that end, which may be preempted.
	byPriority map[int]int
	// stopping counts the runs that are being stopped.
	stopping int
}

func (t *tally) count(r *run, sign int64) {
	s := r.task.step
	res := s.Reserved()
	if sign > 0 {
		t.reserved = t.reserved.Add(res)
	} else {
		t.reserved = t.reserved.Sub(res)
	}
	switch {
	case s.Fills:
		t.filling += sign * s.Size.MilliProcessors
	case s.TailTarget > 0:
		t.serving += sign * s.Size.MilliProcessors
	default:
		t.plain += sign * s.Size.MilliProcessors
	}
	if r.stopping {
		t.stopping += int(sign)
	}
	if s.Standing {
		t.standing += sign * s.Size.MilliProcessors
		return
	}
	if t.byPriority == nil {
		t.byPriority = map[int]int{}
	}
	t.byPriority[r.counted] += int(sign)
}

// add and drop are the only ways by which runs come to a host and leave it.
func (h *host) add(r *run) {
	r.counted = r.task.job.queue.Priority
	h.runs.Put(r.key(), r)
	h.tally.count(r, 1)
}

func (h *host) drop(r *run) {
	if h.runs.Get(r.key()) != r {
		return
	}
	h.runs.Delete(r.key())
	h.tally.count(r, -1)
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
	for p, n := range h.tally.byPriority {
		if p > priority && n > 0 {
			return true
		}
	}
	return false
}
