package kqflowrig_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqtaskhost"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqmachine"
)

const evacuateWithin = 5 * time.Second

// evacuationRun is a cell under load with three zones of two workers each.
type evacuationRun struct {
	chaosRun
	zones    []string
	loadDone chan struct{}
	// errs are the failures that the scenario itself has found.
	errs []string
}

func (x *evacuationRun) errorf(format string, args ...any) {
	x.errs = append(x.errs, fmt.Sprintf(format, args...))
}

func newEvacuationRun(seed uint64, loadTime time.Duration) *evacuationRun {
	zones := []string{"a", "b", "c"}
	rig := kqflowrig.New(kqflowrig.Config{Seed: seed, Agents: 6, Zones: zones, EvacuateWithin: evacuateWithin,
		Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30}})
	x := &evacuationRun{chaosRun: chaosRun{rig: rig, rng: rand.New(rand.NewPCG(seed, 17)), cancelledAt: map[string]time.Time{}, cancelRequested: map[string]bool{}}, zones: zones, loadDone: make(chan struct{})}
	time.Sleep(3 * time.Second)
	// The load and the scenario run concurrently, so each has a generator of its own.
	loader := x.chaosRun
	loader.rng = rand.New(rand.NewPCG(seed, 19))
	go func() { loader.submitJobs(loadTime); close(x.loadDone) }()
	time.Sleep(2 * time.Second)
	return x
}

// finish waits for the load to end, stops the cell and returns all failures.
func (x *evacuationRun) finish() []string {
	<-x.loadDone
	x.rig.Store.ClearFaults()
	x.rig.Network.ReconnectAll()
	failures := slices.Concat(x.errs, x.rig.LateStarts(), x.failures())
	if len(x.rig.Accepted()) < 20 || x.rig.Ledger.StartCount() < 50 {
		failures = append(failures, fmt.Sprintf("only %d jobs accepted and %d runs started", len(x.rig.Accepted()), x.rig.Ledger.StartCount()))
	}
	x.rig.Stop()
	return failures
}

// agentIn returns the first running agent of a zone, or the first agent of the cell if none runs.
func (x *evacuationRun) agentIn(zone string) *kqmachine.Machine {
	for i, a := range x.rig.Agents {
		if x.rig.Zone(i) == zone && a.IsRunning() {
			return a
		}
	}
	return x.rig.Agents[0]
}

// runEvacuation runs a scenario once per seed and fails the test if there are failures.
func runEvacuation(t *testing.T, seeds uint64, loadTime time.Duration, scenario func(x *evacuationRun)) {
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			x := newEvacuationRun(seed+1, loadTime)
			scenario(x)
			if failures := x.finish(); len(failures) > 0 {
				t.Errorf("seed %d: %d violations, first %v", seed+1, len(failures), failures[:min(6, len(failures))])
			}
		})
	}
}

// A zone is evacuated shortly before, while or after the owner is killed. Guards against a new owner
// that starts tasks in the zone because only its predecessor knew of the request.
func TestAZoneEvacuatedDuringATakeoverGetsNothingNew(t *testing.T) {
	runEvacuation(t, 4, 30*time.Second, func(x *evacuationRun) {
		for _, delay := range []time.Duration{-400 * time.Millisecond, 0, 600 * time.Millisecond} {
			owner := x.ownerOrAny()
			if delay < 0 {
				x.rig.Evacuate("a")
				time.Sleep(-delay)
			}
			owner.Kill()
			if delay >= 0 {
				time.Sleep(delay)
				x.rig.Evacuate("a")
			}
			time.Sleep(7 * time.Second)
			restart(owner)()
			x.rig.WithdrawEvacuation("a")
			time.Sleep(time.Second)
		}
	})
}

// A request is withdrawn before the evacuation is complete, then several zones and finally all zones
// are evacuated at once. Guards against late starts, and against waiting tasks that do not start
// once a zone may be used again.
func TestEvacuationsThatOverlapAndAreWithdrawnAreObeyed(t *testing.T) {
	runEvacuation(t, 4, 40*time.Second, func(x *evacuationRun) {
		x.rig.Evacuate("a")
		time.Sleep(2 * time.Second)
		x.rig.WithdrawEvacuation("a")
		x.rig.Evacuate("b")
		time.Sleep(6 * time.Second)
		x.rig.Evacuate("a")
		x.rig.Evacuate("nowhere")
		time.Sleep(6 * time.Second)
		x.rig.Evacuate("c")
		time.Sleep(8 * time.Second)
		for _, z := range []string{"a", "b", "c", "nowhere"} {
			x.rig.WithdrawEvacuation(z)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// An agent that cannot reach the store learns of evacuation requests from the owner; one that cannot
// reach the owner reads them from the store. Its worker is unreachable, so in both cases the agent
// keeps repeating unanswered starts. Guards against repetitions after the bound.
func TestAnAgentThatIsCutOffObeysAnEvacuation(t *testing.T) {
	runEvacuation(t, 4, 45*time.Second, func(x *evacuationRun) {
		for _, isolate := range []func(a *kqmachine.Machine, on bool){
			func(a *kqmachine.Machine, on bool) { x.rig.Store.SetFaults(a.Name(), kqrowstore.Faults{Silent: on}) },
			func(a *kqmachine.Machine, on bool) { x.rig.Network.SetIsolated(a.Name(), on) },
		} {
			a := x.agentIn("b")
			if a.IsOwner() {
				a = x.rig.Agents[4]
			}
			a.Host.SetFaults(kqtaskhost.Faults{Down: true})
			time.Sleep(time.Second)
			isolate(a, true)
			// By then a feed call that was in flight at the fault has ended.
			time.Sleep(4 * time.Second)
			x.rig.Evacuate("b")
			time.Sleep(9 * time.Second)
			a.Host.SetFaults(kqtaskhost.Faults{})
			x.rig.WithdrawEvacuation("b")
			isolate(a, false)
			time.Sleep(3 * time.Second)
		}
	})
}

// Zones are evacuated again and again while the store is slow or drops its history, which forces
// feeds to read everything anew, and while processes fail. Guards against starts in an evacuated
// zone after the bound.
func TestRandomFaultsSendNoStartIntoAnEvacuatedZone(t *testing.T) {
	runEvacuation(t, *seeds, faultTime+10*time.Second, func(x *evacuationRun) {
		for end := time.Now().Add(faultTime); time.Now().Before(end); {
			f := evacuationFaults[x.rng.IntN(len(evacuationFaults))]
			zone := x.zones[x.rng.IntN(len(x.zones))]
			var stop func()
			if x.rng.IntN(2) == 0 {
				stop = f.begin(&x.chaosRun)
				x.rig.Evacuate(zone)
			} else {
				x.rig.Evacuate(zone)
				stop = f.begin(&x.chaosRun)
			}
			time.Sleep(time.Duration(500+x.rng.IntN(9000)) * time.Millisecond)
			stop()
			time.Sleep(time.Duration(x.rng.IntN(2500)) * time.Millisecond)
			x.rig.WithdrawEvacuation(zone)
		}
	})
}

// evacuationFaults are faults under which every process still learns of evacuation requests: from
// the store, or from an owner that can reach the store.
var evacuationFaults = []fault{
	{"store is slow", storeFault(kqrowstore.Faults{Delay: 330 * time.Millisecond}, allClients)},
	{"store loses answers", storeFault(kqrowstore.Faults{LoseAnswers: 0.3}, allClients)},
	{"store refuses the owner", storeFault(kqrowstore.Faults{Refuse: true}, ownerClient)},
	{"store is silent to the owner", storeFault(kqrowstore.Faults{Silent: true}, ownerClient)},
	{"store is silent to an agent", storeFault(kqrowstore.Faults{Silent: true}, func(r *chaosRun) string { return r.anyAgent().Name() })},
	{"store history dropped", func(r *chaosRun) func() { r.rig.Store.Compact(); return r.rig.Store.Compact }},
	{"owner killed", func(r *chaosRun) func() { a := r.ownerOrAny(); kill(a); return restart(a) }},
	{"owner shut down", func(r *chaosRun) func() { a := r.ownerOrAny(); a.Shutdown(); return restart(a) }},
	{"agent killed", func(r *chaosRun) func() { a := r.anyAgent(); kill(a); return restart(a) }},
	{"agent isolated", func(r *chaosRun) func() {
		a := r.anyAgent()
		r.rig.Network.SetIsolated(a.Name(), true)
		return func() { r.rig.Network.SetIsolated(a.Name(), false) }
	}},
	{"orders late", workerFault(kqtaskhost.Faults{LateOrders: 0.5})},
	{"worker unreachable", workerFault(kqtaskhost.Faults{Down: true})},
}

// Long-running tasks must move out of an evacuated zone one by one under load. Guards against more
// of them being down than MaxUnavailable allows, against tasks that remain in the zone, and against
// moves of tasks whose MaxUnavailable is 0, which must stay.
func TestStandingTasksLeaveAnEvacuatedZoneOneByOne(t *testing.T) {
	runEvacuation(t, 3, 75*time.Second, func(x *evacuationRun) {
		const movable, fixed = "00000000000000bb", "00000000000000cc"
		for id, maxUnavailable := range map[string]int{movable: 1, fixed: 0} {
			x.rig.SubmitUntracked(kqflow.Job{ID: id, Queue: "urgent", Payload: "p", Steps: []kqflow.Step{{Count: 6, LongRunning: true, MaxUnavailable: maxUnavailable, MaxPerWorker: 2, Estimate: time.Hour,
				Resources: kqmodel.Resources{MilliProcessors: 500, MemoryBytes: 1 << 30}}}})
		}
		time.Sleep(5 * time.Second)
		defer x.rig.Cancel(movable)
		defer x.rig.Cancel(fixed)
		zone := x.zones[0]
		for _, z := range x.zones {
			if x.runsIn(movable, z) > x.runsIn(movable, zone) {
				zone = z
			}
		}
		fixedBefore := x.runsIn(fixed, zone)
		x.rig.Evacuate(zone)
		evacuatedAt := time.Now()
		for time.Since(evacuatedAt) < 45*time.Second {
			time.Sleep(20 * time.Millisecond)
			if n := x.rig.Ledger.RunningCount(movable); n < 5 {
				x.errorf("%d of 6 movable tasks run %s after the evacuation", n, time.Since(evacuatedAt))
			}
			if n := x.rig.Ledger.RunningCount(fixed); n < 6 {
				x.errorf("%d of 6 tasks run of which none may be unavailable", n)
			}
		}
		if n := x.runsIn(movable, zone); n > 0 {
			x.errorf("%d movable tasks are still in the zone", n)
		}
		if n := x.runsIn(fixed, zone); n != fixedBefore {
			x.errorf("%d of %d tasks that may not be unavailable are in the zone", n, fixedBefore)
		}
		x.rig.WithdrawEvacuation(zone)
	})
}

// runsIn returns the number of runs of a job on the workers of a zone.
func (x *evacuationRun) runsIn(job, zone string) int {
	n := 0
	for _, worker := range x.rig.Ledger.Workers(job) {
		for i, a := range x.rig.Agents {
			if x.rig.Zone(i) == zone && a.Host.Incarnation() == worker {
				n++
			}
		}
	}
	return n
}

// The owner must send entries the status of evacuated zones also when it has nothing else to send,
// as in a cell without jobs. Guards against a status that waits for another message, or that is
// never sent because it was dropped once and is not repeated.
func TestEntriesOfAnIdleCellAreToldOfAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rig := kqflowrig.New(kqflowrig.Config{Seed: 1, Agents: 3, Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30}, Zones: []string{"a", "b", "c"}})
		defer rig.Stop()
		time.Sleep(3 * time.Second)
		rig.Evacuate("a")
		time.Sleep(2 * time.Second)
		g.Expect(rig.Frontend.EvacuationStatus()).To(ContainElement(HaveField("Zone", "a")))
	})
}
