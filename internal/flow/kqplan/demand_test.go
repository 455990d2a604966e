package kqplan_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

var _ = Describe("long-running tasks", func() {
	var c *cell
	longRunningJob := func(id string, count int, processors int64) kqflow.Submission {
		s := newStep(count, processors)
		s.LongRunning = true
		return job(id, "urgent", c.now, s)
	}
	advance := func(d time.Duration) {
		c.now = c.now.Add(d)
		c.LeaseGranted(c.now, "h1", 7*time.Second)
		c.tickUntilIdle()
	}
	// runFiniteJobs submits a job per second that needs 10 of 100 processors and ends it at once.
	ended := uint64(0)
	runFiniteJobs := func(seconds int) {
		for n := range seconds {
			c.Submit(c.now, job(fmt.Sprintf("quick%d-%d", c.now.Unix(), n), "urgent", c.now, newStep(10, 1)), nil, 0)
			advance(time.Second)
			for _, o := range c.takeOrders() {
				if !o.Stop {
					ended++
					c.reportEnd("h1", "w1", ended, o, kqexecution.EndDone)
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

	It("leave the capacity that finite jobs need", func() {
		runFiniteJobs(10)
		c.Submit(c.now, longRunningJob("first", 80, 1), nil, 0)
		advance(time.Second)
		Expect(c.takeOrders()).To(HaveLen(80))
		c.Submit(c.now, longRunningJob("second", 15, 1), nil, 0)
		advance(time.Second)
		Expect(len(c.takeOrders())).To(And(BeNumerically(">", 0), BeNumerically("<=", 10)), "finite jobs needed ten processors")
		advance(40 * time.Second)
		Expect(c.takeOrders()).NotTo(BeEmpty(), "no finite job was submitted for a long time")
	})

	It("use every processor if there is no other demand", func() {
		advance(time.Minute)
		c.Submit(c.now, longRunningJob("all", 100, 1), nil, 0)
		advance(time.Second)
		Expect(c.takeOrders()).To(HaveLen(100))
	})

	It("are placed again wherever they fit after a failure", func() {
		advance(time.Minute)
		c.Submit(c.now, longRunningJob("all", 100, 1), nil, 0)
		advance(time.Second)
		runs := c.takeOrders()
		runFiniteJobs(5)
		ended++
		c.reportEnd("h1", "w1", ended, runs[0], kqexecution.EndFailed)
		advance(time.Second)
		Expect(c.takeOrders()).To(ContainElement(HaveField("Run.Task", runs[0].Run.Task)))
	})
})
