package kqroute

import (
	"fmt"
	"time"
)

// Outcome is how an attempt at an endpoint ended.
type Outcome int

// Outcomes.
const (
	// OutcomeAnswered is an answer below status 500.
	OutcomeAnswered Outcome = iota
	// OutcomeServerError is an answer with a status of 500 or more.
	OutcomeServerError
	// OutcomeRefused is a refusal by the agent before the endpoint.
	OutcomeRefused
	// OutcomeLost is a connection that failed or died.
	OutcomeLost
	// OutcomeLeft is a caller or a sibling attempt that ended first.
	OutcomeCancelled
)

const (
	ejectAfterFailures = 5
	ejectFailureRate   = 0.5
	ejectMinAnswers    = 10
	failureSmoothing   = 0.1
	slowRatio          = 8
	firstEjection      = 1 * time.Second
	longestEjection    = 30 * time.Second
	ejectMostShare     = 3
)

// End counts the end of an attempt and ejects or restores the endpoint.
func (t *Table) EndAttempt(now time.Time, r Ref, o Outcome) {
	x, ok := t.targets[r]
	if !ok {
		return
	}
	x.own = max(0, x.own-1)
	switch o {
	case OutcomeAnswered:
		t.succeeded(now, x)
	case OutcomeServerError, OutcomeLost:
		t.failed(now, x, o)
	case OutcomeRefused, OutcomeCancelled:
		if x.state == stateProbing {
			x.state, x.ejectedTill = stateEjected, now.Add(firstEjection)
		}
	}
}

func (t *Table) succeeded(now time.Time, x *target) {
	x.failures = 0
	x.answers++
	x.failureRate -= x.failureRate * failureSmoothing
	if x.state == stateProbing && x.step(eventRestore) {
		x.restoredAt, x.failureRate = now, 0
		t.notice(now, ChangeRestored, x, "a probe was answered")
	}
}

func (t *Table) failed(now time.Time, x *target, o Outcome) {
	x.failures++
	x.answers++
	x.failureRate += (1 - x.failureRate) * failureSmoothing
	often := x.answers >= ejectMinAnswers && x.failureRate > ejectFailureRate
	if x.state == stateProbing || x.failures >= ejectAfterFailures || often {
		t.eject(now, x, fmt.Sprintf("%d failures in a row, %.0f%% of late", x.failures, x.failureRate*100))
	}
}

// eject leaves an endpoint out unless too many of its peers are out already.
func (t *Table) eject(now time.Time, x *target, reason string) {
	if x.state == stateReady && t.tooManyOut(x) {
		return
	}
	if !x.step(eventEject) {
		return
	}
	d := min(firstEjection<<min(x.ejections, 10), longestEjection)
	x.ejections++
	x.ejectedTill, x.answers = now.Add(d), 0
	t.notice(now, ChangeEjected, x, fmt.Sprintf("%s; next probe in %s", reason, d))
}

// tooManyOut reports whether a further ejection would leave less than two
// thirds of a class.
func (t *Table) tooManyOut(x *target) bool {
	for _, c := range x.endpoint.Classes {
		g := t.groups[c]
		if g == nil {
			continue
		}
		out := 0
		for _, o := range g.targets {
			if o.state == stateEjected || o.state == stateProbing {
				out++
			}
		}
		if (out+1)*ejectMostShare > len(g.targets) {
			return true
		}
	}
	return false
}

// EjectSlow ejects the endpoints that are far slower than the class's median.
func (t *Table) EjectSlow(now time.Time) {
	for _, g := range t.groups {
		for _, x := range g.targets {
			s := x.endpoint.Load.ServiceTime
			if x.state == stateReady && g.median > 0 && s > g.median*slowRatio && x.answers >= ejectMinAnswers {
				t.eject(now, x, fmt.Sprintf("calls take %s, the median of its peers is %s", s.Round(time.Millisecond), g.median.Round(time.Millisecond)))
			}
		}
	}
}

// exploreInterval is between two calls that measure a slow endpoint anew; it
// gets no others while faster ones are free, and could not show that it has
// recovered.
const exploreInterval = 5 * time.Second

// probe returns an ejected endpoint whose time is up, or one whose slowness was
// measured long ago, for one test call.
func (t *Table) probe(now time.Time, g *group) (Pick, bool) {
	for _, x := range g.targets {
		if x.state == stateReady && x.service(g.median) > g.median && now.Sub(x.triedAt) > exploreInterval {
			return Pick{Ref: x.ref(), Worker: x.worker, ServiceTime: x.service(g.median)}, true
		}
		if x.state != stateEjected || now.Before(x.ejectedTill) || !x.step(eventProbe) {
			continue
		}
		return Pick{Ref: x.ref(), Worker: x.worker, ServiceTime: x.service(g.median), Probe: true}, true
	}
	return Pick{}, false
}
