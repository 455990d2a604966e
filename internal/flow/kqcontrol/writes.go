package kqcontrol

import (
	"sync/atomic"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// Backoff of commits after a refusal by the store; it doubles with each further one.
const (
	initialBackoff = 30 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
)

// writes tracks the writes that an owner has in flight in the partition of its rows. The
// store applies the writes of a partition one after another. While the store is slow, a
// second write would only wait, and delay the write that confirms the ownership.
type writes struct {
	// commits is the number of writes of records without an answer.
	commits int
	// backoff is how long commits wait after the store has refused one; they wait until
	// backoffUntil. It is 0 after a commit that succeeded.
	backoff      time.Duration
	backoffUntil time.Time
	// isSlow is the last result of LatencyTracker.IsSlow; slowSince is when it last became
	// true.
	isSlow    atomic.Bool
	slowSince time.Time
}

// slotFreed wakes the loop while the store is slow, since other writes wait for the slot of
// the one that was answered.
func (c *Controller) slotFreed() {
	if c.writes.isSlow.Load() {
		c.wake()
	}
}

// requeueRefused returns the records of a refused write to the planner, which includes them
// in the next batch, and increases the backoff. mu is held.
func (c *Controller) requeueRefused(now time.Time, ws []kqplan.Write) {
	w := &c.writes
	w.backoff = min(maxBackoff, max(initialBackoff, 2*w.backoff))
	w.backoffUntil = now.Add(w.backoff)
	c.planner.WritesRefused(ws)
}

// write sends the writes that are due. The LeasesRow goes first, since hosts without a
// lease wait for it. The learned interference and the removal of old rows wait until the
// store is no longer slow. mu is held.
func (c *Controller) write(now time.Time) {
	slow := c.config.TimedStore.Latency.IsSlow(now)
	c.logSlow(now, slow)
	c.recordHosts(now)
	c.commit(now, slow)
	if !slow {
		c.sweep(now)
		c.storeLearned(now)
	}
}

// commit sends batches of records up to the number of concurrent commits that the state of
// the store allows; mu is held.
func (c *Controller) commit(now time.Time, slow bool) {
	w := &c.writes
	batch, concurrency := maxBatchRecords, maxConcurrentCommits
	if slow {
		batch = slowBatchRecords
	}
	if w.backoff > 0 {
		concurrency = 1
	}
	for w.commits < concurrency && !now.Before(w.backoffUntil) && c.confirmation.takeSlot(slow) {
		ws := c.planner.TakeWrites(batch)
		if len(ws) == 0 {
			c.confirmation.writeAnswered()
			return
		}
		w.commits++
		c.tomb.Go((&commit{controller: c, writes: ws}).run)
	}
}

// logSlow logs when the store becomes slow and when it recovers; mu is held.
func (c *Controller) logSlow(now time.Time, slow bool) {
	w := &c.writes
	if slow == w.isSlow.Load() {
		return
	}
	responseTime := c.config.TimedStore.Latency.ResponseTime().Round(time.Millisecond)
	if slow {
		w.slowSince = now
		c.config.Events.Emit(now, kqevent.StoreSlow, kqevent.Process("store"), "store is slow: response time %s, %d writes in flight", responseTime, c.confirmation.inFlight())
	} else {
		c.config.Events.Emit(now, kqevent.StoreNormal, kqevent.Process("store"), "store is no longer slow: response time %s, was slow for %s", responseTime, now.Sub(w.slowSince).Round(time.Millisecond))
	}
	w.isSlow.Store(slow)
}
