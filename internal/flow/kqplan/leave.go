package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

const (
	// stayFirst is how long nothing is stopped after a zone was evacuated: many
	// evacuations are over by then.
	stayFirst = 10 * time.Second
	// leaveAfter is from how much work left on a task with checkpoints moves out: a move
	// costs a stop, a wait for a place and the restoring, which shorter work is not
	// worth.
	leaveAfter = 10 * time.Second
	// leaveInterval is the least time between two moves of tasks that end out of
	// evacuated zones, leaveStanding the same for tasks that stay: what is moved takes
	// room of the other zones.
	leaveInterval = 250 * time.Millisecond
	leaveStanding = 2 * time.Second
	// mostSought is for how many runs a place is sought at a time: each search weighs
	// every host.
	mostSought = 8
	// leastRoom is the share of the other zones' processors, in percent, that moves
	// leave free.
	leastRoom = 10
)

// leaveZones moves work out of evacuated zones that is there for long, a run at a
// time and while the other zones have room for it.
func (p *Planner) leaveZones(now time.Time) {
	if p.zones.Len() == 0 || now.Sub(p.soughtAt) < leaveInterval {
		return
	}
	p.soughtAt = now
	p.noteDoubtful(now)
	if p.hold || p.short || p.isBehind() {
		return
	}
	sought := mostSought
	p.aways = map[stepKey]int{}
	for _, h := range p.hostsInTurn() {
		if !p.mayLeave(now, h) {
			continue
		}
		for _, r := range h.list() {
			if !p.isToLeave(now, r) {
				continue
			}
			if sought--; sought < 0 || p.leave(now, r) {
				return
			}
		}
	}
}

// staysFirst reports whether the zone of a host was evacuated so lately that nothing is
// stopped there which makes progress.
func (p *Planner) staysFirst(now time.Time, h *host) bool {
	since, ok := p.zones.Since(h.info.Zone)
	return ok && now.Sub(since) < stayFirst
}

// mayLeave reports whether the zone of a host is evacuated for long enough that work
// may be moved out.
func (p *Planner) mayLeave(now time.Time, h *host) bool {
	since, ok := p.zones.Since(h.info.Zone)
	return ok && now.Sub(since) >= stayFirst && h.usable(now)
}

// isToLeave reports whether a run in an evacuated zone is worth a move.
func (p *Planner) isToLeave(now time.Time, r *run) bool {
	s := r.task.step
	switch {
	case r.stopping || !r.ordered || !r.seen || r.task.done || len(r.task.runs) > 1 || r.task.job.state.Final():
		return false
	case s.Standing:
		return now.Sub(p.leftStandingAt) >= leaveStanding && r.atWork(now) && p.away(now, r.task) < s.MayMiss
	case s.Gang && r.task.id.Index > 0:
		// A gang moves as one, by its first member.
		return false
	}
	return s.Checkpoints && r.left(now) > leaveAfter
}

// standingHeard is after how long without a report a standing task counts as away.
const standingHeard = 3 * time.Second

// atWork reports whether a standing run serves: its progress is complete.
func (r *run) atWork(now time.Time) bool {
	return r.seen && !r.stopping && r.percent >= fullPercent && now.Sub(r.reportedAt) < standingHeard
}

// away counts the tasks of a standing step that do not serve, whatever the cause. It
// counts once in each look at the evacuated zones.
func (p *Planner) away(now time.Time, t *task) int {
	if n, ok := p.aways[t.stepKey()]; ok {
		return n
	}
	n := 0
	for _, m := range t.members() {
		serves := false
		for _, r := range m.runs {
			serves = serves || r.atWork(now)
		}
		if !serves {
			n++
		}
	}
	p.aways[t.stepKey()] = n
	return n
}

// left returns how long a run is expected to go on where it is, by its progress so
// far or by its estimate while that shows little.
func (r *run) left(now time.Time) time.Duration {
	ran := now.Sub(r.firstMove)
	if ran < settleProgress || r.percent < 1 {
		return time.Duration(float64(r.task.step.Estimate) * (fullPercent - r.percent) / fullPercent)
	}
	return time.Duration(float64(ran) * (fullPercent - r.percent) / r.percent)
}

// leave stops a run, or its gang, that has a place in another zone.
func (p *Planner) leave(now time.Time, r *run) bool {
	t, s := r.task, r.task.step
	if s.Standing && !p.leavesRoomToEnd(now, t) {
		return false
	}
	if !p.hasPlace(now, t) {
		return false
	}
	if s.Standing {
		p.leftStandingAt = now
		p.moved(now, r, "its zone %s is evacuated, %d of %d tasks away of %d that may be", r.host.info.Zone, p.away(now, t), s.Count, s.MayMiss)
	} else {
		p.moved(now, r, "its zone %s is evacuated, %s left", r.host.info.Zone, r.left(now).Round(time.Millisecond))
	}
	p.stop(r)
	p.breakUp(t)
	return true
}

// hasPlace reports whether a task, or its gang, has a place in another zone that keeps
// room for quick jobs.
func (p *Planner) hasPlace(now time.Time, t *task) bool {
	if !t.step.Gang {
		return p.keepsRoom(now, t, 1) && p.choose(now, t) != nil
	}
	members := t.members()
	return p.keepsRoom(now, t, len(members)) && p.gangHosts(now, t, members) != nil
}

// keepsRoom reports whether the other zones keep room for quick jobs if they take
// some tasks of a step.
func (p *Planner) keepsRoom(now time.Time, t *task, count int) bool {
	var capacity, ending, free int64
	for _, h := range p.hosts.All() {
		if h.info.Service != t.job.queue.Service || p.evacuated(h) || !h.usable(now) {
			continue
		}
		capacity += h.info.Capacity.MilliProcessors
		free += max(0, h.free().MilliProcessors)
		ending += h.tally.reserved.MilliProcessors - h.tally.standing
	}
	need := kqmodel.Resources{MilliProcessors: t.step.Reserved().MilliProcessors * int64(count)}
	coming := int64(p.kept(now, t.job.queue, capacity)*float64(capacity)) - ending
	return free-need.MilliProcessors >= max(capacity*leastRoom/fullPercent, coming)
}
