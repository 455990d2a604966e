package kqrows

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// recheckInterval is how often the timeout of a call is checked again after its usual one
// has passed.
const recheckInterval = 50 * time.Millisecond

// TimedStore is a store whose calls are measured by a LatencyTracker, with timeouts that
// adapt to the measured response time.
type TimedStore struct {
	// Store makes the calls to the store and measures them.
	Store Store
	// Latency tracks how fast the store responds to this process.
	Latency *LatencyTracker

	inner Store
	clock func() time.Time
	// reading is the latest reading of the store's clock; nil if there is none.
	reading atomic.Pointer[clockReading]
}

// NewTimedStore returns a TimedStore over a store that has not been called.
func NewTimedStore(s Store, now func() time.Time) *TimedStore {
	t := &TimedStore{Latency: NewLatencyTracker(), inner: s, clock: now}
	t.Store = Store{Transact: t.transact, Read: t.read, Follow: t.follow}
	return t
}

// Now returns the present time on the clock that measures the calls.
func (t *TimedStore) Now() time.Time { return t.clock() }

// IsSlow reports whether the store is slow now.
func (t *TimedStore) IsSlow() bool { return t.Latency.IsSlow(t.clock()) }

// WithTimeout returns a context for a call that starts now. The context ends when the timeout
// of the call has passed; usual is that timeout when the store responds quickly. The timeout
// follows the present response time, so a call that hangs ends sooner once the store answers
// other calls quickly again.
func (t *TimedStore) WithTimeout(ctx context.Context, usual time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c := &callTimeout{store: t, usual: usual, startedAt: t.clock(), ctx: ctx, cancel: cancel}
	c.schedule(usual)
	return ctx, c.stop
}

// WithWriteTimeout is WithTimeout for an attempt of a write to a partition that only this
// process writes to. The context ends early if the response is presumed lost, that is, if a
// write that was sent later has been answered: a partition carries out its writes in order.
func (t *TimedStore) WithWriteTimeout(ctx context.Context, usual time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c := &callTimeout{store: t, usual: usual, isWrite: true, startedAt: t.clock(), ctx: ctx, cancel: cancel}
	c.schedule(min(usual, minLostWriteAge))
	return ctx, c.stop
}

// callTimeout ends the context of one call when its timeout has passed.
type callTimeout struct {
	store *TimedStore
	usual time.Duration
	// isWrite is true if the call also ends once it is presumed lost.
	isWrite   bool
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
}

// schedule sets the timer of the next check, unless the context has ended.
func (c *callTimeout) schedule(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() == nil {
		c.timer = time.AfterFunc(d, c.check)
	}
}

// check ends the context if the timeout has passed, and otherwise schedules the next check.
func (c *callTimeout) check() {
	now := c.store.clock()
	left := c.store.Latency.Timeout(c.usual) - now.Sub(c.startedAt)
	if left <= 0 || c.isWrite && c.store.Latency.PresumedLost(now, c.startedAt) {
		c.cancel()
		return
	}
	c.schedule(min(left, recheckInterval))
}

// stop ends the context and the timer.
func (c *callTimeout) stop() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
}

// Commit is like the function Commit, but bounds each attempt by WithWriteTimeout.
func (t *TimedStore) Commit(ctx context.Context, x Tx) (Outcome, error) {
	return commit(ctx, t.Store, x, attemptPolicy{retryRefused: true, withTimeout: t.WithWriteTimeout})
}

// TryCommit is Commit for a write that many callers may send at the same time: if the store
// refuses it, it is not sent again unless an earlier copy may have been applied.
func (t *TimedStore) TryCommit(ctx context.Context, x Tx) (Outcome, error) {
	return commit(ctx, t.Store, x, attemptPolicy{withTimeout: t.WithWriteTimeout})
}

// recordEnd records that a call has ended. ErrHistoryGone counts as a response.
func (t *TimedStore) recordEnd(number uint64, err error) {
	if err != nil && !errors.Is(err, ErrHistoryGone) {
		t.Latency.Discard(number)
		return
	}
	t.Latency.RecordResponse(t.clock(), number)
}

func (t *TimedStore) transact(ctx context.Context, x Tx) (Outcome, error) {
	sentAt := t.clock()
	n := t.Latency.RecordSent(sentAt, KindWrite)
	o, err := t.inner.Transact(ctx, x)
	t.recordEnd(n, err)
	if err == nil {
		t.recordClock(sentAt, t.clock(), o.Clock)
	}
	return o, err
}

func (t *TimedStore) read(ctx context.Context, table, from, to string) ([]Row, uint64, error) {
	n := t.Latency.RecordSent(t.clock(), KindRead)
	rows, version, err := t.inner.Read(ctx, table, from, to)
	t.recordEnd(n, err)
	return rows, version, err
}

// follow records how long a response without changes took beyond its wait. A response with
// changes may arrive at any time, so it is not measured.
func (t *TimedStore) follow(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error) {
	sentAt := t.clock()
	rows, next, err := t.inner.Follow(ctx, table, after, wait)
	if now := t.clock(); err == nil && len(rows) == 0 && now.Sub(sentAt) >= wait {
		t.Latency.RecordFeedDelay(now, now.Sub(sentAt)-wait)
	}
	return rows, next, err
}
