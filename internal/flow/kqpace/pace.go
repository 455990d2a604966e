// Package kqpace decides at which share of their speed filling tasks work
// beside serving tasks on one worker. It does no I/O.
package kqpace

import "time"

// The room of a serving task is its target over its tail latency: 1 at the
// target, more below it. A queue's latency goes with the inverse of what is
// left of its server, so the disturbance takes away from the room linearly.
const (
	// scarceRoom is below which filling tasks are slowed down at once.
	scarceRoom = 1.0
	// tightRoom is below which they are slowed down by and by.
	tightRoom = 1.15
	// easyRoom is above which they may speed up, wideRoom above which faster.
	easyRoom = 1.3
	wideRoom = 1.8

	scarceFactor = 0.4
	tightFactor  = 0.75
	easyStep     = 6
	wideStep     = 18

	// Interval is the least time between two changes.
	Interval = 250 * time.Millisecond
	full     = 100
	// least is the lowest share; below it filling tasks stand still.
	least = 4
	// smoothing is the weight of a new measurement.
	smoothing = 0.6
)

// Pacer holds the share of the filling tasks of one worker.
type Pacer struct {
	percent   float64
	room      float64
	changedAt time.Time
}

// New returns a Pacer that lets filling tasks work at full speed.
func New() *Pacer { return &Pacer{percent: full} }

// Percent returns the share in force.
func (p *Pacer) Percent() int { return int(p.percent) }

// Observe takes over the least room of the serving tasks, or 0 if none serves,
// and returns the share of the filling tasks.
func (p *Pacer) Observe(now time.Time, room float64) int {
	if room <= 0 {
		p.percent, p.room = full, 0
		return full
	}
	if p.room == 0 || room < p.room && room < scarceRoom {
		p.room = room
	}
	p.room += smoothing * (room - p.room)
	if now.Sub(p.changedAt) < Interval {
		return p.Percent()
	}
	p.changedAt = now
	switch {
	case p.room < scarceRoom:
		p.slow(scarceFactor)
	case p.room < tightRoom:
		p.slow(tightFactor)
	case p.room > wideRoom:
		p.percent = min(full, p.percent+wideStep)
	case p.room > easyRoom:
		p.percent = min(full, p.percent+easyStep)
	}
	return p.Percent()
}

func (p *Pacer) slow(factor float64) {
	p.percent *= factor
	if p.percent < least {
		p.percent = 0
	}
}
