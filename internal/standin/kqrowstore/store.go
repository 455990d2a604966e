// Package kqrowstore is an in-memory stand-in for the platform's transactional store, with
// faults that are switched on per client.
package kqrowstore

import (
	"context"
	"encoding/base64"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// Faults holds the faults that are switched on between the store and one client.
type Faults struct {
	// Refuse makes every call fail with ErrRefused.
	Refuse bool
	// Silent leaves every call unanswered and without effect.
	Silent bool
	// HungCalls is the share of calls, from 0 to 1, that have no effect and are not answered,
	// as on a connection that drops all packets.
	HungCalls float64
	// LoseAnswers is the share of writes, from 0 to 1, that are applied but not answered.
	LoseAnswers float64
	// LateWrites is the share of writes, from 0 to 1, that are applied 0.5 to 6 seconds late
	// and not answered.
	LateWrites float64
	// LatencyFactor multiplies the usual response time of 4 ms; 0 and 1 leave it.
	LatencyFactor int
	// Delay is the least response time of a call.
	Delay time.Duration
	// SerialTime is the time for which a transaction delays those behind it. A transaction
	// that would wait for more than a second is refused.
	SerialTime time.Duration
}

// Kinds of calls, the keys of the counts that CallCounts returns.
const (
	callTransact = "transact"
	callRead     = "read"
	callFollow   = "follow"
)

const (
	baseResponseTime = 4 * time.Millisecond
	// minLateDelay and maxLateDelay bound the delay of a late write.
	minLateDelay = 500 * time.Millisecond
	maxLateDelay = 6 * time.Second
	// maxQueueTime is the longest queue that a further transaction is accepted into.
	maxQueueTime = time.Second
	// maxHistory is the number of changes that Follow can still return.
	maxHistory = 4000
	// uptime is what the clock of a new store shows.
	uptime = time.Minute
)

// Store holds rows, the history of their changes and the faults of each client.
type Store struct {
	mu          sync.Mutex
	rng         *rand.Rand
	rows        map[kqrows.Key]kqrows.Row
	history     []kqrows.Row
	droppedUpTo uint64 // version up to which the history was dropped
	version     uint64
	faults      map[string]Faults // by client; "" holds those of all other clients
	changed     chan struct{}     // closed and replaced with each change
	// busyUntil is the time at which all earlier transactions of clients with SerialTime
	// have been applied.
	busyUntil time.Time
	// partitionCounts and partitions are set by EnablePartitions.
	partitionCounts map[string]int
	partitions      map[string]*partition
	calls           map[string]int
	refusedCount    int
	// clockZero is when the store's clock showed 0.
	clockZero time.Time
	// queued waits for the transactions queued in partitions.
	queued sync.WaitGroup
}

// New returns an empty Store.
func New(seed uint64) *Store {
	return &Store{rng: rand.New(rand.NewPCG(seed, 3)), rows: map[kqrows.Key]kqrows.Row{}, faults: map[string]Faults{}, changed: make(chan struct{}), calls: map[string]int{},
		clockZero: time.Now().Add(-uptime)}
}

// responseTime returns how long a call takes.
func (f Faults) responseTime() time.Duration {
	return max(baseResponseTime*time.Duration(max(1, f.LatencyFactor)), f.Delay)
}

// SetFaults replaces the faults of a client; the client "" stands for all clients that have
// none of their own set.
func (s *Store) SetFaults(client string, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[client] = f
}

// ClearFaults removes the faults of all clients.
func (s *Store) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = map[string]Faults{}
}

// Compact drops the history of changes: a Follow after an earlier version then fails with
// ErrHistoryGone.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedUpTo = nil, s.version
}

// ShiftClock moves the store's clock forward, or back if d is negative.
func (s *Store) ShiftClock(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clockZero = s.clockZero.Add(-d)
}

// Client returns the operations of the store for the named client, subject to its faults.
func (s *Store) Client(name string) kqrows.Store {
	c := client{s, name}
	return kqrows.Store{Transact: c.transact, Read: c.read, Follow: c.follow}
}

type client struct {
	store *Store
	name  string
}

// countCall counts a call of the client and returns the client's present faults.
func (c client) countCall(call string) Faults {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.calls[call]++
	if f, ok := c.store.faults[c.name]; ok {
		return f
	}
	return c.store.faults[""]
}

// admit applies the faults and the response time that precede the effect of a call. It
// returns an error if the call must have no effect. Transactions of a store with partitions
// spend their response time in the queue instead.
func (c client) admit(ctx context.Context, call string) (Faults, error) {
	f := c.countCall(call)
	if f.Silent || f.HungCalls > 0 && c.store.random() < f.HungCalls {
		<-ctx.Done()
		return f, kqrows.ErrUnknown
	}
	if f.Refuse {
		return f, kqrows.ErrRefused
	}
	if call == callTransact && c.store.isPartitioned() {
		return f, nil
	}
	return f, sleep(ctx, f.responseTime(), nil)
}

// random returns a random number from 0 to 1.
func (s *Store) random() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// isPartitioned reports whether EnablePartitions was called.
func (s *Store) isPartitioned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitions != nil
}

// waitSerial waits until the transactions ahead and this one have had their serial time. It
// refuses the transaction if those ahead take longer than maxQueueTime.
func (c client) waitSerial(ctx context.Context, serial time.Duration) error {
	s := c.store
	s.mu.Lock()
	now := time.Now()
	if s.busyUntil.Sub(now) > maxQueueTime {
		s.mu.Unlock()
		return kqrows.ErrRefused
	}
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(serial)
	t := time.NewTimer(s.busyUntil.Sub(now))
	s.mu.Unlock()
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return kqrows.ErrUnknown
	}
}

func (c client) transact(ctx context.Context, t kqrows.Tx) (kqrows.Outcome, error) {
	f, err := c.admit(ctx, callTransact)
	if err != nil {
		return kqrows.Outcome{}, err
	}
	if isTooLarge(t) {
		return kqrows.Outcome{}, kqrows.ErrRefused
	}
	if c.store.isPartitioned() {
		return c.transactQueued(ctx, f, t)
	}
	if f.SerialTime > 0 {
		if err := c.waitSerial(ctx, f.SerialTime); err != nil {
			return kqrows.Outcome{}, err
		}
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.applyWithFaults(f, t)
}

// maxCallBytes is the size of a call that the platform accepts, with values in base64.
const maxCallBytes = 1_000_000

// isTooLarge reports whether the platform refuses a transaction for its size.
func isTooLarge(t kqrows.Tx) bool {
	size := 0
	for _, p := range t.Puts {
		if len(p.Value) > kqrows.MaxValueBytes {
			return true
		}
		size += base64.StdEncoding.EncodedLen(len(p.Value)) + len(p.Table) + len(p.Name)
	}
	return size > maxCallBytes || len(t.Conditions)+len(t.Puts)+len(t.Removes) > kqrows.MaxEntries
}

// applyWithFaults applies a transaction, applies it late, or loses its answer; mu is held.
func (s *Store) applyWithFaults(f Faults, t kqrows.Tx) (kqrows.Outcome, error) {
	switch x := s.rng.Float64(); {
	case x < f.LateWrites:
		after := minLateDelay + time.Duration(s.rng.Int64N(int64(maxLateDelay-minLateDelay)))
		time.AfterFunc(after, func() { s.applyLate(t) })
		return kqrows.Outcome{}, kqrows.ErrUnknown
	case x < f.LateWrites+f.LoseAnswers:
		s.apply(t)
		return kqrows.Outcome{}, kqrows.ErrUnknown
	}
	return s.apply(t), nil
}

func (s *Store) applyLate(t kqrows.Tx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(t)
}

// apply applies a transaction if all its conditions hold; mu is held.
func (s *Store) apply(t kqrows.Tx) kqrows.Outcome {
	allHold := true
	var current []kqrows.Row
	for _, e := range t.Conditions {
		r, ok := s.rows[e.Key]
		if ok {
			current = append(current, r)
		}
		allHold = allHold && r.Version == e.Version
	}
	if !allHold {
		return kqrows.Outcome{Current: current, Clock: time.Since(s.clockZero)}
	}
	s.version++
	for _, p := range t.Puts {
		r := kqrows.Row{Key: p.Key, Value: slices.Clone(p.Value), Version: s.version}
		s.rows[p.Key] = r
		s.history = append(s.history, r)
	}
	for _, k := range t.Removes {
		delete(s.rows, k)
		s.history = append(s.history, kqrows.Row{Key: k, Version: s.version, Removed: true})
	}
	if excess := len(s.history) - maxHistory; excess > 0 {
		s.droppedUpTo = s.history[excess-1].Version
		s.history = s.history[excess:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return kqrows.Outcome{Committed: true, Version: s.version, Clock: time.Since(s.clockZero)}
}

func (c client) read(ctx context.Context, table, from, to string) ([]kqrows.Row, uint64, error) {
	if _, err := c.admit(ctx, callRead); err != nil {
		return nil, 0, err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []kqrows.Row
	for k, r := range s.rows {
		if k.Table == table && k.Name >= from && (to == "" || k.Name < to) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b kqrows.Row) int { return strings.Compare(a.Name, b.Name) })
	return out, s.version, nil
}

func (c client) follow(ctx context.Context, table string, after uint64, wait time.Duration) ([]kqrows.Row, uint64, error) {
	if _, err := c.admit(ctx, callFollow); err != nil {
		return nil, after, err
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		rows, next, changed, err := c.store.changesAfter(table, after)
		if err != nil || len(rows) > 0 {
			return rows, next, err
		}
		select {
		case <-changed:
		case <-t.C:
			return nil, next, nil
		case <-ctx.Done():
			return nil, after, kqrows.ErrUnknown
		}
	}
}

// changesAfter returns the changes of a table after a version, the store's version, and a
// channel that is closed with the next change.
func (s *Store) changesAfter(table string, after uint64) (rows []kqrows.Row, next uint64, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.droppedUpTo {
		return nil, after, nil, kqrows.ErrHistoryGone
	}
	for _, r := range s.history {
		if r.Version > after && r.Table == table {
			rows = append(rows, r)
		}
	}
	return rows, s.version, s.changed, nil
}
