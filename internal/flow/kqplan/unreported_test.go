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

// stopWithin advances the cell, whose agents all report completely and get leases, and reports
// whether the run is ordered to stop within maxPlacementDelay.
func (c *cell) stopWithin(run kqexecution.Run) bool {
	for range int(maxPlacementDelay / (200 * time.Millisecond)) {
		c.now = c.now.Add(200 * time.Millisecond)
		for _, n := range []string{"1", "2", "3"} {
			c.ApplyReport(c.now, "h"+n, kqplan.Report{Worker: kqexecution.Incarnation("w" + n), Complete: true})
			c.LeaseGranted(c.now, "h"+n, 7*time.Second)
		}
		c.tickUntilIdle()
		for _, o := range c.takeOrders() {
			if o.Stop && o.Run == run {
				return true
			}
		}
	}
	return false
}

// The agent does not carry out the start of a long-running task: it waits for newer zones or for the
// resync of its owner, or the worker answers each attempt with "late" or "fence". The agent reports
// all the while, and none of its reports lists the run. The owner must give the start up and place the
// task elsewhere, but it takes the task for running as long as the worker has a lease.
func TestAStartThatIsNeverCarriedOutIsTakenForARun(t *testing.T) {
	g := NewWithT(t)
	c, o := unreportedCell(g)
	g.Expect(c.stopWithin(o.Run)).To(BeTrue(), "the start is not given up")
}
