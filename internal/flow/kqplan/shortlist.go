package kqplan

import "time"

// shortlist is the hosts that have room for the tasks of one step. What a pass
// starts changes only the host where it starts, so the tasks of a wide step need
// one look at all hosts, not one each.
type shortlist struct {
	step stepKey
	// idle is true if the list was made while the job took any place.
	jobIdle    bool
	fleet      fleetView
	candidates []candidate
}

// candidate is a host that has room, and what a task costs there.
type candidate struct {
	host *host
	cost float64
}

// chooseInPass returns the best host for a task whose turn it is, or nil.
func (p *Planner) chooseInPass(now time.Time, t *task, x *pass) *host {
	if len(t.failedRuns) > 0 {
		// A quarantined host may be probed by other tasks of the step only.
		return p.chooseHost(now, t)
	}
	if p.onHold {
		return nil
	}
	idle := t.step.Fills && t.job.idleTime(now) >= maxJobIdleTime
	if l := x.shortlist; l == nil || l.step != t.stepKey() || l.jobIdle != idle {
		x.shortlist = p.newShortlist(now, t, idle)
	}
	return x.shortlist.cheapest(t)
}

func (p *Planner) newShortlist(now time.Time, t *task, idle bool) *shortlist {
	l := &shortlist{step: t.stepKey(), jobIdle: idle}
	for _, h := range p.hosts.All() {
		if !h.hasCapacity(t) {
			continue
		}
		p.scored++
		if !p.eligible(now, t, h) {
			continue
		}
		if len(l.candidates) == 0 {
			l.fleet = p.fleetViewFor(t.step)
		}
		l.candidates = append(l.candidates, candidate{h, p.stepCost(t.step, h, l.fleet) + warmUpCost(now, t, h)})
	}
	return l
}

// best returns the cheapest host for a task of the step, or nil.
func (l *shortlist) cheapest(t *task) *host {
	var best candidate
	for _, c := range l.candidates {
		if c.host.name == t.avoidedHost {
			c.cost += avoidedHostCost
		}
		if best.host == nil || c.cost < best.cost || c.cost == best.cost && c.host.name < best.host.name {
			best = c
		}
	}
	return best.host
}

// started weighs anew the host on which a task of the step was started.
func (l *shortlist) rescore(p *Planner, now time.Time, t *task, h *host) {
	if l == nil || l.step != t.stepKey() {
		return
	}
	for i := range l.candidates {
		if l.candidates[i].host != h {
			continue
		}
		p.scored++
		if p.eligible(now, t, h) {
			l.candidates[i].cost = p.stepCost(t.step, h, l.fleet) + warmUpCost(now, t, h)
		} else {
			l.candidates = append(l.candidates[:i], l.candidates[i+1:]...)
		}
		return
	}
}
