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

// evacuated is a cell of two workers in each of three zones under load.
type evacuated struct {
	run
	zones []string
	done  chan struct{}
	// bad is what a scene has found wrong.
	bad []string
}

func (x *evacuated) wrong(format string, args ...any) {
	x.bad = append(x.bad, fmt.Sprintf(format, args...))
}

func newEvacuated(seed uint64, load time.Duration) *evacuated {
	zones := []string{"a", "b", "c"}
	rig := kqflowrig.New(kqflowrig.Config{Seed: seed, Agents: 6, Zones: zones, EvacuateWithin: evacuateWithin,
		Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30}})
	x := &evacuated{run: run{rig: rig, rng: rand.New(rand.NewPCG(seed, 17)), cancelled: map[string]time.Time{}, asked: map[string]bool{}}, zones: zones, done: make(chan struct{})}
	time.Sleep(3 * time.Second)
	// The load draws by itself: the scene draws at the same time.
	loader := x.run
	loader.rng = rand.New(rand.NewPCG(seed, 19))
	go func() { loader.load(load); close(x.done) }()
	time.Sleep(2 * time.Second)
	return x
}

// end waits for the load, and returns what is wrong.
func (x *evacuated) end() []string {
	<-x.done
	x.rig.Store.ClearFaults()
	x.rig.Network.Heal()
	bad := slices.Concat(x.bad, x.rig.LateStarts(), x.verdict())
	if len(x.rig.Accepted()) < 20 || x.rig.Ledger.StartCount() < 50 {
		bad = append(bad, fmt.Sprintf("only %d jobs and %d starts", len(x.rig.Accepted()), x.rig.Ledger.StartCount()))
	}
	x.rig.Stop()
	return bad
}

// inZone returns an agent of a zone.
func (x *evacuated) inZone(zone string) *kqmachine.Machine {
	for i, a := range x.rig.Agents {
		if x.rig.Zone(i) == zone && a.IsRunning() {
			return a
		}
	}
	return x.rig.Agents[0]
}

// play runs a scene and fails the test with what was wrong.
func playEvacuation(t *testing.T, seeds uint64, load time.Duration, scene func(x *evacuated)) {
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			x := newEvacuated(seed+1, load)
			scene(x)
			if bad := x.end(); len(bad) > 0 {
				t.Errorf("seed %d: %d breaches, first %v", seed+1, len(bad), bad[:min(6, len(bad))])
			}
		})
	}
}

// An owner that has just taken the cell must not place work in a zone whose
// evacuation its predecessor knew of.
func TestAZoneEvacuatedDuringATakeoverGetsNothingNew(t *testing.T) {
	playEvacuation(t, 4, 30*time.Second, func(x *evacuated) {
		for _, before := range []time.Duration{-400 * time.Millisecond, 0, 600 * time.Millisecond} {
			owner := x.owner()
			if before < 0 {
				x.rig.Evacuate("a")
				time.Sleep(-before)
			}
			owner.Kill()
			if before >= 0 {
				time.Sleep(before)
				x.rig.Evacuate("a")
			}
			time.Sleep(7 * time.Second)
			restart(owner)()
			x.rig.Return("a")
			time.Sleep(time.Second)
		}
	})
}

// A request that is withdrawn halfway, several at once, and all zones at once: what
// waited must run once a zone is back.
func TestEvacuationsThatOverlapAndAreWithdrawnAreObeyed(t *testing.T) {
	playEvacuation(t, 4, 40*time.Second, func(x *evacuated) {
		x.rig.Evacuate("a")
		time.Sleep(2 * time.Second)
		x.rig.Return("a")
		x.rig.Evacuate("b")
		time.Sleep(6 * time.Second)
		x.rig.Evacuate("a")
		x.rig.Evacuate("nowhere")
		time.Sleep(6 * time.Second)
		x.rig.Evacuate("c")
		time.Sleep(8 * time.Second)
		for _, z := range []string{"a", "b", "c", "nowhere"} {
			x.rig.Return(z)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// An agent that cannot reach the store hears of requests from its owner; one that
// cannot reach its owner reads them itself. Both repeat starts that are not answered.
func TestAnAgentThatIsCutOffObeysAnEvacuation(t *testing.T) {
	playEvacuation(t, 4, 45*time.Second, func(x *evacuated) {
		for _, cut := range []func(a *kqmachine.Machine, on bool){
			func(a *kqmachine.Machine, on bool) { x.rig.Store.SetFaults(a.Name(), kqrowstore.Faults{Silent: on}) },
			func(a *kqmachine.Machine, on bool) { x.rig.Network.Cut(a.Name(), on) },
		} {
			a := x.inZone("b")
			if a.IsOwner() {
				a = x.rig.Agents[4]
			}
			a.Host.SetFaults(kqtaskhost.Faults{Down: true})
			time.Sleep(time.Second)
			cut(a, true)
			// A call of the feed that was under way is over by then.
			time.Sleep(4 * time.Second)
			x.rig.Evacuate("b")
			time.Sleep(9 * time.Second)
			a.Host.SetFaults(kqtaskhost.Faults{})
			x.rig.Return("b")
			cut(a, false)
			time.Sleep(3 * time.Second)
		}
	})
}

// Feeds lose their history, the store is slow and machines fail while zones are
// evacuated again and again.
func TestRandomFaultsSendNoStartIntoAnEvacuatedZone(t *testing.T) {
	playEvacuation(t, *seeds, faultFor+10*time.Second, func(x *evacuated) {
		for end := time.Now().Add(faultFor); time.Now().Before(end); {
			f := evacuationFaults[x.rng.IntN(len(evacuationFaults))]
			zone := x.zones[x.rng.IntN(len(x.zones))]
			var stop func()
			if x.rng.IntN(2) == 0 {
				stop = f.begin(&x.run)
				x.rig.Evacuate(zone)
			} else {
				x.rig.Evacuate(zone)
				stop = f.begin(&x.run)
			}
			time.Sleep(time.Duration(500+x.rng.IntN(9000)) * time.Millisecond)
			stop()
			time.Sleep(time.Duration(x.rng.IntN(2500)) * time.Millisecond)
			x.rig.Return(zone)
		}
	})
}

// evacuationFaults are the faults under which every process can still be reached:
// by the store itself, or by an owner that the store reaches.
var evacuationFaults = []fault{
	{"store is slow", storeFault(kqrowstore.Faults{Delay: 330 * time.Millisecond}, everyone)},
	{"store loses answers", storeFault(kqrowstore.Faults{LoseAnswers: 0.3}, everyone)},
	{"store refuses the owner", storeFault(kqrowstore.Faults{Refuse: true}, theOwner)},
	{"store is silent to the owner", storeFault(kqrowstore.Faults{Silent: true}, theOwner)},
	{"store is silent to an agent", storeFault(kqrowstore.Faults{Silent: true}, func(r *run) string { return r.agent().Name() })},
	{"history dropped", func(r *run) func() { r.rig.Store.Compact(); return r.rig.Store.Compact }},
	{"owner killed", func(r *run) func() { a := r.owner(); kill(a); return restart(a) }},
	{"owner stopped", func(r *run) func() { a := r.owner(); a.Shutdown(); return restart(a) }},
	{"agent killed", func(r *run) func() { a := r.agent(); kill(a); return restart(a) }},
	{"agent cut off", func(r *run) func() {
		a := r.agent()
		r.rig.Network.Cut(a.Name(), true)
		return func() { r.rig.Network.Cut(a.Name(), false) }
	}},
	{"orders late", workerFault(kqtaskhost.Faults{LateOrders: 0.5})},
	{"worker unreachable", workerFault(kqtaskhost.Faults{Down: true})},
}

// A long evacuation under load: standing tasks leave the zone one by one, are away no
// more than they may be, and those that may not be away stay.
func TestStandingTasksLeaveAnEvacuatedZoneOneByOne(t *testing.T) {
	playEvacuation(t, 3, 75*time.Second, func(x *evacuated) {
		const moving, fixed = "00000000000000bb", "00000000000000cc"
		for id, mayMiss := range map[string]int{moving: 1, fixed: 0} {
			x.rig.Serve(kqflow.Job{ID: id, Queue: "urgent", Payload: "p", Steps: []kqflow.Step{{Count: 6, LongRunning: true, MaxUnavailable: mayMiss, MaxPerWorker: 2, Estimate: time.Hour,
				Resources: kqmodel.Resources{MilliProcessors: 500, MemoryBytes: 1 << 30}}}})
		}
		time.Sleep(5 * time.Second)
		defer x.rig.Cancel(moving)
		defer x.rig.Cancel(fixed)
		zone := x.zones[0]
		for _, z := range x.zones {
			if x.standing(moving, z) > x.standing(moving, zone) {
				zone = z
			}
		}
		there := x.standing(fixed, zone)
		x.rig.Evacuate(zone)
		evacuatedAt := time.Now()
		for time.Since(evacuatedAt) < 45*time.Second {
			time.Sleep(20 * time.Millisecond)
			if n := x.rig.Ledger.RunningCount(moving); n < 5 {
				x.wrong("%d of 6 standing tasks at work %s after the evacuation", n, time.Since(evacuatedAt))
			}
			if n := x.rig.Ledger.RunningCount(fixed); n < 6 {
				x.wrong("%d of 6 standing tasks at work of which none may be away", n)
			}
		}
		if n := x.standing(moving, zone); n > 0 {
			x.wrong("%d standing tasks are still in the zone", n)
		}
		if n := x.standing(fixed, zone); n != there {
			x.wrong("%d of %d standing tasks that may not be away are in the zone", n, there)
		}
		x.rig.Return(zone)
	})
}

// standing counts the tasks of a job at work in a zone.
func (x *evacuated) standing(job, zone string) int {
	n := 0
	for _, w := range x.rig.Ledger.Workers(job) {
		for i, a := range x.rig.Agents {
			if x.rig.Zone(i) == zone && a.Host.Incarnation() == w {
				n++
			}
		}
	}
	return n
}

// What is left in evacuated zones must reach entries by itself: in a cell without jobs
// nothing else is sent to them, and a report that is dropped is not made again.
func TestEntriesOfAnIdleCellAreToldOfAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		rig := kqflowrig.New(kqflowrig.Config{Seed: 1, Agents: 3, Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30}, Zones: []string{"a", "b", "c"}})
		defer rig.Stop()
		time.Sleep(3 * time.Second)
		rig.Evacuate("a")
		time.Sleep(2 * time.Second)
		g.Expect(rig.Front.EvacuationStatus()).To(ContainElement(HaveField("Zone", "a")))
	})
}
