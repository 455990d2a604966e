package kqtable

import (
	"bytes"
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// StepKind is the next step of a PendingCommit.
type StepKind int

// Steps of a commit.
const (
	// StepSend sends the transaction, for the first time or again.
	StepSend StepKind = iota
	// StepReadBack reads the marker row.
	StepReadBack
	// StepDone means that the outcome is certain.
	StepDone
)

// PendingCommit is the state of one transaction until its outcome is certain. It does no I/O:
// the caller carries out each step and passes in the response. The transaction must have a
// condition on the row MarkerKey and write that row with a value that no other write has.
// Then it can be sent again unchanged after a lost response, because at most one of its
// copies can find the condition true.
type PendingCommit struct {
	// Transaction is the transaction to apply.
	Transaction Transaction
	// MarkerKey is the key of the row whose value identifies this write.
	MarkerKey string

	mayBeApplied bool
	outcome      Outcome
	err          error
}

// MayBeApplied reports whether a copy of the transaction may have been applied although no
// response confirmed it.
func (c *PendingCommit) MayBeApplied() bool { return c.mayBeApplied }

// Result returns the outcome after StepDone.
func (c *PendingCommit) Result() (Outcome, error) { return c.outcome, c.err }

func (c *PendingCommit) finish(o Outcome, err error) StepKind {
	c.outcome, c.err = o, err
	return StepDone
}

// HandleResponse handles the response to the transaction and returns the next step.
func (c *PendingCommit) HandleResponse(o Outcome, err error) StepKind {
	switch {
	case err == nil && (o.Committed || !c.mayBeApplied):
		return c.finish(o, nil)
	case err == nil:
		return StepReadBack
	case eris.Is(err, ErrUnknown):
		c.mayBeApplied = true
	case !c.mayBeApplied:
		return c.finish(Outcome{}, err)
	}
	return StepSend
}

// HandleReadBack handles the result of reading the marker row and returns the next step. The
// value of the row shows whether an earlier copy of the transaction was applied.
func (c *PendingCommit) HandleReadBack(row Row, found bool, err error) StepKind {
	if err != nil {
		return StepReadBack
	}
	for _, w := range c.Transaction.Writes {
		if w.Key == c.MarkerKey && found && bytes.Equal(row.Value, w.Value) {
			return c.finish(Outcome{Committed: true, Version: row.Version}, nil)
		}
	}
	return c.finish(Outcome{FailedKey: c.MarkerKey}, nil)
}

const (
	// attemptTimeout bounds one call to the table.
	attemptTimeout = 10 * time.Second
	// minRetryDelay is the delay after the first attempt. It doubles after each step, up to
	// maxRetryDelay.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Resolver sends transactions until their outcomes are certain.
type Resolver struct {
	// Table is the table to write to.
	Table Table
	// Wait waits between attempts; it returns early if ctx ends.
	Wait func(ctx context.Context, d time.Duration)
}

// Commit applies t and returns once its outcome is certain. If ctx ends first, it returns
// ErrUnknown if t may have been applied and ErrUnavailable otherwise. marker is the
// MarkerKey of the PendingCommit.
func (r Resolver) Commit(ctx context.Context, t Transaction, marker string) (Outcome, error) {
	pending := &PendingCommit{Transaction: t, MarkerKey: marker}
	step := StepSend
	for delay := minRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxRetryDelay) {
		step = r.step(ctx, pending, step)
		if step == StepDone {
			return pending.Result()
		}
		if step == StepReadBack {
			continue
		}
		r.Wait(ctx, delay)
	}
	if !pending.MayBeApplied() {
		return Outcome{}, ErrUnavailable
	}
	return Outcome{}, ErrUnknown
}

// step carries out one step and returns the next one.
func (r Resolver) step(ctx context.Context, pending *PendingCommit, step StepKind) StepKind {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if step == StepReadBack {
		next := pending.HandleReadBack(r.Table.Get(ctx, pending.MarkerKey))
		if next == StepReadBack {
			r.Wait(ctx, minRetryDelay)
		}
		return next
	}
	return pending.HandleResponse(r.Table.Transact(ctx, pending.Transaction))
}
