package kqplan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

var _ = Describe("filling runs colocated with serving tasks", func() {
	var c *cell
	var runs map[kqexecution.Run]string
	BeforeEach(func() {
		c = newCell(1)
		runs = map[kqexecution.Run]string{}
		c.addHost("h1", "w1", 32)
		serving := kqflow.Step{Count: 1, Resources: newStep(1, 6).Resources, LongRunning: true, Image: "web", TailTarget: 100 * time.Millisecond}
		c.Submit(c.now, job("web", "urgent", c.now.Add(-time.Second), serving), nil, 0)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(HaveLen(1))
		c.reportTail("h1", "w1", 25, nil)
		fill := newStep(2, 3)
		fill.Fills, fill.Checkpoints, fill.Image, fill.Estimate = true, true, "scan", 10*time.Second
		c.Submit(c.now, job("scan", "batch", c.now, fill), nil, 0)
		c.tickUntilIdle()
		for _, o := range c.takeOrders() {
			Expect(o.Stop).To(BeFalse())
			Expect(o.TimeLeft).To(BeNumerically("~", 21*time.Second, time.Second), "the agent takes the time left into account")
			runs[o.Run] = "h1"
		}
		Expect(runs).NotTo(BeEmpty())
	})
	AfterEach(func() { Expect(c.counter.Breaches()).To(BeEmpty()) })

	// A run may be throttled while other runs of its image are not.
	It("moves a single throttled run to a host where it can make progress", func() {
		throttled := kqexecution.Run{Task: "scan.0.0.0", Number: 1}
		Expect(runs).To(HaveKey(throttled))
		for range 4 {
			c.now = c.now.Add(400 * time.Millisecond)
			c.reportTail("h1", "w1", 25, []kqplan.SlowedRun{{Run: throttled, Percent: 5}})
			c.tickUntilIdle()
		}
		Expect(c.takeOrders()).To(BeEmpty(), "there is no other host")
		c.addHost("h2", "w2", 32)
		for range 4 {
			c.now = c.now.Add(400 * time.Millisecond)
			c.reportTail("h1", "w1", 25, []kqplan.SlowedRun{{Run: throttled, Percent: 5}})
			c.reportTail("h2", "w2", 0, nil)
			c.tickUntilIdle()
		}
		var stopped []kqexecution.Run
		for _, o := range c.takeOrders() {
			if o.Stop {
				stopped = append(stopped, o.Run)
			}
		}
		Expect(stopped).To(Equal([]kqexecution.Run{throttled}))
	})
})

// reportTail applies a report with the tail latency of the serving task, in milliseconds, and with
// throttled filling runs; a tail of 0 reports no serving task.
func (c *cell) reportTail(host string, worker kqexecution.Incarnation, tail float64, slowed []kqplan.SlowedRun) {
	c.LeaseGranted(c.now, host, 7*time.Second)
	r := kqplan.Report{Worker: worker, Complete: true, Slowed: slowed}
	if tail > 0 {
		r.Running = append(r.Running, kqexecution.RunStatus{Run: kqexecution.Run{Task: "web.0.0.0", Number: 1}, Percent: 100, Measurement: tail})
	}
	for _, s := range slowed {
		r.Running = append(r.Running, kqexecution.RunStatus{Run: s.Run, Percent: 10, Measurement: 100})
	}
	c.ApplyReport(c.now, host, r)
}
