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
})
