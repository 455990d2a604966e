package kqcaller

import (
	"context"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqanswer"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqretry"
	"github.com/kumquatswitch/kumquatswitch/internal/call/kqroute"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

// event is what an attempt tells its exchange.
type event struct {
	attempt *attempt
	head    *kqanswer.Head
	first   Part
	stream  Stream
	refusal *kqresult.Error
	failure *kqresult.Error
	lost    bool
}

// result returns why the attempt has no answer.
func (e event) result() *kqresult.Error {
	switch {
	case e.refusal != nil:
		return e.refusal
	case e.failure != nil:
		return e.failure
	}
	return kqresult.Errorf(kqresult.OutcomeUnknown, "the agent that ran it cannot be reached")
}

// exchange is one call under way.
type exchange struct {
	caller   *Router
	request  Request
	plan     *kqretry.Plan
	begun    time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	events   chan event
	attempts []*attempt
	tried    []kqroute.Ref
}

// drive makes attempts until one has an answer or the call ends.
func (x *exchange) drive(now time.Time) (*Answer, *kqresult.Error) {
	after, known := x.caller.hedgeAfter(now, x.request.Class)
	if e := x.dispatch(now, kqroute.NeedAny); e != nil {
		return nil, e
	}
	deadline := time.NewTimer(x.request.Deadline.Sub(now))
	defer deadline.Stop()
	var hedge <-chan time.Time
	if known && x.request.Idempotent {
		t := time.NewTimer(after)
		defer t.Stop()
		hedge = t.C
	}
	for {
		select {
		case <-x.ctx.Done():
			return nil, x.left()
		case <-deadline.C:
			e := x.plan.OnDeadline().Result
			x.abandon(nil)
			return nil, e
		case <-hedge:
			hedge = nil
			x.tryHedge(x.caller.config.Now())
		case e := <-x.events:
			if a, err, done := x.handle(x.caller.config.Now(), e); done {
				return a, err
			}
		}
	}
}

// left ends a call whose caller has gone.
func (x *exchange) left() *kqresult.Error {
	e := x.plan.Finish(kqresult.Errorf(kqresult.NotRunCancelled, "the caller left")).Result
	x.abandon(nil)
	return e
}

// abandon gives up every attempt but the winner.
func (x *exchange) abandon(winner *attempt) {
	for _, a := range x.attempts {
		if a != winner {
			a.giveUp()
		}
	}
}

// dispatch sends the next attempt, or says why it cannot.
func (x *exchange) dispatch(now time.Time, need kqroute.Need) *kqresult.Error {
	r := x.request
	p, e := x.pick(now, need)
	if e != nil {
		return e
	}
	x.tried = append(x.tried, p.Ref)
	a := &attempt{exchange: x, number: x.plan.AddAttempt(), pick: p, sentAt: now}
	a.noQueue = p.SlotFree && int(a.number) <= kqretry.NoQueueAttempts
	a.ctx, a.cancel = context.WithCancel(x.ctx)
	x.attempts = append(x.attempts, a)
	x.caller.config.Events.Emit(now, kqevent.CallRouted, kqevent.Call(r.ID),
		"attempt %d to endpoint %s on worker %s: expected wait %s, service %s", a.number, p.Ref.Endpoint, p.Worker,
		p.ExpectedWait.Round(time.Microsecond), p.ServiceTime.Round(time.Microsecond))
	go a.run()
	return nil
}

// pick returns the endpoint of the next attempt.
func (x *exchange) pick(now time.Time, need kqroute.Need) (kqroute.Pick, *kqresult.Error) {
	r := x.request
	if r.Reserved != nil && x.plan.AttemptCount() == 0 {
		return *r.Reserved, nil
	}
	return x.caller.choose(now, kqroute.Request{Class: r.Class, Deadline: r.Deadline, LatencyTarget: r.LatencyTarget,
		Exclude: x.tried, Need: need, MayProbe: r.Idempotent && x.plan.AttemptCount() == 0})
}

func (x *exchange) tryHedge(now time.Time) {
	if !x.plan.MayHedge(now) || !x.caller.spendHedge() {
		return
	}
	if x.dispatch(now, kqroute.NeedFast) == nil {
		x.caller.config.Events.Emit(now, kqevent.CallHedged, kqevent.Call(x.request.ID), "the first attempt is late")
	}
}

// handle follows the news of an attempt; done is true if the call has ended.
func (x *exchange) handle(now time.Time, e event) (a *Answer, err *kqresult.Error, done bool) {
	var step kqretry.Step
	switch {
	case e.head != nil:
		return x.win(now, e), nil, true
	case e.refusal != nil:
		if e.refusal.Code == kqresult.NotRunBusy {
			// Its load is known exactly now; it may still be the best choice.
			x.tried = slices.DeleteFunc(x.tried, func(r kqroute.Ref) bool { return r == e.attempt.pick.Ref })
		}
		step = x.plan.OnNotRun(now, e.attempt.number, e.refusal)
	case e.lost:
		step = x.plan.OnConnectionLost(now, e.attempt.number)
	default:
		step = x.plan.OnOutcomeUnknown(e.attempt.number, e.failure.Reason)
	}
	return x.follow(now, step, e)
}

func (x *exchange) follow(now time.Time, step kqretry.Step, e event) (*Answer, *kqresult.Error, bool) {
	switch step.Kind {
	case kqretry.StepDispatch:
		need := kqroute.NeedAny
		if step.FreeSlotOnly {
			need = kqroute.NeedFree
		}
		if refused := x.dispatch(now, need); refused != nil {
			if step.FreeSlotOnly {
				refused = e.refusal
			}
			return nil, x.plan.Finish(refused).Result, true
		}
		x.caller.config.Events.Emit(now, kqevent.CallRetried, kqevent.Call(x.request.ID), "after attempt %d", e.attempt.number)
	case kqretry.StepFetch:
		f := &fetcher{attempt: e.attempt}
		go f.run()
	case kqretry.StepFinish:
		x.abandon(nil)
		return nil, step.Result, true
	}
	return nil, nil, false
}

// win makes the attempt's stream the answer.
func (x *exchange) win(now time.Time, e event) *Answer {
	x.abandon(e.attempt)
	x.caller.answered(x.request.Class, now.Sub(x.begun))
	return &Answer{Head: *e.head, Attempt: e.attempt.number, exchange: x, attempt: e.attempt, stream: e.stream, pending: &e.first}
}

// check asserts that a part belongs to the call.
func (x *exchange) check(p Part) bool {
	return x.caller.config.Counter.Check(p.CallID == x.request.ID, kqinvariant.AnswerMismatch,
		"call %s got a part of %s", x.request.ID, p.CallID)
}
