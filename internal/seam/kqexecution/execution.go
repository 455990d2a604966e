// Package kqexecution defines the interface to a worker that runs tasks. All runs on a
// worker share one lease; the operations are start, stop, hold (which renews the lease and
// lists the runs) and pace.
package kqexecution

import (
	"context"
	"errors"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqdecode"
)

// Clock is a reading of the worker's monotonic clock.
type Clock time.Duration

// Run identifies one run of a task.
type Run struct {
	// Task is the task's name.
	Task string `json:"task"`
	// Number is the number of this start of the task; later runs have higher numbers.
	Number uint64 `json:"number"`
}

// Start is an order to start a run.
type Start struct {
	Run
	// Payload is the job's payload.
	Payload string
	// Checkpoint is the checkpoint to resume from; empty starts from the beginning.
	Checkpoint string
	// Ticket is the approval of the policy service; empty if there is none.
	Ticket string
	// LeaseUntil is the end of the lease that covers all runs on the worker.
	LeaseUntil Clock
	// Token is the fencing token.
	Token uint64
}

// Answer is a worker's response to an order.
type Answer string

// Answers of a worker.
const (
	// AnswerDone means that the order has been carried out, now or earlier.
	AnswerDone Answer = "done"
	// AnswerFenced means that the worker has seen a higher fencing token.
	AnswerFenced Answer = "fenced"
	// AnswerAlreadyEnded means that this run or a later one of the task has ended on the
	// worker.
	AnswerAlreadyEnded Answer = "old"
	// AnswerLeaseExpired means that the lease in the order has expired.
	AnswerLeaseExpired Answer = "late"
	// AnswerNoCapacity means that the worker's free capacity is too small.
	AnswerNoCapacity Answer = "no_room"
	// AnswerNoTicket means that the approval of the policy service is missing or has expired.
	AnswerNoTicket Answer = "ticket"
	// AnswerUnhealthy means that the worker is unhealthy and has not carried out the order.
	AnswerUnhealthy Answer = "unhealthy"
	// AnswerInvalid means that the worker cannot parse the order.
	AnswerInvalid Answer = "invalid"
	// AnswerOtherIncarnation means that another incarnation of the worker answered.
	AnswerOtherIncarnation Answer = "other_incarnation"
)

// RunStatus is the state of a run that is in progress on a worker.
type RunStatus struct {
	Run
	// Checkpoint is the latest checkpoint; empty if there is none.
	Checkpoint string `json:"saved,omitempty"`
	// Percent is the progress, from 0 to 100.
	Percent float64 `json:"percent"`
	// Measurement is the tail latency in milliseconds for a serving task, and the
	// milli-processors in use for any other task.
	Measurement float64 `json:"measure"`
}

// RunEnd is the record of a run that has ended.
type RunEnd struct {
	// Number is the number of the end, counted from 1 in each incarnation of the worker.
	Number uint64 `json:"number"`
	// Run is the run that has ended.
	Run Run `json:"run"`
	// Reason is why the run ended.
	Reason EndReason `json:"how"`
	// Checkpoint is the last checkpoint; empty if there is none.
	Checkpoint string `json:"saved,omitempty"`
	// Duration is how long the run was on the worker, and DeliveryTime how long its start
	// order took to get there. Both are observed by the worker's agent and 0 if the agent
	// did not observe them.
	Duration     time.Duration `json:"ran,omitempty"`
	DeliveryTime time.Duration `json:"carried,omitempty"`
}

// EndReason is why a run ended.
type EndReason string

// Reasons for the end of a run. The agent reports EndRefused and EndAbsent for a run that
// the worker has not started and will not start; the other reasons come from the worker.
// EndBroken is the end of a run that the worker broke off without a failure of its own. Only
// EndFailed counts as a failed attempt of the task.
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

// Hold is a request that renews the lease and asks for the runs on the worker.
type Hold struct {
	// Token is the fencing token.
	Token uint64
	// Acknowledged is the number of the last acknowledged end; the worker may forget the
	// ends up to it.
	Acknowledged uint64
	// LeaseUntil is the new end of the lease; 0 leaves the lease unchanged.
	LeaseUntil Clock
	// Wait is how long the worker may delay its response until a run ends (long polling).
	Wait time.Duration
}

// Held is a worker's response to a Hold.
type Held struct {
	// Answer is AnswerDone, AnswerFenced or AnswerOtherIncarnation.
	Answer Answer
	// Born is the time of birth of the incarnation that answered, that is, the time at which
	// it started; zero if it sent none.
	Born time.Time
	// Clock is the reading of the worker's clock when it answered.
	Clock Clock
	// Running lists every run in progress.
	Running []RunStatus
	// Ended lists the ends that the worker has not forgotten. The number of an end is 0 if it cannot
	// be decoded.
	Ended []RunEnd
	// LacksRuns is true if an entry of the worker's list of runs does not tell its run, LacksEnds
	// if that holds for an entry of its list of ends while that list is complete.
	LacksRuns bool
	LacksEnds bool
	// Omissions are the parts of the answer that were left out.
	Omissions []kqdecode.Omission
}

// ErrUnreadable means that a worker has answered, and that its answer cannot be read.
var ErrUnreadable = errors.New("worker: the answer cannot be read")

// Worker holds the operations of one incarnation of a worker. An error means that no answer
// arrived, or ErrUnreadable; the order may still be carried out later.
type Worker struct {
	// Start starts a run.
	Start func(ctx context.Context, s Start) (Answer, Clock, error)
	// Stop stops a run. If the run has not started, the worker will not start it later.
	Stop func(ctx context.Context, r Run, token uint64) (Answer, error)
	// Hold renews the lease and returns the runs in progress and the ends.
	Hold func(ctx context.Context, h Hold) (Held, error)
	// Pace limits a run to a percentage of its full speed.
	Pace func(ctx context.Context, r Run, token uint64, percent int) (Answer, error)
}
