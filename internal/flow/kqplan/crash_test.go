package kqplan_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// crashCell is a cell of four hosts whose workers crash. Its jobs have one task each, which needs two of
// a host's eight processors.
type crashCell struct {
	*cell
	incarnations int
	// runningOn holds the order of each run that was placed and has not ended, by task.
	running map[string]kqplan.Order
	hosts   map[kqexecution.Incarnation]string
}

// longStep returns a step of a task that is not expected to make progress during a test.
func longStep() kqflow.Step {
	s := newStep(1, 2)
	s.Estimate = time.Hour
	return s
}

func newCrashCell() *crashCell {
	c := &crashCell{cell: newCell(1), running: map[string]kqplan.Order{}, hosts: map[kqexecution.Incarnation]string{}}
	for i := range 4 {
		c.replaceWorker(fmt.Sprint("h", i))
	}
	return c
}

// replaceWorker starts a new incarnation on a host.
func (c *crashCell) replaceWorker(host string) {
	c.incarnations++
	worker := fmt.Sprint("w", c.incarnations)
	c.hosts[kqexecution.Incarnation(worker)] = host
	c.addHost(host, worker, 8)
	c.settle()
}

func (c *crashCell) submit(ids ...string) {
	for _, id := range ids {
		c.Submit(c.now, job(id, "batch", c.now, longStep()), nil, 0)
	}
	c.settle()
}

// settle lets the planner place what it can, while the workers report their runs.
func (c *crashCell) settle() {
	for range 30 {
		c.now = c.now.Add(50 * time.Millisecond)
		reports := map[kqexecution.Incarnation]*kqplan.Report{}
		for w := range c.hosts {
			reports[w] = &kqplan.Report{Worker: w, Complete: true}
		}
		for _, o := range c.running {
			if r := reports[o.Worker]; r != nil {
				r.Running = append(r.Running, kqexecution.RunStatus{Run: o.Run, Percent: 1})
			}
		}
		for w, host := range c.hosts {
			c.ApplyReport(c.now, host, *reports[w])
			c.LeaseGranted(c.now, host, 7*time.Second)
		}
		c.tickUntilIdle()
		for _, o := range c.takeOrders() {
			if delete(c.running, o.Run.Task); !o.Stop {
				c.running[o.Run.Task] = o
			}
		}
	}
}

// end is the report of the crash of a worker on which each run had been at work for a time.
func (c *crashCell) end(worker kqexecution.Incarnation, runTime func(task string) time.Duration) kqplan.WorkerEnd {
	e := kqplan.WorkerEnd{Worker: worker, Crashed: true, SilentFor: 3 * time.Second}
	for _, o := range c.running {
		if o.Worker == worker {
			e.Runs = append(e.Runs, kqplan.StartedRun{Run: o.Run, RunTime: runTime(o.Run.Task)})
		}
	}
	return e
}

// crash reports the crash of workers at the same time, after the run times of their tasks; new ones start.
func (c *crashCell) crash(runTime func(task string) time.Duration, workers ...kqexecution.Incarnation) {
	for _, w := range workers {
		c.WorkerEnded(c.now, c.hosts[w], c.end(w, runTime))
	}
	c.lose(workers...)
}

// lose ends workers and starts new ones on their hosts.
func (c *crashCell) lose(workers ...kqexecution.Incarnation) {
	for _, w := range workers {
		host := c.hosts[w]
		delete(c.hosts, w)
		for task, o := range c.running {
			if o.Worker == w {
				delete(c.running, task)
			}
		}
		c.WorkerDeparted(c.now, host, w)
		c.replaceWorker(host)
	}
}

// workerOf returns the worker of the only task of a job.
func (c *crashCell) workerOf(id string) kqexecution.Incarnation { return c.running[id+".0.0.0"].Worker }

func after(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}

// What counts as a crash under a task, and when the task is given up. Guards against innocent tasks that
// are given up, and against crashes that are not counted or counted twice.
func TestWhichCrashesCountAgainstATask(t *testing.T) {
	const quick, slow = 10 * time.Millisecond, 2 * time.Second
	for name, x := range map[string]struct {
		// others are jobs beside the job "j".
		others []string
		happen func(c *crashCell)
		// crashes is how many crashes are recorded for the task of "j", failed whether the job is failed.
		crashes int
		failed  bool
	}{
		"one in isolation": {happen: func(c *crashCell) { c.crash(after(quick), c.workerOf("j")) }, crashes: 1},
		"two in isolation": {failed: true, happen: func(c *crashCell) {
			c.crash(after(quick), c.workerOf("j"))
			c.crash(after(quick), c.workerOf("j"))
		}},
		"two in isolation, not at once": {crashes: 2, happen: func(c *crashCell) {
			c.crash(after(200*time.Millisecond), c.workerOf("j"))
			c.crash(after(200*time.Millisecond), c.workerOf("j"))
		}},
		"five at the same time after the start": {failed: true, happen: func(c *crashCell) {
			for range 5 {
				c.crash(after(slow), c.workerOf("j"))
			}
		}},
		"many at different times after the start": {crashes: 5, happen: func(c *crashCell) {
			for n := range 8 {
				c.crash(after(time.Duration(n)*400*time.Millisecond), c.workerOf("j"))
			}
		}},
		"after long work": {happen: func(c *crashCell) { c.crash(after(time.Minute), c.workerOf("j")) }},
		"of several workers at once": {others: []string{"a", "b", "c", "d"}, crashes: 3, happen: func(c *crashCell) {
			for range 3 {
				c.crash(after(quick), c.workerOf("j"), c.otherWorkerThan("j"))
			}
		}},
		"beside tasks that start as late": {others: []string{"a", "b", "c", "d", "e", "f"}, crashes: 1, happen: func(c *crashCell) {
			for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
				if w := c.workerOf(id); w != "" && w == c.workerOf("j") {
					c.crash(after(quick), w)
					return
				}
			}
		}},
		"beside a task that is suspected of several": {others: []string{"p"}, happen: func(c *crashCell) {
			for n := range 8 {
				e := kqplan.WorkerEnd{Worker: kqexecution.Incarnation(fmt.Sprint("x", n)), Crashed: true, SilentFor: time.Duration(n) * time.Second,
					Runs: []kqplan.StartedRun{{Run: kqexecution.Run{Task: "p.0.0.0", Number: 1}, RunTime: time.Duration(n%2) * 290 * time.Millisecond}}}
				if n > 1 {
					e.Runs = append(e.Runs, kqplan.StartedRun{Run: kqexecution.Run{Task: "j.0.0.0", Number: 1}})
				}
				c.WorkerEnded(c.now, "h0", e)
			}
		}},
		"reported twice": {crashes: 1, happen: func(c *crashCell) {
			w := c.workerOf("j")
			e := c.end(w, after(quick))
			c.crash(after(quick), w)
			c.WorkerEnded(c.now, "h0", e)
			c.settle()
		}},
		"without a report of the agent": {crashes: 1, happen: func(c *crashCell) { c.lose(c.workerOf("j")) }},
		"reported after the lease has ended": {crashes: 1, happen: func(c *crashCell) {
			w := c.workerOf("j")
			host, e := c.hosts[w], c.end(w, after(quick))
			delete(c.hosts, w)
			for range 6 {
				c.settle()
			}
			c.WorkerEnded(c.now, host, e)
			c.settle()
		}},
		"no crash: the worker leaves": {happen: func(c *crashCell) {
			w := c.workerOf("j")
			c.WorkerEnded(c.now, c.hosts[w], kqplan.WorkerEnd{Worker: w})
			c.lose(w)
		}},
		"no crash: the lease ends": {happen: func(c *crashCell) {
			delete(c.hosts, c.workerOf("j"))
			for range 6 {
				c.settle()
			}
		}},
		"no crash: the worker is silent": {happen: func(c *crashCell) {
			w := c.workerOf("j")
			c.UpdateWorker(c.now, c.hosts[w], kqplan.WorkerInfo{Worker: w, Service: "s", Unresponsive: true})
			c.settle()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newCrashCell()
			c.submit(append([]string{"j"}, x.others...)...)
			g.Expect(c.workerOf("j")).NotTo(BeEmpty())
			x.happen(c)
			c.settle()
			g.Expect(c.states["j"] == kqflow.StateFailed).To(Equal(x.failed), "the job is %s", c.states["j"])
			if !x.failed {
				g.Expect(c.records["j"].Tasks[0].Crashes).To(HaveLen(x.crashes), "%+v", c.records["j"].Tasks[0].Crashes)
				g.Expect(c.workerOf("j")).NotTo(BeEmpty(), "the task runs again")
			}
			for _, id := range x.others {
				g.Expect(c.states[id]).NotTo(Equal(kqflow.StateFailed), id)
				g.Expect(c.workerOf(id)).NotTo(BeEmpty(), "%s runs again", id)
			}
			g.Expect(c.counter.Breaches()).To(BeEmpty())
		})
	}
}

// otherWorkerThan returns the worker of another job that runs on another worker.
func (c *crashCell) otherWorkerThan(id string) kqexecution.Incarnation {
	for _, o := range c.running {
		if o.Worker != c.workerOf(id) {
			return o.Worker
		}
	}
	return ""
}

// A new owner must go on with the count of the owner before it.
func TestATakeoverForgetsTheCrashesUnderATask(t *testing.T) {
	g := NewWithT(t)
	c := newCrashCell()
	c.submit("j")
	c.crash(after(0), c.workerOf("j"))
	record := c.records["j"]
	g.Expect(record.Tasks[0].Crashes).To(HaveLen(1))
	next := newCrashCell()
	next.Submit(next.now, job("j", "batch", c.now, longStep()), &record, 1)
	w := record.Tasks[0].Runs[0].Worker
	next.hosts[w] = record.Tasks[0].Runs[0].Host
	next.WorkerEnded(next.now, next.hosts[w], kqplan.WorkerEnd{Worker: w, Crashed: true, Runs: []kqplan.StartedRun{{Run: kqexecution.Run{Task: "j.0.0.0", Number: 2}}}})
	next.settle()
	g.Expect(next.states["j"]).To(Equal(kqflow.StateFailed))
}

// The suspects of one crash are tried apart from each other, on hosts that start nothing else meanwhile.
// Guards against suspects that crash the same innocent work again.
func TestSuspectsAreTriedBesideEachOther(t *testing.T) {
	g := NewWithT(t)
	c := newCrashCell()
	c.submit("a", "b", "c", "d", "e", "f")
	w := c.workerOf("a")
	c.WorkerEnded(c.now, c.hosts[w], c.end(w, after(0)))
	suspects := len(c.end(w, after(0)).Runs)
	g.Expect(suspects).To(BeNumerically(">", 0))
	c.WorkerDeparted(c.now, c.hosts[w], w)
	delete(c.hosts, w)
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		if c.workerOf(id) == w {
			delete(c.running, id+".0.0.0")
		}
	}
	c.Tick(c.now)
	c.tickUntilIdle()
	started := map[kqexecution.Incarnation]int{}
	for _, o := range c.takeOrders() {
		started[o.Worker]++
	}
	for worker, n := range started {
		g.Expect(n).To(Equal(1), "%s starts %d suspects at once", worker, n)
	}
	g.Expect(len(started)).To(BeNumerically("<=", 2), "hosts with a trial")
}
