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
	maxRefused = 2
)

// StoreJob stores a job under its ID unless it is there. It tries on while the
// outcome is unknown, until ctx ends or waits says no, and gives up early when
// the store refuses.
func StoreJob(ctx context.Context, store kqrows.Store, j kqflow.Job, waits func() bool) Outcome {
	key := SubmissionKey(j.ID)
	t := kqrows.Tx{Expected: []kqrows.Expect{{Key: key}}, Puts: []kqrows.Put{{Key: key, Value: kqtable.Encode(kqflow.Submission{Job: j})}}}
	unsure, refused := false, 0
	for try := 1; ctx.Err() == nil && (try == 1 || waits()); try++ {
		call, cancel := context.WithTimeout(ctx, time.Duration(try)*tryTimeout)
		_, err := store.Transact(call, t)
		cancel()
		if err == nil {
			// A row that is there already is this job, by an earlier copy.
			return OutcomeStored
		}
		if errors.Is(err, kqrows.ErrUnknown) {
			unsure = true
		} else if refused++; refused >= maxRefused && !unsure {
			return OutcomeRefused
		}
		kqtable.Sleep(ctx, tryPause)
	}
	if unsure {
		return OutcomeUnknown
	}
	return OutcomeRefused
}

// StoreCancel marks a stored job as cancelled. It tries on while the outcome is
// unknown, until ctx ends or waits says no, and gives up early when the store
// refuses.
func StoreCancel(ctx context.Context, store kqrows.Store, id string, waits func() bool) Outcome {
	unsure, refused := false, 0
	for try := 1; ctx.Err() == nil && (try == 1 || waits()); try++ {
		call, cancel := context.WithTimeout(ctx, time.Duration(try)*tryTimeout)
		o, err := tryCancel(call, store, id)
		cancel()
		switch {
		case o == OutcomeStored || o == OutcomeAbsent:
			return o
		case o == OutcomeUnknown:
			unsure = true
		case errors.Is(err, kqrows.ErrRefused):
			refused++
		}
		if refused >= maxRefused && !unsure {
			return OutcomeRefused
		}
		kqtable.Sleep(ctx, tryPause)
	}
	if unsure {
		return OutcomeUnknown
	}
	return OutcomeRefused
}

// Always lets a caller wait until its context ends.
func Always() bool { return true }

// tryCancel tries once; OutcomeRefused means that this try has changed nothing.
func tryCancel(ctx context.Context, store kqrows.Store, id string) (Outcome, error) {
	rows, _, err := store.Read(ctx, SubmissionTable, id, After(id))
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
