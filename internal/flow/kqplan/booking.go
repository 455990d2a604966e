package kqplan

import "time"

// booking is room that is kept on a host for a task that is being moved.
type booking struct {
	host *host
	till time.Time
}

// bookMargin is how long room is kept beyond the longest stop.
const bookMargin = time.Second

// book keeps room on a host for a task.
func (p *Planner) book(now time.Time, t *task, h *host) {
	t.booking = &booking{host: h, till: now.Add(p.config.Moves.Stop + bookMargin)}
	h.countBooked(t, 1)
	p.moving = append(p.moving, t)
}

// countBooked counts the room that is kept for a task.
func (h *host) countBooked(t *task, sign int64) {
	h.tally.reserved = signed(h.tally.reserved, t.step.Reserved(), sign)
	if t.step.Fills {
		h.tally.filling += sign * t.step.Size.MilliProcessors
	}
}

// unbook gives back the room that is kept for a task.
func (t *task) unbook() {
	if b := t.booking; b != nil {
		b.host.countBooked(t, -1)
		t.booking = nil
	}
}

// markMoved notes whether a task waits after a move that pays: what it has done is worth
// more than a new one of its class.
func (t *task) markMoved(moved bool) {
	if t.moved != moved {
		t.moved = moved
		if t.job.moved++; !moved {
			t.job.moved -= 2
		}
	}
}

// waits orders jobs of which a moved task waits before others.
func (j *job) waits() int {
	if j.moved > 0 {
		return 0
	}
	return 1
}

// placeMoved starts the tasks that were moved and whose stop has ended, and drops the
// bookings that serve no more.
func (p *Planner) placeMoved(now time.Time) {
	kept := p.moving[:0]
	for _, t := range p.moving {
		if p.stillMoving(now, t) {
			kept = append(kept, t)
		}
	}
	clear(p.moving[len(kept):])
	p.moving = kept
}

// stillMoving starts a task for which room is kept if its stop has ended; it reports
// whether the room is kept on.
func (p *Planner) stillMoving(now time.Time, t *task) bool {
	b := t.booking
	switch {
	case b == nil:
		return false
	case t.done, t.job.state.Final(), now.After(b.till), !b.host.usable(now):
		t.unbook()
		p.place = true
		return false
	case len(t.runs) > 0, p.hold, now.Before(t.retryAt):
		return true
	}
	t.unbook()
	if h := p.placeOf(now, t, b.host); h != nil {
		p.start(now, t, h)
	}
	return false
}

// placeOf returns where a moved task starts: the best host by now, or the one that was
// booked, whose room for what fills was judged then.
func (p *Planner) placeOf(now time.Time, t *task, booked *host) *host {
	if h := p.choose(now, t); h != nil {
		return h
	}
	if booked.hasFree(t) && p.allowed(now, t, booked) && p.approved(now, t, booked) {
		return booked
	}
	return nil
}

// leastUse bounds from below the part of its processors that a filling run is taken to
// use: what holds it back passes.
const leastUse = 40

// filling returns the processors that filling runs are taken to use. If moves cost what
// is known, runs that are held back are left longer where they are, and count in part:
// others may use what they do not.
func (h *host) filling() int64 { return h.tally.filling - h.heldBack }

// countHeldBack counts anew the processors that filling runs do not use because they
// are held back.
func (h *host) countHeldBack() {
	h.heldBack = 0
	for _, r := range h.beside.filling {
		r.heldBack = r.task.step.Size.MilliProcessors * int64(fullPercent-max(leastUse, r.pace)) / fullPercent
		h.heldBack += r.heldBack
	}
}
