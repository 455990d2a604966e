package kqplan

import (
	"slices"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

const (
	shunCost    = 0.8
	loadCost    = 0.4
	pressCost   = 1.0
	packGain    = 0.5
	lightCost   = 0.5
	sizeCost    = 0.2
	newMixCost  = 1.0
	heldMixCost = 0.2
	openCost    = 0.3
	// servingUse is the share of its processors that a serving task uses, in
	// percent, where nothing was measured.
	servingUse = 50
	// leastPace bounds from below what filling tasks are expected to get beside
	// serving ones, in percent.
	leastPace = 10
)

// total returns the processors of a host, in thousandths.
func (h *host) total() int64 { return max(1, h.info.Capacity.MilliProcessors) }

// unused returns the processors that filling tasks may expect to get.
func (h *host) unused(pace int) int64 {
	left := max(0, h.total()-h.tally.plain-h.tally.serving*servingUse/fullPercent)
	if h.tally.serving > 0 {
		left = left * int64(max(leastPace, pace)) / fullPercent
	}
	return left
}

// peers is what the cost of a task depends on beyond one host; it is the same
// for every host that is weighed.
type peers struct {
	// largest is the processors of the largest host.
	largest int64
	// light is true if the task disturbs little on some host where others serve.
	light bool
}

func (p *Planner) peersFor(s *kqflow.Step) peers {
	switch {
	case s.Fills:
		return peers{light: p.lightSomewhere(s)}
	case s.TailTarget > 0:
		return peers{largest: p.largest()}
	}
	return peers{}
}

// cost is about how long a task takes on a host against its estimate.
func (p *Planner) cost(t *task, h *host, all peers) float64 {
	c := p.stepCost(t.step, h, all)
	if h.name == t.shunned {
		c += shunCost
	}
	return c
}

// stepCost is the cost of any task of a step.
func (p *Planner) stepCost(s *kqflow.Step, h *host, all peers) float64 {
	c := h.health.slowdown()
	if c < slowFactor {
		c = 1 + (c-1)/4
	}
	if s.Rack != "" && !slices.Contains(h.info.Labels, s.Rack) {
		c *= max(1, p.config.FarFactor)
	}
	load := float64(h.tally.plain+h.tally.serving) / float64(h.total())
	switch {
	case s.Fills:
		press := p.pressing(s, h)
		c += float64(h.tally.filling+s.Size.MilliProcessors) / float64(max(1, h.unused(press.pace)))
		switch {
		case h.tally.serving > 0 && press.heaviest >= heavyPress:
			c += pressCost
		case h.tally.serving == 0 && all.light:
			// What disturbs little leaves the other hosts to what disturbs much.
			c += lightCost
		}
	case s.TailTarget > 0:
		// Serving tasks are packed, so that filling ones find room apart.
		c += h.mixing(s.Image)
		if h.tally.serving == 0 {
			c += openCost
		}
		c += packGain*(1-load) + sizeCost*float64(h.total())/float64(all.largest) + pressCost*p.pressBy(h, s)
	default:
		c += loadCost * load
	}
	return c
}

// largest returns the processors of the largest host.
func (p *Planner) largest() int64 {
	most := int64(1)
	for _, h := range p.hosts.All() {
		most = max(most, h.info.Capacity.MilliProcessors)
	}
	return most
}
