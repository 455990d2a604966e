package kqcontrol

import (
	"context"
	"errors"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// commit stores one batch of records.
type commit struct {
	controller *Controller
	writes     []kqplan.Write
}

func (x *commit) run() error {
	c := x.controller
	sent := c.config.Now()
	o, err := c.config.Timed.Try(c.tomb.Context(context.Background()), x.transaction())
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes.commits--
	c.ended()
	c.pulse.committed(now.Sub(sent))
	if c.config.ObserveLatency != nil {
		c.config.ObserveLatency("commit", now.Sub(sent))
	}
	switch {
	case errors.Is(err, kqrows.ErrRefused):
		c.refused(now, x.writes)
		return nil
	case err != nil:
		return nil
	case !o.Committed:
		c.rejected(now, o)
		return nil
	}
	c.confirm(sent)
	c.beatenAt = sent
	c.writes.pause = 0
	c.committed(now, x.writes, o.Version)
	c.publish(now)
	c.wake()
	return nil
}

// releaseAge is after how long without an answer of the feed stored starts are not sent
// on: the feed's own answer takes up to 0.4 s, and a cancelled job must start nothing 4 s
// later. A commit whose attempt hung was stored that late.
const releaseAge = 3 * time.Second

// heldBack is records that were stored while the feed was too old.
type heldBack struct {
	writes  []kqplan.Write
	version uint64
}

// committed takes over that records were stored. Those of jobs that have not ended wait
// for the feed if it is too old, so that the starts of jobs that were cancelled
// meanwhile are dropped; mu is held.
func (c *Controller) committed(now time.Time, ws []kqplan.Write, version uint64) {
	if now.Sub(c.fedAt) <= releaseAge {
		c.planner.WritesCommitted(now, ws, version)
		return
	}
	var ended, open []kqplan.Write
	for _, w := range ws {
		if w.Record.State.Final() {
			ended = append(ended, w)
		} else {
			open = append(open, w)
		}
	}
	c.planner.WritesCommitted(now, ended, version)
	c.heldBack = append(c.heldBack, heldBack{open, version})
}

// releaseHeldBack takes over what waited for the feed; mu is held.
func (c *Controller) releaseHeldBack(now time.Time) {
	for _, x := range c.heldBack {
		c.planner.WritesCommitted(now, x.writes, x.version)
	}
	c.heldBack = nil
}

func (x *commit) transaction() kqrows.Tx {
	c := x.controller
	t := kqrows.Tx{Expected: []kqrows.Expect{{Key: OwnerKey(c.config.Cell), Version: c.version}}, Puts: []kqrows.Put{c.beatPut()}}
	for _, w := range x.writes {
		k := ProgressKey(w.Job)
		t.Expected = append(t.Expected, kqrows.Expect{Key: k, Version: w.Version})
		t.Puts = append(t.Puts, kqrows.Put{Key: k, Value: EncodeRecord(w.Record)})
	}
	return t
}

// rejected ends the ownership: another process has taken the cell, or rows are
// not as this process left them.
func (c *Controller) rejected(now time.Time, o kqrows.Outcome) {
	r, ok := o.Find(OwnerKey(c.config.Cell))
	c.config.Events.Emit(now, kqevent.OwnerLost, kqevent.Process(c.config.Name), "%s with epoch %d: the row was changed: %t", c.config.Cell,
		c.row.Epoch, !ok || r.Version != c.version)
	c.end()
}
