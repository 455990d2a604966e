package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
)

// Contention is the logged summary of the processors of a cell that are reserved and of those
// that waiting tasks request, in thousandths of a processor unless noted otherwise.
type Contention struct {
	// Capacity is the processors of all workers, Free the unreserved part of them.
	Capacity int64 `json:"capacity"`
	Free     int64 `json:"free"`
	// LongRunning is reserved by long-running tasks, Finite by finite tasks.
	LongRunning int64 `json:"standing"`
	Finite      int64 `json:"ending"`
	// WaitingLongRunning, WaitingFinite and WaitingFilling are requested by tasks of each kind
	// that are ready to start.
	WaitingLongRunning int64 `json:"waiting_standing"`
	WaitingFinite      int64 `json:"waiting_ending"`
	WaitingFilling     int64 `json:"waiting_filling"`
	// Scored is how often a worker was scored for a task since the last log line. The owner's
	// processor time grows with it.
	Scored int64 `json:"weighed"`
}

// addWaiting adds tasks that find no capacity: count tasks of the size of t.
func (c *Contention) addWaiting(t *task, count int) {
	requested := int64(count) * t.step.Resources.MilliProcessors
	switch {
	case t.step.LongRunning:
		c.WaitingLongRunning += requested
	case t.step.Fills:
		c.WaitingFilling += requested
	default:
		c.WaitingFinite += requested
	}
}

// contentionInterval is the minimum time between two log lines about contention.
const contentionInterval = time.Second

// logContention logs how the processors that tasks wait for are reserved.
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
	p.config.Events.EmitFields(now, kqevent.FlowContention, kqevent.Process("owner"), []kqevent.Field{kqevent.Value("crowd", c)},
		"%d tasks waiting; of %d processors, %d are free, %d are reserved by long-running tasks, %d by finite tasks",
		p.backlog, c.Capacity/milliPerProcessor, c.Free/milliPerProcessor, c.LongRunning/milliPerProcessor, c.Finite/milliPerProcessor)
}

// milliPerProcessor converts thousandths of a processor to processors.
const milliPerProcessor = 1000
