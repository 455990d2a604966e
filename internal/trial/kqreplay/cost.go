package kqreplay

import "time"

// Cost is what the owner's decisions took of a real processor in replays.
type Cost struct {
	// Deciding is the time in passes, Listening that of taking over events.
	Deciding, Listening time.Duration
	// Starts is the tasks that were started, Events the reports and leases that
	// were taken over.
	Starts, Events int
	// Played is the virtual time.
	Played time.Duration
}

// Add returns the cost of both.
func (c Cost) Add(o Cost) Cost {
	return Cost{Deciding: c.Deciding + o.Deciding, Listening: c.Listening + o.Listening, Starts: c.Starts + o.Starts, Events: c.Events + o.Events, Played: c.Played + o.Played}
}

// PerStart returns the time in passes for each task that was started.
func (c Cost) PerStart() time.Duration { return c.Deciding / time.Duration(max(1, c.Starts)) }

// PerEvent returns the time for each event that was taken over.
func (c Cost) PerEvent() time.Duration { return c.Listening / time.Duration(max(1, c.Events)) }

// Share returns the part of a processor that the owner's decisions took.
func (c Cost) Share() float64 {
	return (c.Deciding + c.Listening).Seconds() / max(1, c.Played.Seconds())
}

// Cost returns what the owner's decisions have taken so far.
func (p *Replay) Cost() Cost {
	c := p.cost
	c.Starts, c.Played = p.account.result.Starts, p.now.Sub(epoch)
	return c
}

// listen has the owner take over an event.
func (p *Replay) listen(take func()) {
	begun := time.Now()
	take()
	p.cost.Listening += time.Since(begun)
	p.cost.Events++
}

// deciding has the owner decide.
func (p *Replay) deciding(decide func()) {
	begun := time.Now()
	decide()
	p.cost.Deciding += time.Since(begun)
}
