package kqplan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

var _ = Describe("a plan with cold workers", func() {
	var c *cell
	processors := func(n int64) kqmodel.Resources {
		return kqmodel.Resources{MilliProcessors: n * 1000, MemoryBytes: 1 << 40}
	}
	coldFor := func(host string, worker kqexecution.Incarnation, d time.Duration) {
		c.described(host, kqplan.WorkerInfo{Worker: worker, Capacity: processors(8), WarmUpLeft: d})
	}
	again := func(d time.Duration) {
		c.now = c.now.Add(d)
		for _, h := range []string{"h1", "h2", "h3"} {
			c.LeaseGranted(c.now, h, 7*time.Second)
		}
		c.tickUntilIdle()
	}
	BeforeEach(func() {
		c = newCellWith(kqplan.Config{Epoch: 1, LimitWarmUp: true})
		coldFor("h1", "w1", 20*time.Second)
		coldFor("h2", "w2", 0)
	})
	AfterEach(func() { Expect(c.counter.Breaches()).To(BeEmpty()) })

	It("places on warm ones first, although they have less room", func() {
		c.Submit(c.now, job("j", "urgent", c.now, newStep(4, 1)), nil, 0)
		c.tickUntilIdle()
		Expect(workers(c.takeOrders())).To(Equal([]string{"w2", "w2", "w2", "w2"}))
	})

	// All workers of a zone come back at once and empty: what waits must not all go
	// there while they are slow.
	It("gives them part of their room, and more as they get warm", func() {
		coldFor("h3", "w3", 20*time.Second)
		c.Submit(c.now, job("j", "urgent", c.now, newStep(24, 1)), nil, 0)
		c.tickUntilIdle()
		count := map[string]int{}
		add := func() {
			for _, w := range workers(c.takeOrders()) {
				count[w]++
			}
		}
		add()
		Expect(count).To(Equal(map[string]int{"w1": 4, "w2": 8, "w3": 4}))
		coldFor("h1", "w1", 5*time.Second)
		coldFor("h2", "w2", 0)
		again(time.Second)
		add()
		Expect(count["w1"]).To(Equal(6))
		coldFor("h1", "w1", 0)
		coldFor("h2", "w2", 0)
		again(time.Second)
		add()
		Expect(count["w1"]).To(Equal(8))
	})

	It("gives an empty one a task that is larger than the part", func() {
		c.Submit(c.now, job("j", "urgent", c.now, newStep(2, 6)), nil, 0)
		c.tickUntilIdle()
		Expect(workers(c.takeOrders())).To(ConsistOf("w1", "w2"))
	})

	It("fills them where no worker is warm, and where the settings have no bound", func() {
		coldFor("h2", "w2", 20*time.Second)
		c.now = c.now.Add(300 * time.Millisecond)
		c.Submit(c.now, job("j", "urgent", c.now, newStep(16, 1)), nil, 0)
		c.tickUntilIdle()
		Expect(workers(c.takeOrders())).To(HaveLen(16))
		c = newCellWith(kqplan.Config{Epoch: 1})
		coldFor("h1", "w1", 20*time.Second)
		coldFor("h2", "w2", 0)
		c.Submit(c.now, job("j", "urgent", c.now, newStep(16, 1)), nil, 0)
		c.tickUntilIdle()
		Expect(workers(c.takeOrders())).To(HaveLen(16))
	})

	It("does not take a worker for slow that was cold", func() {
		coldFor("h2", "w2", 20*time.Second)
		s := newStep(1, 1)
		ends := map[string]uint64{}
		for _, id := range []string{"a", "b", "c", "d"} {
			c.Submit(c.now, job(id, "urgent", c.now, s), nil, 0)
			c.tickUntilIdle()
			o := c.takeOrders()
			again(3 * time.Second)
			host := map[kqexecution.Incarnation]string{"w1": "h1", "w2": "h2"}[o[0].Worker]
			ends[host]++
			c.ApplyReport(c.now, host, kqplan.Report{Worker: o[0].Worker, Ended: []kqexecution.End{{Number: ends[host], Run: o[0].Run, How: kqexecution.HowDone}}})
			coldFor("h1", "w1", 20*time.Second)
			coldFor("h2", "w2", 20*time.Second)
		}
		coldFor("h1", "w1", 0)
		coldFor("h3", "w3", 0)
		again(300 * time.Millisecond)
		c.Submit(c.now, job("e", "urgent", c.now, newStep(4, 2)), nil, 0)
		c.tickUntilIdle()
		Expect(workers(c.takeOrders())).To(ConsistOf("w1", "w1", "w3", "w3"))
	})
})
