package kqflowrig_test

import (
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

// A worker restarts under its id, alone or during another fault. Its task must run again within 4 s
// of the restart, well before the lease of 7 s of the earlier incarnation ends, or within 4 s of the
// end of the other fault. Guards against an owner that waits for that lease to end, and against a
// task that runs in two places.
func TestTheRunsOfAWorkerThatBeganAgainAreAtWorkAgainBeforeItsLeaseHasEnded(t *testing.T) {
	const restartTime = 4 * time.Second
	for name, x := range map[string]struct {
		begin    func(rig *kqflowrig.Rig, m *kqmachine.Machine)
		end      func(rig *kqflowrig.Rig, m *kqmachine.Machine)
		duration time.Duration
	}{
		"alone": {},
		"while orders to it are late": {
			begin:    func(_ *kqflowrig.Rig, m *kqmachine.Machine) { m.Host.SetFaults(kqtaskhost.Faults{LateOrders: 0.4}) },
			end:      func(_ *kqflowrig.Rig, m *kqmachine.Machine) { m.Host.SetFaults(kqtaskhost.Faults{}) },
			duration: 3 * time.Second},
		"as its agent is killed": {
			begin:    func(_ *kqflowrig.Rig, m *kqmachine.Machine) { m.Kill() },
			end:      func(_ *kqflowrig.Rig, m *kqmachine.Machine) { restart(m)() },
			duration: time.Second},
		"as the owner is killed": {
			begin: func(rig *kqflowrig.Rig, _ *kqmachine.Machine) {
				for _, a := range rig.Agents {
					if a.IsOwner() {
						a.Kill()
					}
				}
			},
			end: func(rig *kqflowrig.Rig, _ *kqmachine.Machine) {
				for _, a := range rig.Agents {
					restart(a)()
				}
			},
			duration: 3 * time.Second},
		"while the store refuses all calls": {
			begin: func(rig *kqflowrig.Rig, _ *kqmachine.Machine) {
				rig.Store.SetFaults("", kqrowstore.Faults{Refuse: true})
			},
			end:      func(rig *kqflowrig.Rig, _ *kqmachine.Machine) { rig.Store.ClearFaults() },
			duration: 4 * time.Second},
		"while its host is isolated": {
			begin:    func(rig *kqflowrig.Rig, m *kqmachine.Machine) { rig.Network.SetIsolated(m.Name(), true) },
			end:      func(rig *kqflowrig.Rig, m *kqmachine.Machine) { rig.Network.SetIsolated(m.Name(), false) },
			duration: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				rig := kqflowrig.New(kqflowrig.Config{Seed: 3, Agents: agentCount, SendsBirthTime: true, Capacity: kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 64 << 30}})
				defer rig.Stop()
				time.Sleep(3 * time.Second)
				rig.Submit(kqflow.Job{ID: longRunningJobID, Queue: "urgent", Payload: "p", Steps: []kqflow.Step{{Count: 1, LongRunning: true, Estimate: time.Hour,
					Resources: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}}}})
				time.Sleep(5 * time.Second)
				m := (&takeoverRun{rig}).hostingAgent()
				g.Expect(m).NotTo(BeNil())
				if x.begin != nil {
					x.begin(rig, m)
				}
				m.Host.Restart(m.Name())
				g.Expect(rig.Ledger.RunningCount(longRunningJobID)).To(BeZero())
				time.Sleep(x.duration)
				if x.end != nil {
					x.end(rig, m)
				}
				time.Sleep(restartTime)
				g.Expect(rig.Ledger.RunningCount(longRunningJobID)).To(Equal(1))
				time.Sleep(20 * time.Second)
				g.Expect(rig.Ledger.RunningCount(longRunningJobID)).To(Equal(1))
				g.Expect(rig.Ledger.Breaches()).To(BeEmpty())
				g.Expect(rig.Counter.Breaches()).To(BeEmpty())
			})
		})
	}
}
