package kqmove

import (
	"math"
	"time"
)

// paceTime is the time over which a run's pace is smoothed, about that between two
// reports: with a second, runs that are held back are found too late (docs/LOAD.md).
const paceTime = 400 * time.Millisecond

// Pace follows how fast a run works; the zero value has seen nothing.
type Pace struct {
	at    time.Time
	done  float64
	speed float64
	known bool
}

// Note takes over the part of the work that is done at a time, and how long the
// whole takes as estimated.
func (p *Pace) Note(now time.Time, done float64, whole time.Duration) {
	if p.at.IsZero() || done < p.done {
		p.at, p.done = now, done
		return
	}
	d := now.Sub(p.at)
	if d <= 0 {
		return
	}
	speed := (done - p.done) * whole.Seconds() / d.Seconds()
	if !p.known {
		p.speed, p.known = speed, true
	}
	p.speed += (1 - math.Exp(-d.Seconds()/paceTime.Seconds())) * (speed - p.speed)
	p.at, p.done = now, done
}

// Speed returns the smoothed speed, where 1 is as estimated; ok is false until work
// was seen over some time.
func (p *Pace) Speed() (speed float64, ok bool) { return p.speed, p.known }
