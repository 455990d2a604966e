package kqrowstore

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
)

// commonPartition is the partition of the tables that are not spread.
const commonPartition = "all"

// partition carries transactions out one after another, in the order in which they
// came.
type partition struct {
	// last is closed once the latest transaction has been carried out; nil if there
	// was none.
	last chan struct{}
	// waiting is how long what has not been carried out takes.
	waiting time.Duration
	// inside is how many have not been carried out, deepest the most of them at once
	// since Deepest was called.
	inside, deepest int
}

// Partition makes the store carry out the transactions of each partition one after
// another, each for as long as an answer takes, and turn those away that would wait for
// over a second. Tables have one partition together, but for those of spread, each of
// which has a number of its own.
func (s *Store) EnablePartitions(spread map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spread, s.partitions = maps.Clone(spread), map[string]*partition{}
}

// partitionOf returns the partition of a row, made if it is new; mu is held.
func (s *Store) partitionOf(k kqrows.Key) (name string) {
	name = commonPartition
	if n := s.spread[k.Table]; n > 0 {
		name = fmt.Sprint(k.Table, xxhash.Sum64String(k.Name)%uint64(n))
	}
	if s.partitions[name] == nil {
		s.partitions[name] = &partition{}
	}
	return name
}

// place is the place of a transaction in the queues of its partitions.
type place struct {
	store      *Store
	partitions []*partition
	before     []chan struct{}
	done       chan struct{}
	takes      time.Duration
	outcome    kqrows.Outcome
}

// enqueue takes a transaction's place in its partitions; nil if one of them turns it
// away.
func (s *Store) enqueue(t kqrows.Tx, answer time.Duration) *place {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := map[string]bool{}
	for _, e := range t.Conditions {
		names[s.partitionOf(e.Key)] = true
	}
	for _, p := range t.Puts {
		names[s.partitionOf(p.Key)] = true
	}
	for _, k := range t.Removes {
		names[s.partitionOf(k)] = true
	}
	p := &place{store: s, done: make(chan struct{}), takes: answer}
	if len(names) > 1 {
		p.takes *= 2
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		if s.partitions[n].waiting > longestQueue {
			s.turnedAway++
			return nil
		}
		p.partitions = append(p.partitions, s.partitions[n])
	}
	for _, x := range p.partitions {
		if x.last != nil {
			p.before = append(p.before, x.last)
		}
		x.last = p.done
		x.waiting += p.takes
		x.inside++
		x.deepest = max(x.deepest, x.inside)
	}
	return p
}

// carryOut waits for the transactions before this one and applies it, whether or not
// its client still waits.
func (p *place) carryOut(apply func() kqrows.Outcome) {
	for _, c := range p.before {
		<-c
	}
	time.Sleep(p.takes)
	p.store.mu.Lock()
	p.outcome = apply()
	for _, x := range p.partitions {
		x.waiting -= p.takes
		x.inside--
	}
	p.store.mu.Unlock()
	close(p.done)
}

// transactInTurn is transact for a store of partitions.
func (c client) transactInTurn(ctx context.Context, f Faults, t kqrows.Tx) (kqrows.Outcome, error) {
	s := c.store
	p := s.enqueue(t, f.answer())
	if p == nil {
		return kqrows.Outcome{}, sleep(ctx, f.answer(), kqrows.ErrRefused)
	}
	var err error
	s.inTurns.Go(func() {
		p.carryOut(func() kqrows.Outcome {
			var o kqrows.Outcome
			o, err = s.outcome(f, t)
			return o
		})
	})
	select {
	case <-p.done:
		return p.outcome, err
	case <-ctx.Done():
		return kqrows.Outcome{}, kqrows.ErrUnknown
	}
}

// Deepest returns how many transactions were at once in the partition of the tables
// that have one together, since the last call.
func (s *Store) TakeMaxQueueDepth() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.partitions[commonPartition]
	n := x.deepest
	x.deepest = x.inside
	return n
}

// Settle returns once everything that waits in a partition has been carried out.
func (s *Store) WaitIdle() { s.inTurns.Wait() }

// sleep returns an error after a time, or ErrUnknown if ctx ends before.
func sleep(ctx context.Context, d time.Duration, err error) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return err
	case <-ctx.Done():
		return kqrows.ErrUnknown
	}
}

// Calls returns how many calls of each kind clients have made, and how many
// transactions a full partition turned away.
func (s *Store) CallCounts() (calls map[string]int, turnedAway int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls), s.turnedAway
}
