package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

const (
	// stayFirst is how long nothing is stopped after a zone was evacuated: many
	// evacuations are over by then.
	evacuationGrace = 10 * time.Second
	// leaveAfter is from how much work left on a task with checkpoints moves out: a move
	// costs a stop, a wait for a place and the restoring, which shorter work is not
	// worth.
	minRelocatedWork = 10 * time.Second
	// leaveInterval is the least time between two moves of tasks that end out of
	// evacuated zones, leaveStanding the same for tasks that stay: what is moved takes
	// room of the other zones.
	relocationInterval            = 250 * time.Millisecond
	longRunningRelocationInterval = 2 * time.Second
	// mostSought is for how many runs a place is sought at a time: each search weighs
	// every host.
	maxRelocationSearches = 8
	// leastRoom is the share of the other zones' processors, in percent, that moves
	// leave free.
	minFreePercent = 10
)

// leaveZones moves work out of evacuated zones that is there for long, a run at a
// time and while the other zones have room for it.
func (p *Planner) relocateFromEvacuated(now time.Time) {
	if p.zones.Len() == 0 || now.Sub(p.relocationCheckedAt) < relocationInterval {
		return
	}
	p.relocationCheckedAt = now
	p.warnDoubtfulZones(now)
	if p.onHold || p.finiteTasksWait || p.isOverloaded() {
		return
	}
	sought := maxRelocationSearches
	p.unavailableTasks = map[stepKey]int{}
	for _, h := range p.rotatedHosts() {
		if !p.mayRelocateFrom(now, h) {
			continue
		}
		for _, r := range h.runList() {
			if !p.shouldRelocate(now, r) {
				continue
			}
			if sought--; sought < 0 || p.relocate(now, r) {
				return
			}
		}
	}
}

// staysFirst reports whether the zone of a host was evacuated so lately that nothing is
// stopped there which makes progress.
func (p *Planner) inEvacuationGrace(now time.Time, h *host) bool {
	since, ok := p.zones.Since(h.info.Zone)
	return ok && now.Sub(since) < evacuationGrace
}

// mayLeave reports whether the zone of a host is evacuated for long enough that work
// may be moved out.
func (p *Planner) mayRelocateFrom(now time.Time, h *host) bool {
	since, ok := p.zones.Since(h.info.Zone)
	return ok && now.Sub(since) >= evacuationGrace && h.usable(now)
}

// isToLeave reports whether a run in an evacuated zone is worth a move.
func (p *Planner) shouldRelocate(now time.Time, r *run) bool {
	s := r.task.step
	switch {
	case r.stopping || !r.ordered || !r.reported || r.task.done || len(r.task.runs) > 1 || r.task.job.state.Final():
		return false
	case s.LongRunning:
		return now.Sub(p.longRunningRelocatedAt) >= longRunningRelocationInterval && r.isServing(now) && p.countUnavailable(now, r.task) < s.MaxUnavailable
	case s.Gang && r.task.id.Index > 0:
		// A gang moves as one, by its first member.
		return false
	}
	return s.Checkpoints && r.expectedRemaining(now) > minRelocatedWork
}

// standingHeard is after how long without a report a standing task counts as away.
const servingReportTimeout = 3 * time.Second

// atWork reports whether a standing run serves: its progress is complete.
func (r *run) isServing(now time.Time) bool {
	return r.reported && !r.stopping && r.percent >= fullPercent && now.Sub(r.lastReportAt) < servingReportTimeout
}

// away counts the tasks of a standing step that do not serve, whatever the cause. It
// counts once in each look at the evacuated zones.
func (p *Planner) countUnavailable(now time.Time, t *task) int {
	if n, ok := p.unavailableTasks[t.stepKey()]; ok {
		return n
	}
	n := 0
	for _, m := range t.stepTasks() {
		serves := false
		for _, r := range m.runs {
			serves = serves || r.isServing(now)
		}
		if !serves {
			n++
		}
	}
	p.unavailableTasks[t.stepKey()] = n
	return n
}

// left returns how long a run is expected to go on where it is, by its progress so
// far or by its estimate while that shows little.
func (r *run) expectedRemaining(now time.Time) time.Duration {
	ran := now.Sub(r.firstReportAt)
	if ran < minProgressTime || r.percent < 1 {
		return time.Duration(float64(r.task.step.Estimate) * (fullPercent - r.percent) / fullPercent)
	}
	return time.Duration(float64(ran) * (fullPercent - r.percent) / r.percent)
}

// leave stops a run, or its gang, that has a place in another zone.
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
		p.logMove(now, r, "its zone %s is evacuated, %d of %d tasks away of %d that may be", r.host.info.Zone, p.countUnavailable(now, t), s.Count, s.MaxUnavailable)
	} else {
		p.logMove(now, r, "its zone %s is evacuated, %s left", r.host.info.Zone, r.expectedRemaining(now).Round(time.Millisecond))
	}
	p.stop(r)
	p.stopGang(t)
	return true
}

// hasPlace reports whether a task, or its gang, has a place in another zone that keeps
// room for quick jobs.
func (p *Planner) hasPlaceElsewhere(now time.Time, t *task) bool {
	if !t.step.Gang {
		return p.keepsCapacityFree(now, t, 1) && p.chooseHost(now, t) != nil
	}
	members := t.stepTasks()
	return p.keepsCapacityFree(now, t, len(members)) && p.chooseGangHosts(now, t, members) != nil
}

// keepsRoom reports whether the other zones keep room for quick jobs if they take
// some tasks of a step.
func (p *Planner) keepsCapacityFree(now time.Time, t *task, count int) bool {
	var capacity, ending, free int64
	for _, h := range p.hosts.All() {
		if h.info.Service != t.job.queue.Service || p.inEvacuatedZone(h) || !h.usable(now) {
			continue
		}
		capacity += h.info.Capacity.MilliProcessors
		free += max(0, h.free().MilliProcessors)
		ending += h.usage.reserved.MilliProcessors - h.usage.longRunning
	}
	need := kqmodel.Resources{MilliProcessors: t.step.Reserved().MilliProcessors * int64(count)}
	coming := int64(p.finiteJobShare(now, t.job.queue, capacity)*float64(capacity)) - ending
	return free-need.MilliProcessors >= max(capacity*minFreePercent/fullPercent, coming)
}
