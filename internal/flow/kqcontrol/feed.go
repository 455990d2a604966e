package kqcontrol

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// tableFeed follows the changes of a table.
type tableFeed struct {
	controller *Controller
	table      string
	// after is the version of the store up to which the changes are known; 0 if none are.
	after uint64
	// wait is how long one call waits for changes.
	wait time.Duration
	// apply receives the rows of each answer; there may be none.
	apply func(rows []kqrows.Row)
}

func (f *tableFeed) loop() error {
	c := f.controller
	ctx := c.tomb.Context(context.Background())
	for c.tomb.Alive() {
		if f.after == 0 {
			f.reread(ctx)
			continue
		}
		call, cancel := c.config.TimedStore.WithTimeout(ctx, f.wait+followSlack)
		rows, next, err := c.config.Store.Follow(call, f.table, f.after, f.wait)
		cancel()
		switch {
		case err == nil:
			f.after = next
			f.apply(rows)
		case eris.Is(err, kqrows.ErrHistoryGone):
			f.reread(ctx)
		default:
			kqtable.Sleep(ctx, feedRetryDelay)
		}
	}
	return nil
}

// feedRetryDelay is the delay after a call of the feed that failed.
const feedRetryDelay = 60 * time.Millisecond

// reread reads the whole table, because none of it is known or the store has dropped the history that the
// feed needs.
func (f *tableFeed) reread(ctx context.Context) {
	call, cancel := f.controller.config.TimedStore.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, at, err := f.controller.config.Store.Read(call, f.table, "", "")
	if err != nil || at == 0 {
		kqtable.Sleep(ctx, feedRetryDelay)
		return
	}
	f.after = at
	f.apply(rows)
}

// followSubmissions returns the feed of the jobs and cancellations that callers submit.
func (c *Controller) followSubmissions() *tableFeed {
	return &tableFeed{controller: c, table: SubmissionTable, after: c.submissionsVersion, wait: followWait, apply: c.applySubmissions}
}

// applySubmissions passes changed submissions to the planner, and then the commits that were held for the
// feed.
func (c *Controller) applySubmissions(rows []kqrows.Row) {
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
