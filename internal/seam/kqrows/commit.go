package kqrows

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

const (
	retryFirst = 30 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// TryTimeout bounds one try: a connection may go silent for good.
	AttemptTimeout = time.Second
)

// Commit sends a transaction until its outcome is certain or ctx ends, which
// gives ErrUnknown if a copy may have taken effect and ErrRefused if none can.
// A row put must also be expected, with a value that no other write has: then at
// most one copy can find the conditions true, and the rows show whose write it
// was. Rows that are put without being expected tell nothing.
func Commit(ctx context.Context, s Store, t Tx) (Outcome, error) {
	return commit(ctx, s, t, attempts{insists: true, bound: context.WithTimeout})
}

// attempts says how a transaction is sent.
type attempts struct {
	// insists asks a store again that refuses.
	insists bool
	// bound bounds one attempt.
	bound func(ctx context.Context, usual time.Duration) (context.Context, context.CancelFunc)
}

func commit(ctx context.Context, s Store, t Tx, a attempts) (Outcome, error) {
	unsure := false
	for pause := retryFirst; ; pause = min(2*pause, retryMost) {
		try, cancel := a.bound(ctx, AttemptTimeout)
		o, err := s.Transact(try, t)
		cancel()
		switch {
		case err == nil && !o.Committed && unsure:
			return t.settle(o), nil
		case err == nil:
			return o, nil
		case errors.Is(err, ErrUnknown):
			unsure = true
		case !unsure && !a.insists:
			return Outcome{}, ErrRefused
		}
		kqtable.Sleep(ctx, pause)
		if ctx.Err() != nil {
			break
		}
	}
	if unsure {
		return Outcome{}, ErrUnknown
	}
	return Outcome{}, ErrRefused
}

// settle tells from the present rows whether an earlier copy was applied.
func (t Tx) settle(o Outcome) Outcome {
	version := uint64(0)
	for _, p := range t.Puts {
		if !t.expects(p.Key) {
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
	return Outcome{Committed: true, Version: version}
}

func (t Tx) expects(k Key) bool {
	for _, e := range t.Conditions {
		if e.Key == k {
			return true
		}
	}
	return false
}
