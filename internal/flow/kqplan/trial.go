package kqplan

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

const (
	// minTrialHosts and trialHostShare (one in so many hosts of a service) bound how many hosts have a
	// trial at a time. A host whose worker does not answer any more counts half, until its end is known.
	minTrialHosts  = 2
	trialHostShare = 5
	// maxNewTrials is how many steps that are suspected of a single crash get a trial for it.
	maxNewTrials = 3
	// maxTrialWait is how long a task that is suspected of a single crash waits for a trial before it is
	// placed like any other.
	maxTrialWait = 2 * time.Second
	// maxTrialTime bounds how long a trial keeps other work from its hosts, unless a worker does not
	// answer: it may have crashed, which is known only once the next incarnation starts.
	maxTrialTime = 3 * time.Second
	// maxClaimTime is how long a task that is suspected of a single crash waits for a claimed host,
	// maxStrictClaimTime the same for a task that is suspected of several.
	maxClaimTime       = time.Second
	maxStrictClaimTime = 2 * time.Second
	// trialClaimPause is how long no trial claims a host after a claim during which no run was placed, for
	// example because a run there does not end. Other work uses the host meanwhile.
	trialClaimPause = maxTrialTime
	// noisyHostRisk is the cost of a host on which other runs have just started, relative to a host whose
	// processors are all in use: a trial waits until they have been at work for trialTime.
	noisyHostRisk = 0.25
	// sameHostRisk is the cost of a host on which a worker has crashed under the task before: if it does
	// again, the host may be the cause.
	sameHostRisk = 1.0
	// trialCostWeight is the weight of the placement cost against the work that a trial puts at risk.
	trialCostWeight = 1.0
)

// trial runs the suspects of a step on one host, or a gang on as few as it fits, while nothing else
// starts there. All tasks of the step take part: tasks of a step behave alike, and on one host they put
// one worker at risk. The trial ends once its runs have been at work for trialTime.
type trial struct {
	task *task // any task of the step
	// requiredAt is when the trial was required, waitingSince when a task was first due for it, and
	// startedAt when its hosts were claimed.
	requiredAt   time.Time
	waitingSince time.Time
	startedAt    time.Time
	hosts        []*host
	// placed is true once a run was placed.
	placed bool
	// isStrict is true if a task of the step was suspected of two crashes or more at the latest update. Its
	// tasks then wait for a trial as long as it takes.
	isStrict bool
}

// release lets other work start on the hosts of the trial.
func (x *trial) release(now time.Time) {
	for _, h := range x.hosts {
		h.trial = nil
		if !x.placed {
			h.noTrialBefore = now.Add(trialClaimPause)
		}
	}
	x.hosts, x.placed = nil, false
}

// updateStrict brings isStrict up to date.
func (x *trial) updateStrict() {
	x.isStrict = x.anyTask(func(t *task) bool { return !t.done && t.suspectedCrashes() > 1 })
}

// includes reports whether a task takes part in the trial.
func (x *trial) includes(t *task) bool { return x.task.stepKey() == t.stepKey() }

// keepsOut reports whether a task may not start on a host of the trial. Until the trial's first run is
// placed, restarts of long-running tasks may: they serve nobody while they wait, and the host that a
// trial takes is often the one that they were lost with.
func (x *trial) keepsOut(t *task) bool { return !x.includes(t) && (x.placed || !t.isRestart()) }

// requireTrials requires trials for suspects of the same crash: for all steps that are suspected of
// several, and up to maxNewTrials others. Of these the ones that started last come first, since a crash
// most likely follows its cause.
func (p *Planner) requireTrials(now time.Time, suspects []crashedRun) {
	sortByRunTime(suspects)
	added := 0
	for _, r := range suspects {
		key := r.task.stepKey()
		if x := p.trials[key]; x != nil {
			x.updateStrict()
			continue
		}
		if r.task.suspectedCrashes() == 1 {
			if added >= maxNewTrials {
				continue
			}
			added++
		}
		x := &trial{task: r.task, requiredAt: now}
		x.updateStrict()
		p.trials[key] = x
	}
}

// maxTrialHosts returns how many hosts of a service may have a trial at a time.
func (p *Planner) maxTrialHosts(service string) int {
	n := 0
	for _, h := range p.hosts.All() {
		if h.info.Service == service {
			n++
		}
	}
	return minTrialHosts + n/trialHostShare
}

// updateTrials ends the trials that have passed, and those of steps that have ended.
func (p *Planner) updateTrials(now time.Time) {
	for key, x := range p.trials {
		isOver := x.isOver()
		x.updateStrict()
		if !isOver && (x.isWaiting(now) || x.isInProgress(now)) {
			continue
		}
		x.release(now)
		// A strict trial goes on until each suspect has passed.
		if isOver || !x.anyTask(func(t *task) bool { return t.isPending() && t.suspectedCrashes() > 1 }) {
			delete(p.trials, key)
		}
		p.passRequested = true
	}
}

// anyTask reports whether the condition holds for a task of the step.
func (x *trial) anyTask(condition func(t *task) bool) bool {
	return slices.ContainsFunc(x.task.stepTasks(), condition)
}

// isOver reports whether the step or its job has ended.
func (x *trial) isOver() bool {
	return x.task.job.state.Final() || !x.anyTask(func(t *task) bool { return !t.done })
}

// isWaiting reports whether the trial has no host and its tasks wait for one, or may have to.
func (x *trial) isWaiting(now time.Time) bool {
	switch {
	case len(x.hosts) > 0:
		return false
	case x.isStrict:
		return true
	case x.waitingSince.IsZero():
		return x.anyTask((*task).isPending)
	}
	return now.Sub(x.waitingSince) < maxTrialWait
}

// isInProgress reports whether the trial has a host, and a run there that has not been at work for
// trialTime or that is still to be placed.
func (x *trial) isInProgress(now time.Time) bool {
	limit := maxClaimTime
	switch {
	case x.placed:
		limit = maxTrialTime
	case x.isStrict:
		limit = maxStrictClaimTime
	}
	return len(x.hosts) > 0 && (!x.placed || x.anyTask((*task).hasUnprovenRun)) &&
		(now.Sub(x.startedAt) < limit || slices.ContainsFunc(x.hosts, func(h *host) bool { return h.info.Unresponsive }))
}

// isPending reports whether a task is neither done nor proven to be at work.
func (t *task) isPending() bool { return !t.done && !t.hasProvenRun() }

func (t *task) hasUnprovenRun() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return !r.stopping && !r.isProven() })
}

func (t *task) hasProvenRun() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return !r.stopping && r.isProven() })
}

// placeTrials places the tasks that need trials, before a pass places any other: what a trial needs is
// little, and as long as it waits, so does the end of the crashes.
func (p *Planner) placeTrials(now time.Time, ps *pass) {
	trials := slices.SortedFunc(maps.Values(p.trials), func(a, b *trial) int {
		return cmp.Or(a.requiredAt.Compare(b.requiredAt), strings.Compare(a.task.name, b.task.name))
	})
	for _, x := range trials {
		for _, t := range x.task.stepTasks() {
			if !t.job.state.Final() && (!t.step.Fills || ps.includesFilling) {
				p.placeIfDue(now, t, ps)
			}
		}
	}
}

// placeInTrial starts a task of a step that needs a trial; it reports whether it did. isFree is true if
// the task may be placed like any other instead.
func (p *Planner) placeInTrial(now time.Time, t *task, x *trial, ps *pass) (started, isFree bool) {
	if x.waitingSince.IsZero() {
		x.waitingSince = now
	}
	if len(x.hosts) == 0 {
		h, mayWait := p.chooseTrialHostInPass(now, t, ps)
		switch {
		case h != nil:
			p.claimForTrial(now, x, h)
		case mayWait || !x.isStrict:
			p.passRequested = true
			return false, !mayWait
		default:
			p.waitOrPreempt(now, t, ps)
			return false, false
		}
	}
	h, key := x.hosts[0], t.placementKey(now)
	if ps.notOnTrialHost[key] || !p.eligible(now, t, h) || h.hasJustStartedOthers(now, x) {
		ps.notOnTrialHost[key] = !t.hasBarredHosts(now)
		p.passRequested = true
		return false, false
	}
	x.placed = true
	p.start(now, t, h)
	return true, false
}

// claimForTrial keeps other work from a host for the time of a trial.
func (p *Planner) claimForTrial(now time.Time, x *trial, h *host) {
	h.trial, x.startedAt = x, now
	x.hosts = append(x.hosts, h)
	p.config.Events.Emit(now, kqevent.FlowTrial, kqevent.Task(x.task.name), "the tasks of step %d are tried on host %s, where nothing else starts meanwhile; processors in use by other runs: %d of %d", x.task.id.Step, h.name, h.usedProcessors(), h.processors())
}

// chooseTrialHostInPass is chooseTrialHost, which is called once in a pass for the tasks that the same
// hosts accept: as long as it finds no host for one of them, it finds none for the others.
func (p *Planner) chooseTrialHostInPass(now time.Time, t *task, ps *pass) (best *host, mayWait bool) {
	key := t.placementKey(now)
	if mayWait, ok := ps.noTrialHost[key]; ok {
		return nil, mayWait
	}
	best, mayWait = p.chooseTrialHost(now, t)
	if best == nil && !t.hasBarredHosts(now) {
		ps.noTrialHost[key] = mayWait
	}
	return best, mayWait
}

// chooseTrialHost returns the host for a trial on which the crash of the worker would cost the least, or
// nil if the trials that run are enough, the hosts that can run the task pause between two claims, or no host
// can; mayWait is true unless no host can. The host need not have capacity at present, since nothing else that
// starts takes what becomes free.
func (p *Planner) chooseTrialHost(now time.Time, t *task) (best *host, mayWait bool) {
	if p.onHold || !p.hasFreeTrialHost(t.job.queue.Service) {
		return nil, true
	}
	lowest := 0.0
	for _, h := range p.hosts.All() {
		if !h.hasFiniteCapacity(t) || !p.mayRun(now, t, h) || !p.isApproved(now, t, h) || t.step.Fills && !p.acceptsFilling(now, t, h) {
			continue
		}
		if mayWait = true; now.Before(h.noTrialBefore) {
			continue
		}
		if risk := p.trialRisk(now, t, h); best == nil || risk < lowest || risk == lowest && h.name < best.name {
			best, lowest = h, risk
		}
	}
	return best, mayWait
}

// hasFiniteCapacity reports whether the resources that a task reserves are free on a host, or will be as
// its finite runs end.
func (h *host) hasFiniteCapacity(t *task) bool { return t.step.Reserved().FitsIn(h.freeOfFinite()) }

// trialRisk returns the cost of a trial on a host: the share of its processors that other runs use, with
// the cost of the task's placement there.
func (p *Planner) trialRisk(now time.Time, t *task, h *host) float64 {
	risk := float64(h.usedProcessors())/float64(h.processors()) + trialCostWeight*p.cost(t, h, p.fleetViewFor(t.step))
	if h.hasJustStartedOthers(now, nil) {
		risk += noisyHostRisk
	}
	if slices.ContainsFunc(t.crashes, func(x kqflow.CrashRecord) bool { return x.Host == h.name }) {
		risk += sameHostRisk
	}
	return risk
}

// usedProcessors returns the processors, in thousandths, of all runs of a host.
func (h *host) usedProcessors() int64 { return h.usage.regular + h.usage.serving + h.usage.filling }

// hasJustStartedOthers reports whether a run on the host that does not take part in a trial has not been
// at work for trialTime yet. A run that no report lists for maxTrialTime may never start and is ignored.
func (h *host) hasJustStartedOthers(now time.Time, x *trial) bool {
	for _, r := range h.runs.All() {
		if !r.isProven() && now.Sub(r.startedAt) < maxTrialTime && (x == nil || !x.includes(r.task)) {
			return true
		}
	}
	return false
}

// hasFreeTrialHost reports whether another host of a service may have a trial.
func (p *Planner) hasFreeTrialHost(service string) bool {
	answering, silent := 0, 0
	for _, h := range p.hosts.All() {
		switch {
		case h.trial == nil || h.info.Service != service:
		case h.info.Unresponsive:
			silent++
		default:
			answering++
		}
	}
	return answering+silent/2 < p.maxTrialHosts(service)
}

// chooseTrialGangHosts returns a host for each member of a gang that needs a trial, on as few hosts as it
// fits and those on which a crash would cost the least, or nil. The trial claims the hosts.
func (p *Planner) chooseTrialGangHosts(now time.Time, x *trial, members []*task) []*host {
	var candidates []*host
	for _, h := range p.hosts.All() {
		if p.eligible(now, members[0], h) {
			candidates = append(candidates, h)
		}
	}
	slices.SortFunc(candidates, func(a, b *host) int {
		return cmp.Or(cmp.Compare(p.trialRisk(now, members[0], a), p.trialRisk(now, members[0], b)), strings.Compare(a.name, b.name))
	})
	for n := 1; ; n = min(2*n, len(candidates)) {
		if n > len(candidates) {
			return nil
		}
		permitted := make(map[*host]bool, n)
		for _, h := range candidates[:n] {
			permitted[h] = true
		}
		if out := p.chooseHosts(now, members, func(h *host) bool { return permitted[h] }); out != nil {
			for _, h := range out {
				if h.trial == nil {
					p.claimForTrial(now, x, h)
				}
			}
			x.placed = true
			return out
		}
		if n == len(candidates) {
			return nil
		}
	}
}
