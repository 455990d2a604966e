package kqplan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

var _ = Describe("placement on workers that are warming up", func() {
	var c *cell
	processors := func(n int64) kqmodel.Resources {
		return kqmodel.Resources{MilliProcessors: n * 1000, MemoryBytes: 1 << 40}
	}
	// warmingUpFor reports a worker of eight processors with some warm-up time left.
	warmingUpFor := func(host string, worker kqexecution.Incarnation, d time.Duration) {
		c.addHostWithInfo(host, kqplan.WorkerInfo{Worker: worker, Capacity: processors(8), WarmUpLeft: d})
	}
	// advance lets d pass, renews the leases and runs the planner.
	advance := func(d time.Duration) {
		c.now = c.now.Add(d)
		for _, h := range []string{"h1", "h2", "h3"} {
			c.LeaseGranted(c.now, h, 7*time.Second)
		}
		c.tickUntilIdle()
	}
	BeforeEach(func() {
		c = newCellWith(kqplan.Config{Epoch: 1, LimitWarmUp: true})
		warmingUpFor("h1", "w1", 20*time.Second)
		warmingUpFor("h2", "w2", 0)
	})
	AfterEach(func() { Expect(c.counter.Breaches()).To(BeEmpty()) })

	It("prefers warm workers although they have less free capacity", func() {
		c.Submit(c.now, job("j", "urgent", c.now, newStep(4, 1)), nil, 0)
		c.tickUntilIdle()
		Expect(workers(c.takeOrders())).To(Equal([]string{"w2", "w2", "w2", "w2"}))
	})

	// All workers of a zone may restart at once, with no tasks. The limit keeps the backlog
	// from being placed on them while they are slow.
	It("assigns part of their capacity, and more as the warm-up proceeds", func() {
		warmingUpFor("h3", "w3", 20*time.Second)
		c.Submit(c.now, job("j", "urgent", c.now, newStep(24, 1)), nil, 0)
		c.tickUntilIdle()
		started := map[string]int{}
		countStarts := func() {
			for _, w := range workers(c.takeOrders()) {
				started[w]++
			}
		}
		countStarts()
		Expect(started).To(Equal(map[string]int{"w1": 4, "w2": 8, "w3": 4}))
		warmingUpFor("h1", "w1", 5*time.Second)
		warmingUpFor("h2", "w2", 0)
		advance(time.Second)
		countStarts()
		Expect(started["w1"]).To(Equal(6))
		warmingUpFor("h1", "w1", 0)
		warmingUpFor("h2", "w2", 0)
		advance(time.Second)
		countStarts()
		Expect(started["w1"]).To(Equal(8))
	})

	It("places a task larger than the limit on an empty worker", func() {
		c.Submit(c.now, job("j", "urgent", c.now, newStep(2, 6)), nil, 0)
		c.tickUntilIdle()
		Expect(workers(c.takeOrders())).To(ConsistOf("w1", "w2"))
	})

	It("assigns their whole capacity if no worker is warm or the limit is off", func() {
		warmingUpFor("h2", "w2", 20*time.Second)
		c.now = c.now.Add(300 * time.Millisecond)
		c.Submit(c.now, job("j", "urgent", c.now, newStep(16, 1)), nil, 0)
		c.tickUntilIdle()
		Expect(workers(c.takeOrders())).To(HaveLen(16))
		c = newCellWith(kqplan.Config{Epoch: 1})
		warmingUpFor("h1", "w1", 20*time.Second)
		warmingUpFor("h2", "w2", 0)
		c.Submit(c.now, job("j", "urgent", c.now, newStep(16, 1)), nil, 0)
		c.tickUntilIdle()
		Expect(workers(c.takeOrders())).To(HaveLen(16))
	})

	It("does not rate a worker as slow for tasks that ran during its warm-up", func() {
		warmingUpFor("h2", "w2", 20*time.Second)
		s := newStep(1, 1)
		ends := map[string]uint64{}
		for _, id := range []string{"a", "b", "c", "d"} {
			c.Submit(c.now, job(id, "urgent", c.now, s), nil, 0)
			c.tickUntilIdle()
			o := c.takeOrders()
			advance(3 * time.Second)
			host := map[kqexecution.Incarnation]string{"w1": "h1", "w2": "h2"}[o[0].Worker]
			ends[host]++
			c.ApplyReport(c.now, host, kqplan.Report{Worker: o[0].Worker, Ended: []kqexecution.RunEnd{{Number: ends[host], Run: o[0].Run, Reason: kqexecution.EndDone}}})
			warmingUpFor("h1", "w1", 20*time.Second)
			warmingUpFor("h2", "w2", 20*time.Second)
		}
		warmingUpFor("h1", "w1", 0)
		warmingUpFor("h3", "w3", 0)
		advance(300 * time.Millisecond)
		c.Submit(c.now, job("e", "urgent", c.now, newStep(4, 2)), nil, 0)
		c.tickUntilIdle()
		Expect(workers(c.takeOrders())).To(ConsistOf("w1", "w1", "w3", "w3"))
	})
})
