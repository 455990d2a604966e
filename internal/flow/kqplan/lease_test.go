package kqplan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

var _ = Describe("a lease that expires while the agent is connected", func() {
	// The agent may still be about to start the run.
	It("stops the run before another lease is granted", func() {
		c := newCell(1)
		c.addHost("h1", "w1", 8)
		c.Submit(c.now, job("j", "batch", c.now, newStep(1, 1)), nil, 0)
		c.tickUntilIdle()
		first := c.takeOrders()
		Expect(first).To(HaveLen(1))
		c.now = c.now.Add(7500 * time.Millisecond)
		c.Tick(c.now)
		c.collect()
		stops := c.takeOrders()
		Expect(stops).To(HaveLen(1))
		Expect(stops[0].Stop).To(BeTrue())
		Expect(stops[0].Run).To(Equal(first[0].Run))
		Expect(c.counter.Breaches()).To(BeEmpty())
	})

	// The worker may not have answered the stop yet, so the run may still use its capacity.
	It("places nothing on the host until the end of the run is reported", func() {
		c := newCell(1)
		c.addHost("h1", "w1", 8)
		c.Submit(c.now, job("j", "batch", c.now, newStep(1, 1)), nil, 0)
		c.tickUntilIdle()
		first := c.takeOrders()
		Expect(first).To(HaveLen(1))
		c.now = c.now.Add(7500 * time.Millisecond)
		c.Tick(c.now)
		c.collect()
		c.takeOrders()
		for range 20 {
			c.now = c.now.Add(100 * time.Millisecond)
			c.ApplyReport(c.now, "h1", kqplan.Report{Worker: "w1", Complete: true})
			c.LeaseGranted(c.now, "h1", 7*time.Second)
			c.tickUntilIdle()
			Expect(c.takeOrders()).To(BeEmpty())
		}
		c.reportEnd("h1", "w1", 0, first[0], kqexecution.EndAbsent)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(HaveLen(1))
	})
})
