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

// learnedInterval is the least time between two writes of what was learned.
const learnedInterval = 2 * time.Second

// restoreLearned takes over what an earlier owner had learned, if it could be
// read.
func (c *Controller) restoreLearned(now time.Time, l reading) {
	if l.err != nil || len(l.rows) == 0 {
		return
	}
	var fits []kqlearn.Fit
	if err := json.Unmarshal(l.rows[0].Value, &fits); err != nil {
		c.config.Events.Emit(now, kqevent.RowUnreadable, kqevent.Process(c.config.Name), "learned: %v", err)
		return
	}
	c.planner.RestoreLearned(fits)
}

// keepLearned stores what was learned now and then; mu is held.
func (c *Controller) keepLearned(now time.Time) {
	if now.Sub(c.learnedAt) < learnedInterval {
		return
	}
	c.learnedAt = now
	fits := c.planner.Learned()
	if !changed(c.learned, fits) {
		return
	}
	c.learned = fits
	c.writes.inFlight++
	c.tomb.Go((&learning{c, fits}).run)
}

// minRoomChange is the least change of a pair that is worth a write.
const minRoomChange = 0.3

func changed(old, now []kqlearn.Fit) bool {
	if len(old) != len(now) {
		return true
	}
	for i := range now {
		if d := now[i].Room - old[i].Room; d > minRoomChange || d < -minRoomChange {
			return true
		}
	}
	return false
}

// learning stores what was learned once.
type learning struct {
	controller *Controller
	fits       []kqlearn.Fit
}

func (l *learning) run() error {
	c := l.controller
	ctx, cancel := c.config.Timed.Bound(c.tomb.Context(context.Background()), kqrows.TryTimeout)
	defer cancel()
	_, _ = c.config.Store.Transact(ctx, kqrows.Tx{Expected: []kqrows.Expect{{Key: OwnerKey(c.config.Cell), Version: c.version}},
		Puts: []kqrows.Put{{Key: LearnedKey(c.config.Cell), Value: kqtable.Encode(l.fits)}}})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended()
	return nil
}
