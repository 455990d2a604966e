package kqreplay

import "time"

// Cost is the real processor time that the decisions of the owner took in one or more replays.
type Cost struct {
	// PassTime is the time spent in scheduling passes, EventTime the time spent applying events.
	PassTime, EventTime time.Duration
	// Starts is the number of started runs, Events the number of applied reports and lease grants.
	Starts, Events int
	// VirtualTime is the virtual time replayed.
	VirtualTime time.Duration
}

// Add returns the sum of c and o.
func (c Cost) Add(o Cost) Cost {
	return Cost{PassTime: c.PassTime + o.PassTime, EventTime: c.EventTime + o.EventTime, Starts: c.Starts + o.Starts, Events: c.Events + o.Events, VirtualTime: c.VirtualTime + o.VirtualTime}
}

// PerStart returns the time spent in scheduling passes per started run.
func (c Cost) PerStart() time.Duration { return c.PassTime / time.Duration(max(1, c.Starts)) }

// PerEvent returns the time spent per applied event.
func (c Cost) PerEvent() time.Duration { return c.EventTime / time.Duration(max(1, c.Events)) }

// ProcessorShare returns the share of one processor that the decisions of the owner take, over the
// virtual time.
func (c Cost) ProcessorShare() float64 {
	return (c.PassTime + c.EventTime).Seconds() / max(1, c.VirtualTime.Seconds())
}

// Cost returns the cost of the replay so far.
func (p *Replay) Cost() Cost {
	c := p.cost
	c.Starts, c.VirtualTime = p.recorder.result.Starts, p.now.Sub(replayStart)
	return c
}

// timeEvent runs apply, which applies an event to the planner, and adds its cost.
func (p *Replay) timeEvent(apply func()) {
	start := time.Now()
	apply()
	p.cost.EventTime += time.Since(start)
	p.cost.Events++
}

// timePass runs pass, which makes a scheduling pass, and adds its cost.
func (p *Replay) timePass(pass func()) {
	start := time.Now()
	pass()
	p.cost.PassTime += time.Since(start)
}
