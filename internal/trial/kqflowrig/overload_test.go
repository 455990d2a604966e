package kqflowrig_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
)

// All machines are slow for 10 s, as if short of processor time, but none fails. Guards against agents
// that replace an owner because its answers are late, and its slow successors in turn, until leases end.
func TestAnOwnerThatIsSlowIsReplacedAgainAndAgain(t *testing.T) {
	for _, timePerCall := range []time.Duration{22 * time.Millisecond, 26 * time.Millisecond} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s for each message, seed %d", timePerCall, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runOverload(t, seed, timePerCall) })
			})
		}
	}
}

func runOverload(t *testing.T, seed uint64, timePerCall time.Duration) {
	x := newSlowStoreRun(seed, 5760*time.Millisecond)
	x.setTimePerCall(timePerCall)
	x.submitJobs(10 * time.Second)
	x.setTimePerCall(3 * time.Millisecond)
	x.submitJobs(3 * time.Second)
	time.Sleep(8 * time.Second)
	t.Log(x)
	x.logOwnerChanges(t)
	x.logLapses(t)
	if x.lostRuns("") > 0 || x.rig.Epoch() != 1 || x.rig.OwnerCount() != 1 {
		t.Errorf("no process has failed, but %d runs were lost and the cell has had %d owners", x.lostRuns(""), x.rig.Epoch())
	}
	x.rig.Stop()
	if breaches := x.rig.Ledger.Breaches(); len(breaches) > 0 {
		t.Errorf("%d breaches, first %v", len(breaches), breaches[0])
	}
}

// setTimePerCall sets how long every agent's machine takes for each message.
func (x *slowStoreRun) setTimePerCall(d time.Duration) {
	for _, a := range x.rig.Agents {
		x.rig.Network.SetTimePerCall(a.Name(), d)
	}
}

// logOwnerChanges logs each acquisition of the cell and what spoke against the owner before it.
func (x *slowStoreRun) logOwnerChanges(t *testing.T) {
	for _, a := range x.rig.Agents {
		for _, e := range x.events.BySubject(kqevent.Process(a.Name())) {
			if e.Number == kqevent.OwnerUnresponsive || e.Number == kqevent.OwnershipAcquired {
				t.Log(e.At.Format("05.000"), e.Number, e.Subject, e.Text)
			}
		}
	}
}

// The owner is killed, and its slow successor takes 3 s to load the stored state. Guards against agents
// that take a successor for unreachable because it does not serve them before it has loaded.
func TestAnOwnerThatIsLoadingIsReplaced(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			x := &slowStoreRun{events: kqevent.New(kqevent.Config{MaxEvents: keptEvents})}
			x.rig = kqflowrig.New(kqflowrig.Config{Seed: seed, Agents: slowAgents, Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30}, Events: x.events,
				LoadTime: 3 * time.Second})
			time.Sleep(6 * time.Second)
			x.setTimePerCall(20 * time.Millisecond)
			x.owner().Kill()
			time.Sleep(10 * time.Second)
			if n := x.rig.Epoch(); n != 2 || x.rig.OwnerCount() != 1 {
				x.logOwnerChanges(t)
				t.Errorf("seed %d: one owner was killed, but the cell has had %d owners and has %d now", seed, n, x.rig.OwnerCount())
			}
			x.rig.Stop()
		})
	}
}

func (x *slowStoreRun) logLapses(t *testing.T) {
	for job := 1; job <= x.created; job++ {
		for _, e := range x.events.ByJob(fmt.Sprintf("%016x", job)) {
			if e.Number == kqevent.FlowRunLost || strings.HasSuffix(e.Text, "lapsed") {
				t.Log(e.At.Format("05.000"), e.Subject, e.Text)
			}
		}
	}
}
