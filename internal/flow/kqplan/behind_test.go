package kqplan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an owner that is behind", func() {
	// A pass that leaves filling tasks out must not be the last one.
	It("comes back to a filling task that it has left out, though nothing else happens", func() {
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
