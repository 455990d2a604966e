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

// faultyWorker is a fleet of one worker whose runs fail after 150 ms, stall or are refused while it is
// faulty, and take the time that runTime returns afterwards.
type faultyWorker struct {
	*fleet
	fault    kqexecution.EndReason
	faultyAt time.Time // of the latest fault
	faults   int
}

// stalls is the fault of a worker on which runs make no progress.
const stalls kqexecution.EndReason = "stalls"

func newFaultyWorker(attempts int, runTime time.Duration) *faultyWorker {
	f := &faultyWorker{fleet: &fleet{cell: newCell(1), stopTime: func() time.Duration { return 200 * time.Millisecond }}}
	f.runTime = func(o kqplan.Order) time.Duration {
		switch f.fault {
		case kqexecution.EndFailed:
			return 150 * time.Millisecond
		case stalls:
			return 0
		}
		return runTime
	}
	f.refuses = func(*fleetWorker, kqplan.Order) bool {
		if f.fault == kqexecution.EndRefused {
			f.faults, f.faultyAt = f.faults+1, f.now
		}
		return f.fault == kqexecution.EndRefused
	}
	f.SetPolicy(&kqflow.Policy{Version: 2, Queues: map[string]kqflow.Queue{
		"waiting": {Name: "waiting", Service: "s", MaxAttempts: attempts, Stretch: 1.5, Target: time.Second},
		"other":   {Name: "other", Service: "s", Priority: 1, MaxAttempts: 8, Stretch: 1.5, Target: time.Second}}})
	f.addWorker("h1", kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 64 << 30})
	return f
}

// advanceUntil simulates until the condition holds, at most for maxDowntime, and calls onOrder for each
// start. Runs that start while the worker is faulty fail.
func (f *faultyWorker) advanceUntil(g *WithT, what string, condition func() bool, onOrder func(kqplan.Order)) {
	for end := f.now.Add(maxDowntime); !condition(); {
		g.Expect(f.now).To(BeTemporally("<", end), what)
		f.advance(fleetStep, func(o kqplan.Order) {
			if x := f.workers[0].runs[o.Run]; x != nil && f.fault == kqexecution.EndFailed {
				x.reason = kqexecution.EndFailed
				f.faults, f.faultyAt = f.faults+1, x.endsAt
			}
			if onOrder != nil {
				onOrder(o)
			}
		})
	}
}

// A worker is faulty for a while, and no other can run a task. Guards against a quarantine that only a
// task with several attempts left can end, although there is none, and against probes that keep a worker
// for themselves: the task is never started again.
func TestATaskThatOnlyAQuarantinedWorkerCanRunIsNeverStarted(t *testing.T) {
	one := newStep(1, 1)
	three, gang, longRunning, all := newStep(3, 1), newStep(3, 1), newStep(1, 1), newStep(1, 20)
	gang.Gang, longRunning.LongRunning, all.Estimate = true, true, 10*time.Second
	for name, x := range map[string]struct {
		attempts int
		step     kqflow.Step
		// fault is the fault of the worker until it has occurred faults times: in runs of the waiting
		// job, or, if otherFirst is true, in runs of another job, after which the waiting job is
		// submitted.
		fault      kqexecution.EndReason
		faults     int
		otherFirst bool
		// holds is the number of processors of a job that starts as soon as the worker is sound and
		// runs for a minute; 0 if there is none.
		holds int64
	}{
		"last attempt":                     {attempts: 4, step: one, fault: kqexecution.EndFailed, faults: 3},
		"last attempt of several tasks":    {attempts: 3, step: three, fault: kqexecution.EndFailed, faults: 6},
		"last attempt of a gang":           {attempts: 2, step: gang, fault: kqexecution.EndFailed, faults: 3},
		"only attempt":                     {attempts: 1, step: one, fault: kqexecution.EndFailed, faults: 2, otherFirst: true},
		"only attempt of a gang":           {attempts: 1, step: gang, fault: kqexecution.EndFailed, faults: 2, otherFirst: true},
		"only attempt, long-running":       {attempts: 1, step: longRunning, fault: kqexecution.EndFailed, faults: 2, otherFirst: true},
		"only attempt, refused":            {attempts: 1, step: one, fault: kqexecution.EndRefused, faults: 1},
		"another run stalls":               {attempts: 2, step: one, fault: stalls, otherFirst: true},
		"a long probe":                     {attempts: 2, step: one, fault: kqexecution.EndFailed, faults: 2, otherFirst: true, holds: 1},
		"a long probe after a refusal":     {attempts: 2, step: one, fault: kqexecution.EndRefused, faults: 1, otherFirst: true, holds: 1},
		"a long probe of a lower priority": {attempts: 2, step: all, fault: kqexecution.EndFailed, faults: 2, otherFirst: true, holds: 20},
		"last attempt behind a long probe": {attempts: 1, step: one, fault: kqexecution.EndFailed, faults: 2, otherFirst: true, holds: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFaultyWorker(x.attempts, 300*time.Millisecond)
			f.fault = x.fault
			submit := func(id, queue string, s kqflow.Step) { f.Submit(f.now, job(id, queue, f.now, s), nil, 0) }
			first := "waiting"
			if x.otherFirst {
				first = "other"
				submit("other", "other", one)
			} else {
				submit("waiting", "waiting", x.step)
			}
			if x.fault == stalls {
				f.advance(3*time.Second, nil)
				f.faultyAt = f.now
			} else {
				f.advanceUntil(g, "faults of job "+first, func() bool { return f.faults >= x.faults && !f.now.Before(f.faultyAt) }, nil)
			}
			f.fault = ""
			if x.holds > 0 {
				f.Submit(f.now, kqflow.Submission{Job: kqflow.Job{ID: "other"}, Cancelled: true}, nil, 0)
				f.runTime = func(o kqplan.Order) time.Duration {
					if o.Run.Task == "holds.0.0.0" {
						return time.Minute
					}
					return 300 * time.Millisecond
				}
				s := newStep(1, x.holds)
				s.Estimate = time.Minute
				submit("holds", "other", s)
				f.advanceUntil(g, "start of the probe", func() bool { return len(f.workers[0].runs) > 0 }, nil)
				f.faultyAt = f.now
			}
			if x.otherFirst {
				submit("waiting", "waiting", x.step)
			}
			started := time.Time{}
			f.advanceUntil(g, "start of the waiting task", func() bool { return !started.IsZero() }, func(o kqplan.Order) {
				if o.Run.Task == "waiting.0.0.0" || o.Run.Task == "waiting.0.0.1" || o.Run.Task == "waiting.0.0.2" {
					started = f.now
				}
			})
			g.Expect(started.Sub(f.faultyAt)).To(BeNumerically("<", maxUrgentDelay))
			if !x.step.LongRunning {
				f.advanceUntil(g, "end of the waiting job", func() bool { return f.states["waiting"] == kqflow.StateCompleted }, nil)
			}
		})
	}
}

// A worker fails all that it starts, and the other one, which is sound, is full for 8 s. Guards against a
// last attempt that is spent on the quarantined worker although the other one could run the task later.
func TestTheLastAttemptIsSpentOnAQuarantinedWorker(t *testing.T) {
	g := NewWithT(t)
	f := newFaultyWorker(3, 300*time.Millisecond)
	f.fault = kqexecution.EndFailed
	f.Submit(f.now, job("waiting", "waiting", f.now, newStep(1, 1)), nil, 0)
	f.advanceUntil(g, "two failures", func() bool { return f.faults >= 2 && !f.now.Before(f.faultyAt) }, nil)
	f.addWorker("h2", kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 64 << 30})
	f.workers[0], f.workers[1] = f.workers[1], f.workers[0]
	f.fault = ""
	f.runTime = func(o kqplan.Order) time.Duration {
		if o.Run.Task == "full.0.0.0" {
			return 8 * time.Second
		}
		return 300 * time.Millisecond
	}
	f.Submit(f.now, job("full", "waiting", f.now, newStep(1, 8)), nil, 0)
	worker := kqexecution.Incarnation("")
	f.advanceUntil(g, "third attempt", func() bool { return worker != "" }, func(o kqplan.Order) {
		if o.Run.Task == "waiting.0.0.0" {
			worker = o.Worker
		}
	})
	g.Expect(worker).To(BeEquivalentTo("w-h2"))
}
