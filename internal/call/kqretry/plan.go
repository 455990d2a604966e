package kqretry

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

const (
	// MaxAttempts bounds the attempts of one call.
	MaxAttempts = 4
	// BusyTries is how many attempts of a call are refused rather than queued
	// by an endpoint that turns out to be busy.
	NoQueueAttempts = 2
	// MaxFetches bounds how often the answer of one attempt is asked for again.
	MaxFetches = 4
	// FetchTimeout bounds one such question.
	FetchTimeout = 1500 * time.Millisecond
	// finishReserve is left of the deadline for the answer to the caller.
	finishReserve = 5 * time.Millisecond
)

// StepKind is what a call does next.
type StepKind int

// Kinds of steps.
const (
	// StepNone waits for the other attempts.
	StepWait StepKind = iota
	// StepDispatch sends a new attempt to another endpoint.
	StepDispatch
	// StepFetch asks the agent again for the answer of an attempt.
	StepFetch
	// StepFinish ends the call with a result.
	StepFinish
)

// Step is what a call does next.
type Step struct {
	// Kind is the sort of step.
	Kind StepKind
	// Attempt is the attempt to fetch.
	Attempt uint32
	// FreeOnly is true if a new attempt makes sense only where a slot is free.
	FreeSlotOnly bool
	// Result ends the call, if Kind is StepFinish.
	Result *kqresult.Error
}

// attemptState is what is known of one attempt.
type attemptState int

const (
	attemptOpen attemptState = iota
	attemptNotRun
	attemptUnknown
)

// Config sets up a Plan.
type Config struct {
	// CallID names the call in breaches.
	CallID string
	// Idempotent is true if the call may run more than once.
	Idempotent bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// SpendRetry takes one attempt from the retry budget.
	SpendRetry func() bool
	// Counter receives breaches; nil counts none.
	Counter *kqinvariant.Counter
}

// Plan follows the attempts of one call.
type Plan struct {
	config   Config
	attempts []attemptState
	fetches  map[uint32]int
}

// NewPlan returns a Plan with no attempt yet.
func NewPlan(c Config) *Plan {
	return &Plan{config: c, fetches: map[uint32]int{}}
}

// Dispatched counts a new attempt and returns its number, from 1.
func (p *Plan) AddAttempt() uint32 {
	mayHaveRun := p.count(attemptOpen)+p.count(attemptUnknown) > 0
	p.config.Counter.Check(p.config.Idempotent || !mayHaveRun, kqinvariant.DispatchedTwice,
		"call %s has an attempt that may have run", p.config.CallID)
	p.attempts = append(p.attempts, attemptOpen)
	return uint32(len(p.attempts))
}

func (p *Plan) count(s attemptState) int {
	n := 0
	for _, a := range p.attempts {
		if a == s {
			n++
		}
	}
	return n
}

// Attempts returns how many attempts were made.
func (p *Plan) AttemptCount() int { return len(p.attempts) }

// NotRun follows an attempt that is known not to have run.
func (p *Plan) OnNotRun(now time.Time, attempt uint32, e *kqresult.Error) Step {
	p.attempts[attempt-1] = attemptNotRun
	if p.count(attemptOpen) > 0 {
		return Step{Kind: StepWait}
	}
	if p.count(attemptUnknown) > 0 && !p.config.Idempotent {
		return p.Finish(e)
	}
	if p.again(now, e) {
		return Step{Kind: StepDispatch, FreeSlotOnly: overloaded(e.Code)}
	}
	return p.Finish(e)
}

// overloaded reports whether an endpoint had too much work.
func overloaded(c kqresult.Code) bool {
	return c == kqresult.NotRunOverloaded || c == kqresult.NotRunNoConnection
}

// again decides whether a call that did not run is sent elsewhere.
func (p *Plan) again(now time.Time, e *kqresult.Error) bool {
	switch e.Code {
	case kqresult.NotRunDeadline, kqresult.NotRunCancelled, kqresult.NotRunStoreOut, kqresult.NotRunUnknownClass:
		return false
	case kqresult.NotRunBusy:
		// Trying the next endpoint is part of the choice, not a retry.
		return len(p.attempts) < MaxAttempts
	}
	return len(p.attempts) < MaxAttempts && now.Add(finishReserve).Before(p.config.Deadline) && p.config.SpendRetry()
}

// Lost follows an attempt whose connection died after it was sent.
func (p *Plan) OnConnectionLost(now time.Time, attempt uint32) Step {
	if p.config.Idempotent && p.count(attemptOpen) > 1 {
		p.attempts[attempt-1] = attemptUnknown
		return Step{Kind: StepWait}
	}
	late := !now.Add(finishReserve).Before(p.config.Deadline)
	if p.config.Idempotent && !late && len(p.attempts) < MaxAttempts && p.config.SpendRetry() {
		p.attempts[attempt-1] = attemptUnknown
		return Step{Kind: StepDispatch}
	}
	if !late && p.fetches[attempt] < MaxFetches {
		p.fetches[attempt]++
		return Step{Kind: StepFetch, Attempt: attempt}
	}
	return p.OnOutcomeUnknown(attempt, "the connection to the agent died and its answer could not be fetched")
}

// Unknown follows an attempt whose outcome cannot be found out.
func (p *Plan) OnOutcomeUnknown(attempt uint32, reason string) Step {
	p.attempts[attempt-1] = attemptUnknown
	if p.count(attemptOpen) > 0 {
		return Step{Kind: StepWait}
	}
	return p.Finish(kqresult.Errorf(kqresult.OutcomeUnknown, "%s", reason))
}

// Expired ends the call at its deadline.
func (p *Plan) OnDeadline() Step {
	if p.count(attemptOpen)+p.count(attemptUnknown) == 0 {
		return p.Finish(kqresult.Errorf(kqresult.NotRunDeadline, "the deadline passed before the call could be sent"))
	}
	return p.Finish(kqresult.Errorf(kqresult.OutcomeUnknown, "the deadline passed before the answer came"))
}

// Finish ends the call with e, or with outcome_unknown where an attempt may
// have run.
func (p *Plan) Finish(e *kqresult.Error) Step {
	mayHaveRun := p.count(attemptOpen)+p.count(attemptUnknown) > 0
	if mayHaveRun && e.Code.NotRun() {
		e = kqresult.Errorf(kqresult.OutcomeUnknown, "an earlier attempt may have run; the last one: %s", e.Reason).After(e.RetryAfter)
	}
	p.config.Counter.Check(!mayHaveRun || !e.Code.NotRun(), kqinvariant.NotRunAfterDispatch,
		"call %s: %s", p.config.CallID, e)
	return Step{Kind: StepFinish, Result: e}
}

// MayHedge reports whether a second attempt may be sent beside the first.
func (p *Plan) MayHedge(now time.Time) bool {
	return p.config.Idempotent && len(p.attempts) == 1 && p.attempts[0] == attemptOpen &&
		now.Add(finishReserve).Before(p.config.Deadline)
}
