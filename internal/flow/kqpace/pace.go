// Package kqpace decides at which share of their speed filling tasks work
// beside serving tasks on one worker. It does no I/O.
package kqpace

import "time"

// The room of a serving task is its target over its tail latency: 1 at the
// target, more below it. A queue's latency goes with the inverse of what is
// left of its server, so the disturbance takes away from the room linearly.
const (
	// scarceRoom is below which filling tasks are slowed down at once.
	scarceRoom = 1.02
	// tightRoom is below which they are slowed down by and by.
	tightRoom = 1.12
	// easyRoom is above which they may speed up, wideRoom above which faster.
	easyRoom = 1.25
	wideRoom = 1.6

	scarceFactor = 0.4
	tightFactor  = 0.75
	easyStep     = 8
	wideStep     = 25

	// Interval is the least time between two changes.
	Interval = 250 * time.Millisecond
	// scarceBound is after how long all filling tasks stand still.
	scarceBound = 1500 * time.Millisecond
	full        = 100
	// least is the lowest share; below it filling tasks stand still.
	least = 4
	// smoothing is the weight of a new measurement.
	smoothing = 0.6
	// leastPress bounds from below what runs together are taken to press.
	leastPress = 0.01
	// lightPress is the room below which a run is slowed down only if slowing
	// down the others was not enough.
	lightPress = 0.06
)

// Pacer holds the shares of the filling tasks of one worker: those that
// disturb much are slowed down first and sped up last.
type Pacer struct {
	heavy       float64
	light       float64
	room        float64
	press       float64
	changedAt   time.Time
	scarceSince time.Time
}

// New returns a Pacer that lets filling tasks work at full speed.
func New() *Pacer { return &Pacer{heavy: full, light: full} }

// Percent returns the share of the runs that disturb much.
func (p *Pacer) Percent() int { return int(p.heavy) }

// Heavy reports whether a run that takes some room is slowed down first.
func Heavy(press float64) bool { return press >= lightPress }

// For returns the share of a run that takes some room at full speed.
func (p *Pacer) For(press float64) int {
	if Heavy(press) {
		return int(p.heavy)
	}
	return int(p.light)
}

// Observe takes over the least room of the serving tasks, or 0 if none serves,
// and the sum of the room that the runs which disturb much take at full speed.
func (p *Pacer) Observe(now time.Time, room, press float64) {
	if room <= 0 {
		*p = Pacer{heavy: full, light: full, changedAt: p.changedAt}
		return
	}
	p.admit(press)
	if p.room == 0 || room < p.room && room < scarceRoom {
		p.room = room
	}
	p.room += smoothing * (room - p.room)
	if p.room >= scarceRoom {
		p.scarceSince = time.Time{}
	} else if p.scarceSince.IsZero() {
		p.scarceSince = now
	}
	if now.Sub(p.changedAt) < Interval {
		return
	}
	p.changedAt = now
	switch {
	case p.room < scarceRoom && now.Sub(p.scarceSince) >= scarceBound:
		p.heavy, p.light = 0, 0
	case p.room < scarceRoom:
		p.slow(scarceFactor)
	case p.room < tightRoom:
		p.slow(tightFactor)
	case p.room > wideRoom:
		p.speed(max(wideStep, p.bearable()))
	case p.room > easyRoom:
		p.speed(max(easyStep, p.bearable()))
	}
}

// admit lets no more be taken than there is room for when runs are added: their
// press is not in the measurements yet.
func (p *Pacer) admit(press float64) {
	added := press - p.press
	p.press = press
	if added <= 0 || p.room == 0 {
		return
	}
	taken := p.heavy / full * (press - added)
	bearable := taken + max(0, p.room-easyRoom)
	p.heavy = min(p.heavy, full*bearable/press)
	if p.heavy < least {
		p.heavy = 0
	}
}

// bearable returns by how much the share may rise at once: half of what would
// take the room down to easyRoom if the runs press as is known.
func (p *Pacer) bearable() float64 {
	return full * (p.room - easyRoom) / 2 / max(leastPress, p.press)
}

func (p *Pacer) slow(factor float64) {
	share := &p.heavy
	if p.heavy == 0 {
		share = &p.light
	}
	*share *= factor
	if *share < least {
		*share = 0
	}
}

func (p *Pacer) speed(step float64) {
	if p.light < full {
		p.light = min(full, p.light+2*step)
		return
	}
	p.heavy = min(full, p.heavy+step)
}
