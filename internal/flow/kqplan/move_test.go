package kqplan_test

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmove"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

var _ = Describe("moves where their costs are known", func() {
	held := kqexecution.Run{Task: "scan.0.0.0", Number: 1}
	var c *cell
	var log bytes.Buffer
	// begin starts a filling job with a target beside a serving task, and then connects
	// a second host.
	begin := func(target time.Duration) {
		log.Reset()
		c = newCellWith(kqplan.Config{Epoch: 1, Events: logTo(&log), Moves: kqmove.Costs{Stop: 900 * time.Millisecond, Restore: 600 * time.Millisecond, Checkpoint: time.Second}})
		c.SetPolicy(&kqflow.Policy{Version: 2, Queues: map[string]kqflow.Queue{
			"urgent": {Name: "urgent", Service: "s", Attempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond},
			"batch":  {Name: "batch", Service: "s", Priority: 2, Attempts: 2, Stretch: 2, Target: target}}})
		c.host("h1", "w1", 32)
		standing := kqflow.Step{Count: 1, Size: step(1, 6).Size, Standing: true, Image: "web", TailTarget: 100 * time.Millisecond}
		c.Submit(c.now, job("web", "urgent", c.now.Add(-time.Second), standing), nil, 0)
		c.settle()
		c.take()
		c.report("h1", "w1", 25, nil)
		fill := step(1, 3)
		fill.Fills, fill.Checkpoints, fill.Image, fill.Estimate = true, true, "scan", 3*time.Second
		c.Submit(c.now, job("scan", "batch", c.now, fill), nil, 0)
		c.settle()
		Expect(c.take()).To(HaveLen(1))
		c.host("h2", "w2", 32)
	}
	// hold lets the run stand nearly still for some looks.
	hold := func(looks int) {
		for range looks {
			c.now = c.now.Add(400 * time.Millisecond)
			c.report("h1", "w1", 25, []kqplan.Slowed{{Run: held, Percent: 5}})
			c.report("h2", "w2", 0, nil)
			c.settle()
		}
	}
	// stopped holds the run until it is stopped, so that the booking is new.
	stopped := func() kqplan.Order {
		for n := 0; n < 10 && len(c.orders) == 0; n++ {
			hold(1)
		}
		o := c.take()
		Expect(o).To(HaveLen(1))
		Expect(o[0].Stop).To(BeTrue())
		return o[0]
	}
	AfterEach(func() { Expect(c.counter.Breaches()).To(BeEmpty()) })

	It("ARunInTimeEitherWayIsMoved: it stays", func() {
		begin(10 * time.Minute)
		hold(8)
		Expect(c.take()).To(BeEmpty())
	})

	It("moves a run whose job would be late, says gain and cost, and starts it on the place that was chosen", func() {
		begin(time.Second)
		hold(8)
		stops := c.take()
		Expect(stops).To(HaveLen(1))
		Expect(stops[0].Run).To(Equal(held))
		Expect(stops[0].Stop).To(BeTrue())
		Expect(log.String()).To(And(ContainSubstring(`"gain_ms":`), ContainSubstring(`"cost_ms":1290`), ContainSubstring(`"to":"h2"`)))
		c.end("h1", "w1", 1, stops[0], kqexecution.HowStopped)
		c.settle()
		starts := c.take()
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Worker).To(Equal("w2"))
	})

	It("AMovedTaskWaitsBehindNewOnes: its place is kept though new ones of its class take all others", func() {
		begin(time.Second)
		stop := stopped()
		// More tasks than the place has processors for come while the stop is under way.
		wide := step(60, 3)
		wide.Fills, wide.Checkpoints, wide.Image, wide.Estimate = true, true, "scan", 100*time.Millisecond
		c.Submit(c.now, job("wide", "batch", c.now, wide), nil, 0)
		c.settle()
		Expect(c.take()).NotTo(BeEmpty())
		c.end("h1", "w1", 1, stop, kqexecution.HowStopped)
		c.settle()
		var tasks []string
		for _, o := range c.take() {
			tasks = append(tasks, o.Run.Task)
		}
		Expect(tasks).NotTo(BeEmpty())
		Expect(tasks[0]).To(Equal(held.Task))
	})

	It("ABookingThatLapsedLeavesTheTaskBehindNewOnes: the task goes first where room comes", func() {
		begin(time.Second)
		stop := stopped()
		wide := step(60, 3)
		wide.Fills, wide.Checkpoints, wide.Image, wide.Estimate = true, true, "scan", 2*time.Second
		c.Submit(c.now, job("wide", "batch", c.now, wide), nil, 0)
		for range 8 {
			c.now = c.now.Add(400 * time.Millisecond)
			c.report("h1", "w1", 25, []kqplan.Slowed{{Run: held, Percent: 5}})
			c.report("h2", "w2", 0, nil)
			c.settle()
		}
		c.take()
		c.end("h1", "w1", 1, stop, kqexecution.HowStopped)
		c.now = c.now.Add(200 * time.Millisecond)
		rival := step(1, 3)
		rival.Fills, rival.Image, rival.Estimate = true, "scan", 100*time.Millisecond
		c.Submit(c.now, job("rival", "batch", c.now, rival), nil, 0)
		c.host("h3", "w3", 3)
		c.settle()
		var onNew []string
		for _, o := range c.take() {
			if o.Worker == "w3" {
				onNew = append(onNew, o.Run.Task)
			}
		}
		Expect(onNew).To(Equal([]string{held.Task}))
	})

	It("ABookingOutlivesItsHost: the task starts wherever it can", func() {
		begin(time.Second)
		stop := stopped()
		c.Unlinked(c.now, "h2")
		c.now = c.now.Add(200 * time.Millisecond)
		c.report("h1", "w1", 25, nil)
		c.settle()
		c.end("h1", "w1", 1, stop, kqexecution.HowStopped)
		c.settle()
		starts := c.take()
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Worker).To(Equal("w1"))
	})
})
