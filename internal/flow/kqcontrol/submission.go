package kqcontrol

import (
	"context"
	"errors"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// Outcome is what became of a submission or a cancellation.
type Outcome string

// Outcomes.
const (
	// OutcomeStored means that it is durable.
	OutcomeStored Outcome = "stored"
	// OutcomeRefused means that it is not stored and never will be.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that it may be stored now or later.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeAbsent means that there is no such job.
	OutcomeAbsent Outcome = "absent"
)

const (
	tryTimeout = 700 * time.Millisecond
	tryPause   = 40 * time.Millisecond
	// maxRefused is how many refusals are final. A slow store is asked for
	// refusedAnswers answers at least: it refuses while a second of transactions
	// waits, which it has carried out by then.
	maxRefused     = 2
	refusedAnswers = 4
)

// Submitter stores what callers hand in.
type Submitter struct {
	// Store is the store.
	Store kqrows.Store
	// Timed gives the time limits.
	Timed *kqrows.Timed
}

// StoreJob is Submitter.Job with time limits of its own.
func StoreJob(ctx context.Context, store kqrows.Store, j kqflow.Job, waits func() bool) Outcome {
	return newSubmitter(store).StoreJob(ctx, j, waits)
}

// StoreCancel is Submitter.Cancel with time limits of its own.
func StoreCancel(ctx context.Context, store kqrows.Store, id string, waits func() bool) Outcome {
	return newSubmitter(store).StoreCancel(ctx, id, waits)
}

func newSubmitter(store kqrows.Store) Submitter {
	t := kqrows.NewTimed(store, time.Now)
	return Submitter{Store: t.Store, Timed: t}
}

// Job stores a job under its ID unless it is there. It tries on while the outcome is
// unknown, until ctx ends or waits says no, and gives up early when the store refuses.
func (s Submitter) StoreJob(ctx context.Context, j kqflow.Job, waits func() bool) Outcome {
	key := SubmissionKey(j.ID)
	t := kqrows.Tx{Expected: []kqrows.Expect{{Key: key}}, Puts: []kqrows.Put{{Key: key, Value: kqtable.Encode(kqflow.Submission{Job: j})}}}
	return s.repeat(ctx, waits, func(ctx context.Context) (Outcome, error) {
		_, err := s.Store.Transact(ctx, t)
		switch {
		case err == nil:
			// A row that is there already is this job, by an earlier copy.
			return OutcomeStored, nil
		case errors.Is(err, kqrows.ErrUnknown):
			return OutcomeUnknown, err
		}
		return OutcomeRefused, kqrows.ErrRefused
	})
}

// Cancel marks a stored job as cancelled. It tries on while the outcome is unknown,
// until ctx ends or waits says no, and gives up early when the store refuses.
func (s Submitter) StoreCancel(ctx context.Context, id string, waits func() bool) Outcome {
	return s.repeat(ctx, waits, func(ctx context.Context) (Outcome, error) { return tryCancel(ctx, s.Store, id) })
}

// repeat tries until the outcome is certain. A try gives OutcomeRefused if it has
// changed nothing, with ErrRefused if the store refused.
func (s Submitter) repeat(ctx context.Context, waits func() bool, once func(ctx context.Context) (Outcome, error)) Outcome {
	unsure, refused := false, 0
	began := s.Timed.Now()
	for try := 1; ctx.Err() == nil && (try == 1 || waits()); try++ {
		call, cancel := s.Timed.Bound(ctx, time.Duration(try)*tryTimeout)
		o, err := once(call)
		cancel()
		switch {
		case o == OutcomeStored || o == OutcomeAbsent:
			return o
		case o == OutcomeUnknown:
			unsure = true
		case errors.Is(err, kqrows.ErrRefused):
			refused++
		}
		answer := s.Timed.Speed.Answer()
		if refused >= maxRefused && !unsure && s.Timed.Now().Sub(began) >= refusedAnswers*answer {
			return OutcomeRefused
		}
		kqtable.Sleep(ctx, max(tryPause, answer))
	}
	if unsure {
		return OutcomeUnknown
	}
	return OutcomeRefused
}

// Always lets a caller wait until its context ends.
func RetryAlways() bool { return true }

// tryCancel tries once; OutcomeRefused means that this try has changed nothing.
func tryCancel(ctx context.Context, store kqrows.Store, id string) (Outcome, error) {
	rows, _, err := store.Read(ctx, SubmissionTable, id, RangeEnd(id))
	if err != nil {
		return OutcomeRefused, err
	}
	if len(rows) == 0 {
		return OutcomeAbsent, nil
	}
	s, err := DecodeSubmission(rows[0])
	if err != nil {
		return OutcomeAbsent, nil
	}
	if s.Cancelled {
		return OutcomeStored, nil
	}
	s.Cancelled = true
	key := SubmissionKey(id)
	x, err := store.Transact(ctx, kqrows.Tx{Expected: []kqrows.Expect{{Key: key, Version: rows[0].Version}},
		Puts: []kqrows.Put{{Key: key, Value: kqtable.Encode(s)}}})
	switch {
	case errors.Is(err, kqrows.ErrUnknown):
		return OutcomeUnknown, err
	case err != nil || !x.Committed:
		return OutcomeRefused, err
	}
	return OutcomeStored, nil
}
