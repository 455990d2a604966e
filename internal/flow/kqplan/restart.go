package kqplan

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

// claims is the capacity of hosts that the long-running tasks of a pass wait for, see claimHost.
type claims struct {
	// restarts holds the tasks that placeRestarts has placed, or has found no capacity for.
	restarts map[*task]bool
	// tasks lists the tasks that have claimed a host.
	tasks map[*host][]*task
	// releases caches the results of releasesOn.
	releases map[releaseKey][]release
}

func newClaims() claims {
	return claims{restarts: map[*task]bool{}, tasks: map[*host][]*task{}, releases: map[releaseKey][]release{}}
}

// placeRestarts places the long-running tasks that have lost their run, before a pass places any other
// work: they serve nobody while they wait, and their users were served before. Those that do not leave
// finite jobs what they need are placed in the usual order instead. It returns how many wait for
// capacity.
func (p *Planner) placeRestarts(now time.Time, ps *pass) int {
	waiting := 0
	for _, t := range p.dueRestarts(now) {
		if !p.leavesFiniteDemand(now, t) {
			continue
		}
		ps.restarts[t] = true
		if n := p.placeIfDue(now, t, ps); n > 0 {
			waiting += n
			ps.contention.addWaiting(t, n)
		}
	}
	// Hosts on the list may have been claimed since.
	ps.shortlist = nil
	return waiting
}

// isRestart reports whether a task is long-running and a run of it has ended. Such a task serves nobody
// while it waits, so rules that keep capacity for others or wait for a better worker do not bar it.
func (t *task) isRestart() bool { return t.step.LongRunning && t.lastRun > uint64(len(t.runs)) }

// dueRestarts returns the long-running tasks that are due and have lost their run, by priority; large
// tasks come first, which packs best.
func (p *Planner) dueRestarts(now time.Time) []*task {
	var out []*task
	for _, j := range p.jobs.All() {
		if !j.hasLongRunning || j.state.Final() {
			continue
		}
		for _, t := range j.tasks {
			if t.isRestart() && !t.step.Gang && !t.step.Fills && p.isDue(now, t) {
				out = append(out, t)
			}
		}
	}
	slices.SortFunc(out, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.job.queue.Priority, b.job.queue.Priority),
			cmp.Compare(b.step.Resources.MilliProcessors, a.step.Resources.MilliProcessors), strings.Compare(a.name, b.name))
	})
	return out
}

// claimHost keeps other work from the host on which a long-running task will fit soonest, until the next
// pass. Otherwise each finite run that ends there makes way for the next finite task, and a task that is
// larger than each of them never fits. Nothing is claimed of what finite jobs need, see
// leavesFiniteDemand.
func (p *Planner) claimHost(now time.Time, t *task, ps *pass) {
	key := t.placementKey(now)
	if p.onHold || p.trials[t.stepKey()] != nil || ps.unclaimable[key] || !p.leavesFiniteDemand(now, t) || p.mustYield(now, t.job.queue.Service) {
		return
	}
	h, after := p.soonestHost(now, t, ps)
	if h == nil {
		ps.unclaimable[key] = !t.hasBarredHosts(now)
		return
	}
	if t.claimedHost != h.name {
		t.claimedHost = h.name
		p.config.Events.Emit(now, kqevent.FlowClaim, kqevent.Task(t.name), "host %s is kept for the task, which is expected to fit there in %s: %s free, %s claimed by other tasks",
			h.name, after.Round(time.Millisecond), h.free(), ps.claimed[h])
	}
	need := t.step.Reserved()
	ps.tasks[h] = append(ps.tasks[h], t)
	ps.claimed[h] = ps.claimed[h].Add(need)
	h.longRunningClaims = h.longRunningClaims.Add(need)
}

// maxClaimWait is the longest expected wait for which a task claims a host. The runs that it waits for are
// expected to end by then, or are late by no more; what is free beside them would be idle for longer.
const maxClaimWait = 15 * time.Second

// minClaimGain is how much sooner a long-running task must be expected to fit on another host than on the
// one that it has claimed to give up what has become free there: about the time between two reports.
const minClaimGain = 400 * time.Millisecond

// soonestHost returns the host on which a long-running task will fit soonest, besides the tasks that
// have claimed it already, and after which time; nil if it will fit nowhere within maxClaimWait. The host that
// it claimed last is left only if another is earlier by minClaimGain; among hosts on which it fits at the same time, the
// one with the most free processors comes first.
func (p *Planner) soonestHost(now time.Time, t *task, ps *pass) (best *host, after time.Duration) {
	for _, h := range p.hosts.All() {
		need := t.step.Reserved().Add(ps.claimed[h])
		if !need.FitsIn(h.freeOfFinite()) || t.step.MaxPerWorker > 0 && ps.countClaims(h, t)+h.countSameStep(t) >= t.step.MaxPerWorker || !p.mayRun(now, t, h) || !p.isApproved(now, t, h) {
			continue
		}
		d, fits := h.timeUntilFree(need, ps.releasesOn(now, h, t.job.queue.Priority))
		if !fits || d > maxClaimWait {
			continue
		}
		if h.name == t.claimedHost {
			// The expected times vary with each report.
			d -= minClaimGain
		}
		if best == nil || d < after || d == after && ps.unclaimed(h) > ps.unclaimed(best) {
			best, after = h, d
		}
	}
	return best, after
}

// unclaimed returns the free processors of a host, in thousandths, that no task has claimed.
func (ps *pass) unclaimed(h *host) int64 { return h.free().Sub(ps.claimed[h]).MilliProcessors }

// leavesFiniteDemand reports whether the usable workers of a service have processors for a long-running
// task besides the long-running tasks that run there or have claimed a host and the mean demand of finite
// jobs of at least its priority. They have not if the service has shrunk; long-running tasks are then
// placed only where they fit, so that finite jobs go on.
func (p *Planner) leavesFiniteDemand(now time.Time, t *task) bool {
	q := t.job.queue
	longRunning, capacity := t.step.Resources.MilliProcessors, int64(0)
	for _, h := range p.hosts.All() {
		if p.serves(now, h, q.Service) {
			longRunning += h.usage.longRunning + h.longRunningClaims.MilliProcessors
			capacity += h.info.Capacity.MilliProcessors
		}
	}
	return float64(longRunning) <= (1-p.finiteJobShare(now, q, capacity, 1))*float64(capacity)
}

// countClaims returns how many tasks of the step of t have claimed a host.
func (c *claims) countClaims(h *host, t *task) int {
	n := 0
	for _, x := range c.tasks[h] {
		if x.stepKey() == t.stepKey() {
			n++
		}
	}
	return n
}

// releaseKey identifies the releases on a host in view of a task of a priority.
type releaseKey struct {
	host     *host
	priority int
}

// release is what the runs that have ended after a time reserved.
type release struct {
	after time.Duration
	total kqmodel.Resources
}

// releasesOn returns what the runs of a host will release, in order of time. Finite runs of lower
// priority than the task's are expected to be preempted once that suffices.
func (c *claims) releasesOn(now time.Time, h *host, priority int) []release {
	key := releaseKey{h, priority}
	if out, ok := c.releases[key]; ok {
		return out
	}
	out := []release{{}}
	for _, r := range h.runs.All() {
		if left, ok := r.timeLeft(now); ok {
			if r.task.job.queue.Priority > priority && !r.task.step.Gang {
				left = min(left, maxStopTime)
			}
			out = append(out, release{left, r.reserved()})
		}
	}
	slices.SortFunc(out, func(a, b release) int { return cmp.Compare(a.after, b.after) })
	for i := range out[1:] {
		out[i+1].total = out[i+1].total.Add(out[i].total)
	}
	c.releases[key] = out
	return out
}

// timeUntilFree returns the time after which resources are free on a host; ok is false if they will not
// be.
func (h *host) timeUntilFree(need kqmodel.Resources, releases []release) (after time.Duration, ok bool) {
	missing := need.Sub(h.free())
	i := slices.IndexFunc(releases, func(x release) bool { return missing.FitsIn(x.total) })
	if i < 0 {
		return 0, false
	}
	return releases[i].after, true
}

// timeLeft returns the time after which the resources of a run are expected to be free; ok is false for
// a long-running task and for a stop that is overdue. A run that is late is expected to take as long
// again as it is late, so that no task waits for a run that hangs while others end.
func (r *run) timeLeft(now time.Time) (left time.Duration, ok bool) {
	switch {
	case r.isStopOverdue(now):
		return 0, false
	case r.stopping && r.stoppingSince.IsZero():
		return maxStopTime, true
	case r.stopping:
		return maxStopTime - now.Sub(r.stoppingSince), true
	case r.task.step.LongRunning:
		return 0, false
	}
	return (r.expectedRemaining(r.progressedAt) - now.Sub(r.progressedAt)).Abs(), true
}

// freeOfFinite returns the capacity of a host that long-running tasks do not reserve.
func (h *host) freeOfFinite() kqmodel.Resources {
	free := h.free()
	for _, x := range h.usage.finite {
		free = free.Add(x.reserved)
	}
	return free
}

// leavesClaims reports whether the tasks that have claimed a host still fit, in view of the runs that
// are being stopped, besides a task that needs certain resources.
func (h *host) leavesClaims(need kqmodel.Resources) bool {
	return leaves(need, h.free().Add(h.usage.stoppingReserved).Sub(h.overdueStops).Sub(h.longRunningClaims))
}

// leaves reports whether what a task needs is part of what others leave. Resources that the task does not
// need are not considered: it cannot delay others by them.
func leaves(need, left kqmodel.Resources) bool {
	return (need.MilliProcessors == 0 || need.MilliProcessors <= left.MilliProcessors) &&
		(need.MemoryBytes == 0 || need.MemoryBytes <= left.MemoryBytes) &&
		(need.Accelerators == 0 || need.Accelerators <= left.Accelerators)
}
