package kqplan

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
)

const (
	// gangHold is how long a gang without room keeps others from taking what
	// comes free, and gangPause how long it then lets them.
	gangHoldTime  = 4 * time.Second
	gangPauseTime = 4 * time.Second
	// gangStall and gangStallShare, of the estimate, bound how long a member may
	// stand still; it may wait for the others at first.
	minGangStallTime = 4 * time.Second
	gangStallShare   = 0.6
)

// members returns the tasks of the gang that a task belongs to.
func (t *task) stepTasks() []*task {
	var out []*task
	for _, m := range t.job.tasks {
		if m.step == t.step && m.id.Occurrence == t.id.Occurrence {
			out = append(out, m)
		}
	}
	return out
}

// keep takes over a checkpoint; one of a member is valid for the whole gang.
func (t *task) saveCheckpoint(checkpoint string) {
	if !t.step.Gang {
		t.checkpoint = checkpoint
		return
	}
	for _, m := range t.stepTasks() {
		m.checkpoint = checkpoint
	}
}

// failures counts the runs of a task, or of its gang, that have failed.
func (t *task) countFailures() int {
	if !t.step.Gang {
		return len(t.failedRuns)
	}
	numbers := map[uint64]bool{}
	for _, m := range t.stepTasks() {
		for _, n := range m.failedRuns {
			numbers[n] = true
		}
	}
	return len(numbers)
}

// breakUp stops the rest of a gang of which a member is not at work any more.
func (p *Planner) stopGang(t *task) {
	if !t.step.Gang || t.done {
		return
	}
	for _, m := range t.stepTasks() {
		for _, r := range m.runs {
			p.stop(r)
		}
	}
}

// watchGang starts a gang anew, elsewhere if it can be, of which a member stands
// still. Which worker holds it up cannot be told: all members work together.
func (p *Planner) checkGangProgress(now time.Time, r *run) {
	if now.Sub(r.progressedAt) <= max(minGangStallTime, time.Duration(gangStallShare*float64(r.task.step.Estimate))) {
		return
	}
	p.logMove(now, r, "of a gang stands still at %.0f %%", r.percent)
	for _, m := range r.task.stepTasks() {
		for _, x := range m.runs {
			m.avoidedHost = x.host.name
		}
	}
	p.stopGang(r.task)
}

// placeGang starts a whole gang or nothing; it reports whether the gang waits
// for room.
func (p *Planner) placeGang(now time.Time, t *task, x *pass) bool {
	members := t.stepTasks()
	with := 0
	for _, m := range members {
		if len(m.runs) > 0 {
			with++
		}
		p.passRequested = p.passRequested || now.Before(m.retryAt)
	}
	switch {
	case with > 0 && with < len(members):
		p.stopGang(t)
		return false
	case with > 0 || slices.ContainsFunc(members, func(m *task) bool { return now.Before(m.retryAt) }):
		return false
	}
	hosts := p.chooseGangHosts(now, t, members)
	if hosts == nil {
		if t.waitingSince.IsZero() {
			t.waitingSince = now
			p.config.Events.Emit(now, kqevent.FlowWaiting, kqevent.Task(t.name), "no room for %d of %s at once", len(members), t.step.Resources)
		}
		waited := now.Sub(t.waitingSince) % (gangHoldTime + gangPauseTime)
		if waited < gangHoldTime && p.couldFitGang(now, t, len(members)) {
			x.heldServices[t.job.queue.Service] = true
		}
		return true
	}
	t.waitingSince = time.Time{}
	last := uint64(0)
	for _, m := range members {
		last = max(last, m.lastRun)
	}
	for i, m := range members {
		m.lastRun = last
		p.start(now, m, hosts[i])
	}
	return false
}

// gangHosts returns a host for each member, or nil if there is not room for all.
// A gang that is slower over several racks waits for one rack for as long as
// spreading would cost it.
func (p *Planner) chooseGangHosts(now time.Time, t *task, members []*task) []*host {
	if !t.step.SameRack {
		return p.chooseHosts(now, members, "")
	}
	for _, rack := range p.racksByFree() {
		if out := p.chooseHosts(now, members, rack); out != nil {
			return out
		}
	}
	spreading := time.Duration(max(0, p.config.CrossRackSlowdown-1) * float64(t.step.Estimate))
	if t.waitingSince.IsZero() || now.Sub(t.waitingSince) < spreading {
		return nil
	}
	return p.chooseHosts(now, members, "")
}

// racks lists the racks, those with most room first.
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

// hostsFor chooses a host for each member, in one rack if it is named. What the
// first members take is counted while the others choose.
func (p *Planner) chooseHosts(now time.Time, members []*task, rack string) []*host {
	if p.onHold {
		return nil
	}
	taken := map[*host]int{}
	defer func() {
		for h, n := range taken {
			for range n {
				h.usage.reserved = h.usage.reserved.Sub(members[0].step.Reserved())
			}
		}
	}()
	out := make([]*host, 0, len(members))
	for _, m := range members {
		h := p.chooseHostAmong(now, m, func(h *host) bool {
			return (rack == "" || h.info.Rack == rack) && (m.step.MaxPerWorker == 0 || taken[h]+h.countSameStep(m) < m.step.MaxPerWorker)
		})
		if h == nil {
			return nil
		}
		taken[h]++
		h.usage.reserved = h.usage.reserved.Add(m.step.Reserved())
		out = append(out, h)
	}
	return out
}

// couldFit reports whether a gang had room if nothing else ran.
func (p *Planner) couldFitGang(now time.Time, t *task, count int) bool {
	for _, h := range p.hosts.All() {
		if h.usable(now) && h.info.Service == t.job.queue.Service && !p.inEvacuatedZone(h) {
			count -= t.countFitting(h.info.Capacity)
		}
	}
	return count <= 0
}
