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
	seeds     = flag.Uint64("seeds", 12, "how many seeds the random faults take")
	firstSeed = flag.Uint64("first_seed", 1, "the first seed")
)

const (
	agents   = 5
	faultFor = 30 * time.Second
	settleIn = 70 * time.Second
)

// run is one run of a rig under random faults.
type run struct {
	rig       *kqflowrig.Rig
	faults    []fault
	rng       *rand.Rand
	cancelled map[string]time.Time
	asked     map[string]bool
	log       []string
}

// fault begins a fault and returns what ends it.
type fault struct {
	name  string
	begin func(r *run) (end func())
}

func nothing() {}

func (r *run) agent() *kqmachine.Machine { return r.rig.Agents[r.rng.IntN(len(r.rig.Agents))] }

// owner returns the owner's agent, or any.
func (r *run) owner() *kqmachine.Machine {
	for _, a := range r.rig.Agents {
		if a.IsOwner() {
			return a
		}
	}
	return r.agent()
}

func storeFault(f kqrowstore.Faults, who func(r *run) string) func(r *run) func() {
	return func(r *run) func() {
		name := who(r)
		r.rig.Store.SetFaults(name, f)
		return func() { r.rig.Store.SetFaults(name, kqrowstore.Faults{}) }
	}
}

func everyone(*run) string      { return "" }
func theOwner(r *run) string    { return r.owner().Name() }
func kill(a *kqmachine.Machine) { a.Kill() }
func restart(a *kqmachine.Machine) func() {
	return func() {
		if !a.IsRunning() {
			if err := a.Start(); err != nil {
				panic(err)
			}
		}
	}
}

func workerFault(f kqtaskhost.Faults) func(r *run) func() {
	return func(r *run) func() {
		a := r.agent()
		a.Host.SetFaults(f)
		return func() { a.Host.SetFaults(kqtaskhost.Faults{}) }
	}
}

var faults = []fault{
	{"store refuses all", storeFault(kqrowstore.Faults{Refuse: true}, everyone)},
	{"store is silent", storeFault(kqrowstore.Faults{Silent: true}, everyone)},
	{"store loses answers", storeFault(kqrowstore.Faults{LoseAnswers: 0.3}, everyone)},
	{"store writes late", storeFault(kqrowstore.Faults{LateWrites: 0.2}, everyone)},
	{"store is slow", storeFault(kqrowstore.Faults{Delay: 300 * time.Millisecond}, everyone)},
	{"store is 30 times as slow", storeFault(kqrowstore.Faults{LatencyFactor: 30}, everyone)},
	{"store is 90 times as slow", storeFault(kqrowstore.Faults{LatencyFactor: 90}, everyone)},
	{"calls of the owner hang", storeFault(kqrowstore.Faults{HungCalls: 0.3}, theOwner)},
	{"store refuses the owner", storeFault(kqrowstore.Faults{Refuse: true}, theOwner)},
	{"store is silent to the owner", storeFault(kqrowstore.Faults{Silent: true}, theOwner)},
	{"history dropped", func(r *run) func() { r.rig.Store.Compact(); return nothing }},
	{"owner killed", func(r *run) func() { a := r.owner(); kill(a); return restart(a) }},
	{"agent killed", func(r *run) func() { a := r.agent(); kill(a); return restart(a) }},
	{"owner stopped", func(r *run) func() { a := r.owner(); a.Shutdown(); return restart(a) }},
	{"all killed", func(r *run) func() {
		for _, a := range r.rig.Agents {
			kill(a)
		}
		return func() {
			for _, a := range r.rig.Agents {
				restart(a)()
			}
		}
	}},
	{"owner cut off", func(r *run) func() {
		a := r.owner()
		r.rig.Network.Cut(a.Name(), true)
		return func() { r.rig.Network.Cut(a.Name(), false) }
	}},
	{"agent cut off", func(r *run) func() {
		a := r.agent()
		r.rig.Network.Cut(a.Name(), true)
		return func() { r.rig.Network.Cut(a.Name(), false) }
	}},
	{"worker reborn", func(r *run) func() { a := r.agent(); a.Host.Restart(a.Name()); return nothing }},
	{"orders late", workerFault(kqtaskhost.Faults{LateOrders: 0.2})},
	{"worker unreachable", workerFault(kqtaskhost.Faults{Down: true})},
	{"worker hangs", workerFault(kqtaskhost.Faults{HangRuns: true})},
}

// load submits and cancels jobs for a while.
func (r *run) load(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(100+r.rng.IntN(500)) * time.Millisecond)
		go func(j kqflow.Job) { r.rig.Submit(j) }(r.rig.Job())
		if ids := r.rig.Accepted(); len(ids) > 0 && r.rng.IntN(8) == 0 {
			r.cancel(ids[r.rng.IntN(len(ids))])
		}
	}
}

func (r *run) cancel(id string) {
	if r.asked[id] {
		return
	}
	r.asked[id] = true
	if r.rig.Cancel(id) {
		r.cancelled[id] = time.Now()
	}
}

// play runs the load under random faults.
func (r *run) play() {
	done := make(chan struct{})
	go func() { r.load(faultFor); close(done) }()
	for end := time.Now().Add(faultFor); time.Now().Before(end); {
		f := r.faults[r.rng.IntN(len(r.faults))]
		r.log = append(r.log, fmt.Sprintf("%s at %s", f.name, time.Now().Format("05.000")))
		stop := f.begin(r)
		time.Sleep(time.Duration(500+r.rng.IntN(6000)) * time.Millisecond)
		stop()
		time.Sleep(time.Duration(r.rng.IntN(2500)) * time.Millisecond)
	}
	<-done
	r.rig.Store.ClearFaults()
	r.rig.Network.Heal()
}

// verdict returns what is wrong once everything has had time to end.
func (r *run) verdict() []string {
	time.Sleep(settleIn)
	out := r.rig.Ledger.Breaches()
	for _, b := range r.rig.Counter.Breaches() {
		out = append(out, fmt.Sprintf("asserted: %s: %s", b.Name, b.Detail))
	}
	if n := r.rig.Owners(); n != 1 {
		out = append(out, fmt.Sprintf("%d owners", n))
	}
	for _, id := range r.rig.Accepted() {
		s := r.rig.State(id)
		want := s == kqflow.StateCompleted || s == kqflow.StateCancelled && r.asked[id]
		if _, ok := r.cancelled[id]; ok && s == kqflow.StateRunning {
			want = false
		}
		if !want {
			out = append(out, fmt.Sprintf("job %s is shown as %q", id, s))
		}
		if n := r.rig.Ledger.RunningCount(id); n > 0 {
			out = append(out, fmt.Sprintf("job %s (%s) has %d runs at work", id, s, n))
		}
	}
	return out
}

func TestRandomFaultsBreakNoPromise(t *testing.T) { playSeeds(t, faults, false) }

// secondLives are the faults among which workers start again under their ids, most
// of them while orders to them are late.
var secondLives = append([]fault{
	{"worker starts again", again(kqtaskhost.Faults{}, 0)},
	{"worker starts again while orders are late", again(kqtaskhost.Faults{LateOrders: 0.4}, 0)},
	{"worker starts again after a while", again(kqtaskhost.Faults{}, 4*time.Second)},
	{"worker starts again after a while, orders are late", again(kqtaskhost.Faults{LateOrders: 0.4}, 4*time.Second)},
	{"worker starts again while its host is cut off", func(r *run) func() {
		a := r.agent()
		a.Host.SetFaults(kqtaskhost.Faults{LateOrders: 0.4})
		r.rig.Network.Cut(a.Name(), true)
		time.Sleep(time.Duration(r.rng.IntN(9000)) * time.Millisecond)
		a.Host.Restart(a.Name())
		return func() {
			r.rig.Network.Cut(a.Name(), false)
			a.Host.SetFaults(kqtaskhost.Faults{})
		}
	}},
	{"host starts again", func(r *run) func() {
		a := r.agent()
		kill(a)
		a.Host.Restart(a.Name())
		return restart(a)
	}},
	{"worker starts again as the owner is killed", func(r *run) func() {
		a, o := r.agent(), r.owner()
		a.Host.Restart(a.Name())
		kill(o)
		return restart(o)
	}},
}, faults...)

// again has a worker start again under its id, perhaps after it was unreachable for
// up to a while, and once more shortly after in one of three cases.
func again(f kqtaskhost.Faults, down time.Duration) func(r *run) func() {
	return func(r *run) func() {
		a := r.agent()
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

// A worker that starts again under its id must be driven anew, and what an earlier
// incarnation left unanswered must run nowhere twice.
func TestWorkersThatStartAgainUnderTheirIDsBreakNoPromise(t *testing.T) {
	playSeeds(t, secondLives, true)
}

func playSeeds(t *testing.T, faults []fault, births bool) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			rig := kqflowrig.New(kqflowrig.Config{Seed: seed, Agents: agents, Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30},
				Births: births, Partitions: slowPartitions})
			r := &run{rig: rig, faults: faults, rng: rand.New(rand.NewPCG(seed, 17)), cancelled: map[string]time.Time{}, asked: map[string]bool{}}
			time.Sleep(2 * time.Second)
			r.play()
			bad := r.verdict()
			if len(rig.Accepted()) < 20 || rig.Ledger.StartCount() < 50 {
				bad = append(bad, fmt.Sprintf("only %d jobs and %d starts", len(rig.Accepted()), rig.Ledger.StartCount()))
			}
			rig.Stop()
			if len(bad) > 0 {
				t.Errorf("seed %d: %d breaches, first %v\nfaults: %v", seed, len(bad), bad[:min(6, len(bad))], r.log)
			}
		})
	}
}
