package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

const (
	// evacuationGrace is the time after the start of an evacuation within which no run that makes
	// progress is stopped: many evacuations end within it.
	evacuationGrace = 10 * time.Second
	// minRelocatedWork is the expected remaining time above which a task with checkpoints is
	// relocated: a move costs a stop, a wait for capacity and the restoring of the checkpoint, which
	// does not pay off for less.
	minRelocatedWork = 10 * time.Second
	// relocationInterval is the least time between two relocations, and
	// longRunningRelocationInterval that between two relocations of long-running tasks: relocated
	// tasks use capacity of the other zones.
	relocationInterval            = 250 * time.Millisecond
	longRunningRelocationInterval = 2 * time.Second
	// maxRelocationSearches bounds the runs per check for which another host is searched: each
	// search scores every host.
	maxRelocationSearches = 8
	// minFreePercent is the share of the other zones' processors, in percent, that relocations
	// leave free.
	minFreePercent = 10
)

// relocateFromEvacuated moves work that would run for long out of the evacuated zones, one run or
// gang at a time and while the other zones have capacity for it. Nothing is relocated while finite
// tasks wait for capacity, the owner is overloaded or starts are suspended.
func (p *Planner) relocateFromEvacuated(now time.Time) {
	if p.zones.Len() == 0 || now.Sub(p.relocationCheckedAt) < relocationInterval {
		return
	}
	p.relocationCheckedAt = now
	p.warnDoubtfulZones(now)
	if p.onHold || p.finiteTasksWait || p.isOverloaded() {
		return
	}
	p.relocations.beginPass(maxRelocationSearches)
	p.unavailableTasks = map[stepKey]int{}
	for _, h := range p.rotatedHosts() {
		if !p.mayRelocateFrom(now, h) {
			continue
		}
		for _, r := range h.runList() {
			if !p.shouldRelocate(now, r) {
				continue
			}
			if !p.relocations.maySearch(r.key()) {
				continue
			}
			if p.relocate(now, r) {
				return
			}
			p.relocations.countSearch(r.key())
		}
	}
}

// inEvacuationGrace reports whether the zone of a host has been evacuated for less than
// evacuationGrace, so that no run that makes progress is stopped there.
func (p *Planner) inEvacuationGrace(now time.Time, h *host) bool {
	since, ok := p.zones.Since(h.info.Zone)
	return ok && now.Sub(since) < evacuationGrace
}

// mayRelocateFrom reports whether the zone of a host has been evacuated for long enough that work may
// be relocated from it.
func (p *Planner) mayRelocateFrom(now time.Time, h *host) bool {
	since, ok := p.zones.Since(h.info.Zone)
	return ok && now.Sub(since) >= evacuationGrace && h.usable(now)
}

// shouldRelocate reports whether a run in an evacuated zone is to be relocated.
func (p *Planner) shouldRelocate(now time.Time, r *run) bool {
	s := r.task.step
	switch {
	case r.stopping || !r.ordered || !r.reported || r.task.done || len(r.task.runs) > 1 || r.task.job.state.Final():
		return false
	case s.LongRunning:
		return now.Sub(p.longRunningRelocatedAt) >= longRunningRelocationInterval && r.isAvailable(now) && p.countUnavailable(now, r.task) < s.MaxUnavailable
	case s.Gang && r.task.id.Index > 0:
		// A gang is relocated as a whole, with its first member.
		return false
	}
	return s.Checkpoints && r.expectedRemaining(now) > minRelocatedWork
}

// runReportTimeout is the time without a report after which a long-running run counts as
// unavailable.
const runReportTimeout = 3 * time.Second

// isAvailable reports whether a long-running run is available: it is not being stopped, its progress
// is complete, and it was reported recently.
func (r *run) isAvailable(now time.Time) bool {
	return r.reported && !r.stopping && r.percent >= fullPercent && now.Sub(r.lastReportAt) < runReportTimeout
}

// countUnavailable returns how many tasks of a long-running step have no available run, for any
// reason. The result is cached for the rest of the relocation check.
func (p *Planner) countUnavailable(now time.Time, t *task) int {
	if n, ok := p.unavailableTasks[t.stepKey()]; ok {
		return n
	}
	n := 0
	for _, m := range t.stepTasks() {
		available := false
		for _, r := range m.runs {
			available = available || r.isAvailable(now)
		}
		if !available {
			n++
		}
	}
	p.unavailableTasks[t.stepKey()] = n
	return n
}

// expectedRemaining returns the expected remaining time of a run on its host: extrapolated from its
// progress, or from its estimate if it has run too briefly or made too little progress.
func (r *run) expectedRemaining(now time.Time) time.Duration {
	ran := now.Sub(r.firstReportAt)
	if ran < minProgressTime || r.percent < 1 {
		return time.Duration(float64(r.task.step.Estimate) * (fullPercent - r.percent) / fullPercent)
	}
	return time.Duration(float64(ran) * (fullPercent - r.percent) / r.percent)
}

// relocate stops a run, or its gang, if another zone has capacity for it; it reports whether it did.
// The next scheduling pass places the task again.
func (p *Planner) relocate(now time.Time, r *run) bool {
	t, s := r.task, r.task.step
	if s.LongRunning && !p.leavesFiniteJobShare(now, t) {
		return false
	}
	if !p.hasPlaceElsewhere(now, t) {
		return false
	}
	if s.LongRunning {
		p.longRunningRelocatedAt = now
		p.logMove(now, r, "its zone %s is evacuated, %d of %d tasks are unavailable and at most %d may be", r.host.info.Zone, p.countUnavailable(now, t), s.Count, s.MaxUnavailable)
	} else {
		p.logMove(now, r, "its zone %s is evacuated, expected remaining time %s", r.host.info.Zone, r.expectedRemaining(now).Round(time.Millisecond))
	}
	p.stop(r)
	p.stopGang(t)
	return true
}

// hasPlaceElsewhere reports whether a task, or its gang, can be placed in another zone while the
// other zones keep capacity free for finite jobs.
func (p *Planner) hasPlaceElsewhere(now time.Time, t *task) bool {
	if !t.step.Gang {
		// A long-running task is not stopped to move it to a worker that is its last resort.
		permitted := func(h *host) bool {
			return !t.step.LongRunning || !h.health.isQuarantined() && p.withinWarmUpLimit(now, t, h) && t.reserveCost(h) == 0
		}
		return p.keepsCapacityFree(now, t, 1) && p.chooseHostAmong(now, t, permitted) != nil
	}
	members := t.stepTasks()
	return p.keepsCapacityFree(now, t, len(members)) && p.chooseGangHosts(now, t, members) != nil
}

// keepsCapacityFree reports whether the other zones keep enough capacity free for finite jobs if
// count tasks of t's step are relocated to them.
func (p *Planner) keepsCapacityFree(now time.Time, t *task, count int) bool {
	var capacity, finite, free int64
	for _, h := range p.hosts.All() {
		if !p.serves(now, h, t.job.queue.Service) {
			continue
		}
		capacity += h.info.Capacity.MilliProcessors
		free += max(0, h.free().MilliProcessors)
		finite += h.usage.reserved.MilliProcessors - h.usage.longRunning
	}
	need := kqmodel.Resources{MilliProcessors: t.step.Reserved().MilliProcessors * int64(count)}
	expectedDemand := int64(p.finiteJobShare(now, t.job.queue, capacity, demandMargin)*float64(capacity)) - finite
	return free-need.MilliProcessors >= max(capacity*minFreePercent/fullPercent, expectedDemand)
}
