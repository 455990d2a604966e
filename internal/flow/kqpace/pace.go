// Package kqpace decides at which share of their speed filling tasks work
// beside serving tasks on one worker. It does no I/O.
package kqpace

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// The room of a serving task is its target over its tail latency: 1 at the
// target, more below it. A queue's latency goes with the inverse of what is
// left of its server, so the disturbance takes away from the room linearly.
const (
	// scarceRoom is below which filling tasks are slowed down whatever they are
	// thought to press, tightRoom below which they are by and by.
	scarceRoom = 1.02
	tightRoom  = 1.12
	// lostRoom is below which what they press is certainly not known.
	lostRoom = 0.5
	// leftRoom is what filling tasks leave, lightLeftRoom what those leave that
	// press hardly.
	leftRoom      = 1.22
	lightLeftRoom = 1.05

	scarceFactor = 0.4
	tightFactor  = 0.75
	// rise is the part of what is left over that is given away at once.
	rise = 0.5

	// Interval is the least time between two changes.
	Interval = 250 * time.Millisecond
	// scarceBound is after how long all stand still that are known to press at
	// all, harmlessBound after how long the others do, too: what was learned of
	// them may be wrong.
	scarceBound   = 1500 * time.Millisecond
	harmlessBound = 2400 * time.Millisecond
	full          = 100
	// least is the lowest share; below it filling tasks stand still.
	least = 4
	// smoothing is the weight of a new measurement of more room.
	smoothing = 0.6
	// lightPress is the room below which a run presses hardly.
	lightPress = 0.06
	// harmlessPress is the room below which a run is taken not to press at all.
	harmlessPress = 0.005
	// leastSlack bounds from below the time that a job has left, and lateSlack
	// stands for a job that is late.
	leastSlack = 500 * time.Millisecond
	lateSlack  = time.Minute
)

// Run is a filling run on the worker.
type FillingRun struct {
	// Key names the run.
	Key kqexecution.Run
	// Press is the room that the run takes at full speed of each image that
	// serves.
	Interference map[string]float64
	// Use is the share of its size that the run has used lately.
	Utilization float64
	// Due is when its job is to end.
	Deadline time.Time
}

// press returns the room that a run takes of an image; one that is not listed
// is taken to be disturbed much.
func (r FillingRun) press(image string) float64 {
	if taken, ok := r.Interference[image]; ok {
		return taken
	}
	return full
}

// worst returns the most room that a run takes of any image.
func (r FillingRun) worst() float64 {
	most := 0.0
	for _, taken := range r.Interference {
		most = max(most, taken)
	}
	return most
}

// slack returns the time that the run's job has left.
func (r FillingRun) slack(now time.Time) time.Duration {
	if now.After(r.Deadline) {
		return lateSlack
	}
	return max(leastSlack, r.Deadline.Sub(now))
}

// budget is the room of the serving tasks of one image.
type budget struct {
	// base is the room that they would have by themselves.
	base float64
	// given is what filling runs take of it at their shares, left what they may
	// still be given.
	given float64
	left  float64
	// room is the smoothed room that they have.
	room float64
	// scarceSince is since when the room is scarce; zero if it is not.
	scarceSince time.Time
	// scarceFor is how long the room has been scarce.
	scarceFor time.Duration
}

// Pacer holds the shares of the filling runs of one worker. The load pattern
// that it answers is serving tasks whose own load swings within seconds beside
// filling tasks of which a few press much: each is given what the room bears,
// those first that press little and end soon.
type Pacer struct {
	budgets   map[string]*budget
	shares    map[kqexecution.Run]int
	changedAt time.Time
}

// New returns a Pacer that lets filling runs work at full speed.
func New() *Pacer { return &Pacer{budgets: map[string]*budget{}, shares: map[kqexecution.Run]int{}} }

// Share returns the share of a run, in percent.
func (p *Pacer) Share(k kqexecution.Run) int {
	if s, ok := p.shares[k]; ok {
		return s
	}
	return full
}

// Paces returns the share, in percent, of what presses each image that works.
func (p *Pacer) SharesByImage(runs []FillingRun) map[string]int {
	out := make(map[string]int, len(p.budgets))
	for image := range p.budgets {
		asked, given := 0.0, 0.0
		for _, r := range runs {
			if taken := r.Interference[image]; taken >= lightPress {
				asked += taken
				given += taken * float64(p.Share(r.Key)) / full
			}
		}
		out[image] = full
		if asked > 0 {
			out[image] = int(full * given / asked)
		}
	}
	return out
}

// Observe takes over the least room of the serving tasks of each image and
// shares it out.
func (p *Pacer) Update(now time.Time, rooms map[string]float64, runs []FillingRun) {
	for image := range p.budgets {
		if _, ok := rooms[image]; !ok {
			delete(p.budgets, image)
		}
	}
	scarce := false
	for image, room := range rooms {
		scarce = p.measure(now, image, room, runs) || scarce
	}
	if now.Sub(p.changedAt) < Interval && !scarce {
		return
	}
	p.changedAt = now
	for image, room := range rooms {
		p.budgets[image].open(now, room)
	}
	p.allot(now, runs)
}

// measure follows what serving tasks would have by themselves; it reports
// whether that has just become scarce.
func (p *Pacer) measure(now time.Time, image string, room float64, runs []FillingRun) bool {
	b := p.budgets[image]
	if b == nil {
		b = &budget{}
		p.budgets[image] = b
	}
	base := room
	b.given = 0
	for _, r := range runs {
		base += r.Utilization * r.Interference[image]
		b.given += float64(p.Share(r.Key)) / full * r.press(image)
	}
	if b.base == 0 || base < b.base {
		b.base = base
	}
	b.base += smoothing * (base - b.base)
	if b.room == 0 || room < b.room && room < scarceRoom {
		b.room = room
	}
	b.room += smoothing * (room - b.room)
	if b.room >= scarceRoom {
		b.scarceSince = time.Time{}
		return false
	}
	if !b.scarceSince.IsZero() {
		return false
	}
	b.scarceSince = now
	return true
}

// open decides how much of the room filling runs may take.
func (b *budget) open(now time.Time, room float64) {
	b.left = b.base - leftRoom
	b.scarceFor = 0
	if !b.scarceSince.IsZero() {
		b.scarceFor = now.Sub(b.scarceSince)
	}
	switch {
	case room < lostRoom:
		b.left = min(b.left, 0)
	case room < scarceRoom:
		b.left = min(b.left, scarceFactor*b.given)
	case room < tightRoom:
		b.left = min(b.left, tightFactor*b.given)
	case b.left > b.given:
		b.left = b.given + rise*(b.left-b.given)
	}
}

// allot shares the budgets out.
func (p *Pacer) allot(now time.Time, runs []FillingRun) {
	order := slices.Clone(runs)
	cost := func(r FillingRun) float64 { return r.worst() * r.slack(now).Seconds() }
	slices.SortFunc(order, func(a, b FillingRun) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), strings.Compare(a.Key.Task, b.Key.Task))
	})
	shares := make(map[kqexecution.Run]int, len(order))
	for _, r := range order {
		shares[r.Key] = p.take(r)
	}
	p.shares = shares
}

// take returns the share that the budgets bear for a run and counts it.
func (p *Pacer) take(r FillingRun) int {
	share := 1.0
	for image, b := range p.budgets {
		taken := r.press(image)
		left := b.left
		if taken < lightPress {
			left += leftRoom - lightLeftRoom
		}
		switch {
		case b.scarceFor >= harmlessBound:
			share = 0
		case taken < harmlessPress:
		case b.scarceFor >= scarceBound:
			share = 0
		case left < taken:
			share = min(share, max(0, left/taken))
		}
	}
	percent := int(share * full)
	if percent < least {
		return 0
	}
	for image, b := range p.budgets {
		b.left -= share * r.press(image)
	}
	return percent
}

// Add gives a run that begins what is left before any measurement shows it.
func (p *Pacer) AddRun(r FillingRun) {
	p.shares[r.Key] = p.take(r)
}
