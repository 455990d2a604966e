package kqplan

import (
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// placeAll starts every task whose turn has come and for which there is room.
func (p *Planner) placeAll(now time.Time) {
	coming := map[*host]kqmodel.Resources{}
	waiting := 0
	defer func() { p.backlog = waiting }()
	for _, j := range p.queued(now) {
		for _, t := range j.tasks {
			if t.done || len(t.runs) > 0 || now.Before(t.retryAt) || !t.ready() {
				p.place = p.place || now.Before(t.retryAt)
				continue
			}
			if t.gathering(now) {
				p.place = true
				continue
			}
			if h := p.choose(now, t); h != nil {
				p.start(now, t, h)
				continue
			}
			waiting++
			p.wait(now, t, coming)
		}
	}
}

// gatherTime is how long a standing task waits for others that are handed in at
// the same time, so that they are packed together.
const gatherTime = 250 * time.Millisecond

func (t *task) gathering(now time.Time) bool {
	return t.step.Standing && t.lastRun == 0 && now.Sub(t.job.spec.SubmittedAt) < gatherTime
}

// wait notes why a task is not placed, and makes room for an urgent one.
func (p *Planner) wait(now time.Time, t *task, coming map[*host]kqmodel.Resources) {
	if t.waitingFor == "" {
		t.waitingFor = "room"
		p.config.Events.Emit(now, kqevent.FlowWaiting, kqevent.Task(t.id.String()), "no worker of service %s has room for %s", t.job.queue.Service, t.step.Size)
	}
	if t.job.phase(now) == phaseInTime {
		p.preempt(now, t, coming)
	}
}

// start decides a run of a task.
func (p *Planner) start(now time.Time, t *task, h *host) {
	j := t.job
	p.config.Counter.Check(!j.state.Final(), kqinvariant.StartedAfterCancel, "task %s", t.id)
	p.config.Counter.Check(t.step.Speculative || len(t.runs) == 0, kqinvariant.TaskInTwoPlaces, "task %s", t.id)
	t.lastRun++
	r := &run{task: t, number: t.lastRun, host: h, worker: h.info.Worker, startedAt: now, movedAt: now, press: p.pressOf(t.step, h)}
	t.runs = append(t.runs, r)
	h.runs[r.key()] = r
	p.checkRoom(h)
	t.waitingFor = ""
	if j.state == kqflow.StateQueued {
		j.state = kqflow.StateRunning
	}
	p.write(j)
	j.held = append(j.held, heldEffect{revision: j.revision, effect: Effect{Host: h.name, Order: r.order()}, run: r})
	p.config.Events.Emit(now, kqevent.FlowRunPlaced, kqevent.Task(t.id.String()), "run %d on %s of host %s, free %s", r.number, r.worker, h.name, h.free())
}

const (
	grantReserve = 1500 * time.Millisecond
	hearBound    = 1500 * time.Millisecond
)

// usable reports whether the worker of a host may get new work.
func (h *host) usable(now time.Time) bool {
	return h.linked && h.info.Worker != "" && !h.info.Draining && !h.info.Unwell &&
		h.grantedTill.Sub(now) > grantReserve && now.Sub(h.heardAt) < hearBound && len(h.strays) == 0
}

// headroom is the share of a worker's processors, in percent, that is kept
// free for the first priority.
const headroom = 6

// choose returns the best host for a task, or nil.
func (p *Planner) choose(now time.Time, t *task) *host {
	if p.hold {
		return nil
	}
	var best *host
	var all peers
	bestCost := 0.0
	for _, h := range p.hosts {
		if !p.eligible(now, t, h) {
			continue
		}
		if best == nil {
			all = p.peersFor(t)
		}
		c := p.cost(t, h, all)
		if best == nil || c < bestCost || c == bestCost && h.name < best.name {
			best, bestCost = h, c
		}
	}
	return best
}

func (p *Planner) eligible(now time.Time, t *task, h *host) bool {
	s := t.step
	switch {
	case !h.usable(now), h.info.Service != t.job.queue.Service:
		return false
	case s.Label != "" && !slices.Contains(h.info.Labels, s.Label):
		return false
	case s.PerWorker > 0 && h.sameStep(t) >= s.PerWorker:
		return false
	case h.health.quarantined() && !(h.mayProbe(now) && t.job.queue.Attempts-len(t.failed) > 1):
		return false
	}
	if s.Fills && !p.fillsIn(now, t, h) {
		return false
	}
	need := s.Reserved()
	if t.job.queue.Priority > 0 && !s.Fills {
		need.MilliProcessors += h.info.Capacity.MilliProcessors * headroom / 100
	}
	return need.Fits(h.free())
}

// sameStep counts the tasks of the same step and occurrence on a host.
func (h *host) sameStep(t *task) int {
	n := 0
	for _, r := range h.runs {
		if r.task.job == t.job && r.task.step == t.step && r.task.id.Occurrence == t.id.Occurrence {
			n++
		}
	}
	return n
}
