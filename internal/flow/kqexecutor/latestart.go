package kqexecutor

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// lateStart is a start that was sent to worker, and that any later incarnation of the worker may
// still carry out: a later incarnation has the same ID and has seen no fencing token.
type lateStart struct {
	worker kqexecution.Incarnation
	at     time.Time
}

// lateStartsBeforeExpiry is the number of late starts from which on the expired ones are removed
// before another is added.
const lateStartsBeforeExpiry = 64

// recordStartResult handles the result of a call to start a run. An unanswered call is recorded
// if the worker may restart under its ID. A call that was in flight when the worker restarted
// may have been carried out by the later incarnation, so the run is blocked there. mu is held.
func (x *Executor) recordStartResult(now time.Time, s *orderSender, err error) {
	if _, born := s.incarnation.Born(); !born {
		return
	}
	if err != nil {
		if len(x.lateStarts) >= lateStartsBeforeExpiry {
			x.expireLateStarts(now)
		}
		x.lateStarts[s.run] = lateStart{s.incarnation, now}
	}
	if latest := x.latest[s.incarnation.ID()]; latest.Supersedes(s.incarnation) {
		x.block(latest, s.run)
	}
}

// recordUnlistedStarts records a late start for each run that the current incarnation has not
// listed: its start may have reached a later incarnation, answered or not. mu is held.
func (x *Executor) recordUnlistedStarts(now time.Time) {
	for k := range x.runs {
		if !x.listed[k] {
			x.lateStarts[k] = lateStart{x.info.Worker, now}
		}
	}
}

// expireLateStarts removes the starts that can no longer be carried out; mu is held.
func (x *Executor) expireLateStarts(now time.Time) {
	for k, l := range x.lateStarts {
		if now.Sub(l.at) > kqplan.MaxStartDelay {
			delete(x.lateStarts, k)
		}
	}
}

// blockLateStarts keeps an incarnation that has just become known from carrying out the late
// starts of earlier ones, whether or not it is driven yet or an owner is connected. mu is held.
func (x *Executor) blockLateStarts(now time.Time, w kqexecution.Incarnation) {
	x.expireLateStarts(now)
	for k, l := range x.lateStarts {
		if w.Supersedes(l.worker) {
			x.block(w, k)
		}
	}
}

// block keeps an incarnation from starting a run; mu is held.
func (x *Executor) block(w kqexecution.Incarnation, r kqexecution.Run) {
	if x.tomb.Alive() {
		x.tomb.Go((&blocker{x, w, x.config.Connect(w), r}).loop)
	}
}

// blocker sends stops of one run to one incarnation until one is answered, the incarnation has
// departed or a later one is known.
type blocker struct {
	executor    *Executor
	incarnation kqexecution.Incarnation
	worker      kqexecution.Worker
	run         kqexecution.Run
}

func (b *blocker) loop() error {
	x := b.executor
	for x.tomb.Alive() {
		x.mu.Lock()
		token, done := x.epoch, x.latest[b.incarnation.ID()] != b.incarnation || x.departed[b.incarnation]
		x.mu.Unlock()
		if done || b.stop(token) {
			return nil
		}
		t := time.NewTimer(orderRetryDelay)
		select {
		case <-t.C:
		case <-x.tomb.Dying():
		}
		t.Stop()
	}
	return nil
}

// stop tries once to stop the run and reports whether the incarnation certainly will not run it.
func (b *blocker) stop(token uint64) bool {
	ctx, cancel := context.WithTimeout(b.executor.tomb.Context(context.Background()), orderTimeout)
	defer cancel()
	answer, err := b.worker.Stop(ctx, b.run, token)
	return err == nil && (answer == kqexecution.AnswerDone || answer == kqexecution.AnswerOtherIncarnation)
}

// mayHaveRestarted reports whether a later incarnation may be running. The worker is then
// polled without a delay to learn its incarnation, and its lease is not renewed, since the
// lease's end counts on the clock of the current incarnation. mu is held.
func (x *Executor) mayHaveRestarted() bool {
	_, born := x.info.Worker.Born()
	return born && x.pollUnanswered
}

// ackNumber returns the number up to which the worker may forget ends, or 0 to leave them. A
// later incarnation numbers its own ends from 1 and may receive the poll in place of the
// current one. The number is therefore sent only to a worker that has answered the latest poll
// and has acknowledged ends to forget. mu is held.
func (x *Executor) ackNumber() uint64 {
	if _, born := x.info.Worker.Born(); born && (x.pollUnanswered || !x.ackPending) {
		return 0
	}
	return x.acked
}
