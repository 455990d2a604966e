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

// attemptEvent reports the progress of an attempt to its exchange. Exactly one of head, refusal,
// failure and connectionLost is set.
type attemptEvent struct {
	attempt        *attempt
	head           *kqanswer.Head
	firstPart      Part
	stream         Stream
	refusal        *kqresult.Error
	failure        *kqresult.Error
	connectionLost bool
}

// asError returns the reason why the attempt has no answer.
func (e attemptEvent) asError() *kqresult.Error {
	switch {
	case e.refusal != nil:
		return e.refusal
	case e.failure != nil:
		return e.failure
	}
	return kqresult.Errorf(kqresult.OutcomeUnknown, "the agent that received the call cannot be reached")
}

// exchange is the state of one open call and its attempts.
type exchange struct {
	router    *Router
	request   Request
	plan      *kqretry.Plan
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	events    chan attemptEvent
	attempts  []*attempt
	// excluded lists the endpoints that get no further attempt.
	excluded []kqroute.Ref
}

// run sends attempts until one has an answer or the call ends.
func (x *exchange) run(now time.Time) (*Answer, *kqresult.Error) {
	hedgeDelay, hedgeKnown := x.router.hedgeDelay(now, x.request.Class)
	if e := x.dispatch(now, kqroute.NeedAny); e != nil {
		return nil, e
	}
	deadline := time.NewTimer(x.request.Deadline.Sub(now))
	defer deadline.Stop()
	var hedge <-chan time.Time
	if hedgeKnown && x.request.Idempotent {
		t := time.NewTimer(hedgeDelay)
		defer t.Stop()
		hedge = t.C
	}
	for {
		select {
		case <-x.ctx.Done():
			return nil, x.finishCancelled()
		case <-deadline.C:
			e := x.plan.OnDeadline().Result
			x.abortOthers(nil)
			return nil, e
		case <-hedge:
			hedge = nil
			x.tryHedge(x.router.config.Now())
		case e := <-x.events:
			if a, err, done := x.handleEvent(x.router.config.Now(), e); done {
				return a, err
			}
		}
	}
}

// finishCancelled ends a call that was cancelled by its caller.
func (x *exchange) finishCancelled() *kqresult.Error {
	e := x.plan.Finish(kqresult.Errorf(kqresult.NotRunCancelled, "the caller cancelled the call")).Result
	x.abortOthers(nil)
	return e
}

// abortOthers aborts every attempt except the winner, which may be nil.
func (x *exchange) abortOthers(winner *attempt) {
	for _, a := range x.attempts {
		if a != winner {
			a.abort()
		}
	}
}

// dispatch sends the next attempt, or returns the reason why no endpoint is available.
func (x *exchange) dispatch(now time.Time, need kqroute.Need) *kqresult.Error {
	r := x.request
	p, e := x.chooseEndpoint(now, need)
	if e != nil {
		return e
	}
	x.excluded = append(x.excluded, p.Ref)
	a := &attempt{exchange: x, number: x.plan.AddAttempt(), pick: p, sentAt: now}
	a.noQueue = p.SlotFree && int(a.number) <= kqretry.NoQueueAttempts
	a.ctx, a.cancel = context.WithCancel(x.ctx)
	x.attempts = append(x.attempts, a)
	x.router.config.Events.Emit(now, kqevent.CallRouted, kqevent.Call(r.ID),
		"attempt %d to endpoint %s on worker %s: expected wait %s, service time %s", a.number, p.Ref.Endpoint, p.Worker,
		p.ExpectedWait.Round(time.Microsecond), p.ServiceTime.Round(time.Microsecond))
	go a.run()
	return nil
}

// chooseEndpoint returns the endpoint of the next attempt: the reserved one first.
func (x *exchange) chooseEndpoint(now time.Time, need kqroute.Need) (kqroute.Pick, *kqresult.Error) {
	r := x.request
	if r.Reserved != nil && x.plan.AttemptCount() == 0 {
		return *r.Reserved, nil
	}
	return x.router.choose(now, kqroute.Request{Class: r.Class, Deadline: r.Deadline, LatencyTarget: r.LatencyTarget,
		Exclude: x.excluded, Need: need, MayProbe: r.Idempotent && x.plan.AttemptCount() == 0})
}

// tryHedge sends a second attempt if the call and the hedge budget allow it and an endpoint that
// is at least as fast as the median has a free slot.
func (x *exchange) tryHedge(now time.Time) {
	if !x.plan.MayHedge(now) || !x.router.spendHedge() {
		return
	}
	if x.dispatch(now, kqroute.NeedFast) == nil {
		x.router.config.Events.Emit(now, kqevent.CallHedged, kqevent.Call(x.request.ID), "no answer to the first attempt within the hedge delay")
	}
}

// handleEvent processes an event of an attempt; done is true if the call has ended.
func (x *exchange) handleEvent(now time.Time, e attemptEvent) (a *Answer, err *kqresult.Error, done bool) {
	var step kqretry.Step
	switch {
	case e.head != nil:
		return x.accept(now, e), nil, true
	case e.refusal != nil:
		if e.refusal.Code == kqresult.NotRunBusy {
			// The refusal carried the endpoint's present load, so it may be chosen again.
			x.excluded = slices.DeleteFunc(x.excluded, func(r kqroute.Ref) bool { return r == e.attempt.pick.Ref })
		}
		step = x.plan.OnNotRun(now, e.attempt.number, e.refusal)
	case e.connectionLost:
		step = x.plan.OnConnectionLost(now, e.attempt.number)
	default:
		step = x.plan.OnOutcomeUnknown(e.attempt.number, e.failure.Reason)
	}
	return x.applyStep(now, step, e)
}

// applyStep carries out the next step of the plan; the result is true if the call has ended.
func (x *exchange) applyStep(now time.Time, step kqretry.Step, e attemptEvent) (*Answer, *kqresult.Error, bool) {
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
		x.router.config.Events.Emit(now, kqevent.CallRetried, kqevent.Call(x.request.ID), "sent again after attempt %d", e.attempt.number)
	case kqretry.StepFetch:
		f := &fetcher{attempt: e.attempt}
		go f.run()
	case kqretry.StepFinish:
		x.abortOthers(nil)
		return nil, step.Result, true
	}
	return nil, nil, false
}

// accept aborts the other attempts and returns the answer of the attempt of e.
func (x *exchange) accept(now time.Time, e attemptEvent) *Answer {
	x.abortOthers(e.attempt)
	x.router.recordLatency(x.request.Class, now.Sub(x.startedAt))
	return &Answer{Head: *e.head, Attempt: e.attempt.number, exchange: x, attempt: e.attempt, stream: e.stream, buffered: &e.firstPart}
}

// checkCallID reports whether a part belongs to the call; a mismatch is an invariant violation.
func (x *exchange) checkCallID(p Part) bool {
	return x.router.config.Counter.Check(p.CallID == x.request.ID, kqinvariant.AnswerMismatch,
		"call %s received a part of the answer of call %s", x.request.ID, p.CallID)
}
