package kqplan_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

const (
	// quickTime is the longest run time of the finite tasks of a crowdedFleet.
	quickTime = time.Second
	// passTime covers the updates between an end and the next start.
	passTime = 4 * fleetStep
)

// crowdedFleet is a fleet in which the tasks of a long-running step run on the first workers, its homes,
// and finite tasks of one processor of the top priority fill the others and end one by one; many more
// wait.
type crowdedFleet struct {
	*fleet
	step  kqflow.Step
	homes []*fleetWorker
}

func newCrowdedFleet(g *WithT, queue string, step kqflow.Step, others ...int64) *crowdedFleet {
	started := 0
	f := &crowdedFleet{fleet: &fleet{cell: newCell(1), stopTime: func() time.Duration { return 0 }}, step: step}
	f.runTime = func(o kqplan.Order) time.Duration {
		if o.Size.MilliProcessors != 1000 {
			return 0
		}
		started++
		return quickTime - time.Duration(started%8)*100*time.Millisecond
	}
	for n := range min(step.Count, max(1, step.Count*step.MaxPerWorker)) {
		f.addWorker(fmt.Sprint("home", n), kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 1 << 40})
	}
	f.homes = f.workers
	f.Submit(f.now, job("standing", queue, f.now, step), nil, 0)
	f.advance(5*time.Second, nil)
	for i, processors := range others {
		f.addWorker(fmt.Sprint("other", i), kqmodel.Resources{MilliProcessors: processors * 1000, MemoryBytes: 1 << 40})
	}
	for n := range 40 {
		f.Submit(f.now, job(fmt.Sprintf("quick%02d", n), "urgent", f.now, newStep(40, 1)), nil, 0)
	}
	f.advance(2*time.Second, nil)
	for _, w := range f.workers[len(f.homes):] {
		info, _ := f.KnownWorker(w.host)
		g.Expect(w.runs).To(HaveLen(int(info.Capacity.MilliProcessors / 1000)))
	}
	return f
}

func longRunning(count int, processors int64, perWorker int) kqflow.Step {
	s := newStep(count, processors)
	s.LongRunning, s.MaxPerWorker = true, perWorker
	return s
}

// departHomes takes the homes away and returns after which time all tasks that ran there run again, how
// many do after a limit, and how many finite tasks were started until then.
func (f *crowdedFleet) departHomes(limit time.Duration) (delay time.Duration, running, quick int) {
	for _, w := range f.homes {
		f.AgentDisconnected(f.now, w.host)
		f.WorkerDeparted(f.now, w.worker)
	}
	f.workers = f.workers[len(f.homes):]
	departedAt, delay := f.now, limit
	f.advance(limit, func(o kqplan.Order) {
		if o.Size.MilliProcessors == 1000 {
			quick++
		} else if running++; running == f.step.Count {
			delay = f.now.Sub(departedAt)
		}
	})
	return delay, running, quick
}

// A long-running task that has lost its worker is larger than each finite task. Of the finite tasks that
// fill the remaining workers one ends after the other, and each makes way for the next one, also of the
// same or a higher priority, so the long-running task waits for as long as they arrive.
func TestFiniteTasksTakeEachPieceThatARestartWaitsFor(t *testing.T) {
	for _, x := range []struct {
		name, queue string
		step        kqflow.Step
		others      []int64
	}{
		{"same priority", "urgent", longRunning(1, 12, 0), []int64{16, 16}},
		{"lower priority", "batch", longRunning(1, 6, 0), []int64{8, 8}},
		{"several on one worker", "urgent", longRunning(3, 4, 0), []int64{12, 12}},
		{"one per worker", "urgent", longRunning(3, 6, 1), []int64{16, 8, 8}},
		{"largest on the only worker where it fits", "batch", longRunning(2, 12, 0), []int64{10, 26, 10}},
	} {
		t.Run(x.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newCrowdedFleet(g, x.queue, x.step, x.others...)
			delay, running, _ := f.departHomes(maxDowntime)
			g.Expect(running).To(Equal(x.step.Count))
			g.Expect(delay).To(BeNumerically("<=", quickTime+passTime))
			g.Expect(f.counter.Breaches()).To(BeEmpty())
		})
	}
}

// Tasks that fit on no worker, or on no further worker, keep nothing from finite tasks. Those that fit
// nowhere else once the service has shrunk leave finite tasks their usual share.
func TestTasksThatHaveLostTheirWorkersKeepFiniteTasksOut(t *testing.T) {
	for name, x := range map[string]struct {
		step    kqflow.Step
		running int
		// processors are left to finite tasks.
		processors int
	}{
		"too large":               {longRunning(1, 12, 0), 0, 24},
		"one per worker":          {longRunning(5, 3, 1), 3, 15},
		"more than what is there": {longRunning(6, 7, 0), 2, 10},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newCrowdedFleet(g, "urgent", x.step, 8, 8, 8)
			_, running, quick := f.departHomes(maxDowntime)
			g.Expect(running).To(Equal(x.running))
			g.Expect(quick).To(BeNumerically(">=", x.processors*int((maxDowntime-2*quickTime)/quickTime)))
		})
	}
}
