package kqplan

import "time"

const (
	// warmUpSlowdown is the approximate factor by which tasks take longer on a worker that is
	// warming up.
	warmUpSlowdown = 1.5
	// warmUpShare is the share of its capacity that a worker may have assigned while warmUpSpan
	// or more of its warm-up is left. The share rises linearly to the whole capacity at the end
	// of the warm-up.
	warmUpShare = 0.5
	warmUpSpan  = 10 * time.Second
	// warmCheckInterval is the time between two searches for services with a warm worker.
	warmCheckInterval = 250 * time.Millisecond
)

// warmUp holds the services that have a worker whose warm-up is over.
type warmUp struct {
	warmServices map[string]bool
	checkedAt    time.Time
}

// updateWarmServices finds the services that have a usable warm worker outside the evacuated
// zones.
func (p *Planner) updateWarmServices(now time.Time) {
	if !p.config.LimitWarmUp || now.Sub(p.warmUp.checkedAt) < warmCheckInterval {
		return
	}
	p.warmUp = warmUp{warmServices: map[string]bool{}, checkedAt: now}
	for _, h := range p.hosts.All() {
		if h.warmUpLeft(now) <= 0 && h.usable(now) && !p.inEvacuatedZone(h) {
			p.warmUp.warmServices[h.info.Service] = true
		}
	}
}

// warmUpLeft returns the remaining warm-up time of the worker of a host.
func (h *host) warmUpLeft(now time.Time) time.Duration { return max(0, h.warmUpUntil.Sub(now)) }

// warmUpCost returns the expected delay of a task by the warm-up of a worker, as a share of the
// task's estimate. Beyond the limit, where only a restart is placed, it is lastResortCost.
func (p *Planner) warmUpCost(now time.Time, t *task, h *host) float64 {
	left := h.warmUpLeft(now)
	if left <= 0 {
		return 0
	}
	if !p.withinWarmUpLimit(now, t, h) {
		return lastResortCost
	}
	return (warmUpSlowdown - 1) * min(1, float64(left)/float64(max(time.Millisecond, t.step.Estimate)))
}

// withinWarmUpLimit reports whether a host may get a task in view of its worker's warm-up,
// during which only part of its capacity may be assigned. The limit does not apply to an empty
// worker, because a task larger than the limit would otherwise wait for the end of the warm-up.
// It does not apply either if the service has no warm worker that the task could wait for.
func (p *Planner) withinWarmUpLimit(now time.Time, t *task, h *host) bool {
	left := h.warmUpLeft(now)
	if left <= 0 || h.usage.reserved.IsZero() || !p.warmUp.warmServices[h.info.Service] {
		return true
	}
	share := 1 - (1-warmUpShare)*min(1, float64(left)/float64(warmUpSpan))
	need, capacity := h.usage.reserved.Add(t.step.Reserved()), h.info.Capacity
	if t.step.Fills {
		need.MilliProcessors += h.usage.filling + t.step.Resources.MilliProcessors
	}
	return float64(need.MilliProcessors) <= share*float64(capacity.MilliProcessors) && float64(need.MemoryBytes) <= share*float64(capacity.MemoryBytes) &&
		float64(need.Accelerators) <= share*float64(capacity.Accelerators)
}
