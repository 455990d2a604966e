package kqcontrol

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

const (
	firstPause = 30 * time.Millisecond
	mostPause  = 400 * time.Millisecond
)

// writes is what an owner has under way in the partition of its rows. The store carries
// them out one after another, so that while it is slow a second one would only wait,
// with what confirms the ownership behind it.
type writes struct {
	// inFlight is how many writes of any kind have no answer yet, commits how many of
	// them store records.
	inFlight int
	commits  int
	// pause is how long commits wait after the store has refused one, until pausedTill.
	pause      time.Duration
	pausedTill time.Time
	// slow is what Speed.Slow said last, since slowAt.
	slow   bool
	slowAt time.Time
}

// hasSlot reports whether a write may be sent now; mu is held.
func (c *Controller) hasSlot(now time.Time) bool {
	return c.writes.inFlight == 0 || !c.config.Timed.Speed.Slow(now)
}

// ended notes that a write has an outcome; while the store is slow others have waited
// for it. mu is held.
func (c *Controller) ended() {
	c.writes.inFlight--
	if c.writes.slow {
		c.wake()
	}
}

// refused gives the records of a write that the store refused back to the planner, so
// that they go with the next batch; mu is held.
func (c *Controller) refused(now time.Time, ws []kqplan.Write) {
	w := &c.writes
	w.pause = min(mostPause, max(firstPause, 2*w.pause))
	w.pausedTill = now.Add(w.pause)
	c.planner.WritesRefused(ws)
}

// write sends what is due, leases first, since hosts wait for them that have none. What
// was learned and the removal of old rows wait until the store is fast again; mu is
// held.
func (c *Controller) write(now time.Time) {
	slow := c.config.Timed.Speed.Slow(now)
	c.noteSlow(now, slow)
	c.record(now)
	c.commit(now, slow)
	if !slow {
		c.sweep(now)
		c.keepLearned(now)
	}
}

// commit sends records as far as the store takes them; mu is held.
func (c *Controller) commit(now time.Time, slow bool) {
	w := &c.writes
	batch, width := maxBatch, maxCommits
	if slow {
		batch = slowBatch
	}
	if w.pause > 0 {
		width = 1
	}
	for w.commits < width && (!slow || w.inFlight == 0) && !now.Before(w.pausedTill) {
		ws := c.planner.TakeWrites(batch)
		if len(ws) == 0 {
			return
		}
		w.commits++
		w.inFlight++
		c.tomb.Go((&commit{c, ws}).run)
	}
}

// noteSlow logs when the store becomes slow and fast; mu is held.
func (c *Controller) noteSlow(now time.Time, slow bool) {
	w := &c.writes
	if slow == w.slow {
		return
	}
	answer := c.config.Timed.Speed.Answer().Round(time.Millisecond)
	if slow {
		w.slowAt = now
		c.config.Events.Emit(now, kqevent.StoreSlow, kqevent.Process("store"), "an answer takes %s, %d writes are in flight", answer, w.inFlight)
	} else {
		c.config.Events.Emit(now, kqevent.StoreFast, kqevent.Process("store"), "an answer takes %s, slow for %s", answer, now.Sub(w.slowAt).Round(time.Millisecond))
	}
	w.slow = slow
}
