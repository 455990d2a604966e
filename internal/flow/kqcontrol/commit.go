package kqcontrol

import (
	"context"
	"errors"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// commit stores one batch of job records in one transaction.
type commit struct {
	controller *Controller
	writes     []kqplan.Write
	// lacking is the number of checkpoints that the record of each write lacks.
	lacking []int
}

func (x *commit) run() error {
	c := x.controller
	t := x.transaction()
	sent := c.config.Now()
	o, err := c.config.TimedStore.TryCommit(c.tomb.Context(context.Background()), t)
	now := c.config.Now()
	c.confirmation.writeAnswered()
	if err == nil && o.Committed {
		c.confirmation.committed(sent)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes.commits--
	x.logShortened(now)
	c.slotFreed()
	c.stats.commitAnswered(now.Sub(sent))
	if c.config.ObserveLatency != nil {
		c.config.ObserveLatency("commit", now.Sub(sent))
	}
	switch {
	case errors.Is(err, kqrows.ErrRefused):
		c.requeueRefused(now, x.writes)
		return nil
	case err != nil:
		return nil
	case !o.Committed:
		c.loseOwnership(now, o)
		return nil
	}
	c.writes.backoff = 0
	c.committed(now, x.writes, o.Version)
	c.publish(now)
	c.wake()
	return nil
}

// releaseFeedAge is the age of the latest answer of the submission feed above which stored
// starts are held back. A cancelled job must start nothing 4 s after its cancellation, and
// an answer of the feed takes up to 0.4 s. It matters for commits that are applied late
// because an attempt hung.
const releaseFeedAge = 3 * time.Second

// heldCommit holds records that were stored while the feed was too old.
type heldCommit struct {
	writes  []kqplan.Write
	version uint64
}

// committed passes stored records to the planner. If the feed is too old, the records of
// jobs that have not ended are held until its next answer, so that the starts of jobs
// that were cancelled meanwhile are dropped. mu is held.
func (c *Controller) committed(now time.Time, ws []kqplan.Write, version uint64) {
	if now.Sub(c.lastFeedAt) <= releaseFeedAge {
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
	c.heldCommits = append(c.heldCommits, heldCommit{open, version})
}

// releaseHeldCommits passes the records that were held for the feed to the planner. mu is
// held.
func (c *Controller) releaseHeldCommits(now time.Time) {
	for _, x := range c.heldCommits {
		c.planner.WritesCommitted(now, x.writes, x.version)
	}
	c.heldCommits = nil
}

// transaction returns the write of the records, on condition that the ownership and each record are
// unchanged. Records that would make it too large for the store are returned to the planner.
func (x *commit) transaction() kqrows.Tx {
	c := x.controller
	t := kqrows.Tx{Conditions: []kqrows.Condition{{Key: OwnerKey(c.config.Cell), Version: c.version}}, Puts: []kqrows.Put{c.heartbeatPut()}}
	size := 0
	for n, w := range x.writes {
		value, lacking := EncodeRecord(w.Record)
		if size += len(value); n > 0 && size > kqrows.MaxTxBytes {
			x.postpone(n)
			break
		}
		k := ProgressKey(w.Job)
		t.Conditions = append(t.Conditions, kqrows.Condition{Key: k, Version: w.Version})
		t.Puts = append(t.Puts, kqrows.Put{Key: k, Value: value})
		x.lacking = append(x.lacking, lacking)
	}
	return t
}

// postpone returns the writes from index n on to the planner, which includes them in the next batch.
func (x *commit) postpone(n int) {
	c := x.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.WritesRefused(x.writes[n:])
	x.writes = x.writes[:n]
	c.wake()
}

// logShortened logs the jobs whose records begin to lack checkpoints; mu is held.
func (x *commit) logShortened(now time.Time) {
	c := x.controller
	for n, w := range x.writes {
		switch lacking := x.lacking[n]; {
		case lacking == 0:
			delete(c.shortened, w.Job)
		case !c.shortened[w.Job]:
			c.shortened[w.Job] = true
			c.config.Events.Emit(now, kqevent.RecordShortened, kqevent.Job(w.Job), "%d checkpoints are not stored, the row would exceed %d bytes", lacking, kqrows.MaxValueBytes)
		}
	}
}

// loseOwnership stops the controller after a transaction whose conditions did not hold:
// another process has acquired the cell, or rows differ from what this process last wrote.
// mu is held.
func (c *Controller) loseOwnership(now time.Time, o kqrows.Outcome) {
	r, ok := o.Find(OwnerKey(c.config.Cell))
	c.config.Events.Emit(now, kqevent.OwnershipLost, kqevent.Process(c.config.Name), "cell %s, epoch %d: the store rejected a write, ownership row changed: %t", c.config.Cell,
		c.row.Epoch, !ok || r.Version != c.version)
	c.stop()
}
