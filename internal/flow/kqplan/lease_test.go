package kqplan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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
})
