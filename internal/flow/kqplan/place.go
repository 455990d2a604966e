package kqplan

import (
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// stepKey names a step of one occurrence of a job; the same hosts have room for
// all its tasks.
type stepKey struct {
	job        string
	occurrence int
	number     int
}

func (t *task) stepKey() stepKey { return stepKey{t.job.spec.ID, t.id.Occurrence, t.id.Step} }

// pass is what one look at all waiting tasks has found so far. Room only
// shrinks meanwhile, so what one task of a step does not find no other finds.
type pass struct {
	// filling is true if filling tasks are looked at too.
	filling bool
	// coming is the room that preempted runs will leave.
	coming map[*host]kqmodel.Resources
	// full and firm are the steps for which no host has room, and for which nothing
	// could be preempted.
	full map[stepKey]bool
	firm map[stepKey]bool
	// withheld is the steps that stay and may not take the room that there is.
	withheld map[stepKey]bool
	// misses counts the steps of filling tasks for which no host has room.
	misses int
	// crowd is what waits so far.
	crowd Crowd
	// list is the hosts with room for the latest step.
	list *shortlist
	// held is the services in which a gang waits for what comes free.
	held map[string]bool
}

const (
	// shortQueue is up to how many waiting tasks each change is acted on at once.
	shortQueue = 20
	// spacingOf is the time between two passes for each waiting task, up to
	// mostSpacing.
	spacingOf   = 500 * time.Microsecond
	mostSpacing = 100 * time.Millisecond
	// spacingShare is how many times as long as the latest pass the next one waits.
	spacingShare = 3
	// fillingShare is the same for passes that look at filling tasks.
	fillingShare = 4
	// mostMisses is at most for how many steps of filling tasks a pass finds no room
	// before it leaves those whose turn is later: looking for their room
	// costs most, since every run on a host counts.
	mostMisses = 24
)

// spacing is the least time between two passes: while many tasks wait, a pass
// is expensive and a short delay costs them little. An owner that is slow for its
// fleet spends most of its time on what it hears.
func (p *Planner) spacing() time.Duration {
	least := min(mostSpacing, spacingShare*p.passTook)
	if p.backlog <= shortQueue {
		return least
	}
	return max(least, min(mostSpacing, time.Duration(p.backlog)*spacingOf))
}

// looksAtFilling reports whether a pass looks at filling tasks too. Their search
// weighs every run on every host and they work for long: while many wait, only
// some passes do, and urgent tasks need not wait for the others.
func (p *Planner) looksAtFilling(now time.Time) bool {
	age := now.Sub(p.filledAt)
	return age >= fillingShare*p.fillTook && (p.backlog <= shortQueue || age >= mostSpacing)
}

// fewerMisses returns for how many steps of filling tasks the next pass looks in vain,
// after a pass that took some time: urgent tasks wait until it has ended.
func fewerMisses(now int, took time.Duration) int {
	switch {
	case took > slowPass:
		return max(1, now/2)
	case took < slowPass/4:
		return min(mostMisses, 2*now)
	}
	return now
}

// placeAll starts every task whose turn has come and for which there is room.
func (p *Planner) placeAll(now time.Time) {
	x := &pass{coming: map[*host]kqmodel.Resources{}, full: map[stepKey]bool{}, firm: map[stepKey]bool{}, withheld: map[stepKey]bool{}, held: map[string]bool{}, filling: p.looksAtFilling(now)}
	p.leftFilling = !x.filling
	if x.filling {
		p.filledAt, p.backlogFilling = now, 0
	}
	waiting := 0
	for _, j := range p.queued(now, x.filling) {
		for _, t := range j.tasks {
			if t.step.Fills && !x.filling {
				continue
			}
			n := p.placeDue(now, t, x)
			if n > 0 {
				waiting += n
				x.crowd.wait(t, n)
			}
			if t.step.Fills {
				p.backlogFilling += n
			}
		}
	}
	p.backlog = waiting
	if !x.filling {
		p.backlog += p.backlogFilling
	}
	p.short = x.crowd.WaitingEnding > 0
	p.summarise(now)
	if x.filling {
		p.noteCrowd(now, x.crowd)
	}
}

// placeDue starts a task, or a gang at its first member, whose turn has come; it
// returns how many tasks wait for room.
func (p *Planner) placeDue(now time.Time, t *task, x *pass) int {
	switch {
	case !p.isDue(now, t):
	case t.step.Gang:
		if t.id.Index == 0 && p.placeGang(now, t, x) {
			return t.step.Count
		}
	case !p.placeTask(now, t, x):
		return 1
	}
	return 0
}

// isDue reports whether a task may start; a pass will follow if it may soon.
func (p *Planner) isDue(now time.Time, t *task) bool {
	if t.done || !t.step.Gang && len(t.runs) > 0 || !t.ready() {
		return false
	}
	if now.Before(t.retryAt) || t.gathering(now) {
		p.place = true
		return false
	}
	return true
}

// placeTask starts a task that is no member of a gang if a host has room.
func (p *Planner) placeTask(now time.Time, t *task, x *pass) bool {
	if x.held[t.job.queue.Service] && !t.step.Fills && !t.step.Standing {
		p.place = true
		return false
	}
	if p.withheld(now, t, x) {
		p.noteWaiting(now, t, "the service keeps its free processors for jobs that end")
		return false
	}
	if !x.full[t.stepKey()] && (!t.step.Fills || x.misses < p.mostMisses) {
		if h := p.chooseInPass(now, t, x); h != nil {
			p.start(now, t, h)
			x.list.started(p, now, t, h)
			return true
		}
		x.full[t.stepKey()] = true
		if t.step.Fills {
			x.misses++
		}
	}
	p.wait(now, t, x)
	return false
}

// gatherTime is how long a standing task waits for others that are handed in at
// the same time, so that they are packed together.
const gatherTime = 250 * time.Millisecond

func (t *task) gathering(now time.Time) bool {
	return t.step.Standing && t.lastRun == 0 && now.Sub(t.job.spec.SubmittedAt) < gatherTime
}

// noteWaiting logs why a task is not placed, once until it is.
func (p *Planner) noteWaiting(now time.Time, t *task, why string) {
	if t.waiting {
		return
	}
	t.waiting = true
	p.config.Events.Emit(now, kqevent.FlowWaiting, kqevent.Task(t.name), "%s of service %s: %s", t.step.Size, t.job.queue.Service, why)
}

// wait notes that a task finds no room, and makes room for an urgent one.
func (p *Planner) wait(now time.Time, t *task, x *pass) {
	p.noteWaiting(now, t, p.noRoom())
	if !x.firm[t.stepKey()] && t.job.phase(now) == phaseInTime {
		x.firm[t.stepKey()] = !p.preempt(now, t, x.coming)
	}
}

// start decides a run of a task.
func (p *Planner) start(now time.Time, t *task, h *host) {
	j := t.job
	p.config.Counter.Check(!j.state.Final(), kqinvariant.StartedAfterCancel, "task %s", t.id)
	p.config.Counter.Check(t.step.Speculative || len(t.runs) == 0, kqinvariant.TaskInTwoPlaces, "task %s", t.id)
	t.lastRun++
	r := &run{task: t, number: t.lastRun, host: h, worker: h.info.Worker, startedAt: now, movedAt: now, pace: fullPercent, press: p.pressOf(t.step, h)}
	r.ticket, _ = p.ticketFor(now, t, h)
	t.runs = append(t.runs, r)
	h.add(r)
	p.checkRoom(h)
	t.waiting = false
	if j.state == kqflow.StateQueued {
		j.state = kqflow.StateRunning
	}
	p.write(j)
	j.held = append(j.held, heldEffect{revision: j.revision, effect: Effect{Host: h.name, Order: r.order(now)}, run: r})
	p.config.Events.EmitFields(now, kqevent.FlowRunPlaced, kqevent.Task(t.name), []kqevent.Field{kqevent.Run(r.number)},
		"run %d on %s of host %s, free %s", r.number, r.worker, h.name, h.free())
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
	return p.chooseAmong(now, t, func(*host) bool { return true })
}

// chooseAmong returns the best host of those that are allowed, or nil.
func (p *Planner) chooseAmong(now time.Time, t *task, allowed func(*host) bool) *host {
	if p.hold {
		return nil
	}
	var best *host
	var all peers
	bestCost := 0.0
	for _, h := range p.hosts.All() {
		if !h.hasFree(t) || !allowed(h) {
			continue
		}
		p.weighed++
		if !p.eligible(now, t, h) {
			continue
		}
		if best == nil {
			all = p.peersFor(t.step)
		}
		c := p.cost(t, h, all) + coldCost(now, t, h)
		if best == nil || c < bestCost || c == bestCost && h.name < best.name {
			best, bestCost = h, c
		}
	}
	return best
}

// eligible reports whether a host may run a task and has room for it.
func (p *Planner) eligible(now time.Time, t *task, h *host) bool {
	return h.hasFree(t) && p.allowed(now, t, h) && p.approved(now, t, h) && (!t.step.Fills || p.fillsIn(now, t, h))
}

// hasFree reports whether what a task reserves is free on a host.
func (h *host) hasFree(t *task) bool {
	need := t.step.Reserved()
	if t.job.queue.Priority > 0 && !t.step.Fills {
		need.MilliProcessors += h.info.Capacity.MilliProcessors * headroom / 100
	}
	return need.Fits(h.free())
}

// allowed reports whether a host may run a task, whatever room it has.
func (p *Planner) allowed(now time.Time, t *task, h *host) bool {
	s := t.step
	switch {
	case !h.usable(now), h.info.Service != t.job.queue.Service, p.evacuated(h):
		return false
	case s.Label != "" && !slices.Contains(h.info.Labels, s.Label):
		return false
	case s.PerWorker > 0 && h.sameStep(t) >= s.PerWorker:
		return false
	case !p.takesCold(now, t, h):
		return false
	case h.health.quarantined() && !(h.mayProbe(now) && t.job.queue.Attempts-len(t.failed) > 1):
		return false
	}
	return true
}

// sameStep counts the tasks of the same step and occurrence on a host.
func (h *host) sameStep(t *task) int {
	n := 0
	for _, r := range h.runs.All() {
		if r.task.job == t.job && r.task.step == t.step && r.task.id.Occurrence == t.id.Occurrence {
			n++
		}
	}
	return n
}
