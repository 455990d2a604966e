package kqplan

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
)

const (
	// A gang member has stalled after minGangStallTime without progress, or after gangStallShare of
	// the estimate if that is longer. Both are larger than for other tasks, because a member may
	// wait for the other members when it starts.
	minGangStallTime = 4 * time.Second
	gangStallShare   = 0.6
)

// saveCheckpoint stores the checkpoint of a task. The checkpoint of a gang member is valid for the
// whole gang and is kept with its first member.
func (t *task) saveCheckpoint(checkpoint string) { t.checkpointHolder().checkpoint = checkpoint }

// savedCheckpoint returns the checkpoint from which a task resumes, or "".
func (t *task) savedCheckpoint() string { return t.checkpointHolder().checkpoint }

func (t *task) checkpointHolder() *task {
	if t.step.Gang {
		return t.stepTasks()[0]
	}
	return t
}

// countFailures returns how many runs of a task, or of its gang, have failed.
func (t *task) countFailures() int {
	if t.step.Gang {
		return len(t.progress().failedRuns)
	}
	return len(t.failedRuns)
}

// stopGang stops all runs of a task's gang, because one member no longer runs. It does nothing if the
// step is no gang or the task is done.
func (p *Planner) stopGang(t *task) {
	if !t.step.Gang || t.done || t.progress().activeRuns == 0 {
		return
	}
	for _, m := range t.stepTasks() {
		for _, r := range m.runs {
			p.stop(r)
		}
	}
}

// checkGangProgress restarts a gang, on other hosts if possible, if one of its members has stalled.
// All members are restarted: they work together, so the worker that causes the stall is unknown.
func (p *Planner) checkGangProgress(now time.Time, r *run) {
	if now.Sub(r.progressedAt) <= max(minGangStallTime, time.Duration(gangStallShare*float64(r.task.step.Estimate))) {
		return
	}
	p.logMove(now, r, "gang member stalled at %.0f %%, the gang is restarted", r.percent)
	for _, m := range r.task.stepTasks() {
		for _, x := range m.runs {
			m.avoidedHost = x.host.name
		}
	}
	p.stopGang(r.task)
}

// placeGang starts all members of a gang or none; it reports whether the gang waits for capacity.
func (p *Planner) placeGang(now time.Time, t *task, ps *pass) bool {
	members := t.stepTasks()
	running := 0
	for _, m := range members {
		if len(m.runs) > 0 {
			running++
		}
		p.passRequested = p.passRequested || now.Before(m.retryAt)
	}
	switch {
	case running > 0 && running < len(members):
		p.stopGang(t)
		return false
	case running > 0 || slices.ContainsFunc(members, func(m *task) bool { return now.Before(m.retryAt) }):
		return false
	}
	hosts := p.chooseGangHosts(now, t, members)
	if x := p.trials[t.stepKey()]; x != nil {
		hosts = p.chooseTrialGangHosts(now, x, members)
	}
	if hosts == nil {
		if t.waitingSince.IsZero() {
			t.waitingSince = now
			p.config.Events.Emit(now, kqevent.FlowWaiting, kqevent.Task(t.name), "not enough free capacity to start %d tasks of %s at once", len(members), t.step.Resources)
		}
		p.addWaitingGang(now, t, ps)
		return true
	}
	t.waitingSince = time.Time{}
	number := uint64(0)
	for _, m := range members {
		number = max(number, m.lastRun)
	}
	for i, m := range members {
		m.lastRun = number
		p.start(now, m, hosts[i])
	}
	return false
}

// chooseGangHosts returns a host for each member, or nil if there is no capacity for all of them.
// A gang that runs slower over several racks waits for a single rack for as long as running over
// several racks is expected to delay it.
func (p *Planner) chooseGangHosts(now time.Time, t *task, members []*task) []*host {
	anywhere := func(*host) bool { return true }
	if !t.step.SameRack {
		return p.chooseHosts(now, members, anywhere)
	}
	for _, rack := range p.racksByFree() {
		if out := p.chooseHosts(now, members, func(h *host) bool { return h.info.Rack == rack }); out != nil {
			return out
		}
	}
	if !p.mayUseSeveralRacks(now, t) {
		return nil
	}
	return p.chooseHosts(now, members, anywhere)
}

// mayUseSeveralRacks reports whether a gang that runs slower over several racks has waited for a single
// one for as long as that is expected to delay it.
func (p *Planner) mayUseSeveralRacks(now time.Time, t *task) bool {
	maxWait := time.Duration(max(0, p.config.CrossRackSlowdown-1) * float64(t.step.Estimate))
	return !t.waitingSince.IsZero() && now.Sub(t.waitingSince) >= maxWait
}

// racksByFree returns the racks outside the evacuated zones, those with the most free processors
// first.
func (p *Planner) racksByFree() []string {
	free := map[string]int64{}
	for _, h := range p.hosts.All() {
		if h.info.Rack != "" && !p.inEvacuatedZone(h) {
			free[h.info.Rack] += h.free().MilliProcessors
		}
	}
	out := make([]string, 0, len(free))
	for rack := range free {
		out = append(out, rack)
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(free[b], free[a]), strings.Compare(a, b))
	})
	return out
}

// chooseHosts returns a permitted host for each member, or nil. The resources of the members that have a
// host are reserved while hosts for the others are chosen.
func (p *Planner) chooseHosts(now time.Time, members []*task, permitted func(*host) bool) []*host {
	t := members[0]
	if p.onHold || !p.mayFitGang(t, len(members), permitted) {
		return nil
	}
	chosen := map[*host]int{}
	defer func() {
		for h, n := range chosen {
			for range n {
				h.usage.reserved = h.usage.reserved.Sub(t.step.Reserved())
			}
		}
	}()
	accepts := func(h *host) bool {
		return permitted(h) && (t.step.MaxPerWorker == 0 || chosen[h]+h.countSameStep(t) < t.step.MaxPerWorker)
	}
	list := p.newShortlist(now, t, false, accepts)
	out := make([]*host, 0, len(members))
	for _, m := range members {
		h := list.cheapest(m)
		if m.hasBarredHosts(now) {
			h = p.chooseHostAmong(now, m, accepts)
		}
		if h == nil {
			return nil
		}
		chosen[h]++
		h.usage.reserved = h.usage.reserved.Add(t.step.Reserved())
		list.rescore(p, now, t, h)
		out = append(out, h)
	}
	return out
}

// mayFitGang reports whether the permitted hosts may have enough free capacity for count members of t's
// gang. It costs little compared with a search that finds hosts for all members but the last.
func (p *Planner) mayFitGang(t *task, count int, permitted func(*host) bool) bool {
	for _, h := range p.hosts.All() {
		if count <= 0 {
			break
		}
		if h.info.Service == t.job.queue.Service && permitted(h) {
			count -= t.countFitting(h.free())
		}
	}
	return count <= 0
}
