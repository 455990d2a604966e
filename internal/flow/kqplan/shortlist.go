package kqplan

import "time"

// shortlist holds the hosts that have capacity for tasks with the same placementKey, with their
// costs. A start
// changes only its own host, so the hosts are scored once per step and not once per task.
type shortlist struct {
	key placementKey
	// jobIdle is true if the list was made while the job accepted any host, see maxJobIdleTime.
	jobIdle    bool
	fleet      fleetView
	candidates []candidate
	// accepts reports whether a host may be on the list; nil means that any may.
	accepts func(*host) bool
}

// candidate is a host that has capacity for a task, and the cost of the task there.
type candidate struct {
	host *host
	cost float64
}

// chooseInPass returns the host with the lowest cost for a task of the pass, or nil. It uses the
// pass's shortlist, or makes a new one if that is for other tasks.
func (p *Planner) chooseInPass(now time.Time, t *task, ps *pass) *host {
	if t.hasBarredHosts(now) {
		// A task that was refused may not go to some hosts, unlike the other tasks of the step, so it
		// cannot use their shortlist.
		return p.chooseHost(now, t)
	}
	if p.onHold {
		return nil
	}
	jobIdle := t.step.Fills && t.acceptsAnyHost(now)
	if l := ps.shortlist; l == nil || l.key != t.placementKey(now) || l.jobIdle != jobIdle {
		ps.shortlist = p.newShortlist(now, t, jobIdle, nil)
	}
	return ps.shortlist.cheapest(t)
}

// newShortlist scores all hosts that are accepted for a task; accepts may be nil.
func (p *Planner) newShortlist(now time.Time, t *task, jobIdle bool, accepts func(*host) bool) *shortlist {
	l := &shortlist{key: t.placementKey(now), jobIdle: jobIdle, accepts: accepts}
	for _, h := range p.hosts.All() {
		if !h.hasCapacity(t) {
			continue
		}
		p.scored++
		if !l.permits(h) || !p.eligible(now, t, h) {
			continue
		}
		if len(l.candidates) == 0 {
			l.fleet = p.fleetViewFor(t.step)
		}
		l.candidates = append(l.candidates, candidate{h, p.stepCost(t.step, h, l.fleet) + p.warmUpCost(now, t, h) + t.reserveCost(h)})
	}
	return l
}

func (l *shortlist) permits(h *host) bool { return l.accepts == nil || l.accepts(h) }

// cheapest returns the host with the lowest cost for a task of the step, or nil.
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

// rescore updates the cost of the host on which a task of the step was started, or removes the host
// if it is no longer eligible.
func (l *shortlist) rescore(p *Planner, now time.Time, t *task, h *host) {
	if l == nil || l.key != t.placementKey(now) {
		return
	}
	for i := range l.candidates {
		if l.candidates[i].host != h {
			continue
		}
		p.scored++
		if l.permits(h) && p.eligible(now, t, h) {
			l.candidates[i].cost = p.stepCost(t.step, h, l.fleet) + p.warmUpCost(now, t, h) + t.reserveCost(h)
		} else {
			l.candidates = append(l.candidates[:i], l.candidates[i+1:]...)
		}
		return
	}
}
