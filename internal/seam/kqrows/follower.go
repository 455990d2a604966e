package kqrows

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// Follower reads a range of a table and follows its changes. After any error it
// waits for a pause and reads anew, so Take hears of rows more than once.
type Follower struct {
	// Store is the store.
	Store Store
	// Table, From and To name the range as Store.Read takes them; changes are
	// those of the whole table.
	Table string
	From  string
	To    string
	// Wait is how long one call waits for changes, Slack how much longer its
	// answer may take.
	Wait  time.Duration
	Slack time.Duration
	// Pause is the time between an error and the next read.
	Pause time.Duration
	// Take takes over rows as read or changed; there may be none.
	Take func(rows []Row)
}

// Run follows until ctx ends.
func (f Follower) Run(ctx context.Context) {
	t := NewTimed(f.Store, time.Now)
	for ctx.Err() == nil {
		after, ok := f.read(ctx, t)
		for ok && ctx.Err() == nil {
			after, ok = f.follow(ctx, t, after)
		}
		kqtable.Sleep(ctx, f.Pause)
	}
}

func (f Follower) read(ctx context.Context, t *Timed) (uint64, bool) {
	ctx, cancel := t.Bound(ctx, f.Wait)
	defer cancel()
	rows, at, err := t.Store.Read(ctx, f.Table, f.From, f.To)
	if err != nil {
		return 0, false
	}
	f.Take(rows)
	return at, true
}

func (f Follower) follow(ctx context.Context, t *Timed, after uint64) (uint64, bool) {
	ctx, cancel := t.Bound(ctx, f.Wait+f.Slack)
	defer cancel()
	rows, next, err := t.Store.Follow(ctx, f.Table, after, f.Wait)
	if err != nil {
		return after, false
	}
	if len(rows) > 0 {
		f.Take(rows)
	}
	return next, true
}
