package kqflowrig_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
)

// maxReplacementTime leaves most of the shortest lease of the given sites, 5.76 s, to the successor's
// loading and first grants.
const maxReplacementTime = 2 * time.Second

// The owner falls silent in every direction, as a frozen process does, or loses only the store.
// Guards against a successor that comes so late that leases end.
func TestASilentOwnerIsReplacedLate(t *testing.T) {
	for name, isolated := range map[string]bool{"silent": true, "without the store": false} {
		t.Run(name, func(t *testing.T) {
			var total, longest time.Duration
			const seeds = 6
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					x := &slowStoreRun{events: kqevent.New(kqevent.Config{MaxEvents: keptEvents})}
					x.rig = kqflowrig.New(kqflowrig.Config{Seed: seed, Agents: slowAgents, Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30}, Events: x.events})
					time.Sleep(6*time.Second + time.Duration(seed)*70*time.Millisecond)
					owner, epoch, began := x.owner(), x.rig.Epoch(), time.Now()
					x.rig.Store.SetFaults(owner.Name(), kqrowstore.Faults{Silent: true})
					x.rig.Network.SetIsolated(owner.Name(), isolated)
					for x.rig.Epoch() == epoch && time.Since(began) < 20*time.Second {
						time.Sleep(10 * time.Millisecond)
					}
					took := time.Since(began)
					total, longest = total+took, max(longest, took)
					x.rig.Stop()
				})
			}
			t.Logf("replaced after %s on average, at most %s", (total / seeds).Round(10*time.Millisecond), longest.Round(10*time.Millisecond))
			if longest > maxReplacementTime {
				t.Errorf("replaced after %s, at most %s is allowed", longest, maxReplacementTime)
			}
		})
	}
}
