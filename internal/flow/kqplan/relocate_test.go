package kqplan_test

import (
	"cmp"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// twoZoneCell is a cell with zones a and b, each with two hosts whose workers execute orders and
// report their runs.
type twoZoneCell struct {
	*cell
	events *kqevent.Log
	// hosts maps each worker to its host, whose name begins with the zone; runningOn maps each run
	// to its worker.
	hosts     map[kqexecution.Incarnation]string
	runningOn map[kqexecution.Run]kqexecution.Incarnation
	// startedAt is the start time of each run. durations is the run time of the tasks of a job, by
	// the first letter of its ID; one minute if there is no entry. It applies to tasks without an
	// entry in progress.
	startedAt map[kqexecution.Run]time.Time
	durations map[string]time.Duration
	// progress is the fixed progress that a task reports, in percent.
	progress map[string]float64
	// stops is when each stop was executed, relative to evacuatedAt.
	stops       []time.Duration
	evacuatedAt time.Time
	// lastEnd is the number of the last end that each worker reported.
	lastEnd map[kqexecution.Incarnation]uint64
}

func newTwoZoneCell(processors int64) *twoZoneCell {
	z := &twoZoneCell{events: kqevent.New(kqevent.Config{}), hosts: map[kqexecution.Incarnation]string{"wa1": "a1", "wa2": "a2", "wb1": "b1", "wb2": "b2"}, runningOn: map[kqexecution.Run]kqexecution.Incarnation{}, startedAt: map[kqexecution.Run]time.Time{}, durations: map[string]time.Duration{}, progress: map[string]float64{}, lastEnd: map[kqexecution.Incarnation]uint64{}}
	z.cell = newCellWith(kqplan.Config{Epoch: 1, Events: z.events})
	for worker, host := range z.hosts {
		z.addHostInZone(host, worker, host[:1], processors)
	}
	return z
}

// advance lets d pass in steps of 100 ms, in which workers execute orders and report.
func (z *twoZoneCell) advance(d time.Duration) {
	for end := z.now.Add(d); z.now.Before(end); {
		z.now = z.now.Add(100 * time.Millisecond)
		z.tickUntilIdle()
		for _, o := range z.takeOrders() {
			z.execute(o)
		}
		for worker, host := range z.hosts {
			r := kqplan.Report{Worker: worker, Complete: true}
			for k, at := range z.runningOn {
				if at == worker {
					p, ok := z.progress[k.Task]
					if !ok {
						p = 100 * float64(z.now.Sub(z.startedAt[k])) / float64(cmp.Or(z.durations[k.Task[:1]], time.Minute))
					}
					r.Running = append(r.Running, kqexecution.RunStatus{Run: k, Percent: p})
				}
			}
			z.ApplyReport(z.now, host, r)
			z.LeaseGranted(z.now, host, 7*time.Second)
		}
	}
}

// execute applies an order at its worker.
func (z *twoZoneCell) execute(o kqplan.Order) {
	if !o.Stop {
		z.runningOn[o.Run], z.startedAt[o.Run] = o.Worker, z.now
		return
	}
	z.stops = append(z.stops, z.now.Sub(z.evacuatedAt))
	delete(z.runningOn, o.Run)
	z.lastEnd[o.Worker]++
	z.reportEnd(z.hosts[o.Worker], o.Worker, z.lastEnd[o.Worker], o, kqexecution.EndStopped)
}

// countRuns returns the number of runs in a zone.
func (z *twoZoneCell) countRuns(zone string) int {
	n := 0
	for _, worker := range z.runningOn {
		if z.hosts[worker][:1] == zone {
			n++
		}
	}
	return n
}

// startAndEvacuate starts the tasks of a job in zone and then evacuates that zone. To keep the tasks
// out of the other zone, that one is evacuated first, too briefly for anything to be relocated.
func (z *twoZoneCell) startAndEvacuate(zone, other string, s kqflow.Submission) {
	z.evacuate(other)
	z.Submit(z.now, s, nil, 0)
	z.advance(2 * time.Second)
	Expect(z.countRuns(other)).To(BeZero())
	z.evacuate()
	z.advance(500 * time.Millisecond)
	z.stops, z.evacuatedAt = nil, z.now
	z.evacuate(zone)
}

// longRunningStep returns a step of long-running tasks with one processor each.
func longRunningStep(count, maxUnavailable int) kqflow.Step {
	s := newStep(count, 1)
	s.LongRunning, s.MaxUnavailable, s.Image = true, maxUnavailable, "desk"
	return s
}

var _ = Describe("planner with work in an evacuated zone", func() {
	var z *twoZoneCell
	BeforeEach(func() { z = newTwoZoneCell(16) })
	AfterEach(func() { Expect(z.counter.Breaches()).To(BeEmpty()) })

	stepWithEstimate := func(checkpoints bool, d time.Duration) kqflow.Step {
		s := newStep(2, 1)
		s.Estimate, s.Checkpoints = d, checkpoints
		return s
	}

	It("stops no run in the first ten seconds", func() {
		z.startAndEvacuate("a", "b", job("j", "urgent", z.now, stepWithEstimate(true, time.Minute)))
		z.advance(9900 * time.Millisecond)
		Expect(z.stops).To(BeEmpty())
		z.advance(5 * time.Second)
		Expect(z.countRuns("a")).To(BeZero())
		Expect(z.countRuns("b")).To(Equal(2))
		Expect(z.events.ByJob("j")).To(ContainElement(And(HaveField("Number", kqevent.FlowRunMoved), HaveField("Text", ContainSubstring("zone a is evacuated")))))
	})

	// Workers of the zone may be warming up, which makes their runs slow. That is no reason to stop a
	// run while the evacuation may end soon.
	It("moves no slow run in the first ten seconds", func() {
		z.durations["j"] = 5 * time.Minute
		z.startAndEvacuate("a", "b", job("j", "urgent", z.now, stepWithEstimate(false, 10*time.Second)))
		z.advance(9 * time.Second)
		Expect(z.stops).To(BeEmpty())
		z.advance(3 * time.Second)
		Expect(z.stops).NotTo(BeEmpty())
	})

	It("does not relocate tasks without checkpoints", func() {
		z.startAndEvacuate("a", "b", job("j", "urgent", z.now, stepWithEstimate(false, time.Minute)))
		z.advance(15 * time.Second)
		Expect(z.stops).To(BeEmpty())
	})

	It("does not relocate tasks that end soon", func() {
		z.durations["j"] = 20 * time.Second
		z.startAndEvacuate("a", "b", job("j", "urgent", z.now, stepWithEstimate(true, z.durations["j"])))
		z.advance(15 * time.Second)
		Expect(z.stops).To(BeEmpty())
	})

	It("relocates long-running tasks one by one, within their limit on unavailable tasks", func() {
		z.startAndEvacuate("a", "b", job("j", "urgent", z.now, longRunningStep(4, 1)))
		for _, task := range []string{"j.0.0.0", "j.0.0.1", "j.0.0.2", "j.0.0.3"} {
			z.progress[task] = 100
		}
		z.advance(10*time.Second + 500*time.Millisecond)
		Expect(z.stops).To(HaveLen(1))
		// A relocated task serves again only once its progress is complete.
		for k, worker := range z.runningOn {
			if z.hosts[worker][:1] == "b" {
				z.progress[k.Task] = 50
			}
		}
		z.advance(6 * time.Second)
		Expect(z.stops).To(HaveLen(1))
		for task := range z.progress {
			z.progress[task] = 100
		}
		z.advance(10 * time.Second)
		Expect(z.countRuns("b")).To(Equal(4))
		for i := range len(z.stops) - 1 {
			Expect(z.stops[i+1] - z.stops[i]).To(BeNumerically(">=", 2*time.Second))
		}
	})

	It("relocates no long-running task if its step may have no task unavailable, or no further one", func() {
		z.startAndEvacuate("a", "b", job("j", "urgent", z.now, longRunningStep(2, 0)))
		z.Submit(z.now, job("k", "urgent", z.now, longRunningStep(2, 1)), nil, 0)
		for _, task := range []string{"j.0.0.0", "j.0.0.1", "k.0.0.1"} {
			z.progress[task] = 100
		}
		z.advance(20 * time.Second)
		Expect(z.stops).To(BeEmpty())
	})

	It("relocates no run if the other zones have no spare capacity", func() {
		z.startAndEvacuate("a", "b", job("j", "urgent", z.now, longRunningStep(2, 1), stepWithEstimate(true, time.Minute)))
		for _, task := range []string{"j.0.0.0", "j.0.0.1"} {
			z.progress[task] = 100
		}
		s := newStep(2, 14)
		s.Estimate, z.durations["k"] = time.Hour, time.Hour
		z.Submit(z.now, job("k", "urgent", z.now, s), nil, 0)
		z.advance(20 * time.Second)
		Expect(z.countRuns("b")).To(Equal(2))
		Expect(z.stops).To(BeEmpty())
	})

	It("relocates a whole gang if all its members can be placed", func() {
		s := stepWithEstimate(true, time.Minute)
		s.Gang = true
		z.startAndEvacuate("a", "b", job("j", "urgent", z.now, s))
		z.advance(14 * time.Second)
		Expect(z.countRuns("a")).To(BeZero())
		Expect(z.countRuns("b")).To(Equal(2))
	})

	It("reports what is left in the zones, and warns of a zone without workers and of all zones evacuated", func() {
		z.startAndEvacuate("a", "b", job("j", "urgent", z.now, longRunningStep(2, 0), stepWithEstimate(true, time.Minute), stepWithEstimate(false, time.Minute)))
		z.evacuate("a", "nowhere")
		z.advance(4 * time.Second)
		left := z.ZoneReport(z.now)
		Expect(left).To(HaveLen(2))
		Expect(left[0]).To(And(HaveField("Zone", "a"), HaveField("Workers", 2), HaveField("Standing", 2), HaveField("Checkpointing", 2), HaveField("Ending", 2)))
		Expect(z.events.Counts()).To(HaveKeyWithValue("zone_doubtful", uint64(1)))
		z.evacuate("a", "b")
		z.advance(4 * time.Second)
		Expect(z.events.Counts()["zone_doubtful"]).To(BeNumerically(">=", 2))
	})
})
