package kqrows

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

const (
	// minRetryDelay is the delay after the first attempt of a commit. It doubles after each
	// further attempt, up to maxRetryDelay.
	minRetryDelay = 30 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// AttemptTimeout bounds one attempt, because a connection may stop responding for good.
	AttemptTimeout = time.Second
)

// Commit sends a transaction until its outcome is certain or ctx ends. If ctx ends first,
// it returns ErrUnknown if a copy of the transaction may have been applied, and ErrRefused
// if none can have been. At least one row of Puts must also have a condition and a value
// that no other write has: then at most one copy of the transaction finds the conditions
// true, and the present value of the row shows whether this transaction wrote it. Rows of
// Puts without a condition do not help to decide the outcome.
func Commit(ctx context.Context, s Store, t Tx) (Outcome, error) {
	return commit(ctx, s, t, attemptPolicy{retryRefused: true, withTimeout: context.WithTimeout})
}

// attemptPolicy defines how the attempts of a commit are made.
type attemptPolicy struct {
	// retryRefused is true if an attempt that the store refuses is repeated.
	retryRefused bool
	// withTimeout returns the context of one attempt; usual is the timeout of the attempt
	// when the store responds quickly.
	withTimeout func(ctx context.Context, usual time.Duration) (context.Context, context.CancelFunc)
}

func commit(ctx context.Context, s Store, t Tx, policy attemptPolicy) (Outcome, error) {
	mayBeApplied := false
	for pause := minRetryDelay; ; pause = min(2*pause, maxRetryDelay) {
		attemptCtx, cancel := policy.withTimeout(ctx, AttemptTimeout)
		o, err := s.Transact(attemptCtx, t)
		cancel()
		switch {
		case err == nil && !o.Committed && mayBeApplied:
			return t.resolve(o), nil
		case err == nil:
			return o, nil
		case errors.Is(err, ErrUnknown):
			mayBeApplied = true
		case !mayBeApplied && !policy.retryRefused:
			return Outcome{}, ErrRefused
		}
		kqtable.Sleep(ctx, pause)
		if ctx.Err() != nil {
			break
		}
	}
	if mayBeApplied {
		return Outcome{}, ErrUnknown
	}
	return Outcome{}, ErrRefused
}

// resolve decides whether an earlier copy of the transaction was applied. o is the outcome of
// a later copy that was not applied because a condition did not hold; the rows in it show
// whose write they hold.
func (t Tx) resolve(o Outcome) Outcome {
	version := uint64(0)
	for _, p := range t.Puts {
		if !t.hasCondition(p.Key) {
			continue
		}
		r, ok := o.Find(p.Key)
		if !ok || !bytes.Equal(r.Value, p.Value) {
			return o
		}
		version = r.Version
	}
	for _, k := range t.Removes {
		if _, ok := o.Find(k); ok {
			return o
		}
	}
	return Outcome{Committed: true, Version: version, Clock: o.Clock}
}

// hasCondition reports whether the transaction has a condition on a row.
func (t Tx) hasCondition(k Key) bool {
	for _, e := range t.Conditions {
		if e.Key == k {
			return true
		}
	}
	return false
}
