// Package kqrowstore is a stand-in for the platform's transactional store, in
// memory, with faults for each of its clients.
package kqrowstore

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// Faults is what is wrong between the store and one client.
type Faults struct {
	// Refuse makes the store turn every call away.
	Refuse bool
	// Silent makes the store never answer.
	Silent bool
	// Hang is the share of calls that are neither carried out nor answered, as on a
	// connection that has gone silent.
	HungCalls float64
	// LoseAnswers is the share of writes that are done and not answered.
	LoseAnswers float64
	// Late is the share of writes that are done seconds later, unanswered.
	LateWrites float64
	// Slow is how many times as long as usual an answer takes; 0 and 1 mean the usual.
	LatencyFactor int
	// Delay is how long a call takes.
	Delay time.Duration
	// Serial is how long each transaction keeps the others waiting; one that would
	// wait for over a second is refused.
	SerialTime time.Duration
}

// Kinds of calls.
const (
	callTransact = "transact"
	callRead     = "read"
	callFollow   = "follow"
)

const (
	ordinaryDelay = 4 * time.Millisecond
	leastLate     = 500 * time.Millisecond
	mostLate      = 6 * time.Second
	longestQueue  = time.Second
	historyKept   = 4000
)

// Store keeps rows in memory.
type Store struct {
	mu      sync.Mutex
	rng     *rand.Rand
	rows    map[kqrows.Key]kqrows.Row
	history []kqrows.Row
	dropped uint64
	version uint64
	faults  map[string]Faults
	changed chan struct{}
	// busyTill is until when transactions that came before are carried out.
	busyTill time.Time
	// spread and partitions are set if transactions wait for those of their partition.
	spread     map[string]int
	partitions map[string]*partition
	calls      map[string]int
	turnedAway int
	// inTurns are the transactions that wait in partitions.
	inTurns sync.WaitGroup
}

// New returns an empty Store.
func New(seed uint64) *Store {
	return &Store{rng: rand.New(rand.NewPCG(seed, 3)), rows: map[kqrows.Key]kqrows.Row{}, faults: map[string]Faults{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// answer is how long an answer takes.
func (f Faults) answer() time.Duration {
	return max(ordinaryDelay*time.Duration(max(1, f.LatencyFactor)), f.Delay)
}

// SetFaults sets what is wrong for a client; the client "" is all others.
func (s *Store) SetFaults(client string, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[client] = f
}

// Heal removes every fault.
func (s *Store) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = map[string]Faults{}
}

// Compact drops the history of changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.version
}

// Client returns the store as one client sees it.
func (s *Store) Client(name string) kqrows.Store {
	c := client{s, name}
	return kqrows.Store{Transact: c.transact, Read: c.read, Follow: c.follow}
}

type client struct {
	store *Store
	name  string
}

// now returns what is wrong for the client as it makes a call.
func (c client) now(call string) Faults {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.calls[call]++
	if f, ok := c.store.faults[c.name]; ok {
		return f
	}
	return c.store.faults[""]
}

// enter lets a call wait and fail before it has any effect.
func (c client) enter(ctx context.Context, call string) (Faults, error) {
	f := c.now(call)
	if f.Silent || f.HungCalls > 0 && c.store.draw() < f.HungCalls {
		<-ctx.Done()
		return f, kqrows.ErrUnknown
	}
	if f.Refuse {
		return f, kqrows.ErrRefused
	}
	if call == callTransact && c.store.inTurn() {
		return f, nil
	}
	return f, sleep(ctx, f.answer(), nil)
}

func (s *Store) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// inTurn reports whether the store carries transactions out by partition.
func (s *Store) inTurn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitions != nil
}

// wait lets a transaction wait for those before it.
func (c client) wait(ctx context.Context, serial time.Duration) error {
	s := c.store
	s.mu.Lock()
	now := time.Now()
	if s.busyTill.Sub(now) > longestQueue {
		s.mu.Unlock()
		return kqrows.ErrRefused
	}
	if s.busyTill.Before(now) {
		s.busyTill = now
	}
	s.busyTill = s.busyTill.Add(serial)
	t := time.NewTimer(s.busyTill.Sub(now))
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
	f, err := c.enter(ctx, callTransact)
	if err != nil {
		return kqrows.Outcome{}, err
	}
	if c.store.inTurn() {
		return c.transactInTurn(ctx, f, t)
	}
	if f.SerialTime > 0 {
		if err := c.wait(ctx, f.SerialTime); err != nil {
			return kqrows.Outcome{}, err
		}
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.outcome(f, t)
}

// outcome carries a transaction out, or loses it or its answer; mu is held.
func (s *Store) outcome(f Faults, t kqrows.Tx) (kqrows.Outcome, error) {
	switch x := s.rng.Float64(); {
	case x < f.LateWrites:
		after := leastLate + time.Duration(s.rng.Int64N(int64(mostLate-leastLate)))
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

// apply carries a transaction out; mu is held.
func (s *Store) apply(t kqrows.Tx) kqrows.Outcome {
	holds := true
	var current []kqrows.Row
	for _, e := range t.Conditions {
		r, ok := s.rows[e.Key]
		if ok {
			current = append(current, r)
		}
		holds = holds && r.Version == e.Version
	}
	if !holds {
		return kqrows.Outcome{Current: current}
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
	if over := len(s.history) - historyKept; over > 0 {
		s.dropped = s.history[over-1].Version
		s.history = s.history[over:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return kqrows.Outcome{Committed: true, Version: s.version}
}

func (c client) read(ctx context.Context, table, from, to string) ([]kqrows.Row, uint64, error) {
	if _, err := c.enter(ctx, callRead); err != nil {
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
	if _, err := c.enter(ctx, callFollow); err != nil {
		return nil, after, err
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		rows, next, changed, err := c.store.since(table, after)
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

func (s *Store) since(table string, after uint64) (rows []kqrows.Row, next uint64, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.dropped {
		return nil, after, nil, kqrows.ErrHistoryGone
	}
	for _, r := range s.history {
		if r.Version > after && r.Table == table {
			rows = append(rows, r)
		}
	}
	return rows, s.version, s.changed, nil
}
