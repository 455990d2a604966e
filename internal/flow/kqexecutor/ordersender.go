package kqexecutor

import (
	"context"
	"math/bits"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// applyOrder starts to carry out an order; mu is held. An order that is already being
// carried out changes nothing, so the owner may repeat it.
func (x *Executor) applyOrder(o *kqplan.Order) {
	if o.Worker != x.info.Worker || !x.tomb.Alive() {
		return
	}
	e := x.runs[o.Run]
	if e == nil {
		e = &execution{order: *o, pacePercent: fullPercent, orderedAt: x.config.Now()}
		x.runs[o.Run] = e
	} else if !o.Stop && e.order.Size.IsZero() {
		e.order = *o
	}
	if o.Stop {
		e.stopping = true
	} else {
		e.order.Interference = o.Interference
		e.deadline = x.config.Now().Add(o.TimeLeft)
		if x.listed[o.Run] {
			return
		}
	}
	if e.sender == nil && o.Fills && !o.Stop {
		x.pacer.AddRun(e.pacerRun())
	}
	if e.sender == nil {
		e.sender = &orderSender{executor: x, execution: e, run: o.Run, worker: x.worker, incarnation: x.info.Worker}
		x.tomb.Go(e.sender.loop)
	}
}

// fullPercent is the pace of a run that is not slowed down. The pace of a filling run is the share
// of its full speed, in percent, that the kqpace.Pacer gives it.
const fullPercent = 100

// orderSender sends the orders of one run to one incarnation of the worker until the outcome
// is certain.
type orderSender struct {
	executor    *Executor
	execution   *execution
	run         kqexecution.Run
	worker      kqexecution.Worker
	incarnation kqexecution.Incarnation
	// refusal is why the run was not started; empty if it was not refused. A refused run
	// is stopped, since an earlier attempt to start it may still be carried out.
	refusal kqexecution.Answer
	// attempts counts the calls to start the run.
	attempts int
}

func (s *orderSender) loop() error {
	x := s.executor
	for x.tomb.Alive() {
		start, stop, remaining, ready := s.next()
		switch {
		case !remaining:
			return nil
		case !ready:
		case stop:
			s.stop()
		default:
			s.start(start)
		}
		if s.finished() {
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

// next returns the next call to the worker: start, or a stop if stop is true. remaining is
// false if no more calls are needed. ready is false if no call may be sent yet: a new owner
// has not sent its orders, or the known evacuated zones are out of date.
func (s *orderSender) next() (start kqexecution.Start, stop, remaining, ready bool) {
	x := s.executor
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.info.Worker != s.incarnation || x.runs[s.run] != s.execution {
		return start, false, false, false
	}
	if !x.synced {
		return start, false, true, false
	}
	if s.execution.stopping || s.refusal != "" {
		return start, true, true, true
	}
	if started, refused := s.evacuated(); started {
		return start, false, false, false
	} else if refused {
		s.refusal = kqexecution.AnswerUnhealthy
		return start, true, true, true
	} else if x.zonesOutdated() {
		return start, false, true, false
	}
	if x.info.Draining && s.attempts == 0 && !x.listed[s.run] {
		s.refusal = kqexecution.AnswerUnhealthy
		return start, true, true, true
	}
	if x.exceedsCapacity() && !x.listed[s.run] {
		s.refusal = kqexecution.AnswerNoCapacity
		return start, true, true, true
	}
	o := s.execution.order
	return kqexecution.Start{Run: s.run, Payload: o.Payload, Checkpoint: o.Checkpoint, Ticket: o.Ticket, LeaseUntil: max(x.leaseEnd, x.clockLowerBound(x.config.Now())+1), Token: x.epoch}, false, true, true
}

// finished reports whether the run's latest order needs no more calls.
func (s *orderSender) finished() bool {
	x := s.executor
	x.mu.Lock()
	defer x.mu.Unlock()
	e := s.execution
	if x.runs[s.run] != e {
		return true
	}
	started := e.sender == nil
	if e.stoppedAtPoll != 0 {
		return true
	}
	if started && e.stopping {
		// The owner ordered a stop while the start call was in flight.
		e.sender = s
		return false
	}
	return started
}

// start tries once to start the run.
func (s *orderSender) start(start kqexecution.Start) {
	x := s.executor
	began := s.recordAttempt()
	ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), orderTimeout)
	answer, clock, err := s.worker.Start(ctx, start)
	timedOut := ctx.Err() != nil
	cancel()
	s.attempts++
	now := x.config.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.recordStartResult(now, s, err)
	if err != nil {
		if x.info.Worker == s.incarnation {
			x.calls.recordFailure(now, began, timedOut)
		}
		if bits.OnesCount(uint(s.attempts)) == 1 {
			x.config.Events.Emit(now, kqevent.OrderUnanswered, kqevent.Task(s.run.Task), "start of run %d on %s is unanswered, attempt %d", s.run.Number, s.incarnation, s.attempts)
		}
		return
	}
	if x.info.Worker != s.incarnation {
		return
	}
	if answer != kqexecution.AnswerOtherIncarnation {
		x.calls.recordAnswer(now)
	}
	x.readClock(now, clock)
	switch answer {
	case kqexecution.AnswerDone:
		s.execution.sender = nil
		s.execution.markStarted(now)
		if percent := x.pacer.Share(s.run); s.execution.order.Fills && percent != s.execution.pacePercent {
			x.sendPace(s.execution, s.run, percent)
		}
		return
	case kqexecution.AnswerLeaseExpired, kqexecution.AnswerFenced:
		return
	case kqexecution.AnswerOtherIncarnation:
		x.removeWorker(now, s.incarnation)
		return
	}
	x.config.Events.Emit(now, kqevent.OrderRefused, kqevent.Task(s.run.Task), "start of run %d on %s refused: %s", s.run.Number, s.incarnation, answer)
	s.refusal = answer
}

// recordAttempt records a call to start the run and returns the present time.
func (s *orderSender) recordAttempt() time.Time {
	x := s.executor
	now := x.config.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if s.execution.attemptedAt.IsZero() {
		s.execution.attemptedAt = now
	}
	return now
}

// stop tries once to stop the run, or to keep it from starting.
func (s *orderSender) stop() {
	x := s.executor
	x.mu.Lock()
	token := x.epoch
	x.mu.Unlock()
	ctx, cancel := context.WithTimeout(x.tomb.Context(context.Background()), orderTimeout)
	answer, err := s.worker.Stop(ctx, s.run, token)
	cancel()
	x.mu.Lock()
	defer x.mu.Unlock()
	if err != nil || answer != kqexecution.AnswerDone || x.info.Worker != s.incarnation {
		return
	}
	s.execution.stoppedAtPoll = x.polls
	x.wake()
}
