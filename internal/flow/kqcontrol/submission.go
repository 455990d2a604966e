package kqcontrol

import (
	"context"
	"errors"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// Outcome is the result of storing a submission or a cancellation.
type Outcome string

// Outcomes.
const (
	// OutcomeStored means that the request is durably stored.
	OutcomeStored Outcome = "stored"
	// OutcomeRefused means that the request is not stored and never will be.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the request may be stored now or may yet be stored.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeAbsent means that the job does not exist.
	OutcomeAbsent Outcome = "absent"
)

const (
	attemptTimeout    = 700 * time.Millisecond
	attemptRetryDelay = 40 * time.Millisecond
	// A request counts as refused after maxRefusals refusals, but not before it has been
	// retried for minRefusalResponseTimes response times of the store: a slow store refuses
	// while it has a second of transactions queued, which it has applied by then.
	maxRefusals             = 2
	minRefusalResponseTimes = 4
)

// Submitter stores the jobs and cancellations that callers submit.
type Submitter struct {
	// Store is the store.
	Store kqrows.Store
	// TimedStore gives the time limits of calls to the store.
	TimedStore *kqrows.TimedStore
}

// StoreJob is Submitter.StoreJob with its own time limits for the store.
func StoreJob(ctx context.Context, store kqrows.Store, j kqflow.Job, keepTrying func() bool) Outcome {
	return newSubmitter(store).StoreJob(ctx, j, keepTrying)
}

// StoreCancel is Submitter.StoreCancel with its own time limits for the store.
func StoreCancel(ctx context.Context, store kqrows.Store, id string, keepTrying func() bool) Outcome {
	return newSubmitter(store).StoreCancel(ctx, id, keepTrying)
}

func newSubmitter(store kqrows.Store) Submitter {
	t := kqrows.NewTimedStore(store, time.Now)
	return Submitter{Store: t.Store, TimedStore: t}
}

// StoreJob stores a job under its ID unless it is already stored. It retries while the
// outcome is unknown, until ctx ends or keepTrying returns false, and stops early after
// maxRefusals refusals of the store.
func (s Submitter) StoreJob(ctx context.Context, j kqflow.Job, keepTrying func() bool) Outcome {
	key := SubmissionKey(j.ID)
	t := kqrows.Tx{Conditions: []kqrows.Condition{{Key: key}}, Puts: []kqrows.Put{{Key: key, Value: kqtable.Encode(kqflow.Submission{Job: j})}}}
	return s.retry(ctx, keepTrying, func(ctx context.Context) (Outcome, error) {
		_, err := s.Store.Transact(ctx, t)
		switch {
		case err == nil:
			// A row that exists already was written by an earlier attempt for this job.
			return OutcomeStored, nil
		case errors.Is(err, kqrows.ErrUnknown):
			return OutcomeUnknown, err
		}
		return OutcomeRefused, kqrows.ErrRefused
	})
}

// StoreCancel marks a stored job as cancelled. It retries while the outcome is unknown,
// until ctx ends or keepTrying returns false, and stops early after maxRefusals refusals of
// the store.
func (s Submitter) StoreCancel(ctx context.Context, id string, keepTrying func() bool) Outcome {
	return s.retry(ctx, keepTrying, func(ctx context.Context) (Outcome, error) { return tryCancel(ctx, s.Store, id) })
}

// retry makes attempts until the outcome is certain. An attempt returns OutcomeRefused if it
// has changed nothing, together with ErrRefused if the store refused it.
func (s Submitter) retry(ctx context.Context, keepTrying func() bool, attempt func(ctx context.Context) (Outcome, error)) Outcome {
	mayBeStored, refusals := false, 0
	began := s.TimedStore.Now()
	for n := 1; ctx.Err() == nil && (n == 1 || keepTrying()); n++ {
		call, cancel := s.TimedStore.WithTimeout(ctx, time.Duration(n)*attemptTimeout)
		o, err := attempt(call)
		cancel()
		switch {
		case o == OutcomeStored || o == OutcomeAbsent:
			return o
		case o == OutcomeUnknown:
			mayBeStored = true
		case errors.Is(err, kqrows.ErrRefused):
			refusals++
		}
		responseTime := s.TimedStore.Latency.ResponseTime()
		if refusals >= maxRefusals && !mayBeStored && s.TimedStore.Now().Sub(began) >= minRefusalResponseTimes*responseTime {
			return OutcomeRefused
		}
		kqtable.Sleep(ctx, max(attemptRetryDelay, responseTime))
	}
	if mayBeStored {
		return OutcomeUnknown
	}
	return OutcomeRefused
}

// RetryAlways is a keepTrying function: the request is retried until its context ends.
func RetryAlways() bool { return true }

// tryCancel makes one attempt to cancel a job. OutcomeRefused means that this attempt has
// changed nothing.
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
	x, err := store.Transact(ctx, kqrows.Tx{Conditions: []kqrows.Condition{{Key: key, Version: rows[0].Version}},
		Puts: []kqrows.Put{{Key: key, Value: kqtable.Encode(s)}}})
	switch {
	case errors.Is(err, kqrows.ErrUnknown):
		return OutcomeUnknown, err
	case err != nil || !x.Committed:
		return OutcomeRefused, err
	}
	return OutcomeStored, nil
}
