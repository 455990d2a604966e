package kqflowrig_test

import (
	"cmp"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqmachine"
)

// maxToldAbsence bounds the time without a run of the long-running task after its worker has said that it
// leaves: the target for the start of urgent work.
const maxToldAbsence = 3400 * time.Millisecond

// departureKept is the time after which nothing refers to a departure any more.
const departureKept = 75 * time.Second

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

// crashOwner kills the process of the owner, which is started again.
func (x *takeoverRun) crashOwner() {
	owner := x.killOwner()
	time.Sleep(restartTime)
	restart(owner)()
}

// checkDeparturesRemoved checks that the store keeps departures only for a time.
func (x *takeoverRun) checkDeparturesRemoved(t *testing.T) {
	time.Sleep(departureKept)
	rows, _, err := x.rig.Store.Client("").Read(t.Context(), kqcontrol.DepartureTable, "", "")
	if err != nil || len(rows) > 0 {
		t.Errorf("%d departures are stored after %s, error %v", len(rows), departureKept, err)
	}
}

// A worker leaves while processes are stopped. Guards against an end that was told to an agent and is
// learned only as the lease expires: because the message has no birth time, because the agent stops as
// well, or because the owner that heard it is replaced before it has stored it. Guards as well against a
// task that starts elsewhere while its worker, whose message was not acknowledged, still runs it.
func TestTheEndOfAWorkerThatLeftIsLearnedAsItsLeaseExpires(t *testing.T) {
	for told, message := range map[string]func(left kqexecution.Incarnation) kqexecution.Incarnation{
		"with a birth time":    func(left kqexecution.Incarnation) kqexecution.Incarnation { return left },
		"without a birth time": func(left kqexecution.Incarnation) kqexecution.Incarnation { return kqexecution.Incarnation(left.ID()) },
	} {
		for meanwhile, c := range map[string]struct {
			endsAfter time.Duration
			act       func(x *takeoverRun, left *kqmachine.Machine)
			bound     time.Duration
		}{
			"nothing else happens":       {act: func(*takeoverRun, *kqmachine.Machine) {}},
			"its agent is stopped":       {act: func(_ *takeoverRun, left *kqmachine.Machine) { left.Shutdown() }},
			"its agent is restarted":     {act: func(_ *takeoverRun, left *kqmachine.Machine) { left.Shutdown(); restart(left)() }},
			"its agent is killed":        {act: func(_ *takeoverRun, left *kqmachine.Machine) { left.Kill() }, bound: maxAbsence},
			"the owner crashes":          {act: func(x *takeoverRun, _ *kqmachine.Machine) { x.crashOwner() }},
			"the agent and the owner go": {act: func(x *takeoverRun, left *kqmachine.Machine) { left.Shutdown(); x.crashOwner() }},
			"everything is restarted":    {act: func(x *takeoverRun, left *kqmachine.Machine) { left.Shutdown(); x.rollAgents(left) }},
			"it ends late":               {act: func(*takeoverRun, *kqmachine.Machine) {}, endsAfter: 2 * time.Second, bound: maxAbsence},
		} {
			t.Run(told+", "+meanwhile, func(t *testing.T) {
				for seed := range uint64(4) {
					synctest.Test(t, func(t *testing.T) {
						x := newTakeoverRunOf(kqflowrig.Config{Seed: seed, SendsBirthTime: true})
						left := x.hostingAgent()
						left.Drain()
						time.Sleep(3 * time.Second)
						left.Leave(message(left.Host.Incarnation()))
						time.Sleep(c.endsAfter)
						left.Host.Leave()
						leftAt := time.Now()
						go c.act(x, left)
						for x.rig.Ledger.RunningCount(longRunningJobID) == 0 && time.Since(leftAt) < time.Minute {
							time.Sleep(20 * time.Millisecond)
						}
						absence := time.Since(leftAt)
						time.Sleep(15 * time.Second)
						if seed == 0 {
							x.checkDeparturesRemoved(t)
						}
						x.rig.Stop()
						if bound := cmp.Or(c.bound, maxToldAbsence); absence > bound {
							t.Errorf("seed %d: the long-running task runs again after %s, at most %s is allowed", seed, absence, bound)
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
