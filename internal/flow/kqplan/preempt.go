package kqplan

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// preempt stops less urgent runs so that an urgent task gets room, unless room
// that comes free already is enough; it reports whether room will come.
func (p *Planner) preempt(now time.Time, t *task, coming map[*host]kqmodel.Resources) bool {
	need := t.step.Reserved()
	var best *host
	var victims []*run
	for _, h := range p.hosts.All() {
		if !h.mayPreemptFor(t) || h.health.isQuarantined() || !p.mayRun(now, t, h) || !p.isApproved(now, t, h) {
			continue
		}
		v, ok := h.victims(t, need.Add(coming[h]))
		if ok && (best == nil || len(v) < len(victims) || len(v) == len(victims) && h.name < best.name) {
			best, victims = h, v
		}
	}
	if best == nil {
		return false
	}
	coming[best] = coming[best].Add(need)
	for _, r := range victims {
		p.config.Events.EmitFields(now, kqevent.FlowRunPreempted, kqevent.Task(r.task.name), []kqevent.Field{kqevent.Run(r.number)},
			"run %d on %s makes room for %s", r.number, r.worker, t.id)
		p.stop(r)
	}
	return true
}

// mayMakeRoom reports whether stopping less urgent runs, or runs that stop already,
// could give a task what it reserves. A filling task that finds no place where that
// is free is kept away for other reasons.
func (h *host) mayPreemptFor(t *task) bool {
	need, priority := t.step.Reserved(), t.job.queue.Priority
	return (h.usage.stoppingRuns > 0 || h.hasLowerPriority(priority)) && need.Fits(h.maxFree(priority)) && !(t.step.Fills && need.Fits(h.free()))
}

// victims returns the runs to stop so that need fits, counting what is being
// stopped already; ok is false if that is not enough.
func (h *host) victims(t *task, need kqmodel.Resources) (out []*run, ok bool) {
	free := h.free()
	most := free
	var lower []*run
	for _, r := range h.runs.All() {
		switch {
		case r.stopping:
			free, most = free.Add(r.reserved()), most.Add(r.reserved())
		case r.task.job.queue.Priority > t.job.queue.Priority && !r.task.step.LongRunning && !r.task.step.Gang:
			lower, most = append(lower, r), most.Add(r.reserved())
		}
	}
	if !need.Fits(most) {
		return nil, false
	}
	slices.SortFunc(lower, func(a, b *run) int {
		if a.task.step.Checkpoints != b.task.step.Checkpoints {
			if a.task.step.Checkpoints {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.percent, b.percent), strings.Compare(a.task.name, b.task.name))
	})
	for _, r := range lower {
		if need.Fits(free) {
			break
		}
		free = free.Add(r.reserved())
		out = append(out, r)
	}
	return out, need.Fits(free)
}
