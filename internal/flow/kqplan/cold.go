package kqplan

import "time"

const (
	// coldFactor is about how many times as long work takes on a cold worker.
	warmUpSlowdown = 1.5
	// coldPart is the share of its room that a worker gets at first that is cold for
	// coldSpan or longer; the share rises to the whole as it gets warm.
	warmUpShare = 0.5
	warmUpSpan  = 10 * time.Second
	// warmInterval is how often it is looked whether any worker is warm.
	warmCheckInterval = 250 * time.Millisecond
)

// warmth is which services have a worker that is not cold.
type warmUp struct {
	warmServices map[string]bool
	checkedAt    time.Time
}

// noteWarm finds the services that have a warm worker outside evacuated zones.
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

// coldLeft returns how much longer the worker of a host is slow.
func (h *host) warmUpLeft(now time.Time) time.Duration { return max(0, h.warmUpUntil.Sub(now)) }

// coldCost is how much longer a task is expected to take on a host since its worker is
// cold, against its estimate.
func warmUpCost(now time.Time, t *task, h *host) float64 {
	left := h.warmUpLeft(now)
	if left <= 0 {
		return 0
	}
	return (warmUpSlowdown - 1) * min(1, float64(left)/float64(max(time.Millisecond, t.step.Estimate)))
}

// takesCold reports whether a host may get a task although its worker may be cold: it
// is given part of its room until it is warm. One that runs nothing may have any task,
// or what is larger than the part would wait for warmth; and where no worker is warm,
// waiting for one is of no use.
func (p *Planner) withinWarmUpLimit(now time.Time, t *task, h *host) bool {
	left := h.warmUpLeft(now)
	if left <= 0 || h.usage.reserved.IsZero() || !p.warmUp.warmServices[h.info.Service] {
		return true
	}
	part := 1 - (1-warmUpShare)*min(1, float64(left)/float64(warmUpSpan))
	need, whole := h.usage.reserved.Add(t.step.Reserved()), h.info.Capacity
	if t.step.Fills {
		need.MilliProcessors += h.usage.filling + t.step.Resources.MilliProcessors
	}
	return float64(need.MilliProcessors) <= part*float64(whole.MilliProcessors) && float64(need.MemoryBytes) <= part*float64(whole.MemoryBytes) &&
		float64(need.Accelerators) <= part*float64(whole.Accelerators)
}
