package kqplan_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// restoredCell returns the cell of a new owner that has restored a long-running task whose run the
// record lists on h1, and that has the free workers h2 and h3.
func restoredCell(g *WithT, stopping bool) *cell {
	c := newCell(2)
	s := newStep(1, 1)
	s.LongRunning = true
	r := kqflow.JobRecord{State: kqflow.StateRunning, Occurrences: 1, Queue: kqflow.Queue{Name: "urgent", Service: "s"},
		Tasks: []kqflow.TaskRecord{{LastRun: 1, Runs: []kqflow.RunRecord{{Number: 1, Host: "h1", Worker: "w1", Stopping: stopping}}}}}
	c.Submit(c.now, job("standing", "urgent", c.now, s), &r, 7)
	c.addHost("h2", "w2", 8)
	c.addHost("h3", "w3", 8)
	return c
}

// placedWithin advances the cell and returns how long the task waits for a start, up to limit.
func (c *cell) placedWithin(limit time.Duration, update func()) time.Duration {
	began := c.now
	for c.now.Sub(began) < limit {
		c.now = c.now.Add(100 * time.Millisecond)
		for _, h := range []string{"h2", "h3"} {
			c.LeaseGranted(c.now, h, 7*time.Second)
		}
		update()
		c.tickUntilIdle()
		for _, o := range c.takeOrders() {
			if !o.Stop && o.Run.Number > 1 {
				return c.now.Sub(began)
			}
		}
	}
	return limit
}

// leaseTime is the time after which a lease of 7 s has certainly expired.
const leaseTime = 7*time.Second*103/100 + 250*time.Millisecond

// Each new owner waits for a lease that an earlier one may have granted to a host that does not come
// back, and no longer.
func TestATaskOfAHostThatNeverConnectsIsPlacedOnceItsLeaseHasExpired(t *testing.T) {
	g := NewWithT(t)
	for _, stopping := range []bool{false, true} {
		c := restoredCell(g, stopping)
		g.Expect(c.placedWithin(2*maxDowntime, func() {})).To(BeNumerically("<=", leaseTime+200*time.Millisecond))
	}
}

// The host of a restored run connects with another worker: the run has certainly ended.
func TestATaskOfAReplacedWorkerIsPlacedAtOnceAfterATakeover(t *testing.T) {
	g := NewWithT(t)
	c := restoredCell(g, false)
	c.addHost("h1", "other", 8)
	g.Expect(c.placedWithin(maxDowntime, func() { c.LeaseGranted(c.now, "h1", 7*time.Second) })).To(BeNumerically("<=", 200*time.Millisecond))
}

// The worker of a restored run has ended it and reports the end to the new owner.
func TestALapsedRunIsPlacedAtOnceAfterATakeover(t *testing.T) {
	g := NewWithT(t)
	c := restoredCell(g, false)
	c.addHost("h1", "w1", 8)
	c.ApplyReport(c.now, "h1", kqplan.Report{Worker: "w1", Complete: true, Ended: []kqexecution.RunEnd{{Number: 9, Run: kqexecution.Run{Task: standingTask, Number: 1}, Reason: kqexecution.EndLeaseExpired}}})
	g.Expect(c.placedWithin(maxDowntime, func() { c.LeaseGranted(c.now, "h1", 7*time.Second) })).To(BeNumerically("<=", 200*time.Millisecond))
}

// A restored run is to be stopped and its worker does not have it any more: the agent reports that it
// is absent.
func TestAnAbsentRunIsPlacedAtOnceAfterATakeover(t *testing.T) {
	g := NewWithT(t)
	c := restoredCell(g, true)
	c.addHost("h1", "w1", 8)
	g.Expect(c.Resync(c.now, "h1")).To(HaveLen(1))
	c.ApplyReport(c.now, "h1", kqplan.Report{Worker: "w1", Ended: []kqexecution.RunEnd{{Run: kqexecution.Run{Task: standingTask, Number: 1}, Reason: kqexecution.EndAbsent}}})
	g.Expect(c.placedWithin(maxDowntime, func() { c.LeaseGranted(c.now, "h1", 7*time.Second) })).To(BeNumerically("<=", 200*time.Millisecond))
}

// Workers have orphans, which a new owner stops. The agents repeat a stop until it is answered, so it
// is ordered once; a host whose orphan does not end gets nothing, and the others are used.
func TestAnOrphanKeepsOnlyItsHostFromLongRunningTasks(t *testing.T) {
	g := NewWithT(t)
	c := restoredCell(g, false)
	c.addHost("h1", "other", 8)
	orphan := kqexecution.RunStatus{Run: kqexecution.Run{Task: "gone.0.0.0", Number: 4}}
	g.Expect(c.placedWithin(maxDowntime, func() {
		c.ApplyReport(c.now, "h2", kqplan.Report{Worker: "w2", Complete: true, Running: []kqexecution.RunStatus{orphan}})
	})).To(BeNumerically("<=", 200*time.Millisecond))
}
