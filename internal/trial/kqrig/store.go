package kqrig

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// Store carries the requests of nodes to the table and injects faults.
type Store struct {
	// Down makes every request fail.
	Down bool
	// ExtraDelay is added to the usual latency of a request.
	ExtraDelay time.Duration
	// AnswerLossRate is the share of transactions, from 0 to 1, whose answer is lost after
	// they took effect.
	AnswerLossRate float64
	// LoseNthAnswer is the number of the one transaction, counted from 1, whose answer is lost;
	// 0 means none.
	LoseNthAnswer int

	rig    *Rig
	writes int
}

const (
	storeLatency = 3 * time.Millisecond
	storeTimeout = 10 * time.Second
	retryDelay   = 200 * time.Millisecond
)

// latency returns the random latency of one request.
func (s *Store) latency() time.Duration {
	return s.ExtraDelay + storeLatency + time.Duration(s.rig.rng.Int64N(int64(storeLatency)))
}

// get reads one row on behalf of a node.
func (s *Store) get(n *Node, key string, then func(row kqtable.Row, found bool, err error)) {
	s.request(n, func() { then(s.rig.Table.Client().Get(context.Background(), key)) }, func() { then(kqtable.Row{}, false, kqtable.ErrUnavailable) })
}

// scan reads the rows with a key prefix on behalf of a node.
func (s *Store) scan(n *Node, prefix string, then func(rows []kqtable.Row, err error)) {
	s.request(n, func() { then(s.rig.Table.Client().ScanAll(context.Background(), prefix)) }, func() { then(nil, kqtable.ErrUnavailable) })
}

// request runs do after the latency of a read, or fail if the node is disconnected from the
// table or the table is down.
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

// transact sends a transaction once. It takes effect after half of its latency, even if the
// process that sent it has ended by then.
func (s *Store) transact(n *Node, t kqtable.Transaction, then func(o kqtable.Outcome, err error)) {
	if s.Down || n.storeCut {
		s.rig.after(storeLatency, n.guard(func() { then(kqtable.Outcome{}, kqtable.ErrUnavailable) }))
		return
	}
	half := s.latency() / 2
	o, err := kqtable.Outcome{}, kqtable.ErrUnknown
	// The answer goes to the process that sent the transaction, not to a later one of the node.
	answer := n.guard(func() { then(o, err) })
	s.rig.after(half, func() {
		if !s.Down {
			s.writes++
			lose := s.writes == s.LoseNthAnswer || s.rig.rng.Float64() < s.AnswerLossRate
			outcome, commitErr := s.rig.Table.Client().Transact(context.Background(), t)
			if !lose && !n.storeCut {
				o, err = outcome, commitErr
			}
		}
		s.rig.after(half, answer)
	})
}

// commit runs the steps of a pending commit, sending and reading back, until its outcome is
// known or it fails, and passes the result to then.
func (s *Store) commit(n *Node, c *kqtable.PendingCommit, step kqtable.StepKind, then func(o kqtable.Outcome, err error)) {
	advance := func(next kqtable.StepKind) {
		if next == kqtable.StepDone {
			then(c.Result())
			return
		}
		s.rig.after(retryDelay, n.guard(func() { s.commit(n, c, next, then) }))
	}
	if step == kqtable.StepReadBack {
		s.get(n, c.MarkerKey, func(row kqtable.Row, found bool, err error) { advance(c.HandleReadBack(row, found, err)) })
		return
	}
	s.transact(n, c.Transaction, func(o kqtable.Outcome, err error) { advance(c.HandleResponse(o, err)) })
}

// WriteCount returns the number of transactions that have reached the table.
func (s *Store) WriteCount() int { return s.writes }
