package kqplan_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

var crashCapacity = kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 1 << 40}

// newCrashFleet returns four hosts with jobs of one long task of two processors each.
func newCrashFleet(jobs ...string) *fleet {
	f := &fleet{cell: newCell(1), runTime: func(kqplan.Order) time.Duration { return time.Hour }}
	for _, host := range []string{"h1", "h2", "h3", "h4"} {
		f.addWorker(host, crashCapacity)
	}
	for _, id := range jobs {
		f.submitLong(id, nil)
	}
	f.advance(2*time.Second, nil)
	return f
}

func (f *fleet) submitLong(id string, record *kqflow.JobRecord) {
	s := newStep(1, 2)
	s.Estimate = time.Hour
	f.Submit(f.now, job(id, "batch", f.now, s), record, 1)
}

// workerOf returns the worker that runs the task of a job, or nil.
func (f *fleet) workerOf(id string) *fleetWorker {
	for _, w := range f.workers {
		for r := range w.runs {
			if r.Task == id+".0.0.0" {
				return w
			}
		}
	}
	return nil
}

// crashOf reports the crash of a worker on which each run had been at work for runTime.
func (w *fleetWorker) crashOf(runTime time.Duration) kqplan.WorkerEnd {
	e := kqplan.WorkerEnd{Worker: w.worker, Crashed: true, SilentFor: 3 * time.Second}
	for _, r := range w.startOrder {
		e.Runs = append(e.Runs, kqplan.StartedRun{Run: r, RunTime: runTime})
	}
	return e
}

// replace starts the next incarnation on the host of each worker.
func (f *fleet) replace(workers ...*fleetWorker) {
	for _, w := range workers {
		f.WorkerDeparted(f.now, w.worker)
		*w = fleetWorker{host: w.host, worker: w.worker + "+", runs: map[kqexecution.Run]*fleetRun{}}
		f.UpdateWorker(f.now, w.host, kqplan.WorkerInfo{Worker: w.worker, Service: "s", Capacity: crashCapacity})
		f.LeaseGranted(f.now, w.host, 7*time.Second)
	}
	f.advance(2*time.Second, nil)
}

// crash reports that workers have crashed at the same time, and replaces them.
func (f *fleet) crash(runTime time.Duration, workers ...*fleetWorker) {
	for _, w := range workers {
		f.WorkerEnded(f.now, w.host, w.crashOf(runTime))
	}
	f.replace(workers...)
}

// silence takes a worker away until its lease has ended.
func (f *fleet) silence(w *fleetWorker) {
	f.workers = append([]*fleetWorker{}, f.workers...)
	for i := range f.workers {
		if f.workers[i] == w {
			f.workers = append(f.workers[:i], f.workers[i+1:]...)
			break
		}
	}
	f.advance(9*time.Second, nil)
}

// What counts as a crash under the task of job "j", and when it is given up. Guards against innocent tasks
// that are given up, and against crashes that are not counted or counted twice.
func TestWhichCrashesCountAgainstATask(t *testing.T) {
	const quick, slow = 10 * time.Millisecond, 200 * time.Millisecond
	crashes := func(runTimes ...time.Duration) func(f *fleet) {
		return func(f *fleet) {
			for _, d := range runTimes {
				f.crash(d, f.workerOf("j"))
			}
		}
	}
	for name, x := range map[string]struct {
		others  []string
		happen  func(f *fleet)
		crashes int
		failed  bool
	}{
		"one in isolation":                        {happen: crashes(quick), crashes: 1},
		"two in isolation":                        {happen: crashes(quick, quick), failed: true},
		"two in isolation, not at once":           {happen: crashes(slow, slow), crashes: 2},
		"three in isolation, not at once":         {happen: crashes(slow, slow, slow), failed: true},
		"five at the same time after the start":   {happen: crashes(time.Second, time.Second, time.Second, time.Second, time.Second), failed: true},
		"five at different times after the start": {happen: crashes(quick, time.Second, 2*time.Second, 3*time.Second, 4*time.Second), crashes: 5},
		"after long work":                         {happen: crashes(time.Minute)},
		"of several workers at once": {others: []string{"a", "b", "c", "d"}, crashes: 3, happen: func(f *fleet) {
			for range 3 {
				f.crash(quick, f.workerOf("j"), f.workerOf("a"))
			}
		}},
		"beside another that starts as late": {others: []string{"a", "b", "c", "d", "e", "f", "g"}, crashes: 2, happen: crashes(quick, slow)},
		"beside a task that is suspected of several": {others: []string{"p"}, happen: func(f *fleet) {
			for n := range 8 {
				e := kqplan.WorkerEnd{Worker: kqexecution.Incarnation(rune('a' + n)), Crashed: true, SilentFor: time.Duration(n) * time.Second,
					Runs: []kqplan.StartedRun{{Run: kqexecution.Run{Task: "p.0.0.0", Number: 1}, RunTime: time.Duration(n%2) * 290 * time.Millisecond}}}
				if n > 1 {
					e.Runs = append(e.Runs, kqplan.StartedRun{Run: kqexecution.Run{Task: "j.0.0.0", Number: 1}})
				}
				f.WorkerEnded(f.now, "h1", e)
			}
		}},
		"reported twice": {crashes: 1, happen: func(f *fleet) {
			e := f.workerOf("j").crashOf(quick)
			f.crash(quick, f.workerOf("j"))
			f.WorkerEnded(f.now, "h1", e)
		}},
		"without a report of the agent": {crashes: 1, happen: func(f *fleet) { f.replace(f.workerOf("j")) }},
		"reported after the lease has ended": {crashes: 1, happen: func(f *fleet) {
			w := f.workerOf("j")
			e := w.crashOf(quick)
			f.silence(w)
			f.WorkerEnded(f.now, w.host, e)
		}},
		"none: the lease ends": {happen: func(f *fleet) { f.silence(f.workerOf("j")) }},
		"none: the worker leaves": {happen: func(f *fleet) {
			f.WorkerEnded(f.now, f.workerOf("j").host, kqplan.WorkerEnd{Worker: f.workerOf("j").worker})
			f.replace(f.workerOf("j"))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newCrashFleet(append([]string{"j"}, x.others...)...)
			x.happen(f)
			f.advance(time.Second, nil)
			g.Expect(f.states["j"] == kqflow.StateFailed).To(Equal(x.failed), "the job is %s", f.states["j"])
			if !x.failed {
				g.Expect(f.records["j"].Tasks[0].Crashes).To(HaveLen(x.crashes))
				x.others = append(x.others, "j")
			}
			for _, id := range x.others {
				g.Expect(f.states[id]).To(Equal(kqflow.StateRunning), id)
				g.Expect(f.workerOf(id)).NotTo(BeNil(), "%s runs again", id)
			}
			g.Expect(f.counter.Breaches()).To(BeEmpty())
		})
	}
}

// A new owner must go on with the count of the owner before it.
func TestATakeoverForgetsTheCrashesUnderATask(t *testing.T) {
	g := NewWithT(t)
	first := newCrashFleet("j")
	first.crash(0, first.workerOf("j"))
	record, next := first.records["j"], newCrashFleet()
	next.submitLong("j", &record)
	run := record.Tasks[0].Runs[0]
	next.WorkerEnded(next.now, run.Host, kqplan.WorkerEnd{Worker: run.Worker, Crashed: true, Runs: []kqplan.StartedRun{{Run: kqexecution.Run{Task: "j.0.0.0", Number: run.Number}}}})
	next.advance(time.Second, nil)
	g.Expect(next.states["j"]).To(Equal(kqflow.StateFailed))
}

// An owner that has just taken over infers the end of a worker, since its agent has restarted. Guards
// against a crash that counts under a task which had not started there, or under that one alone.
func TestAnInferredCrashIsBlamedOnASuspectThatDidNotCauseIt(t *testing.T) {
	const first, second, third = "w1@5", "w1@8", "w1@9"
	suspect := kqflow.JobRecord{State: kqflow.StateRunning, Revision: 1, Occurrences: 1, Tasks: []kqflow.TaskRecord{{LastRun: 3,
		Crashes: []kqflow.CrashRecord{{Worker: "a", Suspected: true}, {Worker: "b", Suspected: true}}, Runs: []kqflow.RunRecord{{Number: 3, Host: "h1", Worker: second}}}}}
	other := kqflow.JobRecord{State: kqflow.StateRunning, Revision: 1, Occurrences: 1, Tasks: []kqflow.TaskRecord{{LastRun: 1, Runs: []kqflow.RunRecord{{Number: 1, Host: "h1", Worker: second}}}}}
	for name, x := range map[string]struct {
		suspect func() kqflow.JobRecord
		crashes int
	}{
		"at work for an unknown time": {crashes: 3, suspect: func() kqflow.JobRecord { return suspect }},
		"stopped on the incarnation after its own": {crashes: 2, suspect: func() kqflow.JobRecord {
			earlier := suspect
			earlier.Tasks = slices.Clone(suspect.Tasks)
			earlier.Tasks[0].Runs = []kqflow.RunRecord{{Number: 3, Host: "h1", Worker: first}}
			c := newCell(2)
			c.Submit(c.now, job("p", "batch", c.now, newStep(1, 2)), &earlier, 1)
			c.WorkerEnded(c.now, "h1", kqplan.WorkerEnd{Worker: first})
			c.addHost("h1", second, 8)
			c.tickUntilIdle()
			return c.records["p"]
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newCell(3)
			for id, record := range map[string]kqflow.JobRecord{"p": x.suspect(), "j": other} {
				c.Submit(c.now, job(id, "batch", c.now, newStep(1, 2)), &record, 1)
			}
			c.addHost("h1", second, 8)
			c.addHost("h1", third, 8)
			c.tickUntilIdle()
			g.Expect(c.records["p"].Tasks[0].Crashes).To(HaveLen(x.crashes))
			g.Expect(c.records["j"].Tasks[0].Crashes).To(HaveLen(1), "crashes under the other task")
		})
	}
}

// Three workers have crashed under a task, each with its agent, so that the task is not suspected. Its next
// run lapses as soon as it has started. Guards against a limit that counts the crashes in place of the
// starts: a task that crashes its workers must not start three times after its third crash.
func TestARunThatLapsesIsNotCountedAsAStartAfterThreeCrashes(t *testing.T) {
	g := NewWithT(t)
	f, starts := newCrashFleet("j"), 0
	for range 3 {
		starts = 0
		f.runTime = func(kqplan.Order) time.Duration { starts++; return time.Hour }
		f.replace(f.workerOf("j"))
	}
	g.Expect(f.records["j"].Tasks[0].Crashes).To(HaveLen(3))
	w := f.workerOf("j")
	w.runs[w.startOrder[0]].endsAt, w.runs[w.startOrder[0]].reason = f.now, kqexecution.EndLeaseExpired
	f.advance(2*time.Second, nil)
	g.Expect(starts).To(Equal(2))
	f.replace(f.workerOf("j"))
	g.Expect(starts).To(Equal(2), "starts after the third crash")
	g.Expect(f.states["j"]).To(Equal(kqflow.StateFailed))
}

// An innocent task that is suspected of two crashes has passed its trial. Its worker crashes for another
// reason before the crashes under it are forgotten, and it restarts beside others without a trial. Guards
// against the next crash there being blamed on it alone: the poison task beside it is then not suspected,
// and starts again and again.
func TestACrashIsBlamedOnASuspectThatHasPassedItsTrial(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{cell: newCell(1), runTime: func(kqplan.Order) time.Duration { return time.Hour }}
	f.addWorker("h1", crashCapacity)
	f.submitLong("innocent", nil)
	f.submitLong("poison", nil)
	f.advance(2*time.Second, nil)
	for n := range 2 {
		f.WorkerEnded(f.now, "h1", kqplan.WorkerEnd{Worker: kqexecution.Incarnation(rune('a' + n)), Crashed: true, SilentFor: time.Duration(n) * time.Second,
			Runs: []kqplan.StartedRun{{Run: kqexecution.Run{Task: "innocent.0.0.0", Number: 1}, RunTime: time.Duration(n) * 290 * time.Millisecond}}})
	}
	f.advance(time.Second, nil)
	w := f.workers[0]
	f.crash(3*time.Second, w) // the suspect is tried, and passes
	f.crash(2*time.Second, w)
	poison, beside := w.runs[w.startOrder[len(w.startOrder)-1]], w.runs[w.startOrder[0]]
	counted := len(f.records["poison"].Tasks[0].Crashes)
	g.Expect(f.workerOf("poison")).NotTo(BeNil())
	if poison.startedAt.Sub(beside.startedAt) >= 300*time.Millisecond {
		return // the suspect was tried alone
	}
	f.crash(0, w)
	g.Expect(f.records["poison"].Tasks[0].Crashes).To(HaveLen(counted + 1))
}

// The suspects of one crash are tried on hosts of their own. Guards against suspects that crash the same
// innocent work again, or each other.
func TestSuspectsAreTriedBesideEachOther(t *testing.T) {
	g := NewWithT(t)
	f := newCrashFleet("a", "b", "c", "d", "e", "f", "g", "h")
	w := f.workerOf("a")
	f.WorkerEnded(f.now, w.host, w.crashOf(0))
	f.WorkerDeparted(f.now, w.worker)
	g.Expect(len(w.runs)).To(BeNumerically(">", 1))
	*w = fleetWorker{}
	started := map[kqexecution.Incarnation]int{}
	f.advance(fleetStep, func(o kqplan.Order) { started[o.Worker]++ })
	for worker, n := range started {
		g.Expect(n).To(Equal(1), "suspects that start on %s at once", worker)
	}
}
