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
	MaxPollWait   time.Duration
	ResponseSlack time.Duration
	// Pause is the time between an error and the next read.
	RetryDelay time.Duration
	// Take takes over what was read.
	Apply func(n Update)
	// Answered is called after each answer, also one without rows, with when the store
	// was asked: an answer tells what was so then or later. May be nil; Now is the clock
	// and needed with it.
	RecordResponse func(asked time.Time)
	Now            func() time.Time
}

// News is rows as read or changed; there may be none.
type Update struct {
	// Rows are the rows.
	Rows []Row
	// Whole is true if Rows are all the rows of the range: a row that is not among
	// them is not there. Otherwise they are changes of the table.
	Complete bool
	// At is the version of the store up to which changes are known.
	Version uint64
}

// Run follows until ctx ends.
func (f Follower) Run(ctx context.Context) {
	t := NewTimedStore(f.Store, time.Now)
	for ctx.Err() == nil {
		after, ok := f.read(ctx, t)
		for ok && ctx.Err() == nil {
			after, ok = f.follow(ctx, t, after)
		}
		kqtable.Sleep(ctx, f.RetryDelay)
	}
}

func (f Follower) read(ctx context.Context, t *TimedStore) (uint64, bool) {
	ctx, cancel := t.WithTimeout(ctx, f.MaxPollWait)
	defer cancel()
	asked := f.now()
	rows, at, err := t.Store.Read(ctx, f.Table, f.From, f.To)
	if err != nil {
		return 0, false
	}
	f.take(asked, Update{Rows: rows, Complete: true, Version: at})
	return at, true
}

func (f Follower) now() (t time.Time) {
	if f.Now != nil {
		t = f.Now()
	}
	return t
}

func (f Follower) take(asked time.Time, n Update) {
	if n.Complete || len(n.Rows) > 0 {
		f.Apply(n)
	}
	if f.RecordResponse != nil {
		f.RecordResponse(asked)
	}
}

func (f Follower) follow(ctx context.Context, t *TimedStore, after uint64) (uint64, bool) {
	ctx, cancel := t.WithTimeout(ctx, f.MaxPollWait+f.ResponseSlack)
	defer cancel()
	asked := f.now()
	rows, next, err := t.Store.Follow(ctx, f.Table, after, f.MaxPollWait)
	if err != nil {
		return after, false
	}
	f.take(asked, Update{Rows: rows, Version: next})
	return next, true
}
