package kqflowrig_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqtaskhost"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
)

// The store is silent for longer than a lease while a start waits for its answer
// and the agents stay connected: the owner gives the run up and starts the task
// elsewhere, so the agent must not begin it once its lease is renewed.
func TestARunGivenUpWithItsLeaseIsNotBegunWhenTheLeaseIsRenewed(t *testing.T) {
	for outage := 7 * time.Second; outage < 12*time.Second; outage += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			rig := kqflowrig.New(kqflowrig.Config{Seed: uint64(outage / time.Millisecond), Agents: agents, Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30}})
			time.Sleep(3 * time.Second)
			for _, a := range rig.Agents {
				a.Host.SetFaults(kqtaskhost.Faults{Down: true})
			}
			s := kqflow.Step{Count: 4, Resources: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}, Estimate: 4 * time.Second}
			rig.Submit(kqflow.Job{ID: fmt.Sprintf("%016x", 1), Queue: "urgent", Payload: "p", Steps: []kqflow.Step{s}})
			time.Sleep(200 * time.Millisecond)
			rig.Store.SetFaults("", kqrowstore.Faults{Silent: true})
			time.Sleep(outage)
			for _, a := range rig.Agents {
				a.Host.SetFaults(kqtaskhost.Faults{})
			}
			rig.Store.ClearFaults()
			time.Sleep(15 * time.Second)
			rig.Stop()
			if bad := rig.Ledger.Breaches(); len(bad) > 0 {
				t.Errorf("outage of %s: %d breaches, first %v", outage, len(bad), bad[0])
			}
		})
	}
}
