package kqplan_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// standingReplay replays the load of a service that long-running tasks fill to 80 %, with quick jobs
// of the same priority, of which 3 % always fail, and a backlog of filling tasks.
type standingReplay struct {
	*fleet
	rng   *rand.Rand
	steps map[string]kqflow.Step
	// runTimes and poison hold the run time of each finite task and the jobs that always fail.
	runTimes map[string]time.Duration
	poison   map[string]bool
	jobs     int
	// freeFor is, for each long-running task that is down, for how long there has been capacity for
	// it twice over. longest is the maximum.
	freeFor map[string]time.Duration
	ran     map[string]bool
	longest time.Duration
}

const (
	replayWorkers  = 24
	bytesPerCore   = 2 << 30
	quickPerSecond = 15
	quickSteps     = 1.6
	quickTasks     = 9.5
	poisonShare    = 0.03
	fillingPerSec  = 4
	disturbedAt    = 20 * time.Second
	replayTime     = 40 * time.Second
	standingShare  = 0.8
	standingPerJob = 14
	// fillingTaskTime is the run time of a filling task that is throttled to a third of its speed.
	fillingTaskTime = 6600 * time.Millisecond
)

func newStandingReplay(seed uint64) *standingReplay {
	r := &standingReplay{fleet: &fleet{cell: newCell(1)}, rng: rand.New(rand.NewPCG(seed, 3)), steps: map[string]kqflow.Step{}, runTimes: map[string]time.Duration{}, poison: map[string]bool{}, freeFor: map[string]time.Duration{}, ran: map[string]bool{}}
	r.SetPolicy(&kqflow.Policy{Version: 2, Queues: map[string]kqflow.Queue{
		"standing": {Name: "standing", Service: "s", MaxAttempts: 3, Stretch: 2.2, Target: 2500 * time.Millisecond},
		"urgent":   {Name: "urgent", Service: "s", MaxAttempts: 3, Stretch: 1.5, Target: 250 * time.Millisecond},
		"batch":    {Name: "batch", Service: "s", Priority: 2, MaxAttempts: 3, Stretch: 2, Target: time.Second}}})
	r.runTime = func(o kqplan.Order) time.Duration { return r.runTimes[o.Run.Task] }
	r.stopTime = func() time.Duration { return time.Duration(r.rng.Int64N(int64(500 * time.Millisecond))) }
	capacity := int64(0)
	for n := range replayWorkers {
		cores := int64(32 + 16*(n%2))
		capacity += cores
		r.addWorker(fmt.Sprintf("h%02d", n), kqmodel.Resources{MilliProcessors: cores * 1000, MemoryBytes: cores * bytesPerCore})
	}
	for reserved := 0.0; reserved < standingShare*float64(capacity); {
		s := kqflow.Step{Count: standingPerJob, Estimate: time.Second, LongRunning: true, Image: fmt.Sprint("web", r.jobs%5), TailTarget: 100 * time.Millisecond,
			Resources: kqmodel.Resources{MilliProcessors: int64(6400 * r.spread(0.2)), MemoryBytes: 13e9}}
		if r.jobs%2 == 0 {
			s.MaxPerWorker = 1 + r.jobs/2%2
		}
		reserved += float64(s.Count) * float64(s.Resources.MilliProcessors) / 1000
		r.submit("standing", s)
	}
	return r
}

// spread draws a log-normal factor with mean 1.
func (r *standingReplay) spread(sigma float64) float64 {
	return math.Exp(sigma*r.rng.NormFloat64() - sigma*sigma/2)
}

func (r *standingReplay) submit(queue string, steps ...kqflow.Step) string {
	r.jobs++
	id := fmt.Sprintf("%s%04d", queue, r.jobs)
	for n, s := range steps {
		for i := range s.Count {
			name := kqflow.TaskID{Job: id, Step: n, Index: i}.String()
			r.steps[name] = s
			if !s.LongRunning {
				r.runTimes[name] = time.Duration(float64(s.Estimate) * r.spread(0.5))
			}
		}
	}
	r.Submit(r.now, job(id, queue, r.now, steps...), nil, 0)
	return id
}

// arrive submits the quick and filling jobs of one update.
func (r *standingReplay) arrive() {
	if r.rng.Float64() < quickPerSecond*fleetStep.Seconds() {
		var steps []kqflow.Step
		for n := range max(1, int(math.Round(quickSteps*r.spread(0.4)))) {
			s := kqflow.Step{Count: max(1, int(math.Round(quickTasks*r.spread(0.6)))), Estimate: time.Duration(800 * r.spread(0.5) * float64(time.Millisecond)),
				Resources: kqmodel.Resources{MilliProcessors: int64(610 * r.spread(0.3)), MemoryBytes: 1e9}}
			if n > 0 {
				s.After = []int{n - 1}
			}
			steps = append(steps, s)
		}
		r.poison[r.submit("urgent", steps...)] = r.rng.Float64() < poisonShare
	}
	if r.rng.Float64() < fillingPerSec*fleetStep.Seconds() {
		r.submit("batch", kqflow.Step{Count: 16, Estimate: fillingTaskTime, Fills: true, Checkpoints: true, Image: fmt.Sprint("f", r.rng.IntN(9)),
			Resources: kqmodel.Resources{MilliProcessors: 3500, MemoryBytes: 64e8}})
	}
}

// lapse ends all runs of a worker as its lease expires.
func (r *standingReplay) lapse(w *fleetWorker) {
	for _, x := range w.runs {
		x.endsAt, x.reason = r.now, kqexecution.EndLeaseExpired
	}
}

// run replays the load and returns the longest time for which a long-running task waited although
// there was capacity for it twice over. It calls disturb before each update.
func (r *standingReplay) run(arrivalsEnd time.Duration, disturb func(at time.Duration)) time.Duration {
	for at := time.Duration(0); at < replayTime; at += fleetStep {
		if at < arrivalsEnd {
			r.arrive()
		}
		disturb(at)
		r.advance(fleetStep, r.failPoisoned)
		r.measure()
	}
	return r.longest
}

// failPoisoned lets the run that an order has started fail at its end if its job always fails.
func (r *standingReplay) failPoisoned(o kqplan.Order) {
	if id, _ := kqflow.ParseTaskID(o.Run.Task); !r.poison[id.Job] {
		return
	}
	for _, w := range r.workers {
		if x := w.runs[o.Run]; w.worker == o.Worker && x != nil && x.reason == kqexecution.EndDone {
			x.reason = kqexecution.EndFailed
		}
	}
}

// lapseWithin returns a disturbance in which the leases of all workers expire within a span.
func (r *standingReplay) lapseWithin(span time.Duration) func(time.Duration) {
	lapsesAt := make([]time.Duration, len(r.workers))
	for i := range lapsesAt {
		lapsesAt[i] = disturbedAt + time.Duration(r.rng.Float64()*float64(span))
	}
	return func(at time.Duration) {
		for i, w := range r.workers {
			if at <= lapsesAt[i] && lapsesAt[i] < at+fleetStep {
				r.lapse(w)
			}
		}
	}
}

// measure updates freeFor. Filling tasks are preempted, so what they hold counts as free.
func (r *standingReplay) measure() {
	running := map[string]bool{}
	for _, w := range r.workers {
		for _, x := range w.runs {
			if r.steps[x.order.Run.Task].LongRunning {
				running[x.order.Run.Task], r.ran[x.order.Run.Task] = true, true
			}
		}
	}
	if len(running) == len(r.ran) {
		clear(r.freeFor)
		return
	}
	free, perWorker := make([]kqmodel.Resources, len(r.workers)), make([]map[string]int, len(r.workers))
	for i, w := range r.workers {
		info, _ := r.KnownWorker(w.host)
		free[i], perWorker[i] = info.Capacity, map[string]int{}
		for _, x := range w.runs {
			s := r.steps[x.order.Run.Task]
			if s.Fills {
				continue
			}
			free[i] = free[i].Sub(s.Resources)
			if s.LongRunning {
				id, _ := kqflow.ParseTaskID(x.order.Run.Task)
				perWorker[i][id.Job]++
			}
		}
	}
	for name := range r.ran {
		if running[name] {
			r.freeFor[name] = 0
			continue
		}
		s, places := r.steps[name], 0
		id, _ := kqflow.ParseTaskID(name)
		for i := range r.workers {
			left := free[i]
			for n := perWorker[i][id.Job]; s.Resources.FitsIn(left) && (s.MaxPerWorker == 0 || n < s.MaxPerWorker); n++ {
				left = left.Sub(s.Resources)
				places++
			}
		}
		if places < 2 {
			r.freeFor[name] = 0
			continue
		}
		r.freeFor[name] += fleetStep
		r.longest = max(r.longest, r.freeFor[name])
	}
}

// All leases of a service that long-running tasks fill to 80 % expire one after the other, as after a
// change of owner, while quick jobs of the same priority and filling tasks arrive or have just stopped
// arriving. Each long-running task must run again within maxPlacementDelay while there is capacity for
// it twice over.
func TestStandingTasksOfAFullServiceRunAgainAfterAllLeasesExpired(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(2) {
		for _, span := range []time.Duration{0, 6 * time.Second} {
			for _, arrivalsEnd := range []time.Duration{disturbedAt - 5*time.Second, replayTime} {
				r := newStandingReplay(seed)
				longest := r.run(arrivalsEnd, r.lapseWithin(span))
				t.Logf("seed %d, leases expire within %s, arrivals end at %s: %d standing tasks ran, longest wait with capacity twice over %s", seed, span, arrivalsEnd, len(r.ran), longest)
				g.Expect(longest).To(BeNumerically("<=", maxPlacementDelay))
			}
		}
	}
}

// depart returns a disturbance in which a number of workers depart at once.
func (r *standingReplay) depart(count int) func(time.Duration) {
	return func(at time.Duration) {
		if at != disturbedAt {
			return
		}
		for _, w := range r.workers[:count] {
			r.AgentDisconnected(r.now, w.host)
			r.WorkerDeparted(r.now, w.worker)
		}
		r.workers = r.workers[count:]
	}
}

// Two workers of a service that long-running tasks fill to 80 % depart after jobs have stopped
// arriving, while filling tasks hold most of the memory that is left. The memory that preemption
// frees goes to further filling tasks, so long-running tasks wait for it.
func TestStandingTasksOfADepartedWorkerWaitBehindFillingTasks(t *testing.T) {
	g := NewWithT(t)
	longest := time.Duration(0)
	for seed := range uint64(4) {
		r := newStandingReplay(seed)
		d := r.run(disturbedAt-5*time.Second, r.depart(2))
		t.Logf("seed %d: %d standing tasks ran, longest wait with capacity twice over %s", seed, len(r.ran), d)
		longest = max(longest, d)
	}
	g.Expect(longest).To(BeNumerically("<=", maxPlacementDelay))
}
