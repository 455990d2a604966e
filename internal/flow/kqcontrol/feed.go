package kqcontrol

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// submissionFeed follows the jobs and cancellations that callers submit.
type submissionFeed struct{ controller *Controller }

func (f *submissionFeed) loop() error {
	c := f.controller
	ctx := c.tomb.Context(context.Background())
	after := c.submissionsVersion
	for c.tomb.Alive() {
		call, cancel := c.config.TimedStore.WithTimeout(ctx, followWait+followSlack)
		rows, next, err := c.config.Store.Follow(call, SubmissionTable, after, followWait)
		cancel()
		switch {
		case err == nil:
			after = next
			f.apply(rows)
		case eris.Is(err, kqrows.ErrHistoryGone):
			after = f.reread(ctx, after)
		default:
			kqtable.Sleep(ctx, feedRetryDelay)
		}
	}
	return nil
}

// feedRetryDelay is the delay after a call of the feed that failed.
const feedRetryDelay = 60 * time.Millisecond

// apply passes changed submissions to the planner, and then the commits that were held for
// the feed.
func (f *submissionFeed) apply(rows []kqrows.Row) {
	c := f.controller
	now := c.config.Now()
	c.mu.Lock()
	c.lastFeedAt = now
	for _, r := range rows {
		if r.Removed {
			c.planner.Forget(r.Name)
			continue
		}
		c.applySubmission(now, r, nil)
	}
	hadHeld := len(c.heldCommits) > 0
	c.releaseHeldCommits(now)
	c.mu.Unlock()
	if hadHeld || len(rows) > 0 {
		c.wake()
	}
}

// reread reads the whole table after the store has dropped the history that the feed needs.
// It returns the version to follow from.
func (f *submissionFeed) reread(ctx context.Context, after uint64) uint64 {
	call, cancel := f.controller.config.TimedStore.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, at, err := f.controller.config.Store.Read(call, SubmissionTable, "", "")
	if err != nil {
		kqtable.Sleep(ctx, feedRetryDelay)
		return after
	}
	f.apply(rows)
	return at
}
