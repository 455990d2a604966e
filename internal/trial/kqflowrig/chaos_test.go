package kqflowrig_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqtaskhost"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqmachine"
)

var (
	seeds     = flag.Uint64("seeds", 12, "number of seeds for the tests with random faults")
	firstSeed = flag.Uint64("first_seed", 1, "first seed for the tests with random faults")
)

const (
	agentCount = 5
	faultTime  = 30 * time.Second
	// recoveryTime is the time for all jobs to end after the last fault.
	recoveryTime = 70 * time.Second
)

// chaosRun runs a rig with load under random faults.
type chaosRun struct {
	rig             *kqflowrig.Rig
	faults          []fault
	rng             *rand.Rand
	cancelledAt     map[string]time.Time
	cancelRequested map[string]bool
	faultLog        []string
}

// fault is a fault to inject. begin starts it, blocks for the part of it that takes time, and
// returns the function that ends it.
type fault struct {
	name  string
	begin func(r *chaosRun) (end func())
}

func noop() {}

// anyAgent returns a random agent.
func (r *chaosRun) anyAgent() *kqmachine.Machine { return r.rig.Agents[r.rng.IntN(len(r.rig.Agents))] }

// ownerOrAny returns the agent whose process owns the cell, or a random one if there is no owner.
func (r *chaosRun) ownerOrAny() *kqmachine.Machine {
	for _, a := range r.rig.Agents {
		if a.IsOwner() {
			return a
		}
	}
	return r.anyAgent()
}

// storeFault returns the begin function of a store fault of one client, or of all clients if
// clientOf returns "".
func storeFault(f kqrowstore.Faults, clientOf func(r *chaosRun) string) func(r *chaosRun) func() {
	return func(r *chaosRun) func() {
		client := clientOf(r)
		r.rig.Store.SetFaults(client, f)
		return func() { r.rig.Store.SetFaults(client, kqrowstore.Faults{}) }
	}
}

func allClients(*chaosRun) string    { return "" }
func ownerClient(r *chaosRun) string { return r.ownerOrAny().Name() }
func kill(a *kqmachine.Machine)      { a.Kill() }

// restart returns a function that starts the process of an agent if it is not running.
func restart(a *kqmachine.Machine) func() {
	return func() {
		if !a.IsRunning() {
			if err := a.Start(); err != nil {
				panic(err)
			}
		}
	}
}

// workerFault returns the begin function of a fault of a random worker.
func workerFault(f kqtaskhost.Faults) func(r *chaosRun) func() {
	return func(r *chaosRun) func() {
		a := r.anyAgent()
		a.Host.SetFaults(f)
		return func() { a.Host.SetFaults(kqtaskhost.Faults{}) }
	}
}

var commonFaults = []fault{
	{"store refuses all calls", storeFault(kqrowstore.Faults{Refuse: true}, allClients)},
	{"store is silent", storeFault(kqrowstore.Faults{Silent: true}, allClients)},
	{"store loses answers", storeFault(kqrowstore.Faults{LoseAnswers: 0.3}, allClients)},
	{"store writes late", storeFault(kqrowstore.Faults{LateWrites: 0.2}, allClients)},
	{"store is slow", storeFault(kqrowstore.Faults{Delay: 300 * time.Millisecond}, allClients)},
	{"store is 30 times as slow", storeFault(kqrowstore.Faults{LatencyFactor: 30}, allClients)},
	{"store is 90 times as slow", storeFault(kqrowstore.Faults{LatencyFactor: 90}, allClients)},
	{"calls of the owner hang", storeFault(kqrowstore.Faults{HungCalls: 0.3}, ownerClient)},
	{"store refuses the owner", storeFault(kqrowstore.Faults{Refuse: true}, ownerClient)},
	{"store is silent to the owner", storeFault(kqrowstore.Faults{Silent: true}, ownerClient)},
	{"store history dropped", func(r *chaosRun) func() { r.rig.Store.Compact(); return noop }},
	{"owner killed", func(r *chaosRun) func() { a := r.ownerOrAny(); kill(a); return restart(a) }},
	{"agent killed", func(r *chaosRun) func() { a := r.anyAgent(); kill(a); return restart(a) }},
	{"owner shut down", func(r *chaosRun) func() { a := r.ownerOrAny(); a.Shutdown(); return restart(a) }},
	{"all agents killed", func(r *chaosRun) func() {
		for _, a := range r.rig.Agents {
			kill(a)
		}
		return func() {
			for _, a := range r.rig.Agents {
				restart(a)()
			}
		}
	}},
	{"owner isolated", func(r *chaosRun) func() {
		a := r.ownerOrAny()
		r.rig.Network.SetIsolated(a.Name(), true)
		return func() { r.rig.Network.SetIsolated(a.Name(), false) }
	}},
	{"agent isolated", func(r *chaosRun) func() {
		a := r.anyAgent()
		r.rig.Network.SetIsolated(a.Name(), true)
		return func() { r.rig.Network.SetIsolated(a.Name(), false) }
	}},
	{"worker restarted", func(r *chaosRun) func() { a := r.anyAgent(); a.Host.Restart(a.Name()); return noop }},
	{"worker crashes", func(r *chaosRun) func() { r.anyAgent().Host.Crash(3 * time.Second); return noop }},
	{"worker shrinks", func(r *chaosRun) func() {
		a := r.anyAgent()
		full := a.Host.Capacity()
		a.Host.SetCapacity(kqmodel.Resources{MilliProcessors: full.MilliProcessors / 2, MemoryBytes: full.MemoryBytes})
		return func() { a.Host.SetCapacity(full) }
	}},
	{"orders late", workerFault(kqtaskhost.Faults{LateOrders: 0.2})},
	{"worker unreachable", workerFault(kqtaskhost.Faults{Down: true})},
	{"worker hangs", workerFault(kqtaskhost.Faults{HangRuns: true})},
}

// submitJobs submits jobs for the given time and cancels some of the accepted ones.
func (r *chaosRun) submitJobs(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(100+r.rng.IntN(500)) * time.Millisecond)
		go func(j kqflow.Job) { r.rig.Submit(j) }(r.rig.RandomJob())
		if ids := r.rig.Accepted(); len(ids) > 0 && r.rng.IntN(8) == 0 {
			r.cancel(ids[r.rng.IntN(len(ids))])
		}
	}
}

func (r *chaosRun) cancel(id string) {
	if r.cancelRequested[id] {
		return
	}
	r.cancelRequested[id] = true
	if r.rig.Cancel(id) {
		r.cancelledAt[id] = time.Now()
	}
}

// runUnderFaults submits jobs while random faults begin and end one after another. It ends all
// faults of the store and the network before it returns.
func (r *chaosRun) runUnderFaults() {
	done := make(chan struct{})
	go func() { r.submitJobs(faultTime); close(done) }()
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		f := r.faults[r.rng.IntN(len(r.faults))]
		r.faultLog = append(r.faultLog, fmt.Sprintf("%s at %s", f.name, time.Now().Format("05.000")))
		stop := f.begin(r)
		time.Sleep(time.Duration(500+r.rng.IntN(6000)) * time.Millisecond)
		stop()
		time.Sleep(time.Duration(r.rng.IntN(2500)) * time.Millisecond)
	}
	<-done
	r.rig.Store.ClearFaults()
	r.rig.Network.ReconnectAll()
}

// failures waits until all jobs have had time to end, and returns the violated rules: runs that
// break the ledger's rules, detected invariant violations, a number of owners other than one, and
// accepted jobs that have not ended or still have runs.
func (r *chaosRun) failures() []string {
	time.Sleep(recoveryTime)
	failures := r.rig.Ledger.Breaches()
	for _, breach := range r.rig.Counter.Breaches() {
		failures = append(failures, fmt.Sprintf("invariant violated: %s: %s", breach.Name, breach.Detail))
	}
	if n := r.rig.OwnerCount(); n != 1 {
		failures = append(failures, fmt.Sprintf("%d owners", n))
	}
	for _, id := range r.rig.Accepted() {
		state := r.rig.State(id)
		expected := state == kqflow.StateCompleted || state == kqflow.StateCancelled && r.cancelRequested[id]
		if _, ok := r.cancelledAt[id]; ok && state == kqflow.StateRunning {
			expected = false
		}
		if !expected {
			failures = append(failures, fmt.Sprintf("job %s has state %q", id, state))
		}
		if n := r.rig.Ledger.RunningCount(id); n > 0 {
			failures = append(failures, fmt.Sprintf("job %s (%s) still has %d runs", id, state, n))
		}
	}
	return failures
}

// Jobs are submitted and cancelled while the store, the network, processes and workers fail at
// random. Guards against breaches of the ledger's rules, such as a task that runs in two places,
// against accepted jobs that do not end, and against a cell that ends up without exactly one owner.
func TestRandomFaultsBreakNoPromise(t *testing.T) { runSeeds(t, commonFaults, false) }

// workerRestartFaults are the common faults and restarts of workers under their ids, most of them
// while orders to the worker are late.
var workerRestartFaults = append([]fault{
	{"worker restarts", restartWorker(kqtaskhost.Faults{}, 0)},
	{"worker restarts while orders are late", restartWorker(kqtaskhost.Faults{LateOrders: 0.4}, 0)},
	{"worker restarts after being unreachable", restartWorker(kqtaskhost.Faults{}, 4*time.Second)},
	{"worker restarts after being unreachable, orders are late", restartWorker(kqtaskhost.Faults{LateOrders: 0.4}, 4*time.Second)},
	{"worker restarts while its host is isolated", func(r *chaosRun) func() {
		a := r.anyAgent()
		a.Host.SetFaults(kqtaskhost.Faults{LateOrders: 0.4})
		r.rig.Network.SetIsolated(a.Name(), true)
		time.Sleep(time.Duration(r.rng.IntN(9000)) * time.Millisecond)
		a.Host.Restart(a.Name())
		return func() {
			r.rig.Network.SetIsolated(a.Name(), false)
			a.Host.SetFaults(kqtaskhost.Faults{})
		}
	}},
	{"host restarts", func(r *chaosRun) func() {
		a := r.anyAgent()
		kill(a)
		a.Host.Restart(a.Name())
		return restart(a)
	}},
	{"worker restarts as the owner is killed", func(r *chaosRun) func() {
		a, o := r.anyAgent(), r.ownerOrAny()
		a.Host.Restart(a.Name())
		kill(o)
		return restart(o)
	}},
}, commonFaults...)

// restartWorker returns the begin function of a fault that restarts a random worker under its id,
// first making it unreachable for a random time below down if that is positive. One time in three
// the worker restarts again at most 2.5 s later.
func restartWorker(f kqtaskhost.Faults, down time.Duration) func(r *chaosRun) func() {
	return func(r *chaosRun) func() {
		a := r.anyAgent()
		a.Host.SetFaults(f)
		time.Sleep(time.Duration(r.rng.IntN(3000)) * time.Millisecond)
		if down > 0 {
			a.Host.SetFaults(kqtaskhost.Faults{Down: true})
			time.Sleep(time.Duration(r.rng.Int64N(int64(down))))
		}
		a.Host.Restart(a.Name())
		a.Host.SetFaults(f)
		if r.rng.IntN(3) == 0 {
			time.Sleep(time.Duration(r.rng.IntN(2500)) * time.Millisecond)
			a.Host.Restart(a.Name())
		}
		return func() { a.Host.SetFaults(kqtaskhost.Faults{}) }
	}
}

// Workers restart under their ids among random faults. Guards against an owner that goes on with
// the state of the earlier incarnation, and against an order that the earlier incarnation did not
// answer and the later one carries out while the task runs elsewhere.
func TestWorkersThatStartAgainUnderTheirIDsBreakNoPromise(t *testing.T) {
	runSeeds(t, workerRestartFaults, true)
}

// runSeeds runs a cell under random faults once per seed.
func runSeeds(t *testing.T, faults []fault, sendsBirthTime bool) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			rig := kqflowrig.New(kqflowrig.Config{Seed: seed, Agents: agentCount, Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30},
				SendsBirthTime: sendsBirthTime, Partitions: submissionPartitions})
			r := &chaosRun{rig: rig, faults: faults, rng: rand.New(rand.NewPCG(seed, 17)), cancelledAt: map[string]time.Time{}, cancelRequested: map[string]bool{}}
			time.Sleep(2 * time.Second)
			r.runUnderFaults()
			failures := r.failures()
			if len(rig.Accepted()) < 20 || rig.Ledger.StartCount() < 50 {
				failures = append(failures, fmt.Sprintf("only %d jobs accepted and %d runs started", len(rig.Accepted()), rig.Ledger.StartCount()))
			}
			rig.Stop()
			if len(failures) > 0 {
				t.Errorf("seed %d: %d violations, first %v\nfaults: %v", seed, len(failures), failures[:min(6, len(failures))], r.faultLog)
			}
		})
	}
}
