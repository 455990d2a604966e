package kqretry

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

const (
	// MaxAttempts limits the attempts of one call.
	MaxAttempts = 4
	// NoQueueAttempts is the number of attempts, from the first on, that a busy endpoint refuses
	// instead of queueing the call, so that another endpoint is tried.
	NoQueueAttempts = 2
	// maxLostAttempts is the number of attempts whose connection was lost after which a call is not sent
	// again: the call itself may be what fails host after host.
	maxLostAttempts = 2
	// MaxFetches limits how often the answer of one attempt is fetched again.
	MaxFetches = 4
	// FetchTimeout limits the time to reach the agent in one fetch.
	FetchTimeout = 1500 * time.Millisecond
	// finishReserve is the time before the deadline that is reserved for replying to the caller;
	// no retry, hedge or fetch starts within it.
	finishReserve = 5 * time.Millisecond
)

// StepKind is the kind of a Step.
type StepKind int

// Kinds of steps.
const (
	// StepWait waits for the other attempts.
	StepWait StepKind = iota
	// StepDispatch sends a new attempt to another endpoint.
	StepDispatch
	// StepFetch fetches the answer of an attempt from its agent again.
	StepFetch
	// StepFinish ends the call with a result.
	StepFinish
)

// Step is what a call does next.
type Step struct {
	// Kind is the kind of step.
	Kind StepKind
	// Attempt is the attempt whose answer to fetch, if Kind is StepFetch.
	Attempt uint32
	// FreeSlotOnly is true if the new attempt may only go to an endpoint with a free slot.
	FreeSlotOnly bool
	// Result is the result of the call if Kind is StepFinish.
	Result *kqresult.Error
}

// attemptState is the known state of one attempt.
type attemptState int

const (
	// attemptOpen is an attempt that was sent and has not ended.
	attemptOpen attemptState = iota
	// attemptNotRun is an attempt that is known not to have run.
	attemptNotRun
	// attemptUnknown is an attempt that may have run and whose answer is lost.
	attemptUnknown
)

// Config configures a Plan.
type Config struct {
	// CallID is the identifier of the call, for reports of invariant violations.
	CallID string
	// Idempotent is true if the call may run more than once.
	Idempotent bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// SpendRetry takes a token from the retry budget; false means that there is none.
	SpendRetry func() bool
	// Counter counts invariant violations; may be nil.
	Counter *kqinvariant.Counter
}

// Plan tracks the attempts of one call and decides its next steps.
type Plan struct {
	config   Config
	attempts []attemptState
	fetches  map[uint32]int
}

// NewPlan returns a Plan with no attempt yet.
func NewPlan(c Config) *Plan {
	return &Plan{config: c, fetches: map[uint32]int{}}
}

// AddAttempt records a new attempt and returns its number, from 1.
func (p *Plan) AddAttempt() uint32 {
	mayHaveRun := p.countState(attemptOpen)+p.countState(attemptUnknown) > 0
	p.config.Counter.Check(p.config.Idempotent || !mayHaveRun, kqinvariant.DispatchedTwice,
		"call %s is not idempotent and is sent again although an attempt may have run", p.config.CallID)
	p.attempts = append(p.attempts, attemptOpen)
	return uint32(len(p.attempts))
}

// countState returns the number of attempts in a state.
func (p *Plan) countState(s attemptState) int {
	n := 0
	for _, a := range p.attempts {
		if a == s {
			n++
		}
	}
	return n
}

// AttemptCount returns the number of attempts made.
func (p *Plan) AttemptCount() int { return len(p.attempts) }

// OnNotRun returns the next step after an attempt that is known not to have run.
func (p *Plan) OnNotRun(now time.Time, attempt uint32, e *kqresult.Error) Step {
	p.attempts[attempt-1] = attemptNotRun
	if p.countState(attemptOpen) > 0 {
		return Step{Kind: StepWait}
	}
	if p.countState(attemptUnknown) > 0 && !p.config.Idempotent {
		return p.Finish(e)
	}
	if p.mayRetry(now, e) {
		return Step{Kind: StepDispatch, FreeSlotOnly: isOverloaded(e.Code)}
	}
	return p.Finish(e)
}

// isOverloaded reports whether a call was refused because its endpoint had too much work.
func isOverloaded(c kqresult.Code) bool {
	return c == kqresult.NotRunOverloaded || c == kqresult.NotRunNoConnection
}

// mayRetry reports whether a call that did not run is sent to another endpoint.
func (p *Plan) mayRetry(now time.Time, e *kqresult.Error) bool {
	switch e.Code {
	case kqresult.NotRunDeadline, kqresult.NotRunCancelled, kqresult.NotRunStoreUnavailable, kqresult.NotRunUnknownClass:
		return false
	case kqresult.NotRunBusy:
		// Trying the next endpoint is part of choosing one and takes nothing from the retry budget.
		return len(p.attempts) < MaxAttempts
	}
	return len(p.attempts) < MaxAttempts && now.Add(finishReserve).Before(p.config.Deadline) && p.config.SpendRetry()
}

// OnConnectionLost returns the next step after the connection of a sent attempt was lost. An
// idempotent call waits for its other open attempt, if there is one, and otherwise is sent again if
// the budget allows it and fewer than maxLostAttempts were lost. In all other cases the answer is fetched, up to MaxFetches times; after
// that, or if the deadline is near, the outcome of the attempt is unknown.
func (p *Plan) OnConnectionLost(now time.Time, attempt uint32) Step {
	if p.config.Idempotent && p.countState(attemptOpen) > 1 {
		p.attempts[attempt-1] = attemptUnknown
		return Step{Kind: StepWait}
	}
	deadlineNear := !now.Add(finishReserve).Before(p.config.Deadline)
	mayBeCause := p.countState(attemptUnknown)+1 >= maxLostAttempts
	if p.config.Idempotent && !deadlineNear && !mayBeCause && len(p.attempts) < MaxAttempts && p.config.SpendRetry() {
		p.attempts[attempt-1] = attemptUnknown
		return Step{Kind: StepDispatch}
	}
	if !deadlineNear && p.fetches[attempt] < MaxFetches {
		p.fetches[attempt]++
		return Step{Kind: StepFetch, Attempt: attempt}
	}
	return p.OnOutcomeUnknown(attempt, "the connection to the agent was lost and the answer could not be fetched")
}

// OnOutcomeUnknown returns the next step after an attempt whose outcome cannot be determined.
func (p *Plan) OnOutcomeUnknown(attempt uint32, reason string) Step {
	p.attempts[attempt-1] = attemptUnknown
	if p.countState(attemptOpen) > 0 {
		return Step{Kind: StepWait}
	}
	return p.Finish(kqresult.Errorf(kqresult.OutcomeUnknown, "%s", reason))
}

// OnDeadline ends the call at its deadline.
func (p *Plan) OnDeadline() Step {
	if p.countState(attemptOpen)+p.countState(attemptUnknown) == 0 {
		return p.Finish(kqresult.Errorf(kqresult.NotRunDeadline, "the deadline passed before the call could be sent"))
	}
	return p.Finish(kqresult.Errorf(kqresult.OutcomeUnknown, "the deadline passed before the answer arrived"))
}

// Finish ends the call with e, or with outcome_unknown if e says that the call did not run while an
// attempt may have run.
func (p *Plan) Finish(e *kqresult.Error) Step {
	mayHaveRun := p.countState(attemptOpen)+p.countState(attemptUnknown) > 0
	if mayHaveRun && e.Code.NotRun() {
		e = kqresult.Errorf(kqresult.OutcomeUnknown, "an earlier attempt may have run; the last attempt failed: %s", e.Reason).WithRetryAfter(e.RetryAfter)
	}
	p.config.Counter.Check(!mayHaveRun || !e.Code.NotRun(), kqinvariant.NotRunAfterDispatch,
		"call %s is reported as not run although an attempt may have run: %s", p.config.CallID, e)
	return Step{Kind: StepFinish, Result: e}
}

// MayHedge reports whether a second attempt may be sent while the first one is open.
func (p *Plan) MayHedge(now time.Time) bool {
	return p.config.Idempotent && len(p.attempts) == 1 && p.attempts[0] == attemptOpen &&
		now.Add(finishReserve).Before(p.config.Deadline)
}
