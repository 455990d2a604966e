package kqplan_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// unreportedCell returns a cell with a long-running task on h1 and free workers h2 and h3. The order
// to start it is returned; no report lists the run yet.
func unreportedCell(g *WithT) (*cell, kqplan.Order) {
	c := newCell(1)
	c.addHost("h1", "w1", 8)
	s := newStep(1, 1)
	s.LongRunning = true
	c.Submit(c.now, job("standing", "urgent", c.now.Add(-time.Second), s), nil, 0)
	c.tickUntilIdle()
	o := c.takeOrders()
	g.Expect(o).To(HaveLen(1))
	c.addHost("h2", "w2", 8)
	c.addHost("h3", "w3", 8)
	return c, o[0]
}

// advance advances the cell and returns the orders. All agents get leases, and every reportInterval they
// report completely: that of h1 lists the given runs, the others none.
func (c *cell) advance(d, reportInterval time.Duration, running ...kqexecution.RunStatus) (orders []kqplan.Order) {
	const step = 200 * time.Millisecond
	for passed := step; passed <= d; passed += step {
		c.now = c.now.Add(step)
		for _, n := range []string{"1", "2", "3"} {
			if passed%reportInterval == 0 {
				r := kqplan.Report{Worker: kqexecution.Incarnation("w" + n), Complete: true}
				if n == "1" {
					r.Running = running
				}
				c.ApplyReport(c.now, "h"+n, r)
			}
			c.LeaseGranted(c.now, "h"+n, 7*time.Second)
		}
		c.tickUntilIdle()
		orders = append(orders, c.takeOrders()...)
	}
	return orders
}

// The agent does not carry out the start of a long-running task: it waits for newer zones or for the
// resync of its owner, or the worker answers each attempt with "late" or "fence". The agent reports
// all the while, and none of its reports lists the run. Guards against an owner that takes the task for
// running as long as the worker has a lease, and against one that places it elsewhere before the start
// has certainly been given up.
func TestAStartThatIsNeverCarriedOutIsTakenForARun(t *testing.T) {
	g := NewWithT(t)
	c, o := unreportedCell(g)
	orders := c.advance(3*time.Second, 200*time.Millisecond)
	g.Expect(orders).To(HaveLen(1), "the start is given up")
	g.Expect(orders[0].Stop).To(BeTrue())
	g.Expect(orders[0].Run).To(Equal(o.Run))

	g.Expect(c.advance(5*time.Second, 200*time.Millisecond)).To(BeEmpty(), "the worker may still start the run")
	c.ApplyReport(c.now, "h1", kqplan.Report{Worker: "w1", Ended: []kqexecution.RunEnd{{Run: o.Run, Reason: kqexecution.EndAbsent}}})
	orders = c.advance(time.Second, 200*time.Millisecond)
	g.Expect(orders).To(HaveLen(1))
	g.Expect(orders[0].Stop).To(BeFalse())
	g.Expect(orders[0].Run.Number).To(Equal(o.Run.Number + 1))
	g.Expect(orders[0].Worker).NotTo(Equal(o.Worker))
	g.Expect(c.counter.Breaches()).To(BeEmpty())
}

// Guards against an owner that gives up a start that its worker only carries out late, or one that the
// few reports that it has read cannot list yet because it is behind with them.
func TestAStartThatIsLateIsNotGivenUp(t *testing.T) {
	g := NewWithT(t)
	c, o := unreportedCell(g)
	g.Expect(c.advance(1800*time.Millisecond, 200*time.Millisecond)).To(BeEmpty())
	g.Expect(c.advance(5*time.Second, 200*time.Millisecond, kqexecution.RunStatus{Run: o.Run, Percent: 100})).To(BeEmpty())

	c, _ = unreportedCell(g)
	g.Expect(c.advance(3*time.Second, time.Second)).To(BeEmpty())
}
