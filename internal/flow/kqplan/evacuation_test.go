package kqplan_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// addHostInZone connects a host whose worker is in a zone and has the given number of processors.
func (c *cell) addHostInZone(name string, worker kqexecution.Incarnation, zone string, processors int64) {
	c.addHostWithInfo(name, kqplan.WorkerInfo{Worker: worker, Zone: zone, Capacity: kqmodel.Resources{MilliProcessors: processors * 1000, MemoryBytes: 1 << 40}})
}

// addHostWithInfo connects a host with the given worker.
func (c *cell) addHostWithInfo(name string, w kqplan.WorkerInfo) {
	w.Service = "s"
	c.UpdateWorker(c.now, name, w)
	c.ApplyReport(c.now, name, kqplan.Report{Worker: w.Worker, Complete: true})
	c.AgentConnected(c.now, name)
	c.LeaseGranted(c.now, name, 7*time.Second)
}

// evacuate sets the evacuated zones.
func (c *cell) evacuate(zones ...string) {
	c.version++
	var changes []kqevacuate.Change
	for _, z := range zones {
		changes = append(changes, kqevacuate.Change{Zone: z})
	}
	c.zones = c.zones.Apply(c.now, c.version, true, changes)
	c.SetZones(c.now, c.zones)
}

// workers returns the workers of the start orders.
func workers(orders []kqplan.Order) []string {
	out := []string{}
	for _, o := range orders {
		if !o.Stop {
			out = append(out, string(o.Worker))
		}
	}
	return out
}

var _ = Describe("planner with an evacuated zone", func() {
	var c *cell
	BeforeEach(func() {
		c = newCell(1)
		c.addHostInZone("h1", "w1", "a", 8)
	})
	AfterEach(func() { Expect(c.counter.Breaches()).To(BeEmpty()) })

	It("places no task in the zone until the request is withdrawn", func() {
		c.evacuate("a")
		c.Submit(c.now, job("j", "urgent", c.now, newStep(1, 1)), nil, 0)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(BeEmpty())
		c.addHostInZone("h2", "w2", "b", 2)
		c.tickUntilIdle()
		Expect(workers(c.takeOrders())).To(Equal([]string{"w2"}))
		c.Submit(c.now, job("k", "urgent", c.now, newStep(4, 1)), nil, 0)
		c.tickUntilIdle()
		Expect(workers(c.takeOrders())).To(Equal([]string{"w2"}))
		c.evacuate()
		c.tickUntilIdle()
		Expect(workers(c.takeOrders())).To(Equal([]string{"w1", "w1", "w1"}))
	})

	It("starts no member of a gang in the zone", func() {
		c.addHostInZone("h2", "w2", "b", 4)
		c.evacuate("a")
		s := newStep(3, 2)
		s.Gang = true
		c.Submit(c.now, job("j", "urgent", c.now, s), nil, 0)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(BeEmpty())
		c.evacuate()
		c.tickUntilIdle()
		Expect(workers(c.takeOrders())).To(HaveLen(3))
	})

	// A gang that would fit only in the evacuated zone must not keep other tasks from capacity that
	// becomes free elsewhere.
	It("holds no capacity for a gang that fits only in the zone", func() {
		c.addHostInZone("h2", "w2", "b", 4)
		c.evacuate("a")
		s := newStep(3, 2)
		s.Gang = true
		c.Submit(c.now, job("gang", "urgent", c.now, s), nil, 0)
		c.tickUntilIdle()
		c.Submit(c.now, job("j", "batch", c.now, newStep(1, 1)), nil, 0)
		c.tickUntilIdle()
		Expect(workers(c.takeOrders())).To(Equal([]string{"w2"}))
	})

	It("preempts no run in the zone", func() {
		c.Submit(c.now, job("j", "batch", c.now, newStep(1, 7)), nil, 0)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(HaveLen(1))
		c.evacuate("a")
		c.Submit(c.now, job("k", "urgent", c.now, newStep(1, 4)), nil, 0)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(BeEmpty())
	})

	It("starts no second copy of a slow task in the zone, and moves no task to it", func() {
		c.addHostInZone("h2", "w2", "b", 8)
		c.evacuate("a")
		for _, speculative := range []bool{true, false} {
			s := newStep(1, 1)
			s.Speculative = speculative
			c.Submit(c.now, job(map[bool]string{true: "j", false: "k"}[speculative], "urgent", c.now, s), nil, 0)
		}
		c.tickUntilIdle()
		o := c.takeOrders()
		Expect(workers(o)).To(Equal([]string{"w2", "w2"}))
		for range 40 {
			c.now = c.now.Add(250 * time.Millisecond)
			c.LeaseGranted(c.now, "h1", 7*time.Second)
			c.LeaseGranted(c.now, "h2", 7*time.Second)
			c.ApplyReport(c.now, "h1", kqplan.Report{Worker: "w1", Complete: true})
			c.ApplyReport(c.now, "h2", kqplan.Report{Worker: "w2", Complete: true, Running: []kqexecution.RunStatus{{Run: o[0].Run, Percent: 5}, {Run: o[1].Run, Percent: 5}}})
			c.tickUntilIdle()
		}
		Expect(c.takeOrders()).To(BeEmpty())
		c.evacuate()
		c.now = c.now.Add(250 * time.Millisecond)
		c.tickUntilIdle()
		Expect(workers(c.takeOrders())).To(ContainElement("w1"))
	})

	// The commit of a start takes time: if an evacuation request arrives before it, the start must
	// not be ordered.
	It("does not order a start whose write was in flight when the request arrived", func() {
		c.Submit(c.now, job("j", "urgent", c.now, newStep(1, 1)), nil, 0)
		c.Tick(c.now)
		ws := c.TakeWrites(40)
		Expect(ws).To(HaveLen(1))
		c.evacuate("a")
		c.version++
		c.WritesCommitted(c.now, ws, c.version)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(BeEmpty())
		c.addHostInZone("h2", "w2", "b", 8)
		c.tickUntilIdle()
		o := c.takeOrders()
		Expect(workers(o)).To(Equal([]string{"w2"}))
		Expect(o[0].Run.Number).To(Equal(uint64(2)))
	})

	// An agent refuses a start in an evacuated zone. The refusal is not a fault of the worker, which
	// must not be quarantined after the evacuation.
	It("does not quarantine a worker for a start refused in an evacuated zone", func() {
		c.Submit(c.now, job("j", "urgent", c.now, newStep(1, 1)), nil, 0)
		c.tickUntilIdle()
		o := c.takeOrders()
		Expect(workers(o)).To(Equal([]string{"w1"}))
		c.evacuate("a")
		c.ApplyReport(c.now, "h1", kqplan.Report{Worker: "w1", Ended: []kqexecution.RunEnd{{Run: o[0].Run, Reason: kqexecution.EndRefused}}})
		c.evacuate()
		c.now = c.now.Add(200 * time.Millisecond)
		c.Submit(c.now, job("k", "urgent", c.now, newStep(3, 1)), nil, 0)
		c.tickUntilIdle()
		Expect(workers(c.takeOrders())).To(HaveLen(4))
	})
})
