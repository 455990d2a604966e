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

// A worker begins again under its id, alone or while something else fails halfway:
// what it ran must be at work again well before its lease would have ended, or soon
// after the other failure is over, and never twice.
func TestTheRunsOfAWorkerThatBeganAgainAreAtWorkAgainBeforeItsLeaseHasEnded(t *testing.T) {
	const soon = 4 * time.Second
	for name, x := range map[string]struct {
		fail   func(rig *kqflowrig.Rig, at *kqmachine.Machine)
		heal   func(rig *kqflowrig.Rig, at *kqmachine.Machine)
		during time.Duration
	}{
		"alone": {},
		"while orders to it are late": {
			fail:   func(_ *kqflowrig.Rig, at *kqmachine.Machine) { at.Host.SetFaults(kqtaskhost.Faults{LateOrders: 0.4}) },
			heal:   func(_ *kqflowrig.Rig, at *kqmachine.Machine) { at.Host.SetFaults(kqtaskhost.Faults{}) },
			during: 3 * time.Second},
		"as its agent is killed": {
			fail:   func(_ *kqflowrig.Rig, at *kqmachine.Machine) { at.Kill() },
			heal:   func(_ *kqflowrig.Rig, at *kqmachine.Machine) { restart(at)() },
			during: time.Second},
		"as the owner is killed": {
			fail: func(rig *kqflowrig.Rig, _ *kqmachine.Machine) {
				for _, a := range rig.Agents {
					if a.IsOwner() {
						a.Kill()
					}
				}
			},
			heal: func(rig *kqflowrig.Rig, _ *kqmachine.Machine) {
				for _, a := range rig.Agents {
					restart(a)()
				}
			},
			during: 3 * time.Second},
		"while the store refuses all": {
			fail: func(rig *kqflowrig.Rig, _ *kqmachine.Machine) {
				rig.Store.SetFaults("", kqrowstore.Faults{Refuse: true})
			},
			heal:   func(rig *kqflowrig.Rig, _ *kqmachine.Machine) { rig.Store.ClearFaults() },
			during: 4 * time.Second},
		"while its host is cut off": {
			fail:   func(rig *kqflowrig.Rig, at *kqmachine.Machine) { rig.Network.Cut(at.Name(), true) },
			heal:   func(rig *kqflowrig.Rig, at *kqmachine.Machine) { rig.Network.Cut(at.Name(), false) },
			during: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				rig := kqflowrig.New(kqflowrig.Config{Seed: 3, Agents: agents, Births: true, Capacity: kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 64 << 30}})
				defer rig.Stop()
				time.Sleep(3 * time.Second)
				rig.Submit(kqflow.Job{ID: watchJob, Queue: "urgent", Payload: "p", Steps: []kqflow.Step{{Count: 1, LongRunning: true, Estimate: time.Hour,
					Resources: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}}}})
				time.Sleep(5 * time.Second)
				at := (&takeover{rig}).place()
				g.Expect(at).NotTo(BeNil())
				if x.fail != nil {
					x.fail(rig, at)
				}
				at.Host.Restart(at.Name())
				g.Expect(rig.Ledger.RunningCount(watchJob)).To(BeZero())
				time.Sleep(x.during)
				if x.heal != nil {
					x.heal(rig, at)
				}
				time.Sleep(soon)
				g.Expect(rig.Ledger.RunningCount(watchJob)).To(Equal(1))
				time.Sleep(20 * time.Second)
				g.Expect(rig.Ledger.RunningCount(watchJob)).To(Equal(1))
				g.Expect(rig.Ledger.Breaches()).To(BeEmpty())
				g.Expect(rig.Counter.Breaches()).To(BeEmpty())
			})
		})
	}
}
