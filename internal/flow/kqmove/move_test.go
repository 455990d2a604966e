package kqmove_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmove"
)

func TestMove(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "moves that pay")
}

var _ = Describe("the decision on a move", func() {
	now := time.Unix(1000, 0)
	costs := kqmove.Costs{Stop: 900 * time.Millisecond, Restore: 600 * time.Millisecond, Checkpoint: 2 * time.Second}
	var run kqmove.Run
	var job kqmove.Job
	decide := func() kqmove.Verdict { return kqmove.Decide(now, costs, run, job) }
	BeforeEach(func() {
		run = kqmove.Run{Left: 2 * time.Second, Done: time.Second, Checkpoints: true, Here: 0.2, There: 1}
		job = kqmove.Job{Rest: time.Second, Due: now.Add(6 * time.Second), LateTill: now.Add(20 * time.Second), Late: 0.15}
	})

	It("moves a run whose job would be late here and in time there", func() {
		v := decide()
		Expect(v.Pays()).To(BeTrue(), string(v.Reason))
		Expect(v.Gain).To(BeNumerically("~", 6700*time.Millisecond, 200*time.Millisecond))
		Expect(v.Cost).To(BeNumerically("~", 1300*time.Millisecond, 100*time.Millisecond))
	})

	It("leaves a run that would not end sooner elsewhere", func() {
		run.There = 0.2
		Expect(decide().Reason).To(Equal(kqmove.NotSooner))
	})

	It("leaves a run without checkpoints that would begin anew", func() {
		run.Checkpoints, run.Left, run.Done, run.Here = false, 500*time.Millisecond, 5*time.Second, 0.1
		Expect(decide().Reason).To(Equal(kqmove.NotSooner))
	})

	It("leaves a run that another task of its step outlasts", func() {
		job.Others, job.Due = 12*time.Second, now.Add(14*time.Second)
		v := decide()
		Expect(v.Reason).To(Equal(kqmove.NotLast))
		Expect(v.Gain).To(BeZero())
	})

	It("leaves a run whose job is in time either way", func() {
		job.Due, job.LateTill = now.Add(30*time.Second), now.Add(90*time.Second)
		Expect(decide().Reason).To(Equal(kqmove.InTime))
	})

	It("leaves a run whose job is worthless either way", func() {
		job.Due, job.LateTill = now.Add(-30*time.Second), now.Add(-10*time.Second)
		Expect(decide().Reason).To(Equal(kqmove.Worthless))
	})

	It("needs a clear gain where the estimate may be what is wrong", func() {
		run.Here, run.Doubt = 0.5, 0.6
		job.Due = now.Add(4 * time.Second)
		Expect(decide().Reason).To(Equal(kqmove.NotSooner))
		run.Doubt = 0
		Expect(decide().Reason).NotTo(Equal(kqmove.NotSooner))
	})

	It("counts the work since the last checkpoint of a run that stands still", func() {
		run.Stalled = true
		Expect(costs.Cost(run) - costs.Cost(kqmove.Run{Checkpoints: true})).To(Equal(run.Done))
		run.Done = 10 * time.Second
		Expect(costs.Cost(run) - costs.Cost(kqmove.Run{Checkpoints: true})).To(Equal(costs.Checkpoint))
	})

	It("AStalledRunOfALateJobStaysForEver: it moves whatever its job is worth", func() {
		run.Stalled, run.Left = true, 50*time.Millisecond
		job.Due, job.LateTill = now.Add(-30*time.Second), now.Add(-10*time.Second)
		Expect(decide().Pays()).To(BeTrue())
	})

	It("moves a run of a job without an objective by time alone", func() {
		job.Due, job.LateTill = time.Time{}, time.Time{}
		Expect(decide().Pays()).To(BeTrue())
	})
})

var _ = Describe("the pace of a run", func() {
	It("is what was observed over several reports, not the latest", func() {
		var p kqmove.Pace
		now := time.Unix(1000, 0)
		_, ok := p.Speed()
		Expect(ok).To(BeFalse())
		for n := range 6 {
			p.Note(now.Add(time.Duration(n)*400*time.Millisecond), 0.1*float64(n), 4*time.Second)
		}
		speed, ok := p.Speed()
		Expect(ok).To(BeTrue())
		Expect(speed).To(BeNumerically("~", 1, 0.01))
		p.Note(now.Add(6*400*time.Millisecond), 0.5, 4*time.Second)
		speed, _ = p.Speed()
		Expect(speed).To(BeNumerically("~", 0.37, 0.05), "one report of a stop is not taken for the pace")
	})

	It("begins anew when a task begins anew", func() {
		var p kqmove.Pace
		now := time.Unix(1000, 0)
		p.Note(now, 0.5, time.Second)
		p.Note(now.Add(time.Second), 0.1, time.Second)
		_, ok := p.Speed()
		Expect(ok).To(BeFalse())
	})
})
