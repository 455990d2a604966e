package kqplan

import "time"

// shortlist is the hosts that have room for the tasks of one step. What a pass
// starts changes only the host where it starts, so the tasks of a wide step need
// one look at all hosts, not one each.
type shortlist struct {
	step stepKey
	// idle is true if the list was made while the job took any place.
	idle  bool
	peers peers
	hosts []candidate
}

// candidate is a host that has room, and what a task costs there.
type candidate struct {
	host *host
	cost float64
}

// chooseInPass returns the best host for a task whose turn it is, or nil.
func (p *Planner) chooseInPass(now time.Time, t *task, x *pass) *host {
	if len(t.failed) > 0 {
		// A quarantined host may be probed by other tasks of the step only.
		return p.choose(now, t)
	}
	if p.hold {
		return nil
	}
	idle := t.step.Fills && t.job.idleSince(now) >= idleBound
	if l := x.list; l == nil || l.step != t.stepKey() || l.idle != idle {
		x.list = p.shortlist(now, t, idle)
	}
	return x.list.best(t)
}

func (p *Planner) shortlist(now time.Time, t *task, idle bool) *shortlist {
	l := &shortlist{step: t.stepKey(), idle: idle}
	for _, h := range p.hosts.All() {
		if !h.hasFree(t) {
			continue
		}
		p.weighed++
		if !p.eligible(now, t, h) {
			continue
		}
		if len(l.hosts) == 0 {
			l.peers = p.peersFor(t.step)
		}
		l.hosts = append(l.hosts, candidate{h, p.stepCost(t.step, h, l.peers) + coldCost(now, t, h)})
	}
	return l
}

// best returns the cheapest host for a task of the step, or nil.
func (l *shortlist) best(t *task) *host {
	var best candidate
	for _, c := range l.hosts {
		if c.host.name == t.shunned {
			c.cost += shunCost
		}
		if best.host == nil || c.cost < best.cost || c.cost == best.cost && c.host.name < best.host.name {
			best = c
		}
	}
	return best.host
}

// started weighs anew the host on which a task of the step was started.
func (l *shortlist) started(p *Planner, now time.Time, t *task, h *host) {
	if l == nil || l.step != t.stepKey() {
		return
	}
	for i := range l.hosts {
		if l.hosts[i].host != h {
			continue
		}
		p.weighed++
		if p.eligible(now, t, h) {
			l.hosts[i].cost = p.stepCost(t.step, h, l.peers) + coldCost(now, t, h)
		} else {
			l.hosts = append(l.hosts[:i], l.hosts[i+1:]...)
		}
		return
	}
}
