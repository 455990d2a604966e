package kqplan_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// quarantinedFleet returns a fleet in which the long-running task "standing.0.0.0" runs on h1, and
// h2 and h3 are quarantined because jobs that fail everywhere have failed there. Finite runs that do
// not fail take the time finite.
func quarantinedFleet(g *WithT, finite time.Duration) *fleet {
	f := &fleet{cell: newCell(1), stopTime: func() time.Duration { return 200 * time.Millisecond }}
	f.runTime = func(o kqplan.Order) time.Duration {
		if o.Run.Task == standingTask {
			return 0
		}
		return finite
	}
	capacity := kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 64 << 30}
	f.addWorker("h1", capacity)
	f.Submit(f.now, job("standing", "urgent", f.now, standingStep()), nil, 0)
	f.advance(time.Second, nil)
	g.Expect(f.workers[0].runs).To(HaveLen(1))
	for _, h := range []string{"h2", "h3"} {
		f.addWorker(h, capacity)
		w := f.workers[len(f.workers)-1]
		for n := range 2 {
			poison := newStep(1, 30)
			poison.Resources.MemoryBytes = 20 << 30
			f.Submit(f.now, job(fmt.Sprintf("poison-%s-%d", h, n), "urgent", f.now, poison), nil, 0)
			f.advance(fleetStep, nil)
			g.Expect(w.runs).To(HaveLen(1), "the other workers have no 30 processors free")
			f.failRuns(w)
			f.advance(fleetStep, nil)
			for _, x := range w.runs {
				f.Submit(f.now, kqflow.Submission{Job: kqflow.Job{ID: fmt.Sprintf("poison-%s-%d", h, n)}, Cancelled: true}, nil, 0)
				x.endsAt, x.reason = f.now, kqexecution.EndStopped
			}
			f.advance(2*fleetStep, nil)
		}
		g.Expect(w.runs).To(BeEmpty())
	}
	return f
}

const standingTask = "standing.0.0.0"

// standingStep returns a step of a long-running task of 6.4 processors and 13 GiB.
func standingStep() kqflow.Step {
	return kqflow.Step{Count: 1, Resources: kqmodel.Resources{MilliProcessors: 6400, MemoryBytes: 13 << 30}, Estimate: time.Second, LongRunning: true}
}

// failRuns lets all runs of a worker fail in the next update.
func (f *fleet) failRuns(w *fleetWorker) {
	for _, x := range w.runs {
		x.endsAt, x.reason = f.now, kqexecution.EndFailed
	}
}

// departFirst takes the first worker away and returns how long the standing task then waits for an
// order, up to maxDowntime.
func (f *fleet) departFirst() time.Duration {
	host, worker := f.workers[0].host, f.workers[0].worker
	f.AgentDisconnected(f.now, host)
	f.WorkerDeparted(f.now, worker)
	f.workers = f.workers[1:]
	departedAt, delay := f.now, maxDowntime
	f.advance(maxDowntime, func(o kqplan.Order) {
		if o.Run.Task == standingTask {
			delay = min(delay, f.now.Sub(departedAt))
		}
	})
	return delay
}

// All workers that are left are quarantined. Each gets one filling task as its probe, which is
// throttled and takes long. A probe that is under way keeps every other task from a quarantined
// worker, so a long-running task waits for the end of the filling tasks.
func TestAFillingTaskAsAProbeKeepsLongRunningTasksAway(t *testing.T) {
	g := NewWithT(t)
	f := quarantinedFleet(g, time.Minute)
	f.advance(1500*time.Millisecond, nil)
	f.Submit(f.now, fillingJob("filling", f.now, 4), nil, 0)
	f.advance(2*time.Second, nil)
	for _, w := range f.workers[1:] {
		g.Expect(w.runs).To(HaveLen(1), "one probe")
	}
	g.Expect(f.departFirst()).To(BeNumerically("<=", maxPlacementDelay))
}

// As above, with a finite task of the same priority that takes long.
func TestALongFiniteTaskAsAProbeKeepsLongRunningTasksAway(t *testing.T) {
	g := NewWithT(t)
	f := quarantinedFleet(g, time.Minute)
	f.advance(1500*time.Millisecond, nil)
	s := newStep(2, 20)
	s.Estimate = time.Minute
	s.MaxPerWorker = 1
	f.Submit(f.now, job("long", "urgent", f.now, s), nil, 0)
	f.advance(2*time.Second, nil)
	g.Expect(len(f.workers[1].runs) + len(f.workers[2].runs)).To(BeNumerically(">", 0))
	g.Expect(f.departFirst()).To(BeNumerically("<=", maxPlacementDelay))
}

// Without a probe under way, a long-running task may be the probe itself.
func TestALongRunningTaskIsPlacedOnAQuarantinedWorker(t *testing.T) {
	g := NewWithT(t)
	f := quarantinedFleet(g, time.Minute)
	g.Expect(f.departFirst()).To(BeNumerically("<=", maxPlacementDelay))
}

// A queue of long-running tasks allows one failed run. Such tasks are restarted however often they
// fail, but mayRun counts the attempts that are left and never lets one probe a quarantined worker.
func TestALongRunningTaskOfAQueueWithOneAttemptNeverProbes(t *testing.T) {
	g := NewWithT(t)
	f := quarantinedFleet(g, time.Minute)
	f.SetPolicy(&kqflow.Policy{Version: 2, Queues: map[string]kqflow.Queue{"urgent": {Name: "urgent", Service: "s", MaxAttempts: 1, Stretch: 1.5, Target: 250 * time.Millisecond}}})
	g.Expect(f.departFirst()).To(BeNumerically("<=", maxPlacementDelay))
}

// A finite run makes no progress on the only worker that is left, and there is no other worker to
// move it to. Each progress check quarantines the worker anew, so a long-running task is never placed
// there.
func TestAStalledRunQuarantinesItsWorkerAgainAndAgain(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{cell: newCell(1), stopTime: func() time.Duration { return 200 * time.Millisecond }, runTime: func(kqplan.Order) time.Duration { return 0 }}
	f.addWorker("h1", kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 64 << 30})
	f.Submit(f.now, job("standing", "urgent", f.now, standingStep()), nil, 0)
	f.advance(time.Second, nil)
	f.addWorker("h2", kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 64 << 30})
	f.Submit(f.now, job("stuck", "urgent", f.now, newStep(1, 4)), nil, 0)
	f.advance(3*time.Second, nil)
	g.Expect(f.workers[1].runs).To(HaveLen(1))
	g.Expect(f.departFirst()).To(BeNumerically("<=", maxPlacementDelay))
}

// Long-running tasks that fail shortly after each start count as failures of their worker. They keep
// it quarantined, and keep another long-running task away from it.
func TestLongRunningTasksThatFailKeepAnotherAway(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{cell: newCell(1), stopTime: func() time.Duration { return 200 * time.Millisecond }, runTime: func(kqplan.Order) time.Duration { return 0 }}
	f.addWorker("h1", kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 64 << 30})
	f.Submit(f.now, job("standing", "urgent", f.now, standingStep()), nil, 0)
	f.advance(time.Second, nil)
	f.addWorker("h2", kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 64 << 30})
	failing := standingStep()
	failing.Count = 3
	f.Submit(f.now, job("failing", "urgent", f.now, failing), nil, 0)
	failSoon := func(kqplan.Order) {
		for _, x := range f.workers[len(f.workers)-1].runs {
			if x.order.Run.Task != standingTask && x.endsAt.IsZero() {
				x.endsAt, x.reason = f.now.Add(time.Second), kqexecution.EndFailed
			}
		}
	}
	f.advance(4*time.Second, failSoon)
	g.Expect(f.workers[0].runs).To(HaveLen(1))
	f.AgentDisconnected(f.now, "h1")
	f.WorkerDeparted(f.now, "w-h1")
	f.workers = f.workers[1:]
	departedAt, delay := f.now, maxDowntime
	f.advance(maxDowntime, func(o kqplan.Order) {
		failSoon(o)
		if o.Run.Task == standingTask {
			delay = min(delay, f.now.Sub(departedAt))
		}
	})
	g.Expect(delay).To(BeNumerically("<=", maxPlacementDelay))
}

// A long-running task fails 100 ms after each start on the only worker. Quarantine does not bar a
// long-running task that has run, so without a wait after a failure it would be restarted at once.
func TestALongRunningTaskThatKeepsFailingIsRestartedWithoutPause(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{cell: newCell(1), stopTime: func() time.Duration { return 200 * time.Millisecond }, runTime: func(kqplan.Order) time.Duration { return 0 }}
	f.addWorker("h1", kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 64 << 30})
	f.Submit(f.now, job("standing", "urgent", f.now, standingStep()), nil, 0)
	starts := 0
	f.advance(maxDowntime, func(kqplan.Order) {
		starts++
		for _, x := range f.workers[0].runs {
			x.endsAt, x.reason = f.now.Add(100*time.Millisecond), kqexecution.EndFailed
		}
	})
	// The second failure quarantines the worker, for at least 1.5 s after each failure.
	g.Expect(starts).To(BeNumerically("~", 2+int(maxDowntime/(1500*time.Millisecond)), 2))
}
