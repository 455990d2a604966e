package kqplan_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/plumb/kqclock"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqapproval"
)

const (
	// maxUrgentDelay is the time within which urgent work must start.
	maxUrgentDelay = 3400 * time.Millisecond
	// maxUpdateTime bounds the processor time of an update: an owner that has 0.24 of a processor then
	// uses half of maxUrgentDelay for it.
	maxUpdateTime = maxUrgentDelay * 24 / 100 / 2
)

// largestSteps returns the most steps that a job may have, with about as many tasks as it may have. Each
// is after all earlier ones, which it names more than once.
func largestSteps(s kqflow.Step) []kqflow.Step {
	steps := make([]kqflow.Step, kqflow.MaxSteps)
	var earlier []int
	for n := range steps {
		s.Count, s.After = kqflow.MaxTasks/kqflow.MaxSteps, earlier[:len(earlier):len(earlier)]
		steps[n] = s
		earlier = append(earlier, n, n, n)
	}
	return steps
}

// approveAll answers the open approval requests of a fleet: every worker is approved.
func (f *fleet) approveAll(validFor time.Duration) {
	for _, e := range f.approvalRequests {
		r := kqplan.ApprovalResponse{Step: e.ApprovalRequest.Step, Workers: e.ApprovalRequest.Workers, Answered: true, Answer: kqapproval.Response{ValidFor: validFor}}
		for _, w := range r.Workers {
			r.Answer.Tickets = append(r.Answer.Tickets, kqapproval.Ticket{Worker: w.ID(), Ticket: "t"})
		}
		f.RecordApproval(f.now, e.Host, r)
	}
	f.approvalRequests = nil
}

// Four of the largest jobs that are accepted come at once, then a small job. Guards against decisions
// that cost more than the size of a job: the owner made them while it held its lock, and a chain of 8
// steps of 24 tasks kept it busy for ever. Guards also against approval requests of a large job that
// delay those of a small one.
func TestTheLargestJobsDelayNoOtherJob(t *testing.T) {
	small := kqflow.Step{Resources: kqmodel.Resources{MilliProcessors: 100}, Estimate: 300 * time.Millisecond}
	shape := func(count int, set func(*kqflow.Step)) []kqflow.Step {
		s := small
		s.Count = count
		set(&s)
		return []kqflow.Step{s}
	}
	chain := func(set func(*kqflow.Step)) []kqflow.Step { return largestSteps(shape(1, set)[0]) }
	keep := func(*kqflow.Step) {}
	endless := func(kqplan.Order) time.Duration { return 0 }
	for name, x := range map[string]struct {
		steps   []kqflow.Step
		repeat  int
		runTime func(kqplan.Order) time.Duration
		// disturb changes the fleet while the jobs run.
		disturb func(*fleet)
		// full is true if the large jobs leave no capacity.
		full bool
	}{
		"chain":           {steps: chain(keep)},
		"spread":          {steps: chain(func(s *kqflow.Step) { s.MaxPerWorker = 1 })},
		"wide":            {steps: shape(kqflow.MaxTasks, keep)},
		"filling":         {steps: shape(kqflow.MaxTasks, func(s *kqflow.Step) { s.Fills = true })},
		"occurrences":     {steps: shape(1, keep), repeat: kqflow.MaxTasks},
		"gang":            {steps: shape(kqflow.MaxTasks, func(s *kqflow.Step) { s.Gang, s.Checkpoints = true, true })},
		"gang fails":      {steps: shape(kqflow.MaxTasks, func(s *kqflow.Step) { s.Gang = true }), runTime: endless, disturb: func(f *fleet) { f.failRuns(f.workers[0]); f.failRuns(f.workers[1]) }},
		"gang too large":  {steps: shape(kqflow.MaxTasks, func(s *kqflow.Step) { s.Gang, s.SameRack, s.Resources.MilliProcessors = true, true, 10000 })},
		"stalled":         {steps: shape(kqflow.MaxTasks, keep), runTime: endless},
		"stalled copies":  {steps: shape(kqflow.MaxTasks, func(s *kqflow.Step) { s.Speculative = true }), runTime: endless},
		"long-running":    {steps: shape(kqflow.MaxTasks, func(s *kqflow.Step) { s.LongRunning, s.Resources.MilliProcessors = true, 1000 }), runTime: endless, disturb: loseWorkers, full: true},
		"workers crash":   {steps: shape(kqflow.MaxTasks, keep), runTime: endless, disturb: loseWorkers},
		"too few workers": {steps: shape(kqflow.MaxTasks, func(s *kqflow.Step) { s.Resources.MilliProcessors = 15000 }), runTime: endless, full: true},
	} {
		for _, approval := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, approval %t", name, approval), func(t *testing.T) {
				g := NewWithT(t)
				f := &fleet{cell: newCell(1), stopTime: func() time.Duration { return 200 * time.Millisecond }, runTime: x.runTime}
				if f.runTime == nil {
					f.runTime = func(kqplan.Order) time.Duration { return 300 * time.Millisecond }
				}
				q := kqflow.Queue{Name: "large", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 1.5, Target: time.Second}
				if approval {
					q.Approval = kqflow.Approval{Required: true, DecisionTime: 100 * time.Millisecond, DecisionTimePerWorker: 20 * time.Millisecond, ValidFor: 10 * time.Second}
				}
				f.SetPolicy(&kqflow.Policy{Version: 2, Queues: map[string]kqflow.Queue{"large": q, "small": q}})
				for n := range 40 {
					f.addWorker(fmt.Sprintf("h%d", n), kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 64 << 30})
				}
				longest := time.Duration(0)
				measure := func(update func()) {
					before := kqclock.ProcessorTime()
					update()
					longest = max(longest, kqclock.ProcessorTime()-before)
				}
				for n := range 4 {
					s := job(fmt.Sprintf("large%d", n), "large", f.now, x.steps...)
					if x.repeat > 0 {
						s.Job.FirstAt, s.Job.Repeat, s.Job.Every = f.now, x.repeat, time.Millisecond
					}
					g.Expect(s.Job.Validate()).To(BeNil())
					measure(func() { f.Submit(f.now, s, nil, 0) })
				}
				const submitAfter, disturbAfter, all = 20, 40, 120
				startedAfter := maxDowntime
				var submittedAt time.Time
				for n := range all {
					switch {
					case n == submitAfter:
						submittedAt = f.now
						f.Submit(f.now, job("small", "small", f.now, newStep(1, 1)), nil, 0)
					case n == disturbAfter && x.disturb != nil:
						measure(func() { x.disturb(f) })
					}
					measure(func() {
						f.advance(fleetStep, func(o kqplan.Order) {
							if o.Run.Task == "small.0.0.0" {
								startedAfter = min(startedAfter, f.now.Sub(submittedAt))
							}
						})
						f.approveAll(10 * time.Second)
					})
				}
				g.Expect(longest).To(BeNumerically("<", maxUpdateTime), "processor time of the longest update")
				if !x.full {
					g.Expect(startedAfter).To(BeNumerically("<", maxUrgentDelay), "the small job's task waits for its start")
				}
			})
		}
	}
}

// loseWorkers lets three workers crash under the runs that have just started there.
func loseWorkers(f *fleet) {
	for _, w := range f.workers[:3] {
		e := kqplan.WorkerEnd{Worker: w.worker, Crashed: true}
		for k := range w.runs {
			e.Runs = append(e.Runs, kqplan.StartedRun{Run: k, RunTime: 100 * time.Millisecond})
		}
		f.WorkerEnded(f.now, w.host, e)
		f.AgentDisconnected(f.now, w.host)
		f.WorkerDeparted(f.now, w.worker)
	}
	f.workers = f.workers[3:]
}
