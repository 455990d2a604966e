package kqrows

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// Follower reads a range of a table and then follows the changes of the table. After an
// error it waits for RetryDelay and reads the range again, so Apply may get the same rows
// more than once.
type Follower struct {
	// Store is the store to read from.
	Store Store
	// Table, From and To define the range as in Store.Read. The changes that follow are
	// those of the whole table.
	Table string
	From  string
	To    string
	// MaxPollWait is how long one call waits for changes, and ResponseSlack the time that
	// its response may take beyond that. MaxPollWait is also the usual timeout of a read.
	MaxPollWait   time.Duration
	ResponseSlack time.Duration
	// RetryDelay is the time between an error and the next read.
	RetryDelay time.Duration
	// Apply is called with the rows that were read or have changed.
	Apply func(u Update)
	// RecordResponse is called after each response, also one without rows, with the time
	// at which the request was sent: a response shows the state of the table at that time
	// or later. It may be nil; otherwise the clock Now is required.
	RecordResponse func(requestedAt time.Time)
	Now            func() time.Time
}

// Update holds rows that were read or have changed; there may be none.
type Update struct {
	// Rows are the rows.
	Rows []Row
	// Complete is true if Rows are all rows of the range, so that any other row does not
	// exist. Otherwise Rows are changes of the table.
	Complete bool
	// Version is the version of the store up to which the changes are known.
	Version uint64
}

// Run reads and follows the table until ctx ends.
func (f Follower) Run(ctx context.Context) {
	store := NewTimedStore(f.Store, time.Now)
	for ctx.Err() == nil {
		after, ok := f.read(ctx, store)
		for ok && ctx.Err() == nil {
			after, ok = f.follow(ctx, store, after)
		}
		kqtable.Sleep(ctx, f.RetryDelay)
	}
}

// read reads the range and returns the version of the store from which to follow, and
// whether the store responded.
func (f Follower) read(ctx context.Context, store *TimedStore) (uint64, bool) {
	ctx, cancel := store.WithTimeout(ctx, f.MaxPollWait)
	defer cancel()
	requestedAt := f.now()
	rows, version, err := store.Store.Read(ctx, f.Table, f.From, f.To)
	if err != nil {
		return 0, false
	}
	f.apply(requestedAt, Update{Rows: rows, Complete: true, Version: version})
	return version, true
}

// now returns the present time, or the zero time if there is no clock.
func (f Follower) now() (t time.Time) {
	if f.Now != nil {
		t = f.Now()
	}
	return t
}

// apply passes on what a response contains.
func (f Follower) apply(requestedAt time.Time, u Update) {
	if u.Complete || len(u.Rows) > 0 {
		f.Apply(u)
	}
	if f.RecordResponse != nil {
		f.RecordResponse(requestedAt)
	}
}

// follow waits once for changes after a version and returns the version to continue from,
// and whether the store responded.
func (f Follower) follow(ctx context.Context, store *TimedStore, after uint64) (uint64, bool) {
	ctx, cancel := store.WithTimeout(ctx, f.MaxPollWait+f.ResponseSlack)
	defer cancel()
	requestedAt := f.now()
	rows, next, err := store.Store.Follow(ctx, f.Table, after, f.MaxPollWait)
	if err != nil {
		return after, false
	}
	f.apply(requestedAt, Update{Rows: rows, Version: next})
	return next, true
}
