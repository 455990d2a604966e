package kqplan_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqapproval"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// maxIdleWait is the time within which a job begins while most of its service is idle.
const maxIdleWait = 3 * time.Second

// newHoldFleet returns a fleet of four workers of 8 processors, the last of which has the label b. Tasks run
// for their estimate.
func newHoldFleet() *fleet {
	f := &fleet{cell: newCell(1), runTime: func(o kqplan.Order) time.Duration {
		if o.Payload == "endless" {
			return 0
		}
		return 500 * time.Millisecond
	}, stopTime: func() time.Duration { return 200 * time.Millisecond }}
	f.SetPolicy(&kqflow.Policy{Version: 2, Queues: map[string]kqflow.Queue{
		"approved": {Name: "approved", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 2, Target: time.Second, Approval: kqflow.Approval{Required: true, ValidFor: time.Minute}},
		"middle":   {Name: "middle", Service: "s", Priority: 1, MaxAttempts: 2, Stretch: 2, Target: time.Second},
	}})
	for n := range 4 {
		f.addWorker(fmt.Sprintf("h%d", n), kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 1 << 40})
	}
	f.label("h3", "b")
	return f
}

// label gives the worker of a host a label.
func (f *fleet) label(host, label string) {
	w, _ := f.KnownWorker(host)
	w.Labels = []string{label}
	f.UpdateWorker(f.now, host, w)
}

// submitEndless submits a job whose tasks do not end by themselves.
func (f *fleet) submitEndless(id, queue string, steps ...kqflow.Step) {
	s := job(id, queue, f.now, steps...)
	s.Job.Payload = "endless"
	f.Submit(f.now, s, nil, 0)
}

// approveOnly answers the open approval requests: only the worker of a host is approved.
func (f *fleet) approveOnly(host string) {
	approved, _ := f.KnownWorker(host)
	for _, e := range f.approvalRequests {
		r := kqplan.ApprovalResponse{Step: e.ApprovalRequest.Step, Workers: e.ApprovalRequest.Workers, Answered: true, Answer: kqapproval.Response{ValidFor: time.Minute}}
		r.Answer.Tickets = []kqapproval.Ticket{{Worker: approved.Worker.ID(), Ticket: "t"}}
		f.RecordApproval(f.now, e.Host, r)
	}
	f.approvalRequests = nil
}

// gangOf returns a gang of a number of tasks that use a number of processors each.
func gangOf(count int, processors int64, label string) kqflow.Step {
	s := newStep(count, processors)
	s.Gang, s.Label = true, label
	return s
}

// Gangs wait, and small jobs arrive that fit on idle workers. Guards against gangs that keep capacity from
// others which they cannot get themselves, or more than they need, or for good because their holds follow
// each other: jobs of lower priority then never began.
func TestWaitingGangsKeepJobsFromIdleWorkers(t *testing.T) {
	everySecond := func(step kqflow.Step) func(f *fleet, second int) {
		return func(f *fleet, second int) {
			if second%3 == 0 {
				f.Submit(f.now, job(fmt.Sprintf("gang%d", second), "urgent", f.now, step), nil, 0)
			}
		}
	}
	occupy := func(processors int64, longRunning bool) func(f *fleet) {
		return func(f *fleet) {
			s := newStep(4, processors)
			s.MaxPerWorker, s.LongRunning, s.Estimate = 1, longRunning, time.Minute
			f.submitEndless("occupied", "urgent", s)
		}
	}
	for name, x := range map[string]struct {
		prepare func(f *fleet)
		submit  func(f *fleet, second int)
	}{
		"their label is gone":                      {submit: everySecond(gangOf(4, 1, "c"))},
		"the worker with their label is too small": {submit: everySecond(gangOf(4, 3, "b"))},
		"the worker with their label is busy":      {prepare: func(f *fleet) { s := newStep(1, 6); s.Label = "b"; f.submitEndless("occupied", "urgent", s) }, submit: everySecond(gangOf(2, 3, "b"))},
		"they reach into the top priority's reserve": {submit: func(f *fleet, second int) {
			f.Submit(f.now, job(fmt.Sprintf("gang%d", second), "middle", f.now, gangOf(2, 8, "")), nil, 0)
		}},
		"one worker has been approved": {submit: func(f *fleet, second int) {
			f.Submit(f.now, job(fmt.Sprintf("gang%d", second), "approved", f.now, gangOf(4, 3, "")), nil, 0)
		}},
		"long-running tasks keep the capacity": {prepare: occupy(3, true), submit: everySecond(gangOf(4, 6, ""))},
		"other runs do not end":                {prepare: occupy(2, false), submit: everySecond(gangOf(4, 7, ""))},
		"a single one needs all workers": {prepare: occupy(2, false), submit: func(f *fleet, second int) {
			if second == 0 {
				f.Submit(f.now, job("gang", "urgent", f.now, gangOf(4, 8, "")), nil, 0)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newHoldFleet()
			if x.prepare != nil {
				x.prepare(f)
				f.advance(time.Second, nil)
			}
			submitted := map[string]time.Time{}
			for second := range 20 {
				x.submit(f, second)
				id := fmt.Sprintf("small%d", second)
				submitted[id+".0.0.0"] = f.now
				f.Submit(f.now, job(id, "batch", f.now, newStep(1, 1)), nil, 0)
				for range 10 {
					f.advance(100*time.Millisecond, func(o kqplan.Order) { delete(submitted, o.Run.Task) })
					f.approveOnly("h3")
					for task, at := range submitted {
						g.Expect(f.now.Sub(at)).To(BeNumerically("<=", maxIdleWait), "%s has not begun", task)
					}
				}
			}
			g.Expect(f.counter.Breaches()).To(BeEmpty())
		})
	}
}

// Small jobs follow each other on all workers. Guards against gangs that never start because the capacity
// that becomes free goes to the small jobs, and against one gang that holds in place of the others.
func TestGangsStartAmongSmallJobs(t *testing.T) {
	for name, gangs := range map[string][]kqflow.Step{
		"one for all workers":    {gangOf(4, 7, "")},
		"one for a label":        {gangOf(2, 4, "b")},
		"behind one that cannot": {gangOf(9, 4, ""), gangOf(2, 4, "b"), gangOf(4, 5, "")},
		"several":                {gangOf(4, 7, ""), gangOf(2, 6, ""), gangOf(3, 5, "")},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newHoldFleet()
			waiting := map[string]bool{}
			small := 0
			for second := range 60 {
				if second == 2 {
					for n, step := range gangs {
						id := fmt.Sprintf("gang%d", n)
						f.Submit(f.now, job(id, "urgent", f.now, step), nil, 0)
						waiting[id+".0.0.0"] = step.Count <= 8
					}
				}
				for range 10 {
					for range 5 {
						small++
						f.Submit(f.now, job(fmt.Sprintf("small%d", small), "batch", f.now, newStep(2, 1)), nil, 0)
					}
					f.advance(100*time.Millisecond, func(o kqplan.Order) { waiting[o.Run.Task] = false })
				}
			}
			for task, isWaiting := range waiting {
				g.Expect(isWaiting).To(BeFalse(), "%s has not begun", task)
			}
		})
	}
}

// Tasks that lost their workers wait for hosts on which runs do not end. Guards against hosts that are kept
// for them for good: restarts of long-running tasks claim a host each, and a task that is suspected of
// several crashes claimed one for its trial again and again.
func TestClaimsKeepJobsFromIdleWorkers(t *testing.T) {
	for name, x := range map[string]struct {
		step    kqflow.Step
		crashes int
	}{
		"restarts": {step: func() kqflow.Step { s := newStep(1, 5); s.LongRunning = true; return s }()},
		"trials":   {step: newStep(1, 5), crashes: 2},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := &fleet{cell: newCell(1), runTime: func(kqplan.Order) time.Duration { return time.Hour }, stopTime: func() time.Duration { return 200 * time.Millisecond }}
			resize := func(w *fleetWorker, processors int64) {
				f.UpdateWorker(f.now, w.host, kqplan.WorkerInfo{Worker: w.worker, Service: "s", Capacity: kqmodel.Resources{MilliProcessors: processors, MemoryBytes: 1 << 40}})
			}
			lost := []string{"lost0", "lost1"}
			for n, id := range lost {
				f.addWorker(fmt.Sprintf("h%d", n), crashCapacity)
				f.Submit(f.now, job(id, "urgent", f.now, x.step), nil, 0)
			}
			f.advance(2*time.Second, nil)
			for range x.crashes - 1 {
				for _, id := range lost {
					f.crash(200*time.Millisecond, f.workerOf(id))
				}
			}
			for _, id := range lost {
				w := f.workerOf(id)
				if x.crashes > 0 {
					f.WorkerEnded(f.now, w.host, w.crashOf(200*time.Millisecond))
				}
				f.WorkerDeparted(f.now, w.worker)
				*w = fleetWorker{host: w.host, worker: w.worker + "+", runs: map[kqexecution.Run]*fleetRun{}}
				resize(w, 3000)
				f.LeaseGranted(f.now, w.host, 7*time.Second)
				f.advance(200*time.Millisecond, nil)
			}
			endless := newStep(2, 3)
			endless.MaxPerWorker = 1
			f.Submit(f.now, job("endless", "urgent", f.now, endless), nil, 0)
			f.advance(time.Second, nil)
			for _, w := range f.workers {
				g.Expect(w.runs).To(HaveLen(1), "the endless run")
				resize(w, 7000)
			}
			f.runTime = func(kqplan.Order) time.Duration { return 500 * time.Millisecond }
			submitted := map[string]time.Time{}
			for second := range 20 {
				id := fmt.Sprintf("small%d", second)
				submitted[id+".0.0.0"] = f.now
				f.Submit(f.now, job(id, "batch", f.now, newStep(1, 1)), nil, 0)
				f.advance(time.Second, func(o kqplan.Order) { delete(submitted, o.Run.Task) })
				for task, at := range submitted {
					g.Expect(f.now.Sub(at)).To(BeNumerically("<=", maxIdleWait), "%s has not begun", task)
				}
			}
		})
	}
}
