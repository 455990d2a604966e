package kqplan_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

var _ = Describe("admission", func() {
	var c *cell
	BeforeEach(func() {
		c = newCell(1)
		c.SetPolicy(&kqflow.Policy{Version: 2, Queues: map[string]kqflow.Queue{
			"urgent": {Name: "urgent", Service: "s", MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond},
			"report": {Name: "report", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond},
			"other":  {Name: "other", Service: "elsewhere", MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond}}})
		c.EnableDigests(true)
		c.now = c.now.Add(kqadmission.RejectionHoldTime)
		c.addHost("h1", "w1", 4)
	})
	AfterEach(func() { Expect(c.counter.Breaches()).To(BeEmpty()) })

	level := func(d *kqadmission.Digest, queue string) kqadmission.Level { return d.Levels[d.Queues[queue].Level] }
	// after advances the time by d, renews the lease of h1 and returns the digest that is due.
	after := func(d time.Duration) *kqadmission.Digest {
		c.now = c.now.Add(d)
		c.LeaseGranted(c.now, "h1", 7*time.Second)
		c.tickUntilIdle()
		return c.Digest(c.now)
	}
	stepWithEstimate := func(count int, processors int64, estimate time.Duration) kqflow.Step {
		s := newStep(count, processors)
		s.Estimate = estimate
		return s
	}

	It("builds no digest while digests are disabled", func() {
		c.EnableDigests(false)
		c.Submit(c.now, job("j", "urgent", c.now, newStep(9, 1)), nil, 0)
		Expect(after(time.Second)).To(BeNil())
	})

	It("reports the running and waiting work, and which of it is ahead of a new job", func() {
		c.Submit(c.now, job("run", "urgent", c.now, stepWithEstimate(4, 1, 8*time.Second)), nil, 0)
		c.tickUntilIdle()
		c.Submit(c.now, job("wait", "urgent", c.now, stepWithEstimate(6, 1, 2*time.Second)), nil, 0)
		filling, longRunning, labelled := newStep(2, 1), newStep(1, 1), newStep(1, 1)
		filling.Fills, longRunning.LongRunning, labelled.Label = true, true, "gpu"
		for n, s := range []kqflow.Step{filling, longRunning, labelled} {
			c.Submit(c.now, job(fmt.Sprint("x", n), "urgent", c.now, s), nil, 0)
		}
		d := after(300 * time.Millisecond)
		Expect(d).NotTo(BeNil())
		Expect(d.RejectionsHeld).To(BeFalse())
		report := level(d, "report")
		Expect(report.MilliProcessors).To(Equal(int64(4000)))
		Expect(report.FreeMilliProcessors).To(BeZero())
		Expect(report.Releases).To(ConsistOf(kqadmission.Release{After: 7 * time.Second, MilliProcessors: 4000}))
		Expect(report.Waiting).To(ConsistOf(kqadmission.WaitingWork{TaskMilliProcessors: 1000, Work: 12, MaxRemainingPath: 2 * time.Second}))
		urgent := level(d, "urgent")
		Expect(urgent.Waiting).To(HaveLen(1))
		Expect(urgent.Waiting[0].SamePriority).To(BeTrue())
		Expect(urgent.Waiting[0].MinSlack).To(Equal(2 * time.Second))
		Expect(level(d, "other").Waiting).To(BeEmpty())
		Expect(level(d, "other").MilliProcessors).To(BeZero())
	})

	It("omits late work of the same priority and work without value", func() {
		c.Submit(c.now, job("run", "urgent", c.now, stepWithEstimate(4, 1, time.Minute)), nil, 0)
		c.tickUntilIdle()
		c.Submit(c.now, job("wait", "urgent", c.now, newStep(3, 1)), nil, 0)
		Expect(after(300 * time.Millisecond).Levels[0].Waiting).To(BeEmpty(), "elsewhere")
		d := after(2 * time.Second)
		Expect(level(d, "urgent").Waiting).To(BeEmpty(), "its job is late")
		Expect(level(d, "report").Waiting).To(HaveLen(1))
		c.now = c.now.Add(4 * time.Second)
		d = after(0)
		Expect(level(d, "report").Waiting).To(BeEmpty(), "its job has no value any more")
		Expect(d.Saturated).To(BeTrue())
		Expect(level(d, "report").Releases).NotTo(BeEmpty(), "running tasks are still ahead of a new job")
	})

	It("counts runs that a new job can preempt as free capacity", func() {
		c.Submit(c.now, job("run", "report", c.now, stepWithEstimate(4, 1, 8*time.Second)), nil, 0)
		c.tickUntilIdle()
		c.Submit(c.now, job("wait", "report", c.now, newStep(3, 1)), nil, 0)
		d := after(300 * time.Millisecond)
		Expect(level(d, "urgent").MaxWorkerFree.MilliProcessors).To(BeNumerically(">=", 3000))
		Expect(level(d, "report").MaxWorkerFree.MilliProcessors).To(BeNumerically("<", 1000))
	})

	It("reports once that nothing waits any more, and then sends no further digest", func() {
		c.Submit(c.now, job("run", "urgent", c.now, newStep(4, 1)), nil, 0)
		c.tickUntilIdle()
		running := c.takeOrders()
		c.Submit(c.now, job("wait", "urgent", c.now, newStep(1, 1)), nil, 0)
		Expect(after(300 * time.Millisecond).Saturated).To(BeTrue())
		Expect(c.Digest(c.now)).To(BeNil(), "a digest has just been sent")
		for n, o := range running {
			c.reportEnd("h1", "w1", uint64(n+1), o, kqexecution.EndDone)
		}
		Expect(after(300 * time.Millisecond).Saturated).To(BeFalse())
		Expect(after(300 * time.Millisecond)).To(BeNil())
	})

	It("holds rejections after a takeover, after the loss of an entry, and while placement is on hold", func() {
		c.Submit(c.now, job("run", "urgent", c.now, newStep(9, 1)), nil, 0)
		Expect(after(300 * time.Millisecond).RejectionsHeld).To(BeFalse())
		c.HoldRejections(c.now)
		Expect(after(300 * time.Millisecond).RejectionsHeld).To(BeTrue())
		c.now = c.now.Add(kqadmission.RejectionHoldTime)
		c.SetHold(true)
		Expect(after(300 * time.Millisecond).RejectionsHeld).To(BeTrue())
		next := newCell(2)
		next.EnableDigests(true)
		next.addHost("h1", "w1", 4)
		next.Submit(next.now, job("run", "urgent", next.now, newStep(9, 1)), nil, 0)
		next.tickUntilIdle()
		Expect(next.Digest(next.now).RejectionsHeld).To(BeTrue())
	})

	It("counts a rejected job from its caller's first attempt when it is submitted again", func() {
		c.Submit(c.now, job("run", "urgent", c.now, stepWithEstimate(4, 1, time.Second)), nil, 0)
		c.tickUntilIdle()
		running := c.takeOrders()
		c.RecordRejection(c.now, kqadmission.RejectedJob{ID: "back", Queue: "urgent", Age: 500 * time.Millisecond, Work: 4, ReservedWork: 4})
		c.Submit(c.now, job("new", "urgent", c.now, newStep(4, 1)), nil, 0)
		c.Submit(c.now, job("back", "urgent", c.now, newStep(4, 1)), nil, 0)
		Expect(after(300 * time.Millisecond).Returning).To(BeZero())
		for n, o := range running {
			c.reportEnd("h1", "w1", uint64(n+1), o, kqexecution.EndDone)
		}
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(HaveEach(HaveField("Run.Task", HavePrefix("back"))), "a job that was rejected before goes before a new one")
	})

	It("places a new job in time before late jobs, and late jobs before jobs without value", func() {
		c.Submit(c.now, job("run", "urgent", c.now, stepWithEstimate(4, 1, time.Minute)), nil, 0)
		c.tickUntilIdle()
		running := c.takeOrders()
		c.Submit(c.now, job("worthless", "urgent", c.now, newStep(4, 1)), nil, 0)
		after(4 * time.Second)
		c.Submit(c.now, job("late", "urgent", c.now, newStep(4, 1)), nil, 0)
		after(2 * time.Second)
		c.Submit(c.now, job("new", "urgent", c.now, newStep(4, 1)), nil, 0)
		number := uint64(0)
		for _, next := range []string{"new", "late", "worthless"} {
			for _, o := range running {
				number++
				c.reportEnd("h1", "w1", number, o, kqexecution.EndDone)
			}
			c.tickUntilIdle()
			running = c.takeOrders()
			Expect(running).To(HaveLen(4))
			Expect(running).To(HaveEach(HaveField("Run.Task", HavePrefix(next))))
		}
	})

	It("names the segments of a queue that request more than their share", func() {
		for n := range 200 {
			c.RecordRejection(c.now, kqadmission.RejectedJob{ID: fmt.Sprint(n), Queue: "report", Work: 1, ReservedWork: 1, Zone: "z"})
			c.now = c.now.Add(100 * time.Millisecond)
		}
		c.addHost("h1", "w1", 4)
		c.Submit(c.now, job("run", "urgent", c.now, newStep(9, 1)), nil, 0)
		d := after(300 * time.Millisecond)
		Expect(d.Queues["report"].OverShare).To(ConsistOf(kqadmission.Segment{Zone: "z"}))
		Expect(d.Queues["urgent"].OverShare).To(BeEmpty())
		Expect(d.Returning).To(BeNumerically("~", 200, 1))
	})

	It("lists unresolved jobs until they arrive or expire", func() {
		c.MarkUnresolved(c.now, []string{"a", "b"})
		c.Submit(c.now, job("a", "urgent", c.now, newStep(1, 1)), nil, 0)
		Expect(c.AllUnresolved(c.now)).To(ConsistOf("b"))
		Expect(c.AllUnresolved(c.now.Add(kqadmission.UnresolvedTTL + 1))).To(BeEmpty())
	})

	It("does not count a draining worker, nor a disconnected one whose lease has ended", func() {
		c.Submit(c.now, job("run", "urgent", c.now, newStep(9, 1)), nil, 0)
		c.addHost("h2", "w2", 2)
		Expect(level(after(300*time.Millisecond), "urgent").MilliProcessors).To(Equal(int64(6000)))
		c.UpdateWorker(c.now, "h2", kqplan.WorkerInfo{Worker: "w2", Service: "s", Draining: true, Capacity: kqmodel.Resources{MilliProcessors: 2000, MemoryBytes: 1 << 40}})
		Expect(level(after(300*time.Millisecond), "urgent").MilliProcessors).To(Equal(int64(4000)))
		c.addHost("h3", "w3", 2)
		c.AgentDisconnected(c.now, "h3")
		Expect(level(after(time.Second), "urgent").MilliProcessors).To(Equal(int64(6000)))
		Expect(level(after(9*time.Second), "urgent").MilliProcessors).To(Equal(int64(4000)))
	})
})
