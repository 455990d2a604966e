package kqflowrig_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqtaskhost"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqmachine"
)

// checkInInterval is the time between two check-ins of a worker of the rig.
const checkInInterval = 1500 * time.Millisecond

// processors returns a number of processors with as much memory as each worker of the rig has for them.
func processors(n int64) kqmodel.Resources {
	return kqmodel.Resources{MilliProcessors: n * 1000, MemoryBytes: n << 32}
}

// burst submits as many processors of work as 0.4 of the load of TestAWorkerThatShrinks needs, for 5 s.
func burst(x *crashRun, s kqflow.Step) {
	const jobsPerSecond = 2
	for n := range 5 * jobsPerSecond {
		go x.rig.Submit(kqflow.Job{ID: fmt.Sprintf("%016x", time.Now().UnixNano()+int64(n)), Queue: "urgent", Payload: "p", Steps: []kqflow.Step{s}})
		time.Sleep(time.Second / jobsPerSecond)
	}
}

// The capacity of workers shrinks and grows again under a load that needs all of it. Guards against
// starts that exceed the capacity of a worker that does not guard it, and against capacity that is not
// used, beside shrunk workers or again. The ledger allows a shrunk worker its earlier capacity for the
// time of a check-in and the contact time.
func TestAWorkerThatShrinksIsFilledByItsEarlierCapacity(t *testing.T) {
	everyWorker := func(x *crashRun, f func(m *kqmachine.Machine)) {
		for _, m := range x.rig.Agents {
			f(m)
		}
	}
	tenTasks := kqflow.Step{Count: 10, Estimate: 1200 * time.Millisecond, Resources: processors(1)}
	killOwner := func(x *crashRun) { x.rig.RestartAgents(func(i int) bool { return x.rig.Agents[i].IsOwner() }) }
	for name, c := range map[string]struct {
		config kqflowrig.Config
		// load is the step that each job of the load has; whole jobs are cancelled if cancels is true.
		load    kqflow.Step
		cancels bool
		// quarter is true if a quarter of the workers shrink, to 0.55 of their capacity, and false if all
		// shrink to less than a third.
		quarter bool
		// minUsed is how many processors are in use at least before the workers grow again.
		minUsed int64
		// during happens as soon as the workers have shrunk.
		during func(x *crashRun)
	}{
		"unguarded":              {},
		"guarded":                {config: kqflowrig.Config{GuardsCapacity: true}},
		"under its id":           {config: kqflowrig.Config{SendsBirthTime: true}},
		"gangs":                  {load: kqflow.Step{Count: 6, Gang: true, Estimate: 600 * time.Millisecond, Resources: processors(2)}},
		"runs are being stopped": {cancels: true},
		"the owner is killed":    {during: killOwner},
		"all agents restart":     {during: func(x *crashRun) { x.rig.RestartAgents(func(int) bool { return true }) }},
		"orders are carried out late": {during: func(x *crashRun) {
			everyWorker(x, func(m *kqmachine.Machine) { m.Host.SetFaults(kqtaskhost.Faults{LateOrders: 0.3}) })
		}},
		// The runs take 1.2 s, and 0.3 s may pass from the end of one to the start of the next.
		"a quarter of them, before a burst": {quarter: true, during: func(x *crashRun) { go burst(x, tenTasks) }, minUsed: (4*16000 + 2*8800) * 12 / 15},
		"workers crash and restart small":   {during: func(x *crashRun) { everyWorker(x, func(m *kqmachine.Machine) { m.Host.Crash(2 * time.Second) }) }},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					c.config.Seed = seed
					x := newCrashRun(c.config)
					defer x.rig.Stop()
					if c.load.Count == 0 {
						c.load = tenTasks
					}
					go x.rig.SubmitLoad(24*time.Second, c.load)
					time.Sleep(4 * time.Second)
					for round := range 2 {
						for i, m := range x.rig.Agents {
							if !c.quarter {
								m.Host.SetCapacity(processors(int64(5 - round)))
							} else if i%4 == 0 {
								m.Host.SetCapacity(kqmodel.Resources{MilliProcessors: 8800, MemoryBytes: 64 << 30})
							}
						}
						if c.during != nil {
							c.during(x)
						}
						for n := 0; c.cancels && n < 10; n++ {
							ids := x.rig.Accepted()
							x.rig.Cancel(ids[len(ids)-1-n])
						}
						time.Sleep(4500 * time.Millisecond)
						if used := x.rig.UsedProcessors(); used < c.minUsed {
							t.Errorf("seed %d: %d of %d processors are in use beside the shrunk workers", seed, used/1000, c.minUsed/1000)
						}
						time.Sleep(2500 * time.Millisecond)
						everyWorker(x, func(m *kqmachine.Machine) {
							m.Host.SetFaults(kqtaskhost.Faults{})
							m.Host.SetCapacity(processors(16))
						})
						time.Sleep(checkInInterval + 500*time.Millisecond)
						if used := x.rig.UsedProcessors(); c.during == nil && used < 6*16*1000*6/10 {
							t.Errorf("seed %d: %d of %d processors are in use a check-in after the workers have grown", seed, used/1000, 6*16)
						}
						time.Sleep(3 * time.Second)
					}
					time.Sleep(20 * time.Second)
					for _, b := range x.rig.Ledger.Breaches() {
						t.Errorf("seed %d: %s", seed, b)
					}
					for _, b := range x.rig.Counter.Breaches() {
						t.Errorf("seed %d: %+v", seed, b)
					}
				})
			}
		})
	}
}
