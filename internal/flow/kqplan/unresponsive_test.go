package kqplan_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// A worker stops answering its agent, which stays connected and goes on requesting leases, as
// kqexecutor.Executor.requestLease does. The lease on the worker expires and its runs end there, but
// each grant makes the owner wait anew for the expiry, so the task is placed again only once the
// worker answers, however long that takes.
func TestALeaseGrantedWhileTheWorkerIsUnresponsiveKeepsItsRuns(t *testing.T) {
	g := NewWithT(t)
	c := newCell(1)
	c.addHost("h1", "w1", 8)
	s := newStep(1, 1)
	s.LongRunning = true
	c.Submit(c.now, job("standing", "urgent", c.now.Add(-time.Second), s), nil, 0)
	c.tickUntilIdle()
	o := c.takeOrders()
	g.Expect(o).To(HaveLen(1))
	c.ApplyReport(c.now, "h1", kqplan.Report{Worker: "w1", Complete: true, Running: []kqexecution.RunStatus{{Run: o[0].Run, Percent: 100}}})
	c.addHost("h2", "w2", 8)
	c.addHost("h3", "w3", 8)

	// The last poll that the worker answers renews its lease for 7 s.
	lastPollAt := c.now
	const unresponsiveAfter = 900 * time.Millisecond
	var placedAt time.Time
	for c.now.Sub(lastPollAt) < 7*time.Second+maxDowntime {
		c.now = c.now.Add(100 * time.Millisecond)
		if age := c.now.Sub(lastPollAt); age >= unresponsiveAfter && age < unresponsiveAfter+100*time.Millisecond {
			c.UpdateWorker(c.now, "h1", kqplan.WorkerInfo{Worker: "w1", Service: "s", Capacity: kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 1 << 40}, Unresponsive: true})
		}
		for _, h := range []string{"h1", "h2", "h3"} {
			c.LeaseGranted(c.now, h, 7*time.Second)
		}
		c.tickUntilIdle()
		for _, o := range c.takeOrders() {
			if !o.Stop && placedAt.IsZero() {
				placedAt = c.now
			}
		}
	}
	g.Expect(placedAt.IsZero()).To(BeFalse(), "the task was not placed within %s of the end of its lease", maxDowntime)
	g.Expect(c.counter.Breaches()).To(BeEmpty())
}
