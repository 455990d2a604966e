package kqrig

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// Store is the way to the table with its faults.
type Store struct {
	// Down refuses every request.
	Down bool
	// Delay is how long a request takes.
	Delay time.Duration
	// LoseAnswers is the share of writes whose answer is lost after they took
	// effect.
	LoseAnswers float64
	// LoseNth loses the answer of exactly the write of this number, from 1.
	LoseNth int

	rig    *Rig
	writes int
}

const (
	storeLatency = 3 * time.Millisecond
	storeTimeout = 10 * time.Second
	retryPause   = 200 * time.Millisecond
)

func (s *Store) latency() time.Duration {
	return s.Delay + storeLatency + time.Duration(s.rig.rng.Int64N(int64(storeLatency)))
}

// get reads a row for a node.
func (s *Store) get(n *Node, key string, then func(row kqtable.Row, found bool, err error)) {
	s.request(n, func() { then(s.rig.Table.Client().Get(context.Background(), key)) }, func() { then(kqtable.Row{}, false, kqtable.ErrUnavailable) })
}

// scan reads rows by prefix for a node.
func (s *Store) scan(n *Node, prefix string, then func(rows []kqtable.Row, err error)) {
	s.request(n, func() { then(s.rig.Table.Client().ScanAll(context.Background(), prefix)) }, func() { then(nil, kqtable.ErrUnavailable) })
}

// request brings a read to the table and its answer back, unless the node is
// cut off or the table is out.
func (s *Store) request(n *Node, do, fail func()) {
	if s.Down || n.storeCut {
		s.rig.after(storeLatency, n.guard(fail))
		return
	}
	s.rig.after(s.latency(), n.guard(func() {
		if n.storeCut || s.Down {
			fail()
			return
		}
		do()
	}))
}

// transact sends one copy of a transaction. It takes effect half way through
// its time, whether or not its sender still lives.
func (s *Store) transact(n *Node, t kqtable.Transaction, then func(o kqtable.Outcome, err error)) {
	if s.Down || n.storeCut {
		s.rig.after(storeLatency, n.guard(func() { then(kqtable.Outcome{}, kqtable.ErrUnavailable) }))
		return
	}
	half := s.latency() / 2
	o, err := kqtable.Outcome{}, kqtable.ErrUnknown
	// The answer is for the process that asked, not for a later one.
	answer := n.guard(func() { then(o, err) })
	s.rig.after(half, func() {
		if !s.Down {
			s.writes++
			lose := s.writes == s.LoseNth || s.rig.rng.Float64() < s.LoseAnswers
			done, failure := s.rig.Table.Client().Transact(context.Background(), t)
			if !lose && !n.storeCut {
				o, err = done, failure
			}
		}
		s.rig.after(half, answer)
	})
}

// commit carries a commitment to its end.
func (s *Store) commit(n *Node, c *kqtable.PendingCommit, step kqtable.StepKind, then func(o kqtable.Outcome, err error)) {
	follow := func(next kqtable.StepKind) {
		if next == kqtable.StepDone {
			then(c.Result())
			return
		}
		s.rig.after(retryPause, n.guard(func() { s.commit(n, c, next, then) }))
	}
	if step == kqtable.StepReadBack {
		s.get(n, c.MarkerKey, func(row kqtable.Row, found bool, err error) { follow(c.HandleReadBack(row, found, err)) })
		return
	}
	s.transact(n, c.Transaction, func(o kqtable.Outcome, err error) { follow(c.HandleResponse(o, err)) })
}

// Writes returns how many transactions reached the table.
func (s *Store) Writes() int { return s.writes }
