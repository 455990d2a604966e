package kqcontrol

import (
	"context"
	"encoding/json"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqlearn"
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
	var fits []kqlearn.PairEstimate
	if err := json.Unmarshal(l.rows[0].Value, &fits); err != nil {
		c.config.Events.Emit(now, kqevent.RowUnreadable, kqevent.Process(c.config.Name), "unreadable learned interference: %v", err)
		return
	}
	c.planner.RestoreLearned(fits)
}

// storeLearned stores the learned interference at most once per learnedInterval, and only if
// it has changed. mu is held.
func (c *Controller) storeLearned(now time.Time) {
	if now.Sub(c.learnedAt) < learnedInterval {
		return
	}
	c.learnedAt = now
	fits := c.planner.Learned()
	if !fitsChanged(c.learned, fits) {
		return
	}
	c.learned = fits
	c.writes.inFlight++
	c.tomb.Go((&learnedWrite{c, fits}).run)
}

// minFitChange is the smallest change of a fit that causes a write.
const minFitChange = 0.3

// fitsChanged reports whether the set of pairs or any fit has changed enough to be stored.
func fitsChanged(old, now []kqlearn.PairEstimate) bool {
	if len(old) != len(now) {
		return true
	}
	for i := range now {
		if d := now[i].Interference - old[i].Interference; d > minFitChange || d < -minFitChange {
			return true
		}
	}
	return false
}

// learnedWrite is one write of the learned interference.
type learnedWrite struct {
	controller *Controller
	fits       []kqlearn.PairEstimate
}

func (w *learnedWrite) run() error {
	c := w.controller
	ctx, cancel := c.config.TimedStore.WithTimeout(c.tomb.Context(context.Background()), kqrows.AttemptTimeout)
	defer cancel()
	_, _ = c.config.Store.Transact(ctx, kqrows.Tx{Conditions: []kqrows.Condition{{Key: OwnerKey(c.config.Cell), Version: c.version}},
		Puts: []kqrows.Put{{Key: LearnedKey(c.config.Cell), Value: kqtable.Encode(w.fits)}}})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDone()
	return nil
}
