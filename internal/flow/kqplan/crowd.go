package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
)

// Crowd is what holds the processors of a cell and what waits for them, where
// not said otherwise in thousandths of a processor.
type Contention struct {
	// Capacity is the processors of all workers, Free what nothing has reserved.
	Capacity int64 `json:"capacity"`
	Free     int64 `json:"free"`
	// Standing is reserved by tasks that stay, Ending by tasks that end.
	LongRunning int64 `json:"standing"`
	Finite      int64 `json:"ending"`
	// WaitingStanding, WaitingEnding and WaitingFilling are asked for by tasks whose
	// turn has come.
	WaitingLongRunning int64 `json:"waiting_standing"`
	WaitingFinite      int64 `json:"waiting_ending"`
	WaitingFilling     int64 `json:"waiting_filling"`
	// Weighed is how often a worker was weighed for a task since the last line: the
	// owner's processor time goes by it.
	Scored int64 `json:"weighed"`
}

// wait counts a task that finds no room.
func (c *Contention) addWaiting(t *task, count int) {
	asked := int64(count) * t.step.Resources.MilliProcessors
	switch {
	case t.step.LongRunning:
		c.WaitingLongRunning += asked
	case t.step.Fills:
		c.WaitingFilling += asked
	default:
		c.WaitingFinite += asked
	}
}

// crowdInterval is the time between two lines about what waits.
const contentionInterval = time.Second

// noteCrowd logs what holds the room that tasks wait for.
func (p *Planner) logContention(now time.Time, c Contention) {
	if p.backlog == 0 || now.Sub(p.contentionLoggedAt) < contentionInterval {
		return
	}
	p.contentionLoggedAt = now
	c.Scored, p.scoredLogged = p.scored-p.scoredLogged, p.scored
	for _, h := range p.hosts.All() {
		c.Capacity += h.info.Capacity.MilliProcessors
		c.Free += max(0, h.free().MilliProcessors)
		c.LongRunning += h.usage.longRunning
		c.Finite += h.usage.reserved.MilliProcessors - h.usage.longRunning
	}
	p.config.Events.EmitFields(now, kqevent.FlowCrowded, kqevent.Process("owner"), []kqevent.Field{kqevent.Value("crowd", c)},
		"%d tasks wait; of %d processors %d are free, %d are held by tasks that stay, %d by tasks that end",
		p.backlog, c.Capacity/milliPerProcessor, c.Free/milliPerProcessor, c.LongRunning/milliPerProcessor, c.Finite/milliPerProcessor)
}

// milli is how many thousandths a processor has.
const milliPerProcessor = 1000
