package kqplan

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
)

const (
	// gangHoldTime is how long a waiting gang may keep other tasks from capacity; gangPauseTime is how
	// long they may use it before a gang of the service, the same or another, holds capacity again.
	gangHoldTime  = 4 * time.Second
	gangPauseTime = 4 * time.Second
	// maxHoldSearches bounds the gangs of a service for which a pass searches hosts to hold.
	maxHoldSearches = 4
)

// gangHold is the hold of capacity for a waiting gang of a service. A service has one hold at a time, so
// that the holds of several gangs leave no less to others than that of one.
type gangHold struct {
	// gang is the step that holds capacity, or did last.
	gang stepKey
	// since is when the hold began, endedAt when it ended; endedAt is zero until then.
	since   time.Time
	endedAt time.Time
}

// isActive reports whether the hold has begun and not ended.
func (x *gangHold) isActive() bool { return !x.since.IsZero() && x.endedAt.IsZero() }

// isOver reports whether the hold has lasted for long enough.
func (x *gangHold) isOver(now time.Time) bool { return now.Sub(x.since) >= gangHoldTime }

// heldCapacity is what a host keeps free for the members of a gang.
type heldCapacity struct {
	gang stepKey
	size kqmodel.Resources
}

// gangHoldOf returns the hold of a service; it is created if missing.
func (p *Planner) gangHoldOf(service string) *gangHold {
	x := p.gangHolds[service]
	if x == nil {
		x = &gangHold{}
		p.gangHolds[service] = x
	}
	return x
}

// addWaitingGang records that the gang of t, its first member, waits for capacity. If it is the turn of the
// gang, the tasks that come after it in the pass are kept from the capacity that it holds. A gang that
// fills holds none, because some passes skip it.
func (p *Planner) addWaitingGang(now time.Time, t *task, ps *pass) {
	if t.step.Fills {
		return
	}
	service := t.job.queue.Service
	ps.waitingGangs[service] = append(ps.waitingGangs[service], t)
	if x := p.gangHoldOf(service); !x.isActive() || x.gang != t.stepKey() || x.isOver(now) || p.mustYield(now, service) {
		return
	}
	for h, n := range p.hostsToHold(now, t, ps) {
		h.held = heldCapacity{gang: t.stepKey(), size: t.step.Reserved().Times(int64(n))}
	}
	ps.shortlist = nil
}

// updateGangHolds ends the holds that have lasted for long enough or whose gang does not wait any more, and
// begins others. Gangs of a service take turns: the one whose last turn is the longest ago comes first.
func (p *Planner) updateGangHolds(now time.Time, ps *pass) {
	for service, x := range p.gangHolds {
		waiting := ps.waitingGangs[service]
		yields := p.mustYield(now, service)
		stillWaits := slices.ContainsFunc(waiting, func(t *task) bool { return t.stepKey() == x.gang })
		switch {
		case x.isActive():
			if x.isOver(now) || yields || !stillWaits {
				x.endedAt, p.passRequested = now, true
			}
		case len(waiting) > 0 && now.Sub(x.endedAt) >= gangPauseTime && !yields:
			p.beginGangHold(now, x, waiting, ps)
		}
	}
}

// beginGangHold begins a hold for the first gang for which there would be capacity once finite runs have
// ended. A gang that was considered goes to the end of the line.
func (p *Planner) beginGangHold(now time.Time, x *gangHold, waiting []*task, ps *pass) {
	slices.SortStableFunc(waiting, func(a, b *task) int { return a.holdConsideredAt.Compare(b.holdConsideredAt) })
	for _, t := range waiting[:min(len(waiting), maxHoldSearches)] {
		t.holdConsideredAt = now
		hosts := p.hostsToHold(now, t, ps)
		if hosts == nil {
			continue
		}
		*x = gangHold{gang: t.stepKey(), since: now}
		p.passRequested = true
		p.config.Events.Emit(now, kqevent.FlowHold, kqevent.Task(t.name), "capacity for %d tasks of %s is kept on %d hosts for up to %s", t.step.Count, t.step.Resources, len(hosts), gangHoldTime)
		return
	}
}

// hostsToHold returns how many members of a gang each host is to keep capacity for, so that the gang can
// start soonest; nil if there is no capacity for all of them even once finite runs have ended. A gang that
// waits for a single rack holds capacity on one rack.
func (p *Planner) hostsToHold(now time.Time, t *task, ps *pass) map[*host]int {
	if !t.step.SameRack || p.mayUseSeveralRacks(now, t) {
		return p.hostsToHoldAmong(now, t, ps, func(*host) bool { return true })
	}
	for _, rack := range p.racksByFree() {
		if out := p.hostsToHoldAmong(now, t, ps, func(h *host) bool { return h.info.Rack == rack }); out != nil {
			return out
		}
	}
	return nil
}

// hostsToHoldAmong is hostsToHold among the permitted hosts.
func (p *Planner) hostsToHoldAmong(now time.Time, t *task, ps *pass, permitted func(*host) bool) map[*host]int {
	type candidate struct {
		host  *host
		count int
		after time.Duration
	}
	var candidates []candidate
	for _, h := range p.hosts.All() {
		if !permitted(h) || !p.mayRun(now, t, h) || !p.isApproved(now, t, h) {
			continue
		}
		// No run is preempted for a gang, so the releases are those in view of the lowest priority.
		releases := ps.releasesOn(now, h, math.MaxInt)
		free := h.free().Add(releases[len(releases)-1].total).Sub(h.longRunningClaims)
		n := t.countFitting(h.availableTo(t, free))
		if n == 0 {
			continue
		}
		need := h.withReserveFor(t, t.step.Reserved().Times(int64(n))).Add(h.longRunningClaims)
		if after, ok := h.timeUntilFree(need, releases); ok {
			candidates = append(candidates, candidate{h, n, after})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.after, b.after), cmp.Compare(b.count, a.count), strings.Compare(a.host.name, b.host.name))
	})
	missing, out := t.step.Count, map[*host]int{}
	for _, c := range candidates {
		if missing == 0 {
			break
		}
		out[c.host] = min(c.count, missing)
		missing -= out[c.host]
	}
	if missing > 0 {
		return nil
	}
	return out
}

// heldFrom returns the capacity of a host that a task must leave free for a gang that waits. Tasks that
// fill or run for long need not: the former use processors that nobody reserves, the latter serve users.
func (h *host) heldFrom(t *task) kqmodel.Resources {
	if t.step.Fills || t.step.LongRunning || h.held.gang == t.stepKey() {
		return kqmodel.Resources{}
	}
	return h.held.size
}
