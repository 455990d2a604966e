package kqplan_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// servingStep returns a step of serving tasks of an image.
func servingStep(count int, image string) kqflow.Step {
	s := standingStep()
	s.Count, s.Image, s.TailTarget = count, image, 100*time.Millisecond
	return s
}

// A worker refuses all starts. It is empty, and the other workers with capacity serve other images,
// which costs more than avoidedHostCost, so the task is sent to the refusing worker again and again.
func TestARefusingWorkerIsChosenAgainAndAgain(t *testing.T) {
	g := NewWithT(t)
	f := &fleet{cell: newCell(1), stopTime: func() time.Duration { return 200 * time.Millisecond }}
	f.runTime = func(kqplan.Order) time.Duration { return 0 }
	f.addWorker("h1", kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 64400 << 20})
	f.Submit(f.now, job("standing", "urgent", f.now, servingStep(1, "web")), nil, 0)
	f.advance(time.Second, nil)
	g.Expect(f.workers[0].runs).To(HaveLen(1))
	capacity := kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 64400 << 20}
	f.addWorker("h2", capacity)
	f.addWorker("h3", capacity)
	for _, image := range []string{"mail", "maps"} {
		s := servingStep(2, image)
		s.MaxPerWorker = 1
		f.Submit(f.now, job(image, "urgent", f.now, s), nil, 0)
		f.advance(time.Second, nil)
	}
	g.Expect(f.workers[1].runs).To(HaveLen(2))
	g.Expect(f.workers[2].runs).To(HaveLen(2))
	f.addWorker("refusing", capacity)
	refused := 0
	f.refuses = func(w *fleetWorker, _ kqplan.Order) bool {
		if w.host == "refusing" {
			refused++
		}
		return w.host == "refusing"
	}
	delay := maxDowntime
	departedAt := f.now
	f.AgentDisconnected(f.now, "h1")
	f.WorkerDeparted(f.now, "w-h1")
	f.workers = f.workers[1:]
	for f.now.Sub(departedAt) < maxDowntime {
		f.advance(fleetStep, nil)
		for _, w := range f.workers {
			for k := range w.runs {
				if k.Task == standingTask {
					delay = min(delay, f.now.Sub(departedAt))
				}
			}
		}
	}
	t.Logf("%d refusals", refused)
	g.Expect(delay).To(BeNumerically("<=", maxPlacementDelay))
}

// A worker refuses all starts and is the only one with free capacity, while filling tasks hold the
// memory of the other one. Nothing is preempted as long as a worker has capacity, so the task is sent to
// the refusing worker again and again.
func TestARefusingWorkerIsChosenInsteadOfPreemption(t *testing.T) {
	g := NewWithT(t)
	f := standingFleet(g)
	f.addWorker("h2", kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 64400 << 20})
	f.Submit(f.now, fillingJob("filling", f.now, 40), nil, 0)
	f.advance(time.Second, nil)
	g.Expect(len(f.workers[1].runs)).To(BeNumerically(">=", 9))
	f.addWorker("refusing", kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 64400 << 20})
	f.refuses = func(w *fleetWorker, _ kqplan.Order) bool { return w.host == "refusing" }
	f.AgentDisconnected(f.now, "h1")
	f.WorkerDeparted(f.now, "w-h1")
	f.workers = f.workers[1:]
	departedAt, delay := f.now, maxDowntime
	for f.now.Sub(departedAt) < maxDowntime {
		f.advance(fleetStep, nil)
		for k := range f.workers[0].runs {
			if k.Task == standingTask {
				delay = min(delay, f.now.Sub(departedAt))
			}
		}
	}
	t.Log("placed after ", delay)
	g.Expect(delay).To(BeNumerically("<=", maxPlacementDelay))
}
