package kqplan_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqapproval"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

var _ = Describe("a worker that restarts under the same ID", func() {
	const first, second, third = kqexecution.Incarnation("w1@5"), kqexecution.Incarnation("w1@8"), kqexecution.Incarnation("w1@9")
	var c *cell
	BeforeEach(func() { c = newCell(1) })
	AfterEach(func() { Expect(c.counter.Breaches()).To(BeEmpty()) })

	// startTask starts a task of four processors on the first incarnation, whose host has eight
	// processors and is the only host. It returns the start order.
	startTask := func() kqplan.Order {
		c.addHost("h1", string(first), 8)
		c.Submit(c.now, job("j", "urgent", c.now, newStep(1, 4)), nil, 0)
		c.tickUntilIdle()
		o := c.takeOrders()
		Expect(o).To(HaveLen(1))
		Expect(o[0].Worker).To(Equal(first))
		return o[0]
	}
	stopOf := func(o kqplan.Order, w kqexecution.Incarnation) kqplan.Order {
		return kqplan.Order{Run: o.Run, Stop: true, Worker: w}
	}

	It("stops each run of the first incarnation on the second before its task starts again", func() {
		o := startTask()
		c.addHost("h2", "w2", 8)
		c.addHost("h1", string(second), 8)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(Equal([]kqplan.Order{stopOf(o, second)}))
		c.Submit(c.now, job("wide", "urgent", c.now, newStep(2, 8)), nil, 0)
		c.tickUntilIdle()
		wide := c.takeOrders()
		Expect(wide).To(HaveLen(1), "the run's capacity stays reserved on the second")
		Expect(wide[0].Worker).To(Equal(kqexecution.Incarnation("w2")))
		c.ApplyReport(c.now, "h1", kqplan.Report{Worker: first, Ended: []kqexecution.RunEnd{{Run: o.Run, Reason: kqexecution.EndAbsent}}})
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(BeEmpty(), "a report of the first does not prove that the run will not start on the second")
		c.reportEnd("h1", second, 0, o, kqexecution.EndAbsent)
		c.tickUntilIdle()
		again := c.takeOrders()
		Expect(again).NotTo(BeEmpty())
		Expect(again[0].Worker).To(Equal(second))
		Expect(c.records["j"].Tasks[0].LastRun + c.records["wide"].Tasks[0].LastRun + c.records["wide"].Tasks[1].LastRun).To(BeNumerically(">", 2))
	})

	It("stops the run also if the agent reports in between that there is no worker", func() {
		o := startTask()
		c.UpdateWorker(c.now, "h1", kqplan.WorkerInfo{})
		c.addHost("h2", "w2", 8)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(BeEmpty(), "the run is not lost yet")
		c.addHost("h1", string(second), 8)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(Equal([]kqplan.Order{stopOf(o, second)}))
		c.reportEnd("h1", second, 0, o, kqexecution.EndAbsent)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(HaveLen(1))
	})

	It("stops a run on each further incarnation until one has replied", func() {
		o := startTask()
		c.addHost("h1", string(second), 8)
		c.tickUntilIdle()
		c.takeOrders()
		c.addHost("h1", string(third), 8)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(Equal([]kqplan.Order{stopOf(o, third)}))
		Expect(c.Resync(c.now, "h1")).To(HaveLen(1))
		c.reportEnd("h1", third, 0, o, kqexecution.EndAbsent)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(HaveLen(1))
	})

	It("applies the end of a run that the second incarnation started late", func() {
		o := startTask()
		c.addHost("h1", string(second), 8)
		c.tickUntilIdle()
		c.takeOrders()
		c.ApplyReport(c.now, "h1", kqplan.Report{Worker: second, Complete: true, Running: []kqexecution.RunStatus{{Run: o.Run, Percent: 50}}})
		c.reportEnd("h1", second, 1, o, kqexecution.EndDone)
		c.tickUntilIdle()
		Expect(c.states).To(HaveKeyWithValue("j", kqflow.StateCompleted))
		Expect(c.acknowledged).To(HaveKeyWithValue("h1", uint64(1)))
	})

	It("restores the first incarnation from the stored record after a change of owner", func() {
		o := startTask()
		r := c.records["j"]
		text, err := json.Marshal(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring(`"worker":"w1@5"`))
		c = newCell(2)
		c.Submit(c.now, job("j", "urgent", c.now, newStep(1, 4)), &r, 9)
		c.addHost("h2", "w2", 8)
		c.addHost("h1", string(second), 8)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(Equal([]kqplan.Order{stopOf(o, second)}))
		Expect(c.records["j"].Tasks[0].Runs[0]).To(Equal(kqflow.RunRecord{Number: 1, Host: "h1", Worker: second, Stopping: true, Transferred: true}))
		r = c.records["j"]
		c = newCell(3)
		c.Submit(c.now, job("j", "urgent", c.now, newStep(1, 4)), &r, 10)
		c.addHost("h1", string(second), 8)
		Expect(c.Resync(c.now, "h1")).To(HaveLen(1))
		c.reportEnd("h1", second, 0, o, kqexecution.EndAbsent)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(HaveLen(1))
	})

	It("drops a run at once that was decided but never ordered", func() {
		c.addHost("h1", string(first), 8)
		c.Submit(c.now, job("j", "urgent", c.now, newStep(1, 4)), nil, 0)
		c.Tick(c.now)
		c.addHost("h1", string(second), 8)
		c.tickUntilIdle()
		o := c.takeOrders()
		Expect(o).To(HaveLen(1))
		Expect(o[0].Stop).To(BeFalse())
		Expect(o[0].Worker).To(Equal(second))
	})

	It("restarts the tasks of a departed incarnation and of earlier ones at once", func() {
		startTask()
		c.WorkerDeparted(c.now, second)
		c.addHost("h2", "w2", 8)
		c.tickUntilIdle()
		o := c.takeOrders()
		Expect(o).To(HaveLen(1))
		Expect(o[0].Worker).To(Equal(kqexecution.Incarnation("w2")))
	})

	DescribeTable("applies a departure that was learned elsewhere", func(left kqexecution.Incarnation, restarts bool) {
		startTask()
		c.WorkerEnded(c.now, "h2", kqplan.WorkerEnd{Worker: left, Departed: true})
		c.addHost("h2", "w2", 8)
		c.tickUntilIdle()
		Expect(len(c.takeOrders()) == 1).To(Equal(restarts))
	},
		Entry("of the worker", first, true),
		Entry("of an earlier incarnation, late", kqexecution.Incarnation("w1@4"), false),
		Entry("of an incarnation without a birth", kqexecution.Incarnation("w1"), false),
	)

	// A delayed copy of a start may still be carried out by the second incarnation.
	It("stops recently removed runs on the second incarnation, but not runs removed long ago", func() {
		o := startTask()
		c.reportEnd("h1", first, 1, o, kqexecution.EndDone)
		c.tickUntilIdle()
		c.now = c.now.Add(10 * time.Second)
		c.addHost("h1", string(second), 8)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(Equal([]kqplan.Order{stopOf(o, second)}))
		c.reportEnd("h1", second, 0, o, kqexecution.EndAbsent)
		c.tickUntilIdle()
		Expect(c.states).To(HaveKeyWithValue("j", kqflow.StateCompleted))
		c.now = c.now.Add(10 * time.Second)
		c.addHost("h1", string(third), 8)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(BeEmpty())
	})

	It("resets health, end numbers and tickets for a new incarnation", func() {
		c.SetPolicy(&kqflow.Policy{Version: 2, Queues: map[string]kqflow.Queue{"urgent": {Name: "urgent", Service: "s", MaxAttempts: 9, Stretch: 1.5, Target: 250 * time.Millisecond,
			Approval: kqflow.Approval{Required: true, DecisionTime: 200 * time.Millisecond, DecisionTimePerWorker: 10 * time.Millisecond, ValidFor: 60 * time.Second}}}})
		c.addHost("h1", string(first), 8)
		c.Submit(c.now, job("j", "urgent", c.now, newStep(2, 1)), nil, 0)
		approve := func() []kqexecution.Incarnation {
			c.now = c.now.Add(500 * time.Millisecond)
			c.LeaseGranted(c.now, "h1", 7*time.Second)
			c.tickUntilIdle()
			Expect(c.approvalRequests).To(HaveLen(1))
			a := c.approvalRequests[0]
			c.approvalRequests = nil
			c.RecordApproval(c.now, a.Host, kqplan.ApprovalResponse{Step: a.ApprovalRequest.Step, Workers: a.ApprovalRequest.Workers, Answered: true,
				Answer: kqapproval.Response{ValidFor: 60 * time.Second, Tickets: []kqapproval.Ticket{{Worker: "w1", Ticket: "t"}}}})
			c.tickUntilIdle()
			return a.ApprovalRequest.Workers
		}
		Expect(approve()).To(Equal([]kqexecution.Incarnation{first}))
		o := c.takeOrders()
		Expect(o).To(HaveLen(2), "the service replies with IDs")
		for n := range o {
			c.reportEnd("h1", first, uint64(n+1), o[n], kqexecution.EndFailed)
		}
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(BeEmpty(), "quarantined")
		c.addHost("h1", string(second), 8)
		c.tickUntilIdle()
		for _, x := range c.takeOrders() {
			Expect(x.Stop).To(BeTrue(), "the ticket was issued for the first incarnation")
		}
		Expect(approve()).To(Equal([]kqexecution.Incarnation{second}))
		o = c.takeOrders()
		Expect(o).To(HaveLen(2), "not quarantined")
		c.reportEnd("h1", second, 1, o[0], kqexecution.EndDone)
		c.tickUntilIdle()
		Expect(c.records["j"].Tasks[0].Done || c.records["j"].Tasks[1].Done).To(BeTrue(), "end numbers start at 1 again")
	})

	It("restarts the task of a replaced worker with another ID at once", func() {
		c.addHost("h1", "w1", 8)
		c.Submit(c.now, job("j", "urgent", c.now, newStep(1, 4)), nil, 0)
		c.tickUntilIdle()
		c.takeOrders()
		c.addHost("h1", "w2", 8)
		c.tickUntilIdle()
		o := c.takeOrders()
		Expect(o).To(HaveLen(1))
		Expect(o[0].Stop).To(BeFalse())
	})
})
