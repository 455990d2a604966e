package kqplan

import "time"

const (
	// While most of a service is idle, its capacity is kept for tasks that wait for more of it only in the
	// first keepTime of each keepPeriod. Callers expect that a job begins within 3 s if there is capacity.
	keepTime   = 2500 * time.Millisecond
	keepPeriod = 6500 * time.Millisecond
)

// mustYield reports whether no capacity of a service may be kept for tasks that cannot start at present.
// Gangs and restarts keep capacity at the same times, because otherwise that of one would be followed by that of
// the next, and the tasks that could use it would wait for all of them in turn. Trials do not yield: what starts
// beside a task on trial may be lost with it. Their claims are shorter, see maxStrictClaimTime.
func (p *Planner) mustYield(now time.Time, service string) bool {
	return time.Duration(now.UnixNano())%keepPeriod >= keepTime && p.isMostlyIdle(now, service)
}

// serves reports whether a host has a usable worker of a service outside the evacuated zones.
func (p *Planner) serves(now time.Time, h *host, service string) bool {
	return h.info.Service == service && !p.inEvacuatedZone(h) && h.usable(now)
}

// isMostlyIdle reports whether less than half of the processors of the usable workers of a service outside
// the evacuated zones are reserved.
func (p *Planner) isMostlyIdle(now time.Time, service string) bool {
	var capacity, reserved int64
	for _, h := range p.hosts.All() {
		if p.serves(now, h, service) {
			capacity += h.info.Capacity.MilliProcessors
			reserved += h.usage.reserved.MilliProcessors
		}
	}
	return 2*reserved < capacity
}
