package kqplan

import (
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// stepKey identifies a step of one occurrence of a job. All its tasks have the same requirements, so
// the same hosts have capacity for them.
type stepKey struct {
	job        string
	occurrence int
	step       int
}

func (t *task) stepKey() stepKey { return stepKey{t.job.spec.ID, t.id.Occurrence, t.id.Step} }

// placementKey identifies tasks of a step that the same hosts accept.
type placementKey struct {
	step              stepKey
	isRestart         bool
	mayUseQuarantined bool
	isLastAttempt     bool
}

func (t *task) placementKey(now time.Time) placementKey {
	return placementKey{t.stepKey(), t.isRestart(), t.mayUseQuarantined(now), t.isLastAttempt()}
}

// pass is the state of one scheduling pass over all waiting tasks. Free capacity only shrinks
// during a pass, so once one task of a step cannot be placed, no other task of the step can.
type pass struct {
	// includesFilling is true if the pass places filling tasks too.
	includesFilling bool
	// claimed holds the resources that tasks waiting for runs to stop or to end will use on a host.
	claimed map[*host]kqmodel.Resources
	claims
	// unplaceable holds the tasks for which no host has capacity; unpreemptable holds those for
	// which preemption cannot free any either, and unclaimable those that can claim no host.
	unplaceable   map[placementKey]bool
	unpreemptable map[placementKey]bool
	unclaimable   map[placementKey]bool
	// noTrialHost holds the tasks for which there is no host for a trial, with whether they may wait for
	// one; notOnTrialHost holds those that the host of their trial does not accept.
	noTrialHost    map[placementKey]bool
	notOnTrialHost map[placementKey]bool
	// withheld holds the long-running steps that have to leave the free capacity to finite jobs.
	withheld map[stepKey]bool
	// contention sums up the tasks that wait so far.
	contention Contention
	// finiteTasksWait is true if a finite task that does not fill waits for capacity that some worker has.
	finiteTasksWait bool
	// fitsNoWorker holds the tasks that are larger than the workers on which they may run.
	fitsNoWorker map[placementKey]bool
	// shortlist holds the candidate hosts for the latest step.
	shortlist *shortlist
	// waitingGangs holds, by service, the first members of the gangs that wait for capacity so far.
	waitingGangs map[string][]*task
}

const (
	// shortBacklog is the number of waiting tasks up to which passes are spaced by their duration
	// alone.
	shortBacklog = 20
	// passSpacingPerTask is the time between two passes per waiting task, up to maxPassSpacing in
	// total.
	passSpacingPerTask = 500 * time.Microsecond
	maxPassSpacing     = 100 * time.Millisecond
	// While passes take longer than slowPassTime, they take at most slowPassPercent of the owner's
	// time, so that it has more for messages than for passes; maxSlowPassSpacing replaces
	// maxPassSpacing. Urgent tasks must start within 3.4 s.
	slowPassPercent    = 45
	maxSlowPassSpacing = 1500 * time.Millisecond
	// passSpacingFactor is the ratio of the time between two passes to the duration of the latest
	// pass.
	passSpacingFactor = 3
	// fillingSpacingFactor is the same ratio for passes that include filling tasks.
	fillingSpacingFactor = 4
	// maxFillingMisses is the upper limit of Planner.fillingMissLimit: after that many steps of
	// filling tasks that no host accepts, a pass leaves the remaining ones out. Their search is the most
	// expensive, since it considers every run on a host.
	maxFillingMisses = 24
)

// passSpacing returns the least time between two scheduling passes. While many tasks wait, a pass is
// expensive and a short delay costs them little. Spacing by the duration of a pass leaves an owner
// whose passes are slow most of its time for the messages that it receives.
func (p *Planner) passSpacing() time.Duration {
	if p.passDuration > slowPassTime {
		return min(maxSlowPassSpacing, p.passDuration*fullPercent/slowPassPercent)
	}
	spacing := min(maxPassSpacing, passSpacingFactor*p.passDuration)
	if p.backlog <= shortBacklog {
		return spacing
	}
	return max(spacing, min(maxPassSpacing, time.Duration(p.backlog)*passSpacingPerTask))
}

// isFillingDue reports whether a pass is to include filling tasks. Their search scores every run on
// every host, and they run for long. While many tasks wait, only some passes include them, so that
// urgent tasks do not wait for the search.
func (p *Planner) isFillingDue(now time.Time) bool {
	age := now.Sub(p.lastFillingPassAt)
	return age >= fillingSpacingFactor*p.fillingPassDuration && (p.backlog <= shortBacklog || age >= maxPassSpacing)
}

// adjustMissLimit returns the fillingMissLimit of the next pass, given that of the latest one and how
// long it took. It is halved after a slow pass, because urgent tasks wait until the pass has ended,
// and doubled again after a pass that took less than a quarter of slowPassTime.
func adjustMissLimit(limit int, took time.Duration) int {
	switch {
	case took > slowPassTime:
		return max(1, limit/2)
	case took < slowPassTime/4:
		return min(maxFillingMisses, 2*limit)
	}
	return limit
}

// placeAll runs a scheduling pass: it starts, in the order of orderedJobs, every task that is due and
// for which there is capacity.
func (p *Planner) placeAll(now time.Time) {
	ps := &pass{claimed: map[*host]kqmodel.Resources{}, claims: newClaims(), unplaceable: map[placementKey]bool{}, unpreemptable: map[placementKey]bool{}, unclaimable: map[placementKey]bool{}, noTrialHost: map[placementKey]bool{}, notOnTrialHost: map[placementKey]bool{}, withheld: map[stepKey]bool{}, waitingGangs: map[string][]*task{}, fitsNoWorker: map[placementKey]bool{}, includesFilling: p.isFillingDue(now)}
	p.fillingSkipped = !ps.includesFilling
	if ps.includesFilling {
		p.lastFillingPassAt, p.fillingBacklog = now, 0
		p.fillingRound.beginPass(p.fillingMissLimit)
	}
	for _, h := range p.hosts.All() {
		h.longRunningClaims, h.held = kqmodel.Resources{}, heldCapacity{}
		h.updateOverdueStops(now)
	}
	p.placeTrials(now, ps)
	waiting := p.placeRestarts(now, ps)
	for _, j := range p.orderedJobs(now, ps.includesFilling) {
		for _, t := range j.tasks {
			if t.step.Fills && !ps.includesFilling || t.step.LongRunning && ps.restarts[t] {
				continue
			}
			n := p.placeIfDue(now, t, ps)
			if n > 0 {
				waiting += n
				ps.contention.addWaiting(t, n)
				ps.finiteTasksWait = ps.finiteTasksWait || !t.step.Fills && !t.step.LongRunning && p.fitsSomeWorker(now, t, ps)
			}
			if t.step.Fills {
				p.fillingBacklog += n
			}
		}
	}
	p.updateGangHolds(now, ps)
	p.backlog = waiting
	if !ps.includesFilling {
		p.backlog += p.fillingBacklog
	}
	p.finiteTasksWait = ps.finiteTasksWait
	p.buildDigest(now)
	if ps.includesFilling {
		p.logContention(now, ps.contention)
	}
}

// placeIfDue starts a task that is due; a gang is started with its first member. It returns how many
// tasks wait for capacity.
func (p *Planner) placeIfDue(now time.Time, t *task, ps *pass) int {
	switch {
	case !p.isDue(now, t):
	case t.step.Gang:
		if t.id.Index == 0 && p.placeGang(now, t, ps) {
			return t.step.Count
		}
	case !p.placeTask(now, t, ps):
		return 1
	}
	return 0
}

// fitsSomeWorker reports whether some worker on which a task may run could have capacity for it, or all of them
// together for its gang. A task that fits none waits until the workers change, whatever becomes free.
func (p *Planner) fitsSomeWorker(now time.Time, t *task, ps *pass) bool {
	key := t.placementKey(now)
	if ps.fitsNoWorker[key] {
		return false
	}
	if p.couldFit(now, t, func(h *host) (kqmodel.Resources, bool) { return h.info.Capacity, true }) {
		return true
	}
	ps.fitsNoWorker[key] = !t.hasBarredHosts(now)
	return false
}

// isDue reports whether a task may start. If it has to wait for a short time only, another pass is
// requested.
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

// placeTask starts a task that is not part of a gang if a host has capacity; it reports whether it
// did.
func (p *Planner) placeTask(now time.Time, t *task, ps *pass) bool {
	if p.isWithheld(now, t, ps) {
		p.logWaiting(now, t, "the service keeps its free processors for finite jobs")
		return false
	}
	if p.lacksApproval(t) {
		p.logWaiting(now, t, "no worker has been approved for its step")
		return false
	}
	if x := p.trials[t.stepKey()]; x != nil {
		if started, isFree := p.placeInTrial(now, t, x, ps); started || !isFree {
			return started
		}
	}
	key := t.placementKey(now)
	if !ps.unplaceable[key] && (!t.step.Fills || p.fillingRound.maySearch(key)) {
		if h := p.chooseInPass(now, t, ps); h != nil {
			p.start(now, t, h)
			ps.shortlist.rescore(p, now, t, h)
			return true
		}
		// A host that is barred for this task may have capacity for the others of its step.
		ps.unplaceable[key] = !t.hasBarredHosts(now)
		if t.step.Fills && p.fitsSomeWorker(now, t, ps) {
			p.fillingRound.countSearch(key)
		}
	}
	p.waitOrPreempt(now, t, ps)
	return false
}

// gatherTime is how long a long-running task waits after its submission for others that are submitted
// at the same time, so that they are packed together.
const gatherTime = 250 * time.Millisecond

// isGathering reports whether a long-running task still waits for others to be packed with.
func (t *task) isGathering(now time.Time) bool {
	return t.step.LongRunning && t.lastRun == 0 && now.Sub(t.job.spec.SubmittedAt) < gatherTime
}

// logWaiting logs why a task is not placed, once per wait.
func (p *Planner) logWaiting(now time.Time, t *task, reason string) {
	if t.waitLogged {
		return
	}
	t.waitLogged = true
	p.config.Events.Emit(now, kqevent.FlowWaiting, kqevent.Task(t.name), "task needs %s of service %s: %s", t.step.Resources, t.job.queue.Service, reason)
}

// waitOrPreempt handles a task that no host has capacity for: it is logged, and if its job is still
// in time, runs of lower priority are preempted for it. A long-running task that has lost its run
// otherwise claims a host.
func (p *Planner) waitOrPreempt(now time.Time, t *task, ps *pass) {
	p.logWaiting(now, t, p.noCapacityReason())
	if key := t.placementKey(now); !ps.unpreemptable[key] && t.job.phase(now) == phaseInTime {
		if p.preempt(now, t, ps.claimed) {
			return
		}
		ps.unpreemptable[key] = !t.hasBarredHosts(now)
	}
	if t.isRestart() {
		p.claimHost(now, t, ps)
	}
}

// start decides to run a task on a host. The order is sent once the decision has been committed.
func (p *Planner) start(now time.Time, t *task, h *host) {
	j := t.job
	p.config.Counter.Check(!j.state.Final(), kqinvariant.StartedAfterCancel, "task %s", t.id)
	p.config.Counter.Check(t.step.Speculative || len(t.runs) == 0, kqinvariant.TaskInTwoPlaces, "task %s", t.id)
	t.lastRun++
	r := &run{task: t, number: t.lastRun, host: h, worker: h.info.Worker, startedAt: now, progressedAt: now, pace: fullPercent, interference: p.interferenceByImage(t.step, h)}
	r.ticket, _ = p.ticketFor(now, t, h)
	t.addRun(r)
	p.checkCapacity(h)
	t.waitLogged, t.claimedHost = false, ""
	if j.state == kqflow.StateQueued {
		j.state = kqflow.StateRunning
	}
	p.markDirty(j)
	j.pendingEffects = append(j.pendingEffects, pendingEffect{revision: j.revision, effect: Effect{Host: h.name, Order: r.currentOrder(now)}, run: r})
	p.config.Events.EmitFields(now, kqevent.FlowRunPlaced, kqevent.Task(t.name), []kqevent.Field{kqevent.Run(r.number)},
		"run %d placed on %s of host %s, remaining free %s", r.number, r.worker, h.name, h.free())
}

const (
	// minLeaseLeft is the least time that the lease of a host must last for it to get new work.
	minLeaseLeft = 1500 * time.Millisecond
	// reportTimeout is the time since the last report after which a host gets no new work.
	reportTimeout = 1500 * time.Millisecond
)

// usable reports whether the worker of a host may get new work.
func (h *host) usable(now time.Time) bool {
	return h.connected && h.info.Worker != "" && !h.info.Draining && !h.info.Unresponsive && !h.leaseWithheld &&
		h.leaseExpiresAt.Sub(now) > minLeaseLeft && now.Sub(h.lastReportAt) < reportTimeout && len(h.orphans) == 0 && len(h.givenUp) == 0
}

// topPriorityReserve is the share of a worker's processors, in percent, that is kept free for tasks
// of the top priority, 0.
const topPriorityReserve = 6

// chooseHost returns the host with the lowest cost for a task, or nil.
func (p *Planner) chooseHost(now time.Time, t *task) *host {
	return p.chooseHostAmong(now, t, func(*host) bool { return true })
}

// chooseHostAmong returns the permitted host with the lowest cost for a task, or nil. Ties are broken
// by name.
func (p *Planner) chooseHostAmong(now time.Time, t *task, permitted func(*host) bool) *host {
	if p.onHold {
		return nil
	}
	var best *host
	var fleet fleetView
	bestCost := 0.0
	for _, h := range p.hosts.All() {
		if !h.hasCapacity(t) || !permitted(h) {
			continue
		}
		p.scored++
		if !p.eligible(now, t, h) {
			continue
		}
		if best == nil {
			fleet = p.fleetViewFor(t.step)
		}
		c := p.cost(t, h, fleet) + p.warmUpCost(now, t, h) + t.reserveCost(h)
		if best == nil || c < bestCost || c == bestCost && h.name < best.name {
			best, bestCost = h, c
		}
	}
	return best
}

// eligible reports whether a host may run a task and has capacity for it.
func (p *Planner) eligible(now time.Time, t *task, h *host) bool {
	return h.hasCapacity(t) && p.mayRun(now, t, h) && p.isApproved(now, t, h) && (!t.step.Fills || p.acceptsFilling(now, t, h))
}

// hasCapacity reports whether the resources that a task reserves are free on a host, and whether
// those that are free or about to be freed suffice for the long-running tasks that wait there too. What a
// waiting gang holds and the reserve for the top priority must stay free as well; the latter not of a task
// that has that priority, fills or is a restart.
func (h *host) hasCapacity(t *task) bool {
	need := h.withReserveFor(t, t.step.Reserved())
	held := h.heldFrom(t)
	return need.FitsIn(h.free()) && (h.longRunningClaims.IsZero() || h.leavesClaims(need)) && (held.IsZero() || leaves(need, h.free().Sub(held)))
}

// withReserveFor adds to some resources the reserve of a host for the top priority, if it is kept free of
// a task.
func (h *host) withReserveFor(t *task, need kqmodel.Resources) kqmodel.Resources {
	if t.job.queue.Priority > 0 && !t.step.Fills && !t.isRestart() {
		need = h.withTopPriorityReserve(need)
	}
	return need
}

// withTopPriorityReserve adds the reserve of a host for the top priority to what a task needs.
func (h *host) withTopPriorityReserve(need kqmodel.Resources) kqmodel.Resources {
	need.MilliProcessors += h.info.Capacity.MilliProcessors * topPriorityReserve / 100
	return need
}

// mayRun reports whether a host may run a task, regardless of the host's free capacity.
func (p *Planner) mayRun(now time.Time, t *task, h *host) bool {
	switch {
	case !h.usable(now), !p.isSuitable(now, t, h):
		return false
	case h.trial != nil && h.trial.keepsOut(t):
		return false
	case !t.isRestart() && !p.withinWarmUpLimit(now, t, h):
		return false
	case h.health.isQuarantined() && !p.mayRunQuarantined(now, t, h):
		return false
	}
	return true
}

// isSuitable reports whether a task may run on the worker of a host, regardless of the state that the
// worker is in.
func (p *Planner) isSuitable(now time.Time, t *task, h *host) bool {
	s := t.step
	return h.info.Service == t.job.queue.Service && !p.inEvacuatedZone(h) && !now.Before(t.barredUntil[h.name]) &&
		(s.Label == "" || slices.Contains(h.info.Labels, s.Label)) && (s.MaxPerWorker == 0 || h.countSameStep(t) < s.MaxPerWorker)
}

// countSameStep returns how many runs of the task's step and occurrence a host has.
func (h *host) countSameStep(t *task) int {
	n := 0
	for _, r := range h.runs.All() {
		if r.task.job == t.job && r.task.step == t.step && r.task.id.Occurrence == t.id.Occurrence {
			n++
		}
	}
	return n
}
