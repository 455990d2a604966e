package kqplan_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

var _ = Describe("planner with a gang", func() {
	var c *cell
	BeforeEach(func() { c = newCell(1) })
	AfterEach(func() { Expect(c.counter.Breaches()).To(BeEmpty()) })

	gang := func(count int) kqflow.Step {
		s := newStep(count, 2)
		s.Gang, s.Checkpoints = true, true
		return s
	}
	perWorker := func(orders []kqplan.Order) map[string]int {
		out := map[string]int{}
		for _, o := range orders {
			out[string(o.Worker)]++
		}
		return out
	}

	It("starts all members at once with the same run number, or none", func() {
		c.addHost("h1", "w1", 5)
		c.Submit(c.now, job("j", "urgent", c.now, gang(4)), nil, 0)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(BeEmpty())
		c.addHost("h2", "w2", 5)
		c.tickUntilIdle()
		o := c.takeOrders()
		Expect(perWorker(o)).To(Equal(map[string]int{"w1": 2, "w2": 2}))
		for _, x := range o {
			Expect(x.Run.Number).To(Equal(uint64(1)))
		}
	})

	It("treats the end of one member as the end of all", func() {
		c.addHost("h1", "w1", 8)
		after := newStep(1, 1)
		after.After = []int{0}
		c.Submit(c.now, job("j", "urgent", c.now, gang(3), after), nil, 0)
		c.tickUntilIdle()
		o := c.takeOrders()
		c.reportEnd("h1", "w1", 1, o[0], kqexecution.EndDone)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(ContainElement(HaveField("Run.Task", "j.0.1.0")))
	})

	It("stops the others when one fails, and restarts all with the same run number and checkpoint", func() {
		c.addHost("h1", "w1", 8)
		c.Submit(c.now, job("j", "urgent", c.now, gang(3)), nil, 0)
		c.tickUntilIdle()
		o := c.takeOrders()
		c.ApplyReport(c.now, "h1", kqplan.Report{Worker: "w1", Ended: []kqexecution.RunEnd{{Number: 1, Run: o[0].Run, Reason: kqexecution.EndFailed, Checkpoint: "s1"}}})
		c.tickUntilIdle()
		stops := c.takeOrders()
		Expect(stops).To(HaveLen(2))
		for n, x := range stops {
			Expect(x.Stop).To(BeTrue())
			c.reportEnd("h1", "w1", uint64(n+2), x, kqexecution.EndBroken)
		}
		c.now = c.now.Add(200 * time.Millisecond)
		c.tickUntilIdle()
		again := c.takeOrders()
		Expect(again).To(HaveLen(3))
		for _, x := range again {
			Expect(x.Run.Number).To(Equal(uint64(2)))
			Expect(x.Checkpoint).To(Equal("s1"))
		}
	})

	It("fails the job once the failures of all members reach the attempts", func() {
		c.addHost("h1", "w1", 8)
		c.Submit(c.now, job("j", "urgent", c.now, gang(2)), nil, 0)
		number := uint64(0)
		for member := range 2 {
			c.tickUntilIdle()
			o := c.takeOrders()
			Expect(o).To(HaveLen(2))
			for n, x := range o {
				reason := kqexecution.EndBroken
				if n == member {
					reason = kqexecution.EndFailed
				}
				number++
				c.reportEnd("h1", "w1", number, x, reason)
			}
			c.now = c.now.Add(20 * time.Second)
			c.addHost("h1", "w1", 8)
		}
		c.tickUntilIdle()
		Expect(c.states).To(HaveKeyWithValue("j", kqflow.StateFailed))
	})

	It("waits for a single rack while that is faster than running over several", func() {
		for i, rack := range []string{"r1", "r2", "r2"} {
			name, worker := fmt.Sprintf("h%d", i+1), fmt.Sprintf("w%d", i+1)
			c.addHost(name, worker, 5)
			c.UpdateWorker(c.now, name, kqplan.WorkerInfo{Worker: kqexecution.Incarnation(worker), Service: "s", Rack: rack, Capacity: kqmodel.Resources{MilliProcessors: 5000, MemoryBytes: 1 << 40}})
		}
		s := gang(4)
		s.SameRack = true
		c.Submit(c.now, job("j", "urgent", c.now, s), nil, 0)
		c.tickUntilIdle()
		Expect(perWorker(c.takeOrders())).To(Equal(map[string]int{"w2": 2, "w3": 2}))
		s = gang(2)
		s.SameRack, s.Resources.MilliProcessors = true, 1000
		c.Submit(c.now, job("k", "urgent", c.now, s), nil, 0)
		c.tickUntilIdle()
		Expect(perWorker(c.takeOrders())).To(Equal(map[string]int{"w1": 2}))
		s.Count, s.Resources.MilliProcessors = 3, 1000
		c.Submit(c.now, job("l", "urgent", c.now, s), nil, 0)
		c.tickUntilIdle()
		Expect(perWorker(c.takeOrders())).To(Equal(map[string]int{"w1": 3}))
		c.Submit(c.now, job("m", "urgent", c.now, s), nil, 0)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(BeEmpty())
	})

	It("keeps others from using capacity that becomes free, for a limited time", func() {
		c.addHost("h1", "w1", 4)
		c.Submit(c.now, job("a", "urgent", c.now, newStep(1, 2)), nil, 0)
		c.tickUntilIdle()
		c.takeOrders()
		c.Submit(c.now, job("g", "urgent", c.now, gang(2)), nil, 0)
		c.tickUntilIdle()
		c.Submit(c.now, job("b", "batch", c.now, newStep(1, 1)), nil, 0)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(BeEmpty())
		c.now = c.now.Add(5 * time.Second)
		c.addHost("h1", "w1", 4)
		c.tickUntilIdle()
		o := c.takeOrders()
		Expect(o).To(HaveLen(1))
		Expect(o[0].Run.Task).To(Equal("b.0.0.0"))
	})
})
