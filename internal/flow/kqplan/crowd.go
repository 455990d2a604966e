package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
)

// Crowd is what holds the processors of a cell and what waits for them, where
// not said otherwise in thousandths of a processor.
type Crowd struct {
	// Capacity is the processors of all workers, Free what nothing has reserved.
	Capacity int64 `json:"capacity"`
	Free     int64 `json:"free"`
	// Standing is reserved by tasks that stay, Ending by tasks that end.
	Standing int64 `json:"standing"`
	Ending   int64 `json:"ending"`
	// WaitingStanding, WaitingEnding and WaitingFilling are asked for by tasks whose
	// turn has come.
	WaitingStanding int64 `json:"waiting_standing"`
	WaitingEnding   int64 `json:"waiting_ending"`
	WaitingFilling  int64 `json:"waiting_filling"`
	// Weighed is how often a worker was weighed for a task since the last line: the
	// owner's processor time goes by it.
	Weighed int64 `json:"weighed"`
}

// wait counts a task that finds no room.
func (c *Crowd) wait(t *task, count int) {
	asked := int64(count) * t.step.Size.MilliProcessors
	switch {
	case t.step.Standing:
		c.WaitingStanding += asked
	case t.step.Fills:
		c.WaitingFilling += asked
	default:
		c.WaitingEnding += asked
	}
}

// crowdInterval is the time between two lines about what waits.
const crowdInterval = time.Second

// noteCrowd logs what holds the room that tasks wait for.
func (p *Planner) noteCrowd(now time.Time, c Crowd) {
	if p.backlog == 0 || now.Sub(p.crowdedAt) < crowdInterval {
		return
	}
	p.crowdedAt = now
	c.Weighed, p.told = p.weighed-p.told, p.weighed
	for _, h := range p.hosts.All() {
		c.Capacity += h.info.Capacity.MilliProcessors
		c.Free += max(0, h.free().MilliProcessors)
		c.Standing += h.tally.standing
		c.Ending += h.tally.reserved.MilliProcessors - h.tally.standing
	}
	p.config.Events.EmitFields(now, kqevent.FlowCrowded, kqevent.Process("owner"), []kqevent.Field{kqevent.Value("crowd", c)},
		"%d tasks wait; of %d processors %d are free, %d are held by tasks that stay, %d by tasks that end",
		p.backlog, c.Capacity/milli, c.Free/milli, c.Standing/milli, c.Ending/milli)
}

// milli is how many thousandths a processor has.
const milli = 1000
