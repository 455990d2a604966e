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

// sharedPartition is the partition of all tables that have no partitions of their own.
const sharedPartition = "all"

// partition applies transactions one after another in the order of their arrival.
type partition struct {
	// lastDone is closed once the latest transaction has been applied; nil if there was
	// none.
	lastDone chan struct{}
	// queuedTime is the total duration of the pending transactions.
	queuedTime time.Duration
	// depth is the number of pending transactions, maxDepth its maximum since the last call
	// of TakeMaxQueueDepth.
	depth, maxDepth int
}

// EnablePartitions makes the store apply the transactions of a partition one after another.
// Each occupies its partition for one response time, or for two if it spans several
// partitions. A transaction is refused if the queue of one of its partitions is longer than a
// second. The tables in partitionCounts have that number of partitions each; all other tables
// share one partition.
func (s *Store) EnablePartitions(partitionCounts map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitionCounts, s.partitions = maps.Clone(partitionCounts), map[string]*partition{}
}

// partitionOf returns the name of a row's partition and creates the partition if needed; mu
// is held.
func (s *Store) partitionOf(k kqrows.Key) (name string) {
	name = sharedPartition
	if n := s.partitionCounts[k.Table]; n > 0 {
		name = fmt.Sprint(k.Table, xxhash.Sum64String(k.Name)%uint64(n))
	}
	if s.partitions[name] == nil {
		s.partitions[name] = &partition{}
	}
	return name
}

// queuedTx is a transaction in the queues of its partitions.
type queuedTx struct {
	store        *Store
	partitions   []*partition
	predecessors []chan struct{} // closed once the transactions ahead of it have been applied
	done         chan struct{}
	duration     time.Duration
	outcome      kqrows.Outcome
}

// enqueue adds a transaction to the queues of its partitions. It returns nil if the queue of
// one of them is longer than maxQueueTime.
func (s *Store) enqueue(t kqrows.Tx, responseTime time.Duration) *queuedTx {
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
	p := &queuedTx{store: s, done: make(chan struct{}), duration: responseTime}
	if len(names) > 1 {
		p.duration *= 2
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		if s.partitions[n].queuedTime > maxQueueTime {
			s.refusedCount++
			return nil
		}
		p.partitions = append(p.partitions, s.partitions[n])
	}
	for _, x := range p.partitions {
		if x.lastDone != nil {
			p.predecessors = append(p.predecessors, x.lastDone)
		}
		x.lastDone = p.done
		x.queuedTime += p.duration
		x.depth++
		x.maxDepth = max(x.maxDepth, x.depth)
	}
	return p
}

// execute waits for the transactions ahead of this one and applies it, also if its client
// has stopped waiting.
func (p *queuedTx) execute(apply func() kqrows.Outcome) {
	for _, c := range p.predecessors {
		<-c
	}
	time.Sleep(p.duration)
	p.store.mu.Lock()
	p.outcome = apply()
	for _, x := range p.partitions {
		x.queuedTime -= p.duration
		x.depth--
	}
	p.store.mu.Unlock()
	close(p.done)
}

// transactQueued is transact for a store with partitions.
func (c client) transactQueued(ctx context.Context, f Faults, t kqrows.Tx) (kqrows.Outcome, error) {
	s := c.store
	p := s.enqueue(t, f.responseTime())
	if p == nil {
		return kqrows.Outcome{}, sleep(ctx, f.responseTime(), kqrows.ErrRefused)
	}
	var err error
	s.queued.Go(func() {
		p.execute(func() kqrows.Outcome {
			var o kqrows.Outcome
			o, err = s.applyWithFaults(f, t)
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

// TakeMaxQueueDepth returns the highest number of transactions pending at once in the shared
// partition since the last call.
func (s *Store) TakeMaxQueueDepth() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.partitions[sharedPartition]
	n := x.maxDepth
	x.maxDepth = x.depth
	return n
}

// WaitIdle returns once all queued transactions have been applied.
func (s *Store) WaitIdle() { s.queued.Wait() }

// sleep returns err after d, or ErrUnknown if ctx ends first.
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

// CallCounts returns the number of calls of each kind that clients have made, and the number
// of transactions refused because the queue of a partition was too long.
func (s *Store) CallCounts() (calls map[string]int, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls), s.refusedCount
}
