// Package kqexecution is the seam to a worker that runs tasks under one lease:
// start, stop, hold, pace.
package kqexecution

import (
	"context"
	"time"
)

// Clock is a reading of the worker's own steady clock.
type Clock time.Duration

// Run names one run of a task.
type Run struct {
	// Task is the task's name.
	Task string `json:"task"`
	// Number counts the starts of the task.
	Number uint64 `json:"number"`
}

// Start is an order to start a run.
type Start struct {
	Run
	// Payload is the job's payload.
	Payload string
	// Checkpoint is where to resume, if not empty.
	Checkpoint string
	// Ticket is the policy service's permission, if not empty.
	Ticket string
	// Until is the end of the lease of everything on the worker.
	LeaseUntil Clock
	// Token is the fencing token.
	Token uint64
}

// Answer is how a worker answered an order.
type Answer string

// Answers of a worker.
const (
	// AnswerDone means that the order was carried out, now or before.
	AnswerDone Answer = "done"
	// AnswerFenced means that a higher token was seen.
	AnswerFenced Answer = "fenced"
	// AnswerOld means that this run, or a later one, ended there.
	AnswerAlreadyEnded Answer = "old"
	// AnswerLate means that the lease in the order has ended already.
	AnswerLeaseExpired Answer = "late"
	// AnswerNoRoom means that the worker has no room.
	AnswerNoCapacity Answer = "no_room"
	// AnswerTicket means that the policy's approval is missing or has lapsed.
	AnswerNoTicket Answer = "ticket"
	// AnswerUnhealthy means that the worker did nothing since it is unwell.
	AnswerUnhealthy Answer = "unhealthy"
	// AnswerInvalid means that the worker cannot read the order.
	AnswerInvalid Answer = "invalid"
	// AnswerOther means that another incarnation is there.
	AnswerOtherIncarnation Answer = "other_incarnation"
)

// Running is a run at work on a worker.
type RunStatus struct {
	Run
	// Saved is the latest checkpoint, if there is one.
	Checkpoint string `json:"saved,omitempty"`
	// Percent is the progress.
	Percent float64 `json:"percent"`
	// Measure is the tail latency of a serving task in milliseconds, or the
	// milli-processors that another task uses.
	Measurement float64 `json:"measure"`
}

// End is a run that has ended.
type RunEnd struct {
	// Number counts the ends of an incarnation from 1.
	Number uint64 `json:"number"`
	Run    Run    `json:"run"`
	// How is how the run ended.
	Reason EndReason `json:"how"`
	// Saved is the last checkpoint, if there is one.
	Checkpoint string `json:"saved,omitempty"`
	// Ran is how long the run was on the worker, Carried how long its order took to
	// get there, both as the agent beside it saw them; 0 if it did not.
	Duration     time.Duration `json:"ran,omitempty"`
	DeliveryTime time.Duration `json:"carried,omitempty"`
}

// How is how a run ended.
type EndReason string

// Ends of a run. Refused and absent are said by the agent of a run that the
// worker has not begun and will not begin.
const (
	EndDone         EndReason = "done"
	EndFailed       EndReason = "failed"
	EndStopped      EndReason = "stopped"
	EndLeaseExpired EndReason = "lapsed"
	EndBroken       EndReason = "broken"
	EndAlone        EndReason = "alone"
	EndRefused      EndReason = "refused"
	EndAbsent       EndReason = "absent"
)

// Hold renews the lease and asks for what is on the worker.
type Hold struct {
	// Token is the fencing token.
	Token uint64
	// Seen is the number up to which ends may be forgotten.
	Acknowledged uint64
	// Until is the end of the lease; 0 leaves it.
	LeaseUntil Clock
	// Wait is how long the worker may wait for an end.
	Wait time.Duration
}

// Held is what a worker says of itself.
type Held struct {
	// Answer is AnswerDone, AnswerFenced or AnswerOther.
	Answer Answer
	// Born is the time of birth of the incarnation that answered; zero if it sent
	// none.
	Born time.Time
	// Clock is the worker's clock when it answered.
	Clock Clock
	// Running is every run at work.
	Running []RunStatus
	// Ended is the ends not forgotten yet.
	Ended []RunEnd
}

// Worker is the operations of one incarnation of a worker. An error means that
// there was no answer: the order may be carried out later.
type Worker struct {
	// Start starts a run.
	Start func(ctx context.Context, s Start) (Answer, Clock, error)
	// Stop stops a run; a run that is not there will not begin.
	Stop func(ctx context.Context, r Run, token uint64) (Answer, error)
	// Hold renews the lease and returns what is there.
	Hold func(ctx context.Context, h Hold) (Held, error)
	// Pace lets a run work at a share of its speed, in percent.
	Pace func(ctx context.Context, r Run, token uint64, percent int) (Answer, error)
}
