package kqroute

import (
	"fmt"
	"time"
)

// Outcome is how an attempt at an endpoint ended.
type Outcome int

// Outcomes.
const (
	// OutcomeAnswered is an answer with a status below 500.
	OutcomeAnswered Outcome = iota
	// OutcomeServerError is an answer with a status of 500 or more.
	OutcomeServerError
	// OutcomeRefused is a refusal by the agent; the endpoint did not get the call.
	OutcomeRefused
	// OutcomeLost is a connection that failed or was lost, or an answer that is incomplete.
	OutcomeLost
	// OutcomeCancelled is an attempt that was cancelled because the caller ended the call or
	// another attempt was answered first.
	OutcomeCancelled
)

// Limits for ejecting endpoints.
const (
	// ejectAfterFailures is the number of consecutive failures that eject an endpoint.
	ejectAfterFailures = 5
	// ejectFailureRate is the smoothed failure rate above which an endpoint is ejected, once it
	// has ejectMinOutcomes outcomes.
	ejectFailureRate = 0.5
	ejectMinOutcomes = 10
	// failureSmoothing is the weight of one outcome in the smoothed failure rate.
	failureSmoothing = 0.1
	// slowRatio is the multiple of the class's median service time above which an endpoint is
	// ejected as slow.
	slowRatio = 8
	// minEjectionTime is the time of a first ejection; it doubles with each further one, up to
	// maxEjectionTime.
	minEjectionTime = 1 * time.Second
	maxEjectionTime = 30 * time.Second
	// maxEjectedDivisor bounds the ejected endpoints of a class to a third.
	maxEjectedDivisor = 3
)

// EndAttempt records the outcome of an attempt that BeginAttempt counted, and ejects or restores
// the endpoint accordingly.
func (t *Table) EndAttempt(now time.Time, r Ref, o Outcome) {
	ep, ok := t.endpoints[r]
	if !ok {
		return
	}
	ep.ownCalls = max(0, ep.ownCalls-1)
	switch o {
	case OutcomeAnswered:
		t.recordSuccess(now, ep)
	case OutcomeServerError, OutcomeLost:
		t.recordFailure(now, ep, o)
	case OutcomeRefused, OutcomeCancelled:
		if ep.state == stateProbing {
			ep.state, ep.ejectedUntil = stateEjected, now.Add(minEjectionTime)
		}
	}
}

func (t *Table) recordSuccess(now time.Time, ep *knownEndpoint) {
	ep.consecutiveFailures = 0
	ep.outcomeCount++
	ep.failureRate -= ep.failureRate * failureSmoothing
	if ep.state == stateProbing && ep.transition(eventRestore) {
		ep.restoredAt, ep.failureRate = now, 0
		t.notifyChange(now, ChangeRestored, ep, "a probe was answered")
	}
}

func (t *Table) recordFailure(now time.Time, ep *knownEndpoint, o Outcome) {
	ep.consecutiveFailures++
	ep.outcomeCount++
	ep.failureRate += (1 - ep.failureRate) * failureSmoothing
	failsOften := ep.outcomeCount >= ejectMinOutcomes && ep.failureRate > ejectFailureRate
	if ep.state == stateProbing || ep.consecutiveFailures >= ejectAfterFailures || failsOften {
		t.eject(now, ep, fmt.Sprintf("%d consecutive failures, smoothed failure rate %.0f%%", ep.consecutiveFailures, ep.failureRate*100))
	}
}

// eject takes an endpoint out of the choice unless too many endpoints of its classes are ejected.
func (t *Table) eject(now time.Time, ep *knownEndpoint, reason string) {
	if ep.state == stateReady && t.ejectionLimitReached(ep) {
		return
	}
	if !ep.transition(eventEject) {
		return
	}
	d := min(minEjectionTime<<min(ep.ejections, 10), maxEjectionTime)
	ep.ejections++
	ep.ejectedUntil, ep.outcomeCount = now.Add(d), 0
	t.notifyChange(now, ChangeEjected, ep, fmt.Sprintf("%s; next probe in %s", reason, d))
}

// ejectionLimitReached reports whether one more ejection would leave less than two thirds of a
// class of the endpoint.
func (t *Table) ejectionLimitReached(ep *knownEndpoint) bool {
	for _, c := range ep.announced.Classes {
		g := t.groups[c]
		if g == nil {
			continue
		}
		ejected := 0
		for _, peer := range g.endpoints {
			if peer.state == stateEjected || peer.state == stateProbing {
				ejected++
			}
		}
		if (ejected+1)*maxEjectedDivisor > len(g.endpoints) {
			return true
		}
	}
	return false
}

// EjectSlow ejects the endpoints whose service time is more than slowRatio times the median of
// their class, once they have ejectMinOutcomes outcomes.
func (t *Table) EjectSlow(now time.Time) {
	for _, g := range t.groups {
		for _, ep := range g.endpoints {
			s := ep.announced.Load.ServiceTime
			if ep.state == stateReady && g.medianServiceTime > 0 && s > g.medianServiceTime*slowRatio && ep.outcomeCount >= ejectMinOutcomes {
				t.eject(now, ep, fmt.Sprintf("service time %s, median of its class %s", s.Round(time.Millisecond), g.medianServiceTime.Round(time.Millisecond)))
			}
		}
	}
}

// exploreInterval is the time between two calls that measure a slow endpoint again. Without them
// a slow endpoint would get no calls while faster ones are free, and its recovery would go
// undetected.
const exploreInterval = 5 * time.Second

// probe returns an endpoint for one test call: an ejected one whose ejection time has passed, or a
// slow one that got no call for exploreInterval.
func (t *Table) probe(now time.Time, g *classGroup) (Pick, bool) {
	for _, ep := range g.endpoints {
		if ep.state == stateReady && ep.serviceTime(g.medianServiceTime) > g.medianServiceTime && now.Sub(ep.lastAttemptAt) > exploreInterval {
			return Pick{Ref: ep.ref(), Worker: ep.worker, ServiceTime: ep.serviceTime(g.medianServiceTime)}, true
		}
		if ep.state != stateEjected || now.Before(ep.ejectedUntil) || !ep.transition(eventProbe) {
			continue
		}
		return Pick{Ref: ep.ref(), Worker: ep.worker, ServiceTime: ep.serviceTime(g.medianServiceTime), Probe: true}, true
	}
	return Pick{}, false
}
