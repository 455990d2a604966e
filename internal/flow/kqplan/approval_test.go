package kqplan_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqapproval"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

var _ = Describe("planner with a queue that requires approval of workers", func() {
	var c *cell
	BeforeEach(func() { c = newCell(1) })
	AfterEach(func() { Expect(c.counter.Breaches()).To(BeEmpty()) })

	BeforeEach(func() {
		c.SetPolicy(&kqflow.Policy{Version: 2, Queues: map[string]kqflow.Queue{"urgent": {Name: "urgent", Service: "s", MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond,
			Approval: kqflow.Approval{Required: true, DecisionTime: 200 * time.Millisecond, DecisionTimePerWorker: 10 * time.Millisecond, ValidFor: 5 * time.Second}}}})
		for i := range 4 {
			c.addHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("w%d", i+1), 4)
		}
	})
	takeRequests := func() []kqplan.Effect {
		c.now = c.now.Add(100 * time.Millisecond)
		c.tickUntilIdle()
		out := c.approvalRequests
		c.approvalRequests = nil
		return out
	}
	respond := func(e kqplan.Effect, workers ...string) {
		x := kqplan.ApprovalResponse{Step: e.ApprovalRequest.Step, Workers: e.ApprovalRequest.Workers, Answered: true, Answer: kqapproval.Response{ValidFor: 5 * time.Second}}
		for _, w := range workers {
			x.Answer.Tickets = append(x.Answer.Tickets, kqapproval.Ticket{Worker: w, Ticket: "t-" + w})
		}
		c.RecordApproval(c.now, e.Host, x)
		c.tickUntilIdle()
	}

	It("starts tasks only on approved workers, with the worker's ticket", func() {
		c.Submit(c.now, job("j", "urgent", c.now, newStep(2, 1)), nil, 0)
		a := takeRequests()
		Expect(a).To(HaveLen(1))
		Expect(a[0].ApprovalRequest.Step).To(Equal("j.0.0"))
		Expect(len(a[0].ApprovalRequest.Workers)).To(BeNumerically("<=", 4))
		Expect(c.takeOrders()).To(BeEmpty())
		Expect(takeRequests()).To(BeEmpty(), "one request is open at a time")
		respond(a[0], "w3")
		o := c.takeOrders()
		Expect(o).To(HaveLen(2))
		for _, x := range o {
			Expect(x.Worker).To(Equal(kqexecution.Incarnation("w3")))
			Expect(x.Ticket).To(Equal("t-w3"))
		}
	})

	It("requests approval of a worker only once, and none while enough are approved", func() {
		c.Submit(c.now, job("j", "urgent", c.now, newStep(2, 1)), nil, 0)
		respond(takeRequests()[0])
		c.now = c.now.Add(time.Second)
		Expect(takeRequests()).To(BeEmpty())
		c.now = c.now.Add(400 * time.Millisecond)
		c.addHost("h5", "w5", 4)
		a := takeRequests()
		Expect(a).To(HaveLen(1))
		Expect(a[0].ApprovalRequest.Workers).To(Equal([]kqexecution.Incarnation{"w5"}))
		respond(a[0], "w5")
		Expect(takeRequests()).To(BeEmpty())
		Expect(c.takeOrders()).To(HaveLen(2))
	})

	It("sends a new request through another agent if there is no response", func() {
		c.Submit(c.now, job("j", "urgent", c.now, newStep(1, 1)), nil, 0)
		a := takeRequests()
		c.now = c.now.Add(4 * time.Second)
		for i := range 4 {
			c.addHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("w%d", i+1), 4)
		}
		b := takeRequests()
		Expect(b).To(HaveLen(1))
		Expect(b[0].Host).NotTo(Equal(a[0].Host))
		respond(b[0], "w1")
		Expect(c.takeOrders()).To(HaveLen(1))
	})

	It("requests approval before a step is ready, and drops a ticket that was refused", func() {
		after := newStep(1, 1)
		after.After = []int{0}
		c.Submit(c.now, job("j", "urgent", c.now, newStep(1, 1), after), nil, 0)
		respond(takeRequests()[0], "w1")
		o := c.takeOrders()
		Expect(o).To(HaveLen(1))
		c.ApplyReport(c.now, "h1", kqplan.Report{Worker: "w1", Running: []kqexecution.RunStatus{{Run: o[0].Run, Percent: 70}}})
		a := takeRequests()
		Expect(a).To(HaveLen(1))
		Expect(a[0].ApprovalRequest.Step).To(Equal("j.0.1"))
		respond(a[0], "w1")
		c.reportEnd("h1", "w1", 1, o[0], kqexecution.EndDone)
		c.tickUntilIdle()
		o = c.takeOrders()
		Expect(o[0].Ticket).To(Equal("t-w1"))
		c.reportEnd("h1", "w1", 0, o[0], kqexecution.EndRefused)
		c.now = c.now.Add(time.Second)
		Expect(takeRequests()).To(HaveLen(1))
		Expect(c.takeOrders()).To(BeEmpty())
	})
})
