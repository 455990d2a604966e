package kqflowrig_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqmachine"
)

// maxToldAbsence bounds the time without a run of the long-running task after its worker has said that it
// leaves: the target for the start of urgent work.
const maxToldAbsence = 3400 * time.Millisecond

// newDepartureRun returns a cell whose workers have birth times, with one long-running task.
func newDepartureRun(seed uint64) *takeoverRun {
	x := &takeoverRun{kqflowrig.New(kqflowrig.Config{Seed: seed, Agents: 7, SendsBirthTime: true, Capacity: kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 64 << 30}})}
	time.Sleep(3 * time.Second)
	x.rig.Submit(kqflow.Job{ID: longRunningJobID, Queue: "urgent", Payload: "p", Steps: []kqflow.Step{{Count: 1, LongRunning: true, Estimate: time.Hour,
		Resources: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}}}})
	time.Sleep(5 * time.Second)
	return x
}

// rollAgents stops and restarts the agents one after another, except those that are left out.
func (x *takeoverRun) rollAgents(leftOut ...*kqmachine.Machine) {
	for _, a := range x.rig.Agents {
		if slices.Contains(leftOut, a) {
			continue
		}
		a.Shutdown()
		time.Sleep(restartTime)
		restart(a)()
	}
}

// A worker leaves while processes are stopped. Guards against an end that was told to an agent and is
// learned only as the lease expires: because the message has no birth time, because the agent stops as
// well, or because the owner that heard it is replaced before it has stored it.
func TestTheEndOfAWorkerThatLeftIsLearnedAsItsLeaseExpires(t *testing.T) {
	for told, message := range map[string]func(left kqexecution.Incarnation) kqexecution.Incarnation{
		"with a birth time":    func(left kqexecution.Incarnation) kqexecution.Incarnation { return left },
		"without a birth time": func(left kqexecution.Incarnation) kqexecution.Incarnation { return kqexecution.Incarnation(left.ID()) },
	} {
		for meanwhile, act := range map[string]func(x *takeoverRun, left *kqmachine.Machine){
			"nothing else happens":       func(*takeoverRun, *kqmachine.Machine) {},
			"its agent is stopped":       func(_ *takeoverRun, left *kqmachine.Machine) { left.Shutdown() },
			"its agent is restarted":     func(_ *takeoverRun, left *kqmachine.Machine) { left.Shutdown(); restart(left)() },
			"the owner is killed":        func(x *takeoverRun, _ *kqmachine.Machine) { x.killOwner() },
			"the agent and the owner go": func(x *takeoverRun, left *kqmachine.Machine) { left.Shutdown(); x.killOwner() },
			"everything is restarted":    func(x *takeoverRun, left *kqmachine.Machine) { left.Shutdown(); x.rollAgents(left) },
		} {
			t.Run(told+", "+meanwhile, func(t *testing.T) {
				for seed := range uint64(4) {
					synctest.Test(t, func(t *testing.T) {
						x := newDepartureRun(seed)
						left := x.hostingAgent()
						left.Drain()
						time.Sleep(3 * time.Second)
						left.Leave(message(left.Host.Incarnation()))
						leftAt := time.Now()
						go act(x, left)
						for x.rig.Ledger.RunningCount(longRunningJobID) == 0 && time.Since(leftAt) < time.Minute {
							time.Sleep(20 * time.Millisecond)
						}
						absence := time.Since(leftAt)
						time.Sleep(15 * time.Second)
						x.rig.Stop()
						if absence > maxToldAbsence {
							t.Errorf("seed %d: the long-running task runs again after %s, at most %s is allowed", seed, absence, maxToldAbsence)
						}
						if breaches := x.rig.Ledger.Breaches(); len(breaches) > 0 {
							t.Errorf("seed %d: %v", seed, breaches)
						}
					})
				}
			})
		}
	}
}
