// Package kqpace decides at which share of their speed filling tasks work
// beside serving tasks on one worker. It does no I/O.
package kqpace

import "time"

const (
	// highShare of a target is where filling tasks are slowed down.
	highShare = 0.8
	// lowShare of a target is below which they may speed up again.
	lowShare = 0.55
	// slowInterval is between two steps down, fastInterval between two up.
	slowInterval = 400 * time.Millisecond
	fastInterval = 700 * time.Millisecond
	full         = 100
	stepUp       = 15
	halve        = 0.5
	stopBelow    = 10
)

// Pacer holds the share of the filling tasks of one worker.
type Pacer struct {
	percent   int
	changedAt time.Time
	calmSince time.Time
}

// New returns a Pacer that lets filling tasks work at full speed.
func New() *Pacer { return &Pacer{percent: full} }

// Percent returns the share in force.
func (p *Pacer) Percent() int { return p.percent }

// Observe takes over the worst ratio of a serving task's tail latency to its
// target, or 0 if none serves, and returns the share of the filling tasks.
func (p *Pacer) Observe(now time.Time, worst float64) int {
	switch {
	case worst > 1:
		p.down(now, 0)
	case worst > highShare:
		p.down(now, halve)
	case worst < lowShare:
		p.up(now)
	default:
		p.calmSince = time.Time{}
	}
	return p.percent
}

func (p *Pacer) down(now time.Time, factor float64) {
	p.calmSince = time.Time{}
	if p.percent == 0 || now.Sub(p.changedAt) < slowInterval {
		return
	}
	p.percent = int(float64(p.percent) * factor)
	if p.percent < stopBelow {
		p.percent = 0
	}
	p.changedAt = now
}

// up waits until the serving tasks have been calm for a while, so that the
// share does not swing with each measurement.
func (p *Pacer) up(now time.Time) {
	if p.calmSince.IsZero() {
		p.calmSince = now
	}
	if p.percent == full || now.Sub(p.calmSince) < fastInterval || now.Sub(p.changedAt) < fastInterval {
		return
	}
	p.percent = min(full, p.percent+stepUp)
	p.changedAt = now
}
