package kqplan

import (
	"slices"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

const (
	avoidedHostCost     = 0.8
	loadCost            = 0.4
	interferenceCost    = 1.0
	packingCost         = 0.5
	nonServingHostCost  = 0.5
	hostSizeCost        = 0.2
	newImageMixCost     = 1.0
	presentImageMixCost = 0.2
	firstServingCost    = 0.3
	// servingUse is the share of its processors that a serving task uses, in
	// percent, where nothing was measured.
	defaultServingUsePercent = 50
	// leastPace bounds from below what filling tasks are expected to get beside
	// serving ones, in percent.
	minPace = 10
)

// total returns the processors of a host, in thousandths.
func (h *host) processors() int64 { return max(1, h.info.Capacity.MilliProcessors) }

// unused returns the processors that filling tasks may expect to get.
func (h *host) fillingCapacity(pace int) int64 {
	left := max(0, h.processors()-h.usage.regular-h.usage.serving*defaultServingUsePercent/fullPercent)
	if h.usage.serving > 0 {
		left = left * int64(max(minPace, pace)) / fullPercent
	}
	return left
}

// peers is what the cost of a task depends on beyond one host; it is the same
// for every host that is weighed.
type fleetView struct {
	// largest is the processors of the largest host.
	largestHost int64
	// light is true if the task disturbs little on some host where others serve.
	hasLowInterferenceHost bool
}

func (p *Planner) fleetViewFor(s *kqflow.Step) fleetView {
	switch {
	case s.Fills:
		return fleetView{hasLowInterferenceHost: p.hasLowInterferenceHost(s)}
	case s.TailTarget > 0:
		return fleetView{largestHost: p.largestHost()}
	}
	return fleetView{}
}

// cost is about how long a task takes on a host against its estimate.
func (p *Planner) cost(t *task, h *host, all fleetView) float64 {
	c := p.stepCost(t.step, h, all)
	if h.name == t.avoidedHost {
		c += avoidedHostCost
	}
	return c
}

// stepCost is the cost of any task of a step.
func (p *Planner) stepCost(s *kqflow.Step, h *host, all fleetView) float64 {
	c := h.health.slowdown()
	if c < slowThreshold {
		c = 1 + (c-1)/4
	}
	if s.Rack != "" && !slices.Contains(h.info.Labels, s.Rack) {
		c *= max(1, p.config.CrossRackSlowdown)
	}
	load := float64(h.usage.regular+h.usage.serving) / float64(h.processors())
	switch {
	case s.Fills:
		press := p.fillingEffectOn(s, h)
		c += float64(h.usage.filling+s.Resources.MilliProcessors) / float64(max(1, h.fillingCapacity(press.pace)))
		switch {
		case h.usage.serving > 0 && press.maxInterference >= highInterference:
			c += interferenceCost
		case h.usage.serving == 0 && all.hasLowInterferenceHost:
			// What disturbs little leaves the other hosts to what disturbs much.
			c += nonServingHostCost
		}
	case s.TailTarget > 0:
		// Serving tasks are packed, so that filling ones find room apart.
		c += h.imageMixCost(s.Image)
		if h.usage.serving == 0 {
			c += firstServingCost
		}
		c += packingCost*(1-load) + hostSizeCost*float64(h.processors())/float64(all.largestHost) + interferenceCost*p.fillingInterference(h, s)
	default:
		c += loadCost * load
	}
	return c
}

// largest returns the processors of the largest host.
func (p *Planner) largestHost() int64 {
	most := int64(1)
	for _, h := range p.hosts.All() {
		most = max(most, h.info.Capacity.MilliProcessors)
	}
	return most
}
