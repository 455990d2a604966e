package kqplan_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// standingFleet returns a fleet in which the standing task runs on h1.
func standingFleet(g *WithT) *fleet {
	f := &fleet{cell: newCell(1), stopTime: func() time.Duration { return 200 * time.Millisecond }}
	f.runTime = func(kqplan.Order) time.Duration { return 0 }
	f.addWorker("h1", kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 64400 << 20})
	f.Submit(f.now, job("standing", "urgent", f.now, standingStep()), nil, 0)
	f.advance(time.Second, nil)
	g.Expect(f.workers[0].runs).To(HaveLen(1))
	return f
}

// Runs on h2 that are being stopped never end. Preemption picks the host with the fewest further runs
// to stop, which is always h2, so it waits for them and stops no run on h3.
func TestPreemptionWaitsForStopsThatDoNotEnd(t *testing.T) {
	g := NewWithT(t)
	f := standingFleet(g)
	f.addWorker("h2", kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 64400 << 20})
	f.Submit(f.now, fillingJob("filling-h2", f.now, 40), nil, 0)
	f.advance(time.Second, nil)
	g.Expect(len(f.workers[1].runs)).To(BeNumerically(">=", 9))
	f.stopTime = func() time.Duration { return time.Hour }
	f.Submit(f.now, kqflow.Submission{Job: kqflow.Job{ID: "filling-h2"}, Cancelled: true}, nil, 0)
	f.advance(time.Second, nil)
	f.stopTime = func() time.Duration { return 200 * time.Millisecond }
	f.addWorker("h3", kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 64400 << 20})
	f.Submit(f.now, fillingJob("filling-h3", f.now, 40), nil, 0)
	f.advance(time.Second, nil)
	g.Expect(len(f.workers[2].runs)).To(BeNumerically(">=", 9))
	g.Expect(f.departFirst()).To(BeNumerically("<=", maxPlacementDelay))
}

// A service has one warm worker, which is full, and workers that warm up for 20 s. The limit on
// what workers may have assigned during their warm-up keeps a long-running task waiting although each
// of them has enough capacity.
func TestWarmUpKeepsLongRunningTasksAway(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{cell: newCellWith(kqplan.Config{Epoch: 1, LimitWarmUp: true}), stopTime: func() time.Duration { return 200 * time.Millisecond }}
	f.runTime = func(kqplan.Order) time.Duration { return 0 }
	f.addWorker("h1", kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 64400 << 20})
	f.Submit(f.now, job("standing", "urgent", f.now, standingStep()), nil, 0)
	f.advance(time.Second, nil)
	f.addWorker("warm", kqmodel.Resources{MilliProcessors: 6000, MemoryBytes: 64400 << 20})
	large := newStep(1, 14)
	large.LongRunning = true
	for _, h := range []string{"cold1", "cold2"} {
		capacity := kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 64400 << 20}
		f.addWorker(h, capacity)
		w := f.workers[len(f.workers)-1]
		f.UpdateWorker(f.now, h, kqplan.WorkerInfo{Worker: w.worker, Service: "s", Capacity: capacity, WarmUpLeft: 20 * time.Second})
		f.Submit(f.now, job("on-"+h, "urgent", f.now, large), nil, 0)
		f.advance(time.Second, nil)
		g.Expect(w.runs).To(HaveLen(1))
	}
	g.Expect(f.departFirst()).To(BeNumerically("<=", maxPlacementDelay))
}

// A queue needs approved workers, and a step may have one task per worker. The tickets of workers
// that already run a task of the step count as if a second one could run there, so no further
// approval is requested and a task waits until a ticket expires.
func TestNoApprovalIsRequestedForATaskThatMayNotRunBesideItsSiblings(t *testing.T) {
	g := NewWithT(t)
	const validFor = time.Minute
	f := &fleet{cell: newCell(1), stopTime: func() time.Duration { return 200 * time.Millisecond }}
	f.runTime = func(kqplan.Order) time.Duration { return 0 }
	f.SetPolicy(&kqflow.Policy{Version: 2, Queues: map[string]kqflow.Queue{"urgent": {Name: "urgent", Service: "s", MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond,
		Approval: kqflow.Approval{Required: true, DecisionTime: 200 * time.Millisecond, DecisionTimePerWorker: 10 * time.Millisecond, ValidFor: validFor}}}})
	capacity := kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 64400 << 20}
	f.addWorker("h1", capacity)
	f.addWorker("h2", capacity)
	s := standingStep()
	s.Count, s.MaxPerWorker = 2, 1
	f.Submit(f.now, job("standing", "urgent", f.now, s), nil, 0)
	for range 40 {
		f.advance(fleetStep, nil)
		f.approveAll(validFor)
	}
	g.Expect(f.workers[0].runs).To(HaveLen(1))
	g.Expect(f.workers[1].runs).To(HaveLen(1))
	f.addWorker("h3", capacity)
	f.addWorker("h4", capacity)
	f.AgentDisconnected(f.now, "h1")
	f.WorkerDeparted(f.now, "w-h1")
	f.workers = f.workers[1:]
	departedAt, delay := f.now, maxDowntime
	for f.now.Sub(departedAt) < maxDowntime {
		f.advance(fleetStep, func(kqplan.Order) { delay = min(delay, f.now.Sub(departedAt)) })
		f.approveAll(validFor)
	}
	g.Expect(delay).To(BeNumerically("<=", maxPlacementDelay))
}

// A queue of a lower priority leaves 6 % of each worker's processors to the top priority. A
// long-running task that ran on a larger worker waits although two workers have enough processors
// free.
func TestTheReserveForTheTopPriorityKeepsLongRunningTasksAway(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{cell: newCell(1), stopTime: func() time.Duration { return 200 * time.Millisecond }}
	f.runTime = func(kqplan.Order) time.Duration { return 0 }
	f.addWorker("h1", kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 64400 << 20})
	f.Submit(f.now, job("standing", "batch", f.now, standingStep()), nil, 0)
	f.advance(5*time.Second, nil)
	g.Expect(f.workers[0].runs).To(HaveLen(1))
	f.addWorker("h2", kqmodel.Resources{MilliProcessors: 6500, MemoryBytes: 64400 << 20})
	f.addWorker("h3", kqmodel.Resources{MilliProcessors: 6500, MemoryBytes: 64400 << 20})
	g.Expect(f.departFirst()).To(BeNumerically("<=", maxPlacementDelay))
}

// Five of six workers have less free than a task needs together with the reserve for the top priority.
// Guards against requests that are made for these, and counts of approved workers that include them: the
// task waits until the tickets expire, and then the same workers are requested again.
func TestApprovalOfWorkersWithoutFreeCapacityIsRequested(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{cell: newCell(1), stopTime: func() time.Duration { return 200 * time.Millisecond }, runTime: func(kqplan.Order) time.Duration { return time.Hour }}
	policy := kqflow.Approval{Required: true, DecisionTime: 200 * time.Millisecond, DecisionTimePerWorker: 10 * time.Millisecond, ValidFor: time.Minute}
	f.SetPolicy(&kqflow.Policy{Version: 2, Queues: map[string]kqflow.Queue{
		"top":   {Name: "top", Service: "s", MaxAttempts: 2, Stretch: 1.5, Target: time.Second},
		"batch": {Name: "batch", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 1.5, Target: time.Second, Approval: policy}}})
	for n := range 5 {
		f.addWorker(fmt.Sprintf("h%d", n+1), kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 64 << 30})
	}
	full := newStep(5, 30)
	full.Estimate = time.Hour
	f.Submit(f.now, job("full", "top", f.now, full), nil, 0)
	f.advance(time.Second, nil)
	f.addWorker("h6", kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 64 << 30})
	f.Submit(f.now, job("waiting", "batch", f.now, newStep(1, 1)), nil, 0)
	submittedAt, delay := f.now, maxDowntime
	for f.now.Sub(submittedAt) < maxDowntime {
		f.advance(fleetStep, func(kqplan.Order) { delay = min(delay, f.now.Sub(submittedAt)) })
		f.approveAll(policy.ValidFor)
	}
	g.Expect(delay).To(BeNumerically("<", maxUrgentDelay))
}
