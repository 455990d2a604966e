package kqtable

import (
	"bytes"
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// StepKind is what a Commitment does next.
type StepKind int

// Kinds of steps.
const (
	// StepSend sends the transaction, again or for the first time.
	StepSend StepKind = iota
	// StepReadBack reads the marker row.
	StepReadBack
	// StepDone ends the commitment.
	StepDone
)

// Commitment follows one transaction until its outcome is certain. The
// transaction must both have a condition on the row Marker and write it with a
// value that no other write has: then it can be sent again unchanged after a
// lost answer, since at most one of its copies can find the condition true.
type PendingCommit struct {
	// Transaction is what is sent.
	Transaction Transaction
	// Marker is the row that tells the write from others.
	MarkerKey string

	unsure  bool
	outcome Outcome
	err     error
}

// Unsure reports whether a copy may have taken effect already.
func (c *PendingCommit) MayBeApplied() bool { return c.unsure }

// Result returns the outcome after StepDone.
func (c *PendingCommit) Result() (Outcome, error) { return c.outcome, c.err }

func (c *PendingCommit) done(o Outcome, err error) StepKind {
	c.outcome, c.err = o, err
	return StepDone
}

// Sent follows the answer to the transaction.
func (c *PendingCommit) HandleResponse(o Outcome, err error) StepKind {
	switch {
	case err == nil && (o.Committed || !c.unsure):
		return c.done(o, nil)
	case err == nil:
		return StepReadBack
	case eris.Is(err, ErrUnknown):
		c.unsure = true
	case !c.unsure:
		return c.done(Outcome{}, err)
	}
	return StepSend
}

// ReadBack follows the marker row: it tells whether an earlier copy is what
// moved it.
func (c *PendingCommit) HandleReadBack(row Row, found bool, err error) StepKind {
	if err != nil {
		return StepReadBack
	}
	for _, w := range c.Transaction.Writes {
		if w.Key == c.MarkerKey && found && bytes.Equal(row.Value, w.Value) {
			return c.done(Outcome{Committed: true, Version: row.Version}, nil)
		}
	}
	return c.done(Outcome{FailedKey: c.MarkerKey}, nil)
}

const (
	tryTimeout = 10 * time.Second
	retryFirst = 50 * time.Millisecond
	retryMost  = 2 * time.Second
)

// Resolver carries commitments to their end.
type Resolver struct {
	// Table is where the transactions go.
	Table Table
	// Wait pauses between tries; it returns early if ctx ends.
	Wait func(ctx context.Context, d time.Duration)
}

// Commit applies t and returns only once its outcome is certain, or ErrUnknown
// when ctx ends first. See Commitment for what marker must be.
func (r Resolver) Commit(ctx context.Context, t Transaction, marker string) (Outcome, error) {
	c := &PendingCommit{Transaction: t, MarkerKey: marker}
	step := StepSend
	for d := retryFirst; ctx.Err() == nil; d = min(2*d, retryMost) {
		step = r.step(ctx, c, step)
		if step == StepDone {
			return c.Result()
		}
		if step == StepReadBack {
			continue
		}
		r.Wait(ctx, d)
	}
	if !c.MayBeApplied() {
		return Outcome{}, ErrUnavailable
	}
	return Outcome{}, ErrUnknown
}

func (r Resolver) step(ctx context.Context, c *PendingCommit, step StepKind) StepKind {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	if step == StepReadBack {
		next := c.HandleReadBack(r.Table.Get(ctx, c.MarkerKey))
		if next == StepReadBack {
			r.Wait(ctx, retryFirst)
		}
		return next
	}
	return c.HandleResponse(r.Table.Transact(ctx, c.Transaction))
}
