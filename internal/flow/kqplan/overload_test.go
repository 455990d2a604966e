package kqplan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an overloaded owner", func() {
	// A pass that skips filling tasks must be followed by one that includes them, or they would wait
	// until something else changes.
	It("places a filling task that a pass has skipped, without any other event", func() {
		c := newCell(1)
		c.addHost("h1", "w1", 8)
		filling := func(id string) {
			s := newStep(1, 1)
			s.Fills, s.Image = true, "f"
			c.Submit(c.now, job(id, "batch", c.now, s), nil, 0)
		}
		filling("first")
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(HaveLen(1))
		c.RecordTickDuration(c.now, 200*time.Millisecond)
		c.now = c.now.Add(300 * time.Millisecond)
		filling("second")
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(BeEmpty())
		for range 10 {
			c.now = c.now.Add(50 * time.Millisecond)
			c.tickUntilIdle()
		}
		Expect(c.takeOrders()).To(HaveLen(1))
	})

	// An owner that is short of processor time must not spend all of it on passes, or it cannot handle
	// the messages that renew leases.
	It("spends less than half of its time on slow passes while tasks wait", func() {
		const passTime, span = 400 * time.Millisecond, 12 * time.Second
		c := newCell(1)
		c.addHost("h1", "w1", 8)
		waiting := newStep(1, 1)
		waiting.Label = "none"
		c.Submit(c.now, job("waiting", "urgent", c.now, waiting), nil, 0)
		inPasses := time.Duration(0)
		for end := c.now.Add(span); c.now.Before(end); {
			c.LeaseGranted(c.now, "h1", 7*time.Second)
			scored, began := c.CandidatesScored(), c.now
			c.Tick(c.now)
			if c.CandidatesScored() > scored {
				c.now = c.now.Add(passTime)
				c.RecordTickDuration(began, passTime)
				inPasses += passTime
			} else {
				c.now = c.now.Add(50 * time.Millisecond)
			}
		}
		Expect(inPasses).To(And(BeNumerically(">", 0), BeNumerically("<", span/2)))
	})
})
