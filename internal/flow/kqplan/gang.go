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
	gangHold  = 4 * time.Second
	gangPause = 4 * time.Second
	// gangStall and gangStallShare, of the estimate, bound how long a member may
	// stand still; it may wait for the others at first.
	gangStall      = 4 * time.Second
	gangStallShare = 0.6
)

// members returns the tasks of the gang that a task belongs to.
func (t *task) members() []*task {
	var out []*task
	for _, m := range t.job.tasks {
		if m.step == t.step && m.id.Occurrence == t.id.Occurrence {
			out = append(out, m)
		}
	}
	return out
}

// keep takes over a checkpoint; one of a member is valid for the whole gang.
func (t *task) keep(checkpoint string) {
	if !t.step.Gang {
		t.checkpoint = checkpoint
		return
	}
	for _, m := range t.members() {
		m.checkpoint = checkpoint
	}
}

// failures counts the runs of a task, or of its gang, that have failed.
func (t *task) failures() int {
	if !t.step.Gang {
		return len(t.failed)
	}
	numbers := map[uint64]bool{}
	for _, m := range t.members() {
		for _, n := range m.failed {
			numbers[n] = true
		}
	}
	return len(numbers)
}

// breakUp stops the rest of a gang of which a member is not at work any more.
func (p *Planner) breakUp(t *task) {
	if !t.step.Gang || t.done {
		return
	}
	for _, m := range t.members() {
		for _, r := range m.runs {
			p.stop(r)
		}
	}
}

// watchGang starts a gang anew, elsewhere if it can be, of which a member stands
// still. Which worker holds it up cannot be told: all members work together.
func (p *Planner) watchGang(now time.Time, r *run) {
	if now.Sub(r.movedAt) <= max(gangStall, time.Duration(gangStallShare*float64(r.task.step.Estimate))) {
		return
	}
	p.moved(now, r, "of a gang stands still at %.0f %%", r.percent)
	for _, m := range r.task.members() {
		for _, x := range m.runs {
			m.shunned = x.host.name
		}
	}
	p.breakUp(r.task)
}

// placeGang starts a whole gang or nothing; it reports whether the gang waits
// for room.
func (p *Planner) placeGang(now time.Time, t *task, x *pass) bool {
	members := t.members()
	with := 0
	for _, m := range members {
		if len(m.runs) > 0 {
			with++
		}
		p.place = p.place || now.Before(m.retryAt)
	}
	switch {
	case with > 0 && with < len(members):
		p.breakUp(t)
		return false
	case with > 0 || slices.ContainsFunc(members, func(m *task) bool { return now.Before(m.retryAt) }):
		return false
	}
	hosts := p.gangHosts(now, t, members)
	if hosts == nil {
		if t.waitingAt.IsZero() {
			t.waitingAt = now
			p.config.Events.Emit(now, kqevent.FlowWaiting, kqevent.Task(t.name), "no room for %d of %s at once", len(members), t.step.Size)
		}
		waited := now.Sub(t.waitingAt) % (gangHold + gangPause)
		if waited < gangHold && p.couldFit(now, t, len(members)) {
			x.held[t.job.queue.Service] = true
		}
		return true
	}
	t.waitingAt = time.Time{}
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
func (p *Planner) gangHosts(now time.Time, t *task, members []*task) []*host {
	if !t.step.SameRack {
		return p.hostsFor(now, members, "")
	}
	for _, rack := range p.racks() {
		if out := p.hostsFor(now, members, rack); out != nil {
			return out
		}
	}
	spreading := time.Duration(max(0, p.config.FarFactor-1) * float64(t.step.Estimate))
	if t.waitingAt.IsZero() || now.Sub(t.waitingAt) < spreading {
		return nil
	}
	return p.hostsFor(now, members, "")
}

// racks lists the racks, those with most room first.
func (p *Planner) racks() []string {
	free := map[string]int64{}
	for _, h := range p.hosts.All() {
		if h.info.Rack != "" && !p.evacuated(h) {
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
func (p *Planner) hostsFor(now time.Time, members []*task, rack string) []*host {
	if p.hold {
		return nil
	}
	taken := map[*host]int{}
	defer func() {
		for h, n := range taken {
			for range n {
				h.tally.reserved = h.tally.reserved.Sub(members[0].step.Reserved())
			}
		}
	}()
	out := make([]*host, 0, len(members))
	for _, m := range members {
		h := p.chooseAmong(now, m, func(h *host) bool {
			return (rack == "" || h.info.Rack == rack) && (m.step.PerWorker == 0 || taken[h]+h.sameStep(m) < m.step.PerWorker)
		})
		if h == nil {
			return nil
		}
		taken[h]++
		h.tally.reserved = h.tally.reserved.Add(m.step.Reserved())
		out = append(out, h)
	}
	return out
}

// couldFit reports whether a gang had room if nothing else ran.
func (p *Planner) couldFit(now time.Time, t *task, count int) bool {
	for _, h := range p.hosts.All() {
		if h.usable(now) && h.info.Service == t.job.queue.Service && !p.evacuated(h) {
			count -= t.fitting(h.info.Capacity)
		}
	}
	return count <= 0
}
