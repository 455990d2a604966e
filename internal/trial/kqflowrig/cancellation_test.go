package kqflowrig_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
)

// cancelBound is the time after a stored cancellation from which the job must not start tasks.
const cancelBound = 2500 * time.Millisecond

// A job is cancelled right after an outage of the store. The outages take 6 to 12 s, so that they end
// at different points of the owner's feed calls. Guards against a feed that delivers the
// cancellation so late that the job starts further steps.
func TestACancellationAfterAnOutageIsHeardInTime(t *testing.T) {
	for outage := 6 * time.Second; outage < 12*time.Second; outage += 400 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			rig := kqflowrig.New(kqflowrig.Config{Seed: 1, Agents: agentCount, Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30}})
			time.Sleep(3 * time.Second)
			s := kqflow.Step{Count: 2, Resources: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}, Estimate: 700 * time.Millisecond}
			j := kqflow.Job{ID: fmt.Sprintf("%016x", 1), Queue: "urgent", Payload: "p"}
			for n := range 30 {
				if n > 0 {
					s.After = []int{n - 1}
				}
				j.Steps = append(j.Steps, s)
			}
			rig.Submit(j)
			rig.Store.SetFaults("", kqrowstore.Faults{Silent: true})
			time.Sleep(outage)
			rig.Store.ClearFaults()
			for !rig.Cancel(j.ID) {
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(cancelBound)
			rig.Ledger.ForbidStarts(j.ID)
			time.Sleep(5 * time.Second)
			rig.Stop()
			if breaches := rig.Ledger.Breaches(); len(breaches) > 0 {
				t.Errorf("store outage of %s: %v", outage, breaches)
			}
		})
	}
}
