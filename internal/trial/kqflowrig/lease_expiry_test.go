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

// The store does not answer for 7 to 12 s, at least as long as a lease, while a start order is
// unanswered and the agents stay connected. The owner then declares the run lost and starts the task
// elsewhere. Guards against an agent that still begins the old run once its lease is renewed.
func TestARunGivenUpWithItsLeaseIsNotBegunWhenTheLeaseIsRenewed(t *testing.T) {
	for outage := 7 * time.Second; outage < 12*time.Second; outage += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			rig := kqflowrig.New(kqflowrig.Config{Seed: uint64(outage / time.Millisecond), Agents: agentCount, Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30}})
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
			if breaches := rig.Ledger.Breaches(); len(breaches) > 0 {
				t.Errorf("store outage of %s: %d breaches, first %v", outage, len(breaches), breaches[0])
			}
		})
	}
}
