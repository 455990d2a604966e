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
	step       int
}

func (t *task) stepKey() stepKey { return stepKey{t.job.spec.ID, t.id.Occurrence, t.id.Step} }

// pass is what one look at all waiting tasks has found so far. Room only
// shrinks meanwhile, so what one task of a step does not find no other finds.
type pass struct {
	// filling is true if filling tasks are looked at too.
	includesFilling bool
	// coming is the room that preempted runs will leave.
	claimed map[*host]kqmodel.Resources
	// full and firm are the steps for which no host has room, and for which nothing
	// could be preempted.
	unplaceable   map[stepKey]bool
	unpreemptable map[stepKey]bool
	// withheld is the steps that stay and may not take the room that there is.
	withheld map[stepKey]bool
	// misses counts the steps of filling tasks for which no host has room.
	fillingMisses int
	// crowd is what waits so far.
	contention Contention
	// list is the hosts with room for the latest step.
	shortlist *shortlist
	// held is the services in which a gang waits for what comes free.
	heldServices map[string]bool
}

const (
	// shortQueue is up to how many waiting tasks each change is acted on at once.
	shortBacklog = 20
	// spacingOf is the time between two passes for each waiting task, up to
	// mostSpacing.
	passSpacingPerTask = 500 * time.Microsecond
	maxPassSpacing     = 100 * time.Millisecond
	// spacingShare is how many times as long as the latest pass the next one waits.
	passSpacingFactor = 3
	// fillingShare is the same for passes that look at filling tasks.
	fillingSpacingFactor = 4
	// mostMisses is at most for how many steps of filling tasks a pass finds no room
	// before it leaves those whose turn is later: looking for their room
	// costs most, since every run on a host counts.
	maxFillingMisses = 24
)

// spacing is the least time between two passes: while many tasks wait, a pass
// is expensive and a short delay costs them little. An owner that is slow for its
// fleet spends most of its time on what it hears.
func (p *Planner) passSpacing() time.Duration {
	least := min(maxPassSpacing, passSpacingFactor*p.passDuration)
	if p.backlog <= shortBacklog {
		return least
	}
	return max(least, min(maxPassSpacing, time.Duration(p.backlog)*passSpacingPerTask))
}

// looksAtFilling reports whether a pass looks at filling tasks too. Their search
// weighs every run on every host and they work for long: while many wait, only
// some passes do, and urgent tasks need not wait for the others.
func (p *Planner) isFillingDue(now time.Time) bool {
	age := now.Sub(p.lastFillingPassAt)
	return age >= fillingSpacingFactor*p.fillingPassDuration && (p.backlog <= shortBacklog || age >= maxPassSpacing)
}

// fewerMisses returns for how many steps of filling tasks the next pass looks in vain,
// after a pass that took some time: urgent tasks wait until it has ended.
func adjustMissLimit(now int, took time.Duration) int {
	switch {
	case took > slowPassTime:
		return max(1, now/2)
	case took < slowPassTime/4:
		return min(maxFillingMisses, 2*now)
	}
	return now
}

// placeAll starts every task whose turn has come and for which there is room.
func (p *Planner) placeAll(now time.Time) {
	x := &pass{claimed: map[*host]kqmodel.Resources{}, unplaceable: map[stepKey]bool{}, unpreemptable: map[stepKey]bool{}, withheld: map[stepKey]bool{}, heldServices: map[string]bool{}, includesFilling: p.isFillingDue(now)}
	p.fillingSkipped = !x.includesFilling
	if x.includesFilling {
		p.lastFillingPassAt, p.fillingBacklog = now, 0
	}
	waiting := 0
	for _, j := range p.orderedJobs(now, x.includesFilling) {
		for _, t := range j.tasks {
			if t.step.Fills && !x.includesFilling {
				continue
			}
			n := p.placeIfDue(now, t, x)
			if n > 0 {
				waiting += n
				x.contention.addWaiting(t, n)
			}
			if t.step.Fills {
				p.fillingBacklog += n
			}
		}
	}
	p.backlog = waiting
	if !x.includesFilling {
		p.backlog += p.fillingBacklog
	}
	p.finiteTasksWait = x.contention.WaitingFinite > 0
	p.buildDigest(now)
	if x.includesFilling {
		p.logContention(now, x.contention)
	}
}

// placeDue starts a task, or a gang at its first member, whose turn has come; it
// returns how many tasks wait for room.
func (p *Planner) placeIfDue(now time.Time, t *task, x *pass) int {
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
	if now.Before(t.retryAt) || t.isGathering(now) {
		p.passRequested = true
		return false
	}
	return true
}

// placeTask starts a task that is no member of a gang if a host has room.
func (p *Planner) placeTask(now time.Time, t *task, x *pass) bool {
	if x.heldServices[t.job.queue.Service] && !t.step.Fills && !t.step.LongRunning {
		p.passRequested = true
		return false
	}
	if p.isWithheld(now, t, x) {
		p.logWaiting(now, t, "the service keeps its free processors for jobs that end")
		return false
	}
	if !x.unplaceable[t.stepKey()] && (!t.step.Fills || x.fillingMisses < p.fillingMissLimit) {
		if h := p.chooseInPass(now, t, x); h != nil {
			p.start(now, t, h)
			x.shortlist.rescore(p, now, t, h)
			return true
		}
		x.unplaceable[t.stepKey()] = true
		if t.step.Fills {
			x.fillingMisses++
		}
	}
	p.waitOrPreempt(now, t, x)
	return false
}

// gatherTime is how long a standing task waits for others that are handed in at
// the same time, so that they are packed together.
const gatherTime = 250 * time.Millisecond

func (t *task) isGathering(now time.Time) bool {
	return t.step.LongRunning && t.lastRun == 0 && now.Sub(t.job.spec.SubmittedAt) < gatherTime
}

// noteWaiting logs why a task is not placed, once until it is.
func (p *Planner) logWaiting(now time.Time, t *task, why string) {
	if t.waitLogged {
		return
	}
	t.waitLogged = true
	p.config.Events.Emit(now, kqevent.FlowWaiting, kqevent.Task(t.name), "%s of service %s: %s", t.step.Resources, t.job.queue.Service, why)
}

// wait notes that a task finds no room, and makes room for an urgent one.
func (p *Planner) waitOrPreempt(now time.Time, t *task, x *pass) {
	p.logWaiting(now, t, p.noCapacityReason())
	if !x.unpreemptable[t.stepKey()] && t.job.phase(now) == phaseInTime {
		x.unpreemptable[t.stepKey()] = !p.preempt(now, t, x.claimed)
	}
}

// start decides a run of a task.
func (p *Planner) start(now time.Time, t *task, h *host) {
	j := t.job
	p.config.Counter.Check(!j.state.Final(), kqinvariant.StartedAfterCancel, "task %s", t.id)
	p.config.Counter.Check(t.step.Speculative || len(t.runs) == 0, kqinvariant.TaskInTwoPlaces, "task %s", t.id)
	t.lastRun++
	r := &run{task: t, number: t.lastRun, host: h, worker: h.info.Worker, startedAt: now, progressedAt: now, pace: fullPercent, interference: p.interferenceByImage(t.step, h)}
	r.ticket, _ = p.ticketFor(now, t, h)
	t.runs = append(t.runs, r)
	h.addRun(r)
	p.checkCapacity(h)
	t.waitLogged = false
	if j.state == kqflow.StateQueued {
		j.state = kqflow.StateRunning
	}
	p.markDirty(j)
	j.pendingEffects = append(j.pendingEffects, pendingEffect{revision: j.revision, effect: Effect{Host: h.name, Order: r.currentOrder(now)}, run: r})
	p.config.Events.EmitFields(now, kqevent.FlowRunPlaced, kqevent.Task(t.name), []kqevent.Field{kqevent.Run(r.number)},
		"run %d on %s of host %s, free %s", r.number, r.worker, h.name, h.free())
}

const (
	minLeaseLeft  = 1500 * time.Millisecond
	reportTimeout = 1500 * time.Millisecond
)

// usable reports whether the worker of a host may get new work.
func (h *host) usable(now time.Time) bool {
	return h.connected && h.info.Worker != "" && !h.info.Draining && !h.info.Unresponsive &&
		h.leaseExpiresAt.Sub(now) > minLeaseLeft && now.Sub(h.lastReportAt) < reportTimeout && len(h.orphans) == 0
}

// headroom is the share of a worker's processors, in percent, that is kept
// free for the first priority.
const topPriorityReserve = 6

// choose returns the best host for a task, or nil.
func (p *Planner) chooseHost(now time.Time, t *task) *host {
	return p.chooseHostAmong(now, t, func(*host) bool { return true })
}

// chooseAmong returns the best host of those that are allowed, or nil.
func (p *Planner) chooseHostAmong(now time.Time, t *task, allowed func(*host) bool) *host {
	if p.onHold {
		return nil
	}
	var best *host
	var all fleetView
	bestCost := 0.0
	for _, h := range p.hosts.All() {
		if !h.hasCapacity(t) || !allowed(h) {
			continue
		}
		p.scored++
		if !p.eligible(now, t, h) {
			continue
		}
		if best == nil {
			all = p.fleetViewFor(t.step)
		}
		c := p.cost(t, h, all) + warmUpCost(now, t, h)
		if best == nil || c < bestCost || c == bestCost && h.name < best.name {
			best, bestCost = h, c
		}
	}
	return best
}

// eligible reports whether a host may run a task and has room for it.
func (p *Planner) eligible(now time.Time, t *task, h *host) bool {
	return h.hasCapacity(t) && p.mayRun(now, t, h) && p.isApproved(now, t, h) && (!t.step.Fills || p.acceptsFilling(now, t, h))
}

// hasFree reports whether what a task reserves is free on a host.
func (h *host) hasCapacity(t *task) bool {
	need := t.step.Reserved()
	if t.job.queue.Priority > 0 && !t.step.Fills {
		need.MilliProcessors += h.info.Capacity.MilliProcessors * topPriorityReserve / 100
	}
	return need.Fits(h.free())
}

// allowed reports whether a host may run a task, whatever room it has.
func (p *Planner) mayRun(now time.Time, t *task, h *host) bool {
	s := t.step
	switch {
	case !h.usable(now), h.info.Service != t.job.queue.Service, p.inEvacuatedZone(h):
		return false
	case s.Label != "" && !slices.Contains(h.info.Labels, s.Label):
		return false
	case s.MaxPerWorker > 0 && h.countSameStep(t) >= s.MaxPerWorker:
		return false
	case !p.withinWarmUpLimit(now, t, h):
		return false
	case h.health.isQuarantined() && !(h.mayProbe(now) && t.job.queue.MaxAttempts-len(t.failedRuns) > 1):
		return false
	}
	return true
}

// sameStep counts the tasks of the same step and occurrence on a host.
func (h *host) countSameStep(t *task) int {
	n := 0
	for _, r := range h.runs.All() {
		if r.task.job == t.job && r.task.step == t.step && r.task.id.Occurrence == t.id.Occurrence {
			n++
		}
	}
	return n
}
