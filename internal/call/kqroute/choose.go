package kqroute

import (
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

// Policy orders the candidates for a call.
type Policy string

// Policies. All but PolicyExpected are baselines for the bench.
const (
	PolicyExpectedTime  Policy = "expected"
	PolicyRandom        Policy = "random"
	PolicyRoundRobin    Policy = "round_robin"
	PolicyLeastInFlight Policy = "least_in_flight"
)

// Pick is a chosen endpoint.
type Pick struct {
	// Ref names it.
	Ref Ref
	// Worker is its host.
	Worker string
	// Wait is the expected time in the queue.
	ExpectedWait time.Duration
	// Service is the expected time in the endpoint.
	ServiceTime time.Duration
	// Tail is the time in the endpoint that few calls take longer than.
	TailTime time.Duration
	// Free is true if a slot is believed to be free.
	SlotFree bool
	// Probe is true if the call tests an endpoint that was ejected.
	Probe bool
}

// Request is a call to be routed.
type Request struct {
	// Class is the class of the call.
	Class string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Target is the class's latency target; 0 means none.
	LatencyTarget time.Duration
	// Exclude is the endpoints already tried.
	Exclude []Ref
	// Need is what the endpoint must offer.
	Need Need
	// MayProbe is true if the call may test an ejected or slow endpoint.
	MayProbe bool
}

// Need is what an endpoint must offer to get a call.
type Need int

// Needs.
const (
	// NeedAny takes any endpoint.
	NeedAny Need = iota
	// NeedFree asks for a free slot.
	NeedFree
	// NeedFast asks for a free slot of an endpoint that is not slower than its
	// peers.
	NeedFast
)

// meets reports whether a candidate offers what a call needs.
func (n Need) meets(p Pick, median time.Duration) bool {
	switch n {
	case NeedFree:
		return p.ExpectedWait == 0
	case NeedFast:
		return p.ExpectedWait == 0 && p.ServiceTime <= median
	}
	return true
}

// meanOthers is the mean of the calls of other entries at the endpoints of the
// class, as last reported.
func (g *group) meanOthers() float64 {
	sum := 0
	for _, x := range g.targets {
		sum += x.others
	}
	return float64(sum) / float64(len(g.targets))
}

// Choose picks an endpoint, or says why the call cannot run now.
func (t *Table) Choose(now time.Time, r Request) (Pick, *kqresult.Error) {
	g := t.groups[r.Class]
	if g == nil {
		return Pick{}, kqresult.Errorf(kqresult.NotRunNoEndpoint, "no endpoint of class %q is known", r.Class).After(longestRetryAfter)
	}
	if r.MayProbe && t.config.Policy == PolicyExpectedTime {
		if p, ok := t.probe(now, g); ok {
			return p, nil
		}
	}
	best, found := t.best(now, g, r)
	if !found {
		return Pick{}, kqresult.Errorf(kqresult.NotRunNoEndpoint, "no endpoint of class %q takes calls", r.Class).After(t.jitter(shortestRetryAfter * 4))
	}
	if e := t.tooLate(now, best, r); e != nil {
		return Pick{}, e
	}
	return best, nil
}

// tooLate says why even the best choice would miss the deadline or the target.
func (t *Table) tooLate(now time.Time, p Pick, r Request) *kqresult.Error {
	if t.config.Policy != PolicyExpectedTime || p.ExpectedWait == 0 {
		return nil
	}
	after := t.jitter(p.ExpectedWait)
	if now.Add(p.ExpectedWait + p.ServiceTime).After(r.Deadline) {
		return kqresult.Errorf(kqresult.NotRunDeadline, "the shortest wait would be %s, past the deadline", p.ExpectedWait.Round(time.Millisecond)).After(after)
	}
	if r.LatencyTarget > 0 && p.ExpectedWait+p.TailTime > r.LatencyTarget {
		return kqresult.Errorf(kqresult.NotRunOverloaded, "the shortest wait would be %s, past the target of %s", p.ExpectedWait.Round(time.Millisecond), r.LatencyTarget).After(after)
	}
	return nil
}

// jitter spreads the callers that were refused together over one to two times
// the wait.
func (t *Table) jitter(d time.Duration) time.Duration {
	d += time.Duration(t.rng.Int64N(int64(d) + 1))
	return min(max(d, shortestRetryAfter), longestRetryAfter)
}

// best compares some candidates by the policy.
func (t *Table) best(now time.Time, g *group, r Request) (Pick, bool) {
	n := len(g.targets)
	var best Pick
	bestCost, found := time.Duration(0), false
	count := t.candidates(n)
	mean := g.meanOthers()
	first := t.first(g, n)
	for i := range count {
		x := g.targets[(first+i)%n]
		if n > probes && t.config.Policy == PolicyExpectedTime {
			x = g.targets[t.rng.IntN(n)]
		}
		if !x.takes(r) {
			continue
		}
		p, cost := t.cost(now, g, x, mean)
		if t.config.Policy == PolicyExpectedTime && !r.Need.meets(p, g.median) {
			continue
		}
		if !found || cost < bestCost {
			best, bestCost, found = p, cost, true
		}
		if found && t.firstFits() {
			break
		}
	}
	return best, found
}

func (t *Table) firstFits() bool {
	return t.config.Policy == PolicyRandom || t.config.Policy == PolicyRoundRobin
}

func (t *Table) candidates(n int) int {
	if t.config.Policy == PolicyExpectedTime && n > probes {
		return probes * 2
	}
	return n
}

// first returns where the search begins: at a random place, or in turn.
func (t *Table) first(g *group, n int) int {
	if t.config.Policy == PolicyRoundRobin {
		g.turn++
		return g.turn % n
	}
	return t.rng.IntN(n)
}

// takes reports whether the target may get the call.
func (t *target) takes(r Request) bool {
	if t.state != stateReady || t.open() >= t.endpoint.Connections {
		return false
	}
	return !slices.Contains(r.Exclude, t.ref())
}

// cost estimates when the call would be answered, plus a charge for a far
// endpoint while a near one is not busy.
func (t *Table) cost(now time.Time, g *group, x *target, mean float64) (Pick, time.Duration) {
	s := x.service(g.median)
	open := x.expected(now, mean, g.median)
	w := x.wait(now, open, s)
	p := Pick{Ref: x.ref(), Worker: x.worker, ExpectedWait: w, ServiceTime: s, TailTime: max(s, x.endpoint.Load.TailTime),
		SlotFree: w == 0 && t.config.Policy == PolicyExpectedTime}
	if t.config.Policy == PolicyLeastInFlight {
		return p, time.Duration(x.own)
	}
	c := s + w
	if x.zone != t.config.Zone {
		c += t.config.CrossZoneDelay
	} else if open*100 >= float64(x.slots(now)*nearLoadPercent) {
		c += t.config.CrossZoneDelay
	}
	// A small charge for use spreads equal choices over the slots.
	return p, c + time.Duration(float64(s)*open/float64(useCharge*x.slots(now)))
}

// useCharge is the share of the service time, as a divisor, that a fully used
// endpoint is charged.
const useCharge = 16
