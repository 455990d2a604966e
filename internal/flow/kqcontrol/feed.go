package kqcontrol

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// submissionFeed follows what callers hand in.
type submissionFeed struct{ controller *Controller }

func (f *submissionFeed) loop() error {
	c := f.controller
	ctx := c.tomb.Context(context.Background())
	after := c.submitAt
	for c.tomb.Alive() {
		call, cancel := c.config.Timed.Bound(ctx, followWait+followSlack)
		rows, next, err := c.config.Store.Follow(call, SubmissionTable, after, followWait)
		cancel()
		switch {
		case err == nil:
			after = next
			f.take(rows)
		case eris.Is(err, kqrows.ErrHistoryGone):
			after = f.readAnew(ctx, after)
		default:
			kqtable.Sleep(ctx, retryPause)
		}
	}
	return nil
}

const retryPause = 60 * time.Millisecond

func (f *submissionFeed) take(rows []kqrows.Row) {
	c := f.controller
	now := c.config.Now()
	c.mu.Lock()
	c.fedAt = now
	for _, r := range rows {
		if r.Removed {
			c.planner.Forget(r.Name)
			continue
		}
		c.submitted(now, r, nil)
	}
	late := len(c.heldBack) > 0
	c.releaseHeldBack(now)
	c.mu.Unlock()
	if late || len(rows) > 0 {
		c.wake()
	}
}

// readAnew reads the whole table after the feed's history was dropped.
func (f *submissionFeed) readAnew(ctx context.Context, after uint64) uint64 {
	call, cancel := f.controller.config.Timed.Bound(ctx, readTimeout)
	defer cancel()
	rows, at, err := f.controller.config.Store.Read(call, SubmissionTable, "", "")
	if err != nil {
		kqtable.Sleep(ctx, retryPause)
		return after
	}
	f.take(rows)
	return at
}
