package kqcontrol

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqlearn"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqdecode"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// learnedInterval is the minimum time between two writes of the learned interference.
const learnedInterval = 2 * time.Second

// restoreLearned loads the interference that earlier owners learned, if it could be read.
func (c *Controller) restoreLearned(now time.Time, l tableRead) {
	if l.err != nil || len(l.rows) == 0 {
		return
	}
	estimates, omissions, err := kqdecode.List[kqlearn.PairEstimate](l.rows[0].Value)
	if err != nil {
		c.config.Events.Emit(now, kqevent.RowUnreadable, kqevent.Process(c.config.Name), "unreadable learned interference: %v", err)
		return
	}
	for _, o := range omissions {
		c.config.Events.Emit(now, kqevent.EntryOmitted, kqevent.Process(c.config.Name), "learned interference: %s", o)
	}
	c.planner.RestoreLearned(estimates)
}

// storeLearned stores the learned interference at most once per learnedInterval, and only if
// it has changed. mu is held.
func (c *Controller) storeLearned(now time.Time) {
	if now.Sub(c.learnedAt) < learnedInterval {
		return
	}
	c.learnedAt = now
	estimates := c.planner.Learned()
	if !estimatesChanged(c.learned, estimates) {
		return
	}
	c.learned = estimates
	c.confirmation.writeSent()
	c.tomb.Go((&learnedWrite{c, estimates}).run)
}

// minEstimateChange is the smallest change of an estimated interference, in latency headroom,
// that causes a write.
const minEstimateChange = 0.3

// estimatesChanged reports whether the number of pairs or any estimate has changed enough
// to be stored.
func estimatesChanged(old, now []kqlearn.PairEstimate) bool {
	if len(old) != len(now) {
		return true
	}
	for i := range now {
		if d := now[i].Interference - old[i].Interference; d > minEstimateChange || d < -minEstimateChange {
			return true
		}
	}
	return false
}

// encodeEstimates returns the stored form of estimates, of the first of them if a row cannot hold all: the others are
// learned again by a new owner.
func encodeEstimates(estimates []kqlearn.PairEstimate) []byte {
	value := kqtable.Encode(estimates)
	for len(value) > kqrows.MaxValueBytes {
		estimates = estimates[:len(estimates)/2]
		value = kqtable.Encode(estimates)
	}
	return value
}

// learnedWrite is one write of the learned interference.
type learnedWrite struct {
	controller *Controller
	estimates  []kqlearn.PairEstimate
}

func (w *learnedWrite) run() error {
	c := w.controller
	ctx, cancel := c.config.TimedStore.WithTimeout(c.tomb.Context(context.Background()), kqrows.AttemptTimeout)
	defer cancel()
	_, _ = c.config.Store.Transact(ctx, kqrows.Tx{Conditions: []kqrows.Condition{{Key: OwnerKey(c.config.Cell), Version: c.version}},
		Puts: []kqrows.Put{{Key: LearnedKey(c.config.Cell), Value: encodeEstimates(w.estimates)}}})
	c.confirmation.writeAnswered()
	c.slotFreed()
	return nil
}
