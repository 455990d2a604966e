package kqrows

import (
	"context"
	"errors"
	"sync"
	"time"
)

// recheck is how often the limit of a call that has passed its usual one is looked at.
const recheck = 50 * time.Millisecond

// Timed is a store whose calls are told to a Speed, with time limits that follow it.
type TimedStore struct {
	// Store is the store; its calls are told to the Speed.
	Store Store
	// Speed is how fast the store answers this process.
	Latency *LatencyTracker

	inner Store
	now   func() time.Time
}

// NewTimed returns a Timed over a store that has not been called.
func NewTimedStore(s Store, now func() time.Time) *TimedStore {
	t := &TimedStore{Latency: NewLatencyTracker(), inner: s, now: now}
	t.Store = Store{Transact: t.transact, Read: t.read, Follow: t.follow}
	return t
}

// Now returns the time on the clock of the limits.
func (t *TimedStore) Now() time.Time { return t.now() }

// Slow reports whether the store is slow now.
func (t *TimedStore) IsSlow() bool { return t.Latency.IsSlow(t.now()) }

// Bound returns a context that ends once a call that begins now has taken longer than
// the limit for what usually ends within a time. The limit is that of the moment, so
// it is cut short for a call that hangs when the store answers others quickly.
func (t *TimedStore) WithTimeout(ctx context.Context, usual time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	b := &bound{timed: t, usual: usual, began: t.now(), ctx: ctx, cancel: cancel}
	b.wait(usual)
	return ctx, b.end
}

// BoundWrite is Bound for an attempt of a write to a partition that this process alone
// writes. It ends early if the answer is lost: writes that were sent later have been
// answered, and a partition carries its writes out in order.
func (t *TimedStore) WithWriteTimeout(ctx context.Context, usual time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	b := &bound{timed: t, usual: usual, isWrite: true, began: t.now(), ctx: ctx, cancel: cancel}
	b.wait(min(usual, lostWrite))
	return ctx, b.end
}

// bound ends the context of one call at its limit.
type bound struct {
	timed *TimedStore
	usual time.Duration
	// isWrite is true if the call ends once later writes have overtaken it.
	isWrite bool
	began   time.Time
	ctx     context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
}

func (b *bound) wait(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() == nil {
		b.timer = time.AfterFunc(d, b.check)
	}
}

// check ends the context, or looks again later.
func (b *bound) check() {
	now := b.timed.now()
	left := b.timed.Latency.Timeout(b.usual) - now.Sub(b.began)
	if left <= 0 || b.isWrite && b.timed.Latency.PresumedLost(now, b.began) {
		b.cancel()
		return
	}
	b.wait(min(left, recheck))
}

func (b *bound) end() {
	b.cancel()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.timer != nil {
		b.timer.Stop()
	}
}

// Commit is the function Commit with attempts that end at the limit.
func (t *TimedStore) Commit(ctx context.Context, x Tx) (Outcome, error) {
	return commit(ctx, t.Store, x, attempts{insists: true, bound: t.WithWriteTimeout})
}

// Try is Commit for a write that many may send at the same time: a store that refuses
// it is not asked again, unless a copy may have taken effect.
func (t *TimedStore) TryCommit(ctx context.Context, x Tx) (Outcome, error) {
	return commit(ctx, t.Store, x, attempts{bound: t.WithWriteTimeout})
}

// ended tells the Speed of a call that has ended.
func (t *TimedStore) ended(number uint64, err error) {
	if err != nil && !errors.Is(err, ErrHistoryGone) {
		t.Latency.Discard(number)
		return
	}
	t.Latency.RecordResponse(t.now(), number)
}

func (t *TimedStore) transact(ctx context.Context, x Tx) (Outcome, error) {
	n := t.Latency.RecordSent(t.now(), KindWrite)
	o, err := t.inner.Transact(ctx, x)
	t.ended(n, err)
	return o, err
}

func (t *TimedStore) read(ctx context.Context, table, from, to string) ([]Row, uint64, error) {
	n := t.Latency.RecordSent(t.now(), KindRead)
	rows, version, err := t.inner.Read(ctx, table, from, to)
	t.ended(n, err)
	return rows, version, err
}

// follow tells the Speed how long an answer without changes took beyond its wait; one
// with changes may have come at any time.
func (t *TimedStore) follow(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error) {
	sent := t.now()
	rows, next, err := t.inner.Follow(ctx, table, after, wait)
	if now := t.now(); err == nil && len(rows) == 0 && now.Sub(sent) >= wait {
		t.Latency.RecordFeedDelay(now, now.Sub(sent)-wait)
	}
	return rows, next, err
}
