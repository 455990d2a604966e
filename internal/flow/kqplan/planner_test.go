package kqplan_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

func TestPlan(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "scheduling by the owner of a cell", suite, reporter)
}

// cell drives a Planner with a simulated clock and store. It collects the effects of the
// planner.
type cell struct {
	*kqplan.Planner
	now              time.Time
	counter          *kqinvariant.Counter
	version          uint64
	zones            kqevacuate.Zones
	states           map[string]kqflow.State
	orders           []kqplan.Order
	approvalRequests []kqplan.Effect
	acknowledged     map[string]uint64
	records          map[string]kqflow.JobRecord
}

func newCell(epoch uint64) *cell { return newCellWith(kqplan.Config{Epoch: epoch}) }

func newCellWith(config kqplan.Config) *cell {
	if config.AcquiredAt.IsZero() {
		config.AcquiredAt = time.Unix(1000, 0)
	}
	c := &cell{now: config.AcquiredAt, counter: &kqinvariant.Counter{}, states: map[string]kqflow.State{}, acknowledged: map[string]uint64{}, records: map[string]kqflow.JobRecord{}}
	config.Lease, config.CrossRackSlowdown, config.Counter = 7*time.Second, 1.5, c.counter
	c.Planner = kqplan.New(config)
	c.SetPolicy(&kqflow.Policy{Version: 1, Queues: map[string]kqflow.Queue{
		"urgent": {Name: "urgent", Service: "s", MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond},
		"batch":  {Name: "batch", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 2, Target: time.Second}}})
	return c
}

// addHost connects a host whose worker has a number of processors, and grants it a lease.
func (c *cell) addHost(name, worker string, processors int64) {
	c.addHostWithLease(name, worker, processors, 7*time.Second)
}

func (c *cell) addHostWithLease(name, worker string, processors int64, lease time.Duration) {
	c.UpdateWorker(c.now, name, kqplan.WorkerInfo{Worker: kqexecution.Incarnation(worker), Service: "s", Capacity: kqmodel.Resources{MilliProcessors: processors * 1000, MemoryBytes: 1 << 40}})
	c.ApplyReport(c.now, name, kqplan.Report{Worker: kqexecution.Incarnation(worker), Complete: true})
	c.AgentConnected(c.now, name)
	c.LeaseGranted(c.now, name, lease)
}

// tickUntilIdle ticks and commits all writes ten times, which leaves no write.
func (c *cell) tickUntilIdle() {
	for range 10 {
		c.Tick(c.now)
		ws := c.TakeWrites(40)
		for _, w := range ws {
			c.records[w.Job] = w.Record
		}
		c.version++
		c.WritesCommitted(c.now, ws, c.version)
		c.collect()
	}
}

// collect sorts the released effects into the fields of the cell.
func (c *cell) collect() {
	for _, e := range c.TakeEffects() {
		switch {
		case e.Job != "":
			c.states[e.Job] = e.State
		case e.ApprovalRequest != nil:
			c.approvalRequests = append(c.approvalRequests, e)
		case e.Order != nil:
			c.orders = append(c.orders, *e.Order)
		case e.Acknowledged > 0:
			c.acknowledged[e.Host] = e.Acknowledged
		}
	}
}

// takeOrders returns the orders collected since its last call.
func (c *cell) takeOrders() []kqplan.Order {
	out := c.orders
	c.orders = nil
	return out
}

// reportEnd reports the end of an ordered run; number counts the ends of the incarnation.
func (c *cell) reportEnd(host string, worker kqexecution.Incarnation, number uint64, o kqplan.Order, reason kqexecution.EndReason) {
	c.ApplyReport(c.now, host, kqplan.Report{Worker: worker, Ended: []kqexecution.RunEnd{{Number: number, Run: o.Run, Reason: reason}}})
}

// job returns the submission of a job at a time.
func job(id, queue string, now time.Time, steps ...kqflow.Step) kqflow.Submission {
	return kqflow.Submission{Job: kqflow.Job{ID: id, Queue: queue, Steps: steps, SubmittedAt: now}}
}

// newStep returns a step of tasks of 1 s that use a number of processors each.
func newStep(count int, processors int64) kqflow.Step {
	return kqflow.Step{Count: count, Resources: kqmodel.Resources{MilliProcessors: processors * 1000}, Estimate: time.Second}
}

var _ = Describe("a planner", func() {
	var c *cell
	BeforeEach(func() { c = newCell(1) })
	AfterEach(func() { Expect(c.counter.Breaches()).To(BeEmpty()) })

	It("orders a start and acknowledges an end only after the commit", func() {
		c.addHost("h1", "w1", 8)
		c.Submit(c.now, job("j", "urgent", c.now, newStep(1, 1)), nil, 0)
		c.Tick(c.now)
		c.collect()
		Expect(c.takeOrders()).To(BeEmpty())
		ws := c.TakeWrites(40)
		Expect(ws).To(HaveLen(1))
		Expect(c.TakeWrites(40)).To(BeEmpty(), "a job has at most one write in flight")
		c.WritesCommitted(c.now, ws, 7)
		c.collect()
		o := c.takeOrders()
		Expect(o).To(HaveLen(1))
		c.reportEnd("h1", "w1", 1, o[0], kqexecution.EndDone)
		c.collect()
		Expect(c.acknowledged).To(BeEmpty())
		c.tickUntilIdle()
		Expect(c.acknowledged).To(HaveKeyWithValue("h1", uint64(1)))
		Expect(c.states).To(HaveKeyWithValue("j", kqflow.StateCompleted))
	})

	It("starts a step after the steps it depends on, within the capacity of the host", func() {
		c.addHost("h1", "w1", 2)
		s := newStep(1, 1)
		s.After = []int{0}
		c.Submit(c.now, job("j", "urgent", c.now, newStep(3, 1), s), nil, 0)
		c.tickUntilIdle()
		first := c.takeOrders()
		Expect(first).To(HaveLen(2))
		c.reportEnd("h1", "w1", 1, first[0], kqexecution.EndDone)
		c.reportEnd("h1", "w1", 2, first[1], kqexecution.EndDone)
		c.tickUntilIdle()
		third := c.takeOrders()
		Expect(third).To(HaveLen(1))
		c.reportEnd("h1", "w1", 3, third[0], kqexecution.EndDone)
		c.tickUntilIdle()
		Expect(c.takeOrders()[0].Run.Task).To(Equal("j.0.1.0"))
	})

	It("fails a job whose task has no attempt left, and stops its other runs", func() {
		c.addHost("h1", "w1", 8)
		c.addHost("h2", "w2", 8)
		c.Submit(c.now, job("j", "urgent", c.now, newStep(2, 1)), nil, 0)
		number := map[string]uint64{}
		for range 2 {
			c.tickUntilIdle()
			for _, o := range c.takeOrders() {
				if o.Run.Task == "j.0.0.0" && !o.Stop {
					host := map[kqexecution.Incarnation]string{"w1": "h1", "w2": "h2"}[o.Worker]
					number[host]++
					c.reportEnd(host, o.Worker, number[host], o, kqexecution.EndFailed)
				}
			}
			c.now = c.now.Add(200 * time.Millisecond)
			c.LeaseGranted(c.now, "h1", 7*time.Second)
			c.LeaseGranted(c.now, "h2", 7*time.Second)
		}
		c.tickUntilIdle()
		Expect(c.states).To(HaveKeyWithValue("j", kqflow.StateFailed))
		stops := c.takeOrders()
		Expect(stops).To(HaveLen(1))
		Expect(stops[0].Stop).To(BeTrue())
	})

	It("never orders a run whose job was cancelled while its start was being stored", func() {
		c.addHost("h1", "w1", 8)
		s := job("j", "urgent", c.now, newStep(1, 1))
		c.Submit(c.now, s, nil, 0)
		c.Tick(c.now)
		ws := c.TakeWrites(40)
		s.Cancelled = true
		c.Submit(c.now, s, nil, 0)
		c.WritesCommitted(c.now, ws, 5)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(BeEmpty())
		Expect(c.states).To(HaveKeyWithValue("j", kqflow.StateCancelled))
	})

	It("restarts a task after the lease of a silent worker expires, or at once after its worker was replaced", func() {
		c.addHost("h1", "w1", 8)
		c.Submit(c.now, job("j", "batch", c.now, newStep(1, 1)), nil, 0)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(HaveLen(1))
		c.AgentDisconnected(c.now, "h1")
		c.now = c.now.Add(7 * time.Second)
		c.addHost("h2", "w2", 8)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(BeEmpty())
		c.now = c.now.Add(500 * time.Millisecond)
		c.LeaseGranted(c.now, "h2", 7*time.Second)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(HaveLen(1))
		c.addHost("h2", "w2-reborn", 8)
		c.tickUntilIdle()
		o := c.takeOrders()
		Expect(o).To(HaveLen(1))
		Expect(o[0].Worker).To(Equal(kqexecution.Incarnation("w2-reborn")))
		Expect(o[0].Run.Number).To(Equal(uint64(3)))
	})

	It("restores the runs that an earlier owner stored, and keeps the rows of ended jobs", func() {
		c.addHost("h1", "w1", 8)
		c.Submit(c.now, job("j", "urgent", c.now, newStep(1, 1)), nil, 0)
		c.Submit(c.now, job("k", "urgent", c.now, newStep(1, 1)), nil, 0)
		c.tickUntilIdle()
		for n, o := range c.takeOrders() {
			if o.Run.Task == "k.0.0.0" {
				c.reportEnd("h1", "w1", uint64(n+1), o, kqexecution.EndDone)
			}
		}
		c.tickUntilIdle()
		next := newCell(2)
		for _, id := range []string{"j", "k"} {
			r := c.records[id]
			next.Submit(next.now, job(id, "urgent", next.now, newStep(1, 1)), &r, 9)
		}
		next.tickUntilIdle()
		Expect(next.takeOrders()).To(BeEmpty(), "the run may still execute")
		Expect(next.states).To(HaveKeyWithValue("k", kqflow.StateCompleted))
		Expect(next.EndedJobs(next.now.Add(-time.Second))).To(BeEmpty(), "it was only just restored")
		next.addHost("h1", "w1", 8)
		Expect(next.Resync(next.now, "h1")).To(HaveLen(1))
	})

	It("counts a failure once although it is reported again to a new owner", func() {
		c.addHost("h1", "w1", 8)
		c.Submit(c.now, job("j", "urgent", c.now, newStep(1, 1)), nil, 0)
		c.tickUntilIdle()
		o := c.takeOrders()[0]
		c.reportEnd("h1", "w1", 1, o, kqexecution.EndFailed)
		c.tickUntilIdle()
		r := c.records["j"]
		next := newCell(2)
		next.Submit(next.now, job("j", "urgent", next.now, newStep(1, 1)), &r, 9)
		next.addHost("h1", "w1", 8)
		next.reportEnd("h1", "w1", 1, o, kqexecution.EndFailed)
		next.tickUntilIdle()
		Expect(next.states).NotTo(HaveKeyWithValue("j", kqflow.StateFailed))
		Expect(next.acknowledged).To(HaveKeyWithValue("h1", uint64(1)))
	})

	It("stops a copy if both copies of a speculative task are stalled", func() {
		for _, n := range []string{"1", "2", "3"} {
			c.addHost("h"+n, "w"+n, 8)
		}
		s := newStep(1, 1)
		s.Speculative = true
		c.Submit(c.now, job("j", "urgent", c.now, s), nil, 0)
		c.tickUntilIdle()
		at := map[kqexecution.Incarnation]kqplan.Order{}
		stopped := false
		for range 60 {
			for _, o := range c.takeOrders() {
				at[o.Worker] = o
				stopped = stopped || o.Stop
			}
			c.now = c.now.Add(200 * time.Millisecond)
			for _, n := range []string{"1", "2", "3"} {
				var running []kqexecution.RunStatus
				if o, ok := at[kqexecution.Incarnation("w"+n)]; ok {
					running = append(running, kqexecution.RunStatus{Run: o.Run, Percent: 10})
				}
				c.ApplyReport(c.now, "h"+n, kqplan.Report{Worker: kqexecution.Incarnation("w" + n), Complete: true, Running: running})
				c.LeaseGranted(c.now, "h"+n, 7*time.Second)
			}
			c.tickUntilIdle()
		}
		Expect(len(at)).To(BeNumerically(">=", 2))
		Expect(stopped).To(BeTrue())
	})

	It("preempts runs of lower priority for an urgent task", func() {
		c.addHost("h1", "w1", 4)
		c.Submit(c.now, job("b", "batch", c.now, newStep(3, 1)), nil, 0)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(HaveLen(3))
		c.Submit(c.now, job("u", "urgent", c.now, newStep(1, 3)), nil, 0)
		c.tickUntilIdle()
		c.tickUntilIdle()
		stops := c.takeOrders()
		Expect(stops).To(HaveLen(2))
		for n, o := range stops {
			Expect(o.Stop).To(BeTrue())
			c.reportEnd("h1", "w1", uint64(n+1), o, kqexecution.EndStopped)
		}
		c.tickUntilIdle()
		Expect(c.takeOrders()[0].Run.Task).To(Equal("u.0.0.0"))
	})

	It("probes a quarantined worker, also while it runs long-running tasks", func() {
		c.addHost("h1", "w1", 8)
		longRunning := newStep(1, 1)
		longRunning.LongRunning = true
		c.Submit(c.now, job("s", "urgent", c.now.Add(-time.Second), longRunning), nil, 0)
		c.tickUntilIdle()
		c.takeOrders()
		for n := range 2 {
			id := fmt.Sprintf("f%d", n)
			c.Submit(c.now, job(id, "urgent", c.now, newStep(1, 1)), nil, 0)
			c.tickUntilIdle()
			c.reportEnd("h1", "w1", uint64(n+1), c.takeOrders()[0], kqexecution.EndFailed)
		}
		c.tickUntilIdle()
		c.takeOrders()
		c.Submit(c.now, job("later", "urgent", c.now, newStep(1, 1)), nil, 0)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(BeEmpty(), "quarantined")
		c.now = c.now.Add(2 * time.Second)
		c.LeaseGranted(c.now, "h1", 7*time.Second)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(HaveLen(1), "one probe")
	})

	It("stops an orphaned run and uses the worker again after its end", func() {
		c.addHost("h1", "w1", 8)
		orphan := kqexecution.Run{Task: "gone.0.0.0", Number: 4}
		c.ApplyReport(c.now, "h1", kqplan.Report{Worker: "w1", Complete: true, Running: []kqexecution.RunStatus{{Run: orphan}}})
		c.Submit(c.now, job("j", "urgent", c.now, newStep(1, 1)), nil, 0)
		c.tickUntilIdle()
		o := c.takeOrders()
		Expect(o).To(HaveLen(1))
		Expect(o[0].Stop).To(BeTrue())
		Expect(o[0].Run).To(Equal(orphan))
		c.reportEnd("h1", "w1", 1, o[0], kqexecution.EndStopped)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(HaveLen(1))
		Expect(c.acknowledged).To(HaveKeyWithValue("h1", uint64(1)))
	})

	It("does not start an occurrence before it is due", func() {
		c.addHost("h1", "w1", 8)
		s := job("t", "batch", c.now, newStep(1, 1))
		s.Job.Repeat, s.Job.Every, s.Job.FirstAt = 2, 5*time.Second, c.now.Add(time.Second)
		c.Submit(c.now, s, nil, 0)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(BeEmpty())
		c.now = c.now.Add(time.Second)
		c.LeaseGranted(c.now, "h1", 7*time.Second)
		c.tickUntilIdle()
		o := c.takeOrders()
		Expect(o).To(HaveLen(1))
		Expect(o[0].Run.Task).To(Equal("t.0.0.0"))
	})

	It("places a filling task of unknown interference away from serving tasks", func() {
		c.addHost("h1", "w1", 16)
		c.addHost("h2", "w2", 16)
		serving := newStep(1, 4)
		serving.LongRunning, serving.Image, serving.TailTarget = true, "web", 50*time.Millisecond
		c.Submit(c.now, job("s", "urgent", c.now.Add(-time.Second), serving), nil, 0)
		c.tickUntilIdle()
		on := c.takeOrders()[0].Worker
		filling := newStep(1, 4)
		filling.Fills, filling.Image = true, "crunch"
		c.Submit(c.now, job("f", "batch", c.now, filling), nil, 0)
		c.tickUntilIdle()
		o := c.takeOrders()
		Expect(o).To(HaveLen(1))
		Expect(o[0].Worker).NotTo(Equal(on))
	})

	It("starts the job with the highest cost of delay per second of work first", func() {
		wide, small := newStep(4, 2), newStep(1, 2)
		wide.Estimate, small.Estimate = 4*time.Second, 4*time.Second
		c.Submit(c.now, job("a", "batch", c.now, wide), nil, 0)
		c.Submit(c.now, job("b", "batch", c.now.Add(time.Millisecond), small), nil, 0)
		c.now = c.now.Add(6 * time.Second)
		c.addHost("h1", "w1", 3)
		c.tickUntilIdle()
		o := c.takeOrders()
		Expect(o).To(HaveLen(1))
		Expect(o[0].Run.Task).To(Equal("b.0.0.0"))
	})

	It("starts a job close to its deadline before one with more slack", func() {
		far, near := newStep(1, 2), newStep(1, 2)
		far.Estimate, near.Estimate = 10*time.Second, time.Second
		c.Submit(c.now, job("a", "batch", c.now, far), nil, 0)
		c.now = c.now.Add(5 * time.Second)
		c.Submit(c.now, job("b", "batch", c.now, near), nil, 0)
		c.now = c.now.Add(1900 * time.Millisecond)
		c.addHost("h1", "w1", 3)
		c.tickUntilIdle()
		o := c.takeOrders()
		Expect(o).To(HaveLen(1))
		Expect(o[0].Run.Task).To(Equal("b.0.0.0"))
	})

	DescribeTable("starts a job in order of arrival although the clock of the accepting entry was stepped", func(stepped time.Duration) {
		c.Submit(c.now, job("early", "urgent", c.now, newStep(1, 2)), nil, 0)
		c.now = c.now.Add(300 * time.Millisecond)
		c.Submit(c.now, job("skewed", "urgent", c.now.Add(stepped), newStep(1, 2)), nil, 0)
		c.now = c.now.Add(300 * time.Millisecond)
		c.Submit(c.now, job("last", "urgent", c.now, newStep(1, 2)), nil, 0)
		c.addHost("h1", "w1", 4)
		c.tickUntilIdle()
		var names []string
		for _, o := range c.takeOrders() {
			names = append(names, o.Run.Task)
		}
		Expect(names).To(ConsistOf("early.0.0.0", "skewed.0.0.0"))
	},
		Entry("ahead", 2*time.Second), Entry("far ahead", time.Hour), Entry("far back", -time.Hour))

	It("packs long-running tasks that are submitted together, the large ones first", func() {
		for i := range 3 {
			c.addHost(fmt.Sprintf("h%d", i+1), fmt.Sprintf("w%d", i+1), 8)
		}
		for n, processors := range []int64{3, 3, 5, 5} {
			s := newStep(1, processors)
			s.LongRunning, s.TailTarget, s.Image = true, 100*time.Millisecond, "web"
			c.Submit(c.now, job(fmt.Sprintf("j%d", n), "urgent", c.now, s), nil, 0)
			c.now = c.now.Add(20 * time.Millisecond)
			c.tickUntilIdle()
		}
		Expect(c.takeOrders()).To(BeEmpty())
		c.now = c.now.Add(250 * time.Millisecond)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(HaveLen(4))
		workers := map[kqexecution.Incarnation]bool{}
		for _, r := range c.records {
			workers[r.Tasks[0].Runs[0].Worker] = true
		}
		Expect(workers).To(HaveLen(2))
	})

	It("respects the label of a step and its limit of tasks per worker", func() {
		for i, label := range []string{"a", "b", "b"} {
			name, worker := fmt.Sprintf("h%d", i+1), fmt.Sprintf("w%d", i+1)
			c.addHost(name, worker, 8)
			c.UpdateWorker(c.now, name, kqplan.WorkerInfo{Worker: kqexecution.Incarnation(worker), Service: "s", Labels: []string{label}, Capacity: kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 1 << 40}})
		}
		s := newStep(5, 1)
		s.Label, s.MaxPerWorker = "b", 2
		c.Submit(c.now, job("j", "urgent", c.now, s), nil, 0)
		c.tickUntilIdle()
		on := map[string]int{}
		for _, o := range c.takeOrders() {
			on[string(o.Worker)]++
		}
		Expect(on).To(Equal(map[string]int{"w2": 2, "w3": 2}))
	})

	It("starts no task on a worker of another service", func() {
		c.addHost("h1", "w1", 8)
		c.UpdateWorker(c.now, "h1", kqplan.WorkerInfo{Worker: "w1", Service: "other", Capacity: kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 1 << 40}})
		c.Submit(c.now, job("j", "urgent", c.now, newStep(1, 1)), nil, 0)
		c.tickUntilIdle()
		Expect(c.takeOrders()).To(BeEmpty())
	})
})
