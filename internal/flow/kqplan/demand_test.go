package kqplan_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

var _ = Describe("tasks that stay", func() {
	var c *cell
	watch := func(id string, count int, processors int64) kqflow.Submission {
		s := newStep(count, processors)
		s.LongRunning = true
		return job(id, "urgent", c.now, s)
	}
	pass := func(d time.Duration) {
		c.now = c.now.Add(d)
		c.LeaseGranted(c.now, "h1", 7*time.Second)
		c.tickUntilIdle()
	}
	// quick hands jobs in that need 10 of 100 processors, and ends each at once.
	ended := uint64(0)
	quick := func(seconds int) {
		for n := range seconds {
			c.Submit(c.now, job(fmt.Sprintf("quick%d-%d", c.now.Unix(), n), "urgent", c.now, newStep(10, 1)), nil, 0)
			pass(time.Second)
			for _, o := range c.takeOrders() {
				if !o.Stop {
					ended++
					c.reportEnd("h1", "w1", ended, o, kqexecution.HowDone)
				}
			}
		}
	}
	BeforeEach(func() {
		c, ended = newCell(1), 0
		c.addHost("h1", "w1", 100)
	})
	AfterEach(func() {
		Expect(c.counter.Breaches()).To(BeEmpty())
	})

	It("leave the room that jobs need which end", func() {
		quick(10)
		c.Submit(c.now, watch("first", 80, 1), nil, 0)
		pass(time.Second)
		Expect(c.takeOrders()).To(HaveLen(80))
		c.Submit(c.now, watch("second", 15, 1), nil, 0)
		pass(time.Second)
		Expect(len(c.takeOrders())).To(And(BeNumerically(">", 0), BeNumerically("<=", 10)), "ten processors were needed")
		pass(40 * time.Second)
		Expect(c.takeOrders()).NotTo(BeEmpty(), "nothing that ends has come for long")
	})

	It("take every processor where nothing else comes", func() {
		pass(time.Minute)
		c.Submit(c.now, watch("all", 100, 1), nil, 0)
		pass(time.Second)
		Expect(c.takeOrders()).To(HaveLen(100))
	})

	It("are put back where they fit after a failure", func() {
		pass(time.Minute)
		c.Submit(c.now, watch("all", 100, 1), nil, 0)
		pass(time.Second)
		runs := c.takeOrders()
		quick(5)
		ended++
		c.reportEnd("h1", "w1", ended, runs[0], kqexecution.HowFailed)
		pass(time.Second)
		Expect(c.takeOrders()).To(ContainElement(HaveField("Run.Task", runs[0].Run.Task)))
	})
})
