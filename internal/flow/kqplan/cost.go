package kqplan

import (
	"slices"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// Terms of the placement cost, relative to the estimated duration of the task.
const (
	// avoidedHostCost applies to the host that the task avoids, see task.avoidedHost.
	avoidedHostCost = 0.8
	// loadCost is the cost at full load, for tasks that neither fill nor serve.
	loadCost = 0.4
	// interferenceCost applies to a filling task with high interference next to serving tasks, and
	// to a serving task per unit of headroom that filling tasks on the host would cost it.
	interferenceCost = 1.0
	// packingCost is the cost for a serving task on a host without load; it falls to 0 at full load.
	packingCost = 0.5
	// nonServingHostCost applies to a filling task on a host without serving tasks if the task
	// could run next to the serving tasks of another host without high interference.
	nonServingHostCost = 0.5
	// hostSizeCost is the cost for a serving task on the largest host; smaller hosts cost less.
	hostSizeCost = 0.2
	// newImageMixCost applies to a serving task for each other serving image on the host;
	// presentImageMixCost applies once instead if the task's image already serves there.
	newImageMixCost     = 1.0
	presentImageMixCost = 0.2
	// firstServingCost applies to a serving task on a host without serving tasks.
	firstServingCost = 0.3
	// lastResortCost applies to a long-running task on a quarantined worker, on one that is warming up
	// and has its share assigned, or in the reserve for the top priority. It exceeds what two other
	// serving images and an empty host cost together.
	lastResortCost = 3.0
	// defaultServingUsePercent is the share of its processors that a serving task is assumed to
	// use, in percent, since its actual use is not measured.
	defaultServingUsePercent = 50
	// minPace is the lower bound on the share of full speed that filling tasks are expected to get
	// next to serving tasks, in percent.
	minPace = 10
)

// processors returns the processors of a host, in thousandths and at least 1.
func (h *host) processors() int64 { return max(1, h.info.Capacity.MilliProcessors) }

// fillingCapacity returns the processors that filling tasks can expect to get, in thousandths; pace
// is the share of full speed, in percent, at which they run next to serving tasks.
func (h *host) fillingCapacity(pace int) int64 {
	free := max(0, h.processors()-h.usage.regular-h.usage.serving*defaultServingUsePercent/fullPercent)
	if h.usage.serving > 0 {
		free = free * int64(max(minPace, pace)) / fullPercent
	}
	return free
}

// fleetView holds the inputs of the placement cost that are the same for every candidate host.
type fleetView struct {
	// largestHost is the processors of the largest host, in thousandths; set for serving tasks.
	largestHost int64
	// canColocate is true if the filling task can run next to the serving tasks of some host
	// without high interference.
	canColocate bool
}

// fleetViewFor returns the inputs that the placement cost of a step's tasks depends on.
func (p *Planner) fleetViewFor(s *kqflow.Step) fleetView {
	switch {
	case s.Fills:
		return fleetView{canColocate: p.canColocate(s)}
	case s.TailTarget > 0:
		return fleetView{largestHost: p.largestHost()}
	}
	return fleetView{}
}

// reserveCost returns the cost of a restart that uses the reserve for the top priority, which only
// restarts may do.
func (t *task) reserveCost(h *host) float64 {
	if t.job.queue.Priority > 0 && t.step.LongRunning && !h.withTopPriorityReserve(t.step.Reserved()).FitsIn(h.free()) {
		return lastResortCost
	}
	return 0
}

// cost returns the cost of placing a task on a host: about how long it takes there, relative to its
// estimate.
func (p *Planner) cost(t *task, h *host, fleet fleetView) float64 {
	c := p.stepCost(t.step, h, fleet)
	if h.name == t.avoidedHost {
		c += avoidedHostCost
	}
	return c
}

// stepCost returns the part of the cost that is the same for every task of a step.
func (p *Planner) stepCost(s *kqflow.Step, h *host, fleet fleetView) float64 {
	c := h.health.slowdown()
	if c < slowThreshold {
		c = 1 + (c-1)/4
	}
	if s.LongRunning && h.health.isQuarantined() {
		c += lastResortCost
	}
	if s.Rack != "" && !slices.Contains(h.info.Labels, s.Rack) {
		c *= max(1, p.config.CrossRackSlowdown)
	}
	load := float64(h.usage.regular+h.usage.serving) / float64(h.processors())
	switch {
	case s.Fills:
		effect := p.fillingEffectOn(s, h)
		c += float64(h.usage.filling+s.Resources.MilliProcessors) / float64(max(1, h.fillingCapacity(effect.pace)))
		switch {
		case h.usage.serving > 0 && effect.maxInterference >= highInterference:
			c += interferenceCost
		case h.usage.serving == 0 && fleet.canColocate:
			// Tasks without high interference leave hosts without serving tasks to those with
			// high interference.
			c += nonServingHostCost
		}
	case s.TailTarget > 0:
		// Serving tasks are packed, so that other hosts stay free for filling tasks.
		c += h.imageMixCost(s.Image)
		if h.usage.serving == 0 {
			c += firstServingCost
		}
		c += packingCost*(1-load) + hostSizeCost*float64(h.processors())/float64(fleet.largestHost) + interferenceCost*p.fillingInterference(h, s)
	default:
		c += loadCost * load
	}
	return c
}

// largestHost returns the processors of the largest host, in thousandths.
func (p *Planner) largestHost() int64 {
	largest := int64(1)
	for _, h := range p.hosts.All() {
		largest = max(largest, h.info.Capacity.MilliProcessors)
	}
	return largest
}
