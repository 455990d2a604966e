package kqroute

import (
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

// Policy is the way an endpoint is chosen for a call.
type Policy string

// Policies. PolicyExpectedTime minimizes the expected time until the answer; the others are
// baselines for benchmarks.
const (
	PolicyExpectedTime  Policy = "expected"
	PolicyRandom        Policy = "random"
	PolicyRoundRobin    Policy = "round_robin"
	PolicyLeastInFlight Policy = "least_in_flight"
)

// Pick is the endpoint chosen for a call, with the estimates that it was chosen by.
type Pick struct {
	// Ref identifies the endpoint.
	Ref Ref
	// Worker is the worker of the endpoint.
	Worker string
	// ExpectedWait is the expected time in the endpoint's queue.
	ExpectedWait time.Duration
	// ServiceTime is the expected time in the endpoint after the queue.
	ServiceTime time.Duration
	// TailTime is an upper estimate of the time in the endpoint that few calls exceed.
	TailTime time.Duration
	// SlotFree is true if a free slot is expected.
	SlotFree bool
	// Probe is true if the call tests an ejected endpoint.
	Probe bool
}

// Request describes a call to be routed.
type Request struct {
	// Class is the class of the call.
	Class string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// LatencyTarget is the latency target of the class; 0 means none.
	LatencyTarget time.Duration
	// Exclude lists the endpoints already tried.
	Exclude []Ref
	// Need is the requirement on the endpoint.
	Need Need
	// MayProbe allows the call to test an ejected or slow endpoint.
	MayProbe bool
}

// Need is a requirement that an endpoint must meet to receive a call.
type Need int

// Needs.
const (
	// NeedAny accepts every endpoint.
	NeedAny Need = iota
	// NeedFree requires a free slot.
	NeedFree
	// NeedFast requires a free slot at an endpoint that is not slower than the median of its class.
	NeedFast
)

// meets reports whether the candidate p meets the requirement; median is the median service time
// of the class.
func (n Need) meets(p Pick, median time.Duration) bool {
	switch n {
	case NeedFree:
		return p.ExpectedWait == 0
	case NeedFast:
		return p.ExpectedWait == 0 && p.ServiceTime <= median
	}
	return true
}

// meanOtherCalls returns the mean number of open calls from other entries per endpoint of the
// class, as last reported.
func (g *classGroup) meanOtherCalls() float64 {
	sum := 0
	for _, ep := range g.endpoints {
		sum += ep.otherCalls
	}
	return float64(sum) / float64(len(g.endpoints))
}

// Choose picks an endpoint for a call, or returns the reason why the call cannot run now.
func (t *Table) Choose(now time.Time, r Request) (Pick, *kqresult.Error) {
	g := t.groups[r.Class]
	if g == nil {
		return Pick{}, kqresult.Errorf(kqresult.NotRunNoEndpoint, "no endpoint of class %q is known", r.Class).WithRetryAfter(maxRetryAfter)
	}
	if r.MayProbe && t.config.Policy == PolicyExpectedTime {
		if p, ok := t.probe(now, g); ok {
			return p, nil
		}
	}
	best, found := t.bestCandidate(now, g, r)
	if !found {
		return Pick{}, kqresult.Errorf(kqresult.NotRunNoEndpoint, "no endpoint of class %q accepts calls", r.Class).WithRetryAfter(t.retryAfter(minRetryAfter * 4))
	}
	if e := t.checkExpectedWait(now, best, r); e != nil {
		return Pick{}, e
	}
	return best, nil
}

// checkExpectedWait returns an error if the call would have to wait at the best endpoint and would
// miss its deadline or its latency target.
func (t *Table) checkExpectedWait(now time.Time, p Pick, r Request) *kqresult.Error {
	if t.config.Policy != PolicyExpectedTime || p.ExpectedWait == 0 {
		return nil
	}
	retryAfter := t.retryAfter(p.ExpectedWait)
	if now.Add(p.ExpectedWait + p.ServiceTime).After(r.Deadline) {
		return kqresult.Errorf(kqresult.NotRunDeadline, "with the shortest expected wait of %s the call would miss its deadline", p.ExpectedWait.Round(time.Millisecond)).WithRetryAfter(retryAfter)
	}
	if r.LatencyTarget > 0 && p.ExpectedWait+p.TailTime > r.LatencyTarget {
		return kqresult.Errorf(kqresult.NotRunOverloaded, "with the shortest expected wait of %s the call would miss its latency target of %s", p.ExpectedWait.Round(time.Millisecond), r.LatencyTarget).WithRetryAfter(retryAfter)
	}
	return nil
}

// retryAfter returns a random time between one and two times d, bounded by minRetryAfter and
// maxRetryAfter. The jitter keeps callers that were refused together from retrying together.
func (t *Table) retryAfter(d time.Duration) time.Duration {
	d += time.Duration(t.rng.Int64N(int64(d) + 1))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// bestCandidate scores candidates by the policy and returns the one with the lowest cost.
func (t *Table) bestCandidate(now time.Time, g *classGroup, r Request) (Pick, bool) {
	n := len(g.endpoints)
	var best Pick
	bestCost, found := time.Duration(0), false
	count := t.candidateCount(n)
	meanOthers := g.meanOtherCalls()
	startIndex := t.startIndex(g, n)
	for i := range count {
		ep := g.endpoints[(startIndex+i)%n]
		if n > fullScanLimit && t.config.Policy == PolicyExpectedTime {
			ep = g.endpoints[t.rng.IntN(n)]
		}
		if !ep.accepts(r) {
			continue
		}
		p, cost := t.cost(now, g, ep, meanOthers)
		if t.config.Policy == PolicyExpectedTime && !r.Need.meets(p, g.medianServiceTime) {
			continue
		}
		if !found || cost < bestCost {
			best, bestCost, found = p, cost, true
		}
		if found && t.takesFirst() {
			break
		}
	}
	return best, found
}

// takesFirst reports whether the policy takes the first acceptable endpoint without scoring others.
func (t *Table) takesFirst() bool {
	return t.config.Policy == PolicyRandom || t.config.Policy == PolicyRoundRobin
}

// candidateCount returns how many candidates to score among n endpoints. PolicyExpectedTime scores
// all of up to fullScanLimit endpoints, and otherwise 2*fullScanLimit random draws with repetition;
// the other policies scan all endpoints.
func (t *Table) candidateCount(n int) int {
	if t.config.Policy == PolicyExpectedTime && n > fullScanLimit {
		return fullScanLimit * 2
	}
	return n
}

// startIndex returns the index at which the scan begins: the next one for round robin, otherwise a
// random one.
func (t *Table) startIndex(g *classGroup, n int) int {
	if t.config.Policy == PolicyRoundRobin {
		g.roundRobinIndex++
		return g.roundRobinIndex % n
	}
	return t.rng.IntN(n)
}

// accepts reports whether the endpoint is ready, has a free connection and is not excluded.
func (ep *knownEndpoint) accepts(r Request) bool {
	if ep.state != stateReady || ep.openCalls() >= ep.announced.Connections {
		return false
	}
	return !slices.Contains(r.Exclude, ep.ref())
}

// cost returns the expected time until the answer. It adds CrossZoneDelay for an endpoint in
// another zone, and also for a local one whose slots are used to localLoadPercent or more, so that
// a local endpoint is preferred only while it is not busy. For PolicyLeastInFlight the cost is the
// number of this entry's open calls instead.
func (t *Table) cost(now time.Time, g *classGroup, ep *knownEndpoint, meanOthers float64) (Pick, time.Duration) {
	s := ep.serviceTime(g.medianServiceTime)
	open := ep.expectedCalls(now, meanOthers, g.medianServiceTime)
	w := ep.expectedWait(now, open, s)
	p := Pick{Ref: ep.ref(), Worker: ep.worker, ExpectedWait: w, ServiceTime: s, TailTime: max(s, ep.announced.Load.TailTime),
		SlotFree: w == 0 && t.config.Policy == PolicyExpectedTime}
	if t.config.Policy == PolicyLeastInFlight {
		return p, time.Duration(ep.ownCalls)
	}
	c := s + w
	if ep.zone != t.config.Zone {
		c += t.config.CrossZoneDelay
	} else if open*100 >= float64(ep.usableSlots(now)*localLoadPercent) {
		c += t.config.CrossZoneDelay
	}
	// A small charge for utilization spreads calls over endpoints that are otherwise equal.
	return p, c + time.Duration(float64(s)*open/float64(utilizationDivisor*ep.usableSlots(now)))
}

// utilizationDivisor sets the charge for utilization: a fully used endpoint is charged a sixteenth
// of its service time.
const utilizationDivisor = 16
