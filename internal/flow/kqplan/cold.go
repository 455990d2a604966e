package kqplan

import "time"

const (
	// coldFactor is about how many times as long work takes on a cold worker.
	coldFactor = 1.5
	// coldPart is the share of its room that a worker gets at first that is cold for
	// coldSpan or longer; the share rises to the whole as it gets warm.
	coldPart = 0.5
	coldSpan = 10 * time.Second
	// warmInterval is how often it is looked whether any worker is warm.
	warmInterval = 250 * time.Millisecond
)

// warmth is which services have a worker that is not cold.
type warmth struct {
	services map[string]bool
	seenAt   time.Time
}

// noteWarm finds the services that have a warm worker outside evacuated zones.
func (p *Planner) noteWarm(now time.Time) {
	if !p.config.Gradual || now.Sub(p.warmth.seenAt) < warmInterval {
		return
	}
	p.warmth = warmth{services: map[string]bool{}, seenAt: now}
	for _, h := range p.hosts.All() {
		if h.coldLeft(now) <= 0 && h.usable(now) && !p.evacuated(h) {
			p.warmth.services[h.info.Service] = true
		}
	}
}

// coldLeft returns how much longer the worker of a host is slow.
func (h *host) coldLeft(now time.Time) time.Duration { return max(0, h.coldTill.Sub(now)) }

// coldCost is how much longer a task is expected to take on a host since its worker is
// cold, against its estimate.
func coldCost(now time.Time, t *task, h *host) float64 {
	left := h.coldLeft(now)
	if left <= 0 {
		return 0
	}
	return (coldFactor - 1) * min(1, float64(left)/float64(max(time.Millisecond, t.step.Estimate)))
}

// takesCold reports whether a host may get a task although its worker may be cold: it
// is given part of its room until it is warm. One that runs nothing may have any task,
// or what is larger than the part would wait for warmth; and where no worker is warm,
// waiting for one is of no use.
func (p *Planner) takesCold(now time.Time, t *task, h *host) bool {
	left := h.coldLeft(now)
	if left <= 0 || h.tally.reserved.IsZero() || !p.warmth.services[h.info.Service] {
		return true
	}
	part := 1 - (1-coldPart)*min(1, float64(left)/float64(coldSpan))
	need, whole := h.tally.reserved.Add(t.step.Reserved()), h.info.Capacity
	if t.step.Fills {
		need.MilliProcessors += h.tally.filling + t.step.Size.MilliProcessors
	}
	return float64(need.MilliProcessors) <= part*float64(whole.MilliProcessors) && float64(need.MemoryBytes) <= part*float64(whole.MemoryBytes) &&
		float64(need.Accelerators) <= part*float64(whole.Accelerators)
}
