package kqrig_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqfault"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqhost"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqrig"
)

// job returns the specification of a batch job whose tasks need 1 GiB and the given number of
// processors each.
func job(id string, tasks uint32, processors int64, run time.Duration) kqmodel.JobSpec {
	return kqmodel.JobSpec{ID: id, Team: "team-0", Class: "batch", Tasks: tasks, RunTime: kqmodel.Duration(run),
		Urgency: kqmodel.UrgencyNormal, Resources: kqmodel.Resources{MilliProcessors: processors * 1000, MemoryBytes: 1 << 30}}
}

// newBusyRig returns a rig whose six workers run twelve tasks.
func newBusyRig(seed uint64, run time.Duration) *kqrig.Rig {
	r := newRig(seed, 6)
	Expect(r.RunUntil(10*time.Second, func() bool { return r.Owner() != nil })).To(BeTrue())
	r.Submit(job("busy", 12, 8, run), false)
	Expect(r.RunUntil(10*time.Second, func() bool { return r.RunningCount() == 12 })).To(BeTrue())
	return r
}

// Guards against a fault that stops, loses or repeats work: each test injects one fault into a
// loaded cell, ends it, and expects all jobs to end with all invariants intact.
var _ = Describe("a single fault", func() {
	It("stops no running task when the store is down for ten minutes", func() {
		r := newBusyRig(1, 20*time.Minute)
		r.Store.Down = true
		r.Run(10 * time.Minute)
		Expect(r.RunningCount()).To(Equal(12))
		r.Store.Down = false
		Expect(r.RunToEnd(endTimeout)).To(BeEmpty())
		Expect(r.Ledger.Totals().LostProgress).To(BeZero())
		Expect(r.Ledger.Totals().Starts).To(BeEquivalentTo(12))
	})

	It("suspends tasks and resumes them on the same workers when the store is down for longer than a lease", func() {
		r := newBusyRig(1, 30*time.Minute)
		r.Store.Down = true
		r.Run(20 * time.Minute)
		Expect(r.RunningCount()).To(BeZero())
		r.Store.Down = false
		Expect(r.RunUntil(time.Minute, func() bool { return r.RunningCount() == 12 })).To(BeTrue())
		Expect(r.RunToEnd(endTimeout)).To(BeEmpty())
		Expect(r.Ledger.Totals().Starts).To(BeEquivalentTo(12))
	})

	It("delays the start of an urgent task by 3.4 s at most when the owner's agent is killed", func() {
		for seed := uint64(1); seed <= 20; seed++ {
			r := newBusyRig(seed, time.Hour)
			r.Run(time.Duration(seed) * 100 * time.Millisecond)
			r.Owner().KillAgent()
			urgent := job("urgent", 1, 1, time.Second)
			urgent.Urgency = kqmodel.UrgencyUrgent
			r.Submit(urgent, false)
			Expect(r.RunUntil(3400*time.Millisecond, func() bool { return len(r.StartDelays("urgent")) == 1 })).To(BeTrue(), "seed %d", seed)
			Expect(r.Breaches()).To(BeEmpty())
		}
	})

	It("makes no owner act after a pause that is longer than its lease", func() {
		r := newBusyRig(3, 40*time.Minute)
		old := r.Owner()
		old.Pause(20 * time.Minute)
		r.Run(5 * time.Minute)
		Expect(r.Owner()).NotTo(Equal(old))
		r.Submit(job("later", 6, 2, time.Minute), false)
		r.Run(16 * time.Minute)
		Expect(r.RunToEnd(endTimeout)).To(BeEmpty())
	})

	It("leaves one owner after candidates have competed over a lossy network", func() {
		r := newBusyRig(4, time.Hour)
		first := r.Owner()
		first.KillAgent()
		r.Network.LossRate = 0.5
		r.Run(30 * time.Second)
		r.Network.LossRate = 0
		r.Run(10 * time.Second)
		owners := 0
		for _, n := range r.Nodes {
			if n.IsOwner() {
				owners++
			}
		}
		Expect(owners).To(Equal(1))
		Expect(r.Breaches()).To(BeEmpty())
	})

	It("loses and repeats nothing when the answer to any one of the first 60 writes is lost", func() {
		for nth := 1; nth <= 60; nth++ {
			r := newRig(5, 4)
			r.Store.LoseNthAnswer = nth
			r.Run(5 * time.Second)
			r.Submit(job("first", 6, 4, 3*time.Second), false)
			r.Run(2 * time.Second)
			r.Submit(job("second", 6, 4, 3*time.Second), false)
			r.Cancel("second")
			Expect(r.RunToEnd(endTimeout)).To(BeEmpty(), "write %d", nth)
			Expect(r.Summary("first").Finished).To(Equal(6), "write %d", nth)
		}
	})

	It("stops no task when agents are killed and started again", func() {
		r := newBusyRig(6, 5*time.Minute)
		for _, n := range r.Nodes {
			if !n.IsOwner() {
				n.KillAgent()
				r.Run(time.Minute)
				n.StartAgent()
			}
		}
		Expect(r.RunToEnd(endTimeout)).To(BeEmpty())
		Expect(r.Ledger.Totals().Starts).To(BeEquivalentTo(12))
	})

	It("resumes the tasks of a rebooted host once", func() {
		r := newBusyRig(7, 10*time.Minute)
		r.Run(6 * time.Minute)
		r.Nodes[0].KillHost()
		r.Run(10 * time.Second)
		r.Nodes[0].BootHost()
		Expect(r.RunToEnd(endTimeout)).To(BeEmpty())
		t := r.Ledger.Totals()
		Expect(t.Starts).To(BeEquivalentTo(14))
		// The host ran two tasks, whose last checkpoints are at most five minutes old.
		Expect(t.LostProgress).To(BeNumerically("<=", 2*5*60))
	})

	It("replaces the watchers of a lost host within 20 s and its other tasks after the lease", func() {
		r := newRig(8, 6)
		r.Submit(job("busy", 12, 7, time.Minute), false)
		w := job("watch", 6, 0, 0)
		w.Resources.MilliProcessors = 100
		r.Submit(w, true)
		Expect(r.RunUntil(10*time.Second, func() bool { return r.RunningCount() == 18 })).To(BeTrue())
		r.Nodes[0].KillHost()
		Expect(r.RunUntil(20*time.Second, func() bool {
			for i := range w.Tasks {
				t, ok := r.Task(kqmodel.TaskID{Job: "watch", Index: i})
				if !ok || t.Worker == r.Nodes[0].ID() || t.State != "running" {
					return false
				}
			}
			return true
		})).To(BeTrue())
		Expect(r.RunToEnd(endTimeout)).To(BeEmpty())
	})

	It("loses no task when checkpoints cannot be stored during a drain", func() {
		r := newBusyRig(9, 3*time.Minute)
		r.ObjectFaults.Set(kqfault.State{Down: true})
		r.Nodes[1].Drain()
		r.Run(30 * time.Second)
		r.ObjectFaults.Set(kqfault.State{})
		Expect(r.RunToEnd(endTimeout)).To(BeEmpty())
	})

	It("fails no job when one worker fails all tasks", func() {
		r := newRig(10, 6)
		r.Nodes[2].Faults.Set(kqfault.State{FailTasks: 1})
		for i := range 20 {
			r.Submit(job(fmt.Sprintf("job-%d", i), 4, 2, 5*time.Second), false)
			r.Run(2 * time.Second)
		}
		Expect(r.RunToEnd(endTimeout)).To(BeEmpty())
		for i := range 20 {
			Expect(r.Summary(fmt.Sprintf("job-%d", i)).Finished).To(Equal(4))
		}
	})

	It("keeps workers available after a job whose tasks fail on all of them", func() {
		r := newRig(11, 6)
		for _, n := range r.Nodes {
			n.Faults.Set(kqfault.State{FailTasks: 1})
		}
		r.Submit(job("bad", 3, 1, time.Second), false)
		Expect(r.RunUntil(time.Minute, func() bool { return r.Summary("bad") != nil })).To(BeTrue())
		Expect(r.Summary("bad").Failed).To(Equal(3))
		for _, n := range r.Nodes {
			n.Faults.Set(kqfault.State{})
		}
		r.Submit(job("good", 6, 10, time.Second), false)
		Expect(r.RunUntil(30*time.Second, func() bool { return r.Summary("good") != nil })).To(BeTrue())
	})
})

// Guards against a task that starts after its job was cancelled: jobs are cancelled while their
// tasks start, end and are evicted by drains.
var _ = Describe("cancellations", func() {
	It("concurrent with starts, ends and evictions never let a task start after its job has ended", func() {
		r := newRig(12, 6)
		r.Run(3 * time.Second)
		for i := range 60 {
			r.Submit(job(fmt.Sprintf("job-%d", i), 5, 3, 2*time.Second), false)
			if i%20 == 5 {
				r.Nodes[i/20].Drain()
			}
			r.Run(time.Duration(i*37%500) * time.Millisecond)
			r.Cancel(fmt.Sprintf("job-%d", i*7%(i+1)))
		}
		Expect(r.RunToEnd(endTimeout)).To(BeEmpty())
	})
})

// Guards against reservations that stay at the declared size: a tenth of the true usage would
// overload workers, and ten times of it would leave them idle.
var _ = Describe("declared sizes and run times that are wrong by a factor of ten", func() {
	It("are corrected from measured usage, and all jobs end", func() {
		r := kqrig.New(kqrig.Config{Seed: 13, Workers: 4, Capacity: kqmodel.Resources{MilliProcessors: 32_000, MemoryBytes: 64 << 30},
			Behaviours: map[string]kqhost.Behaviour{"big": {UsageFactor: 10, RunTimeFactor: 10}, "small": {UsageFactor: 0.1, RunTimeFactor: 0.1}}})
		for i := range 12 {
			b, s := job(fmt.Sprintf("big-%d", i), 4, 1, 3*time.Second), job(fmt.Sprintf("small-%d", i), 4, 16, 60*time.Second)
			b.Family, s.Family = "big", "small"
			r.Submit(b, false)
			r.Submit(s, false)
			r.Run(10 * time.Second)
		}
		Expect(r.RunToEnd(endTimeout)).To(BeEmpty())
		Expect(r.Reservation("big", kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}).MilliProcessors).To(BeNumerically(">", 8000))
		Expect(r.Reservation("small", kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 1 << 30}).MilliProcessors).To(BeNumerically("<", 4000))
	})
})

// Guards against recovery from one fault that fails while another lasts: each pair of faults
// begins 3 s apart and overlaps for 30 s, with a job submitted meanwhile.
var _ = Describe("any two overlapping faults", func() {
	for i, a := range kqrig.Faults {
		for _, b := range kqrig.Faults[i:] {
			It(a.Name+" and "+b.Name, func() {
				r := newBusyRig(uint64(100+i), 2*time.Minute)
				endA := a.Begin(r)
				r.Run(3 * time.Second)
				endB := b.Begin(r)
				r.Submit(job("during", 6, 2, 10*time.Second), false)
				r.Run(30 * time.Second)
				endA()
				r.Run(2 * time.Second)
				endB()
				Expect(r.RunToEnd(endTimeout)).To(BeEmpty())
				Expect(r.Summary("during").Finished).To(Equal(6))
			})
		}
	}
})
