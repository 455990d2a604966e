package kqflowrig_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
)

// slowStore makes the store 60 times slower than usual and lets it carry out all transactions one
// after another.
var slowStore = kqrowstore.Faults{Delay: 240 * time.Millisecond, SerialTime: 240 * time.Millisecond}

// runTakeover runs a large cell whose store is slow for 13 s, and calls inject one second after that
// begins. It returns the epoch, which is the number of owners so far, and the number of owners at
// the end.
func runTakeover(seed uint64, inject func(*kqflowrig.Rig)) (epoch uint64, finalOwners int) {
	rig := kqflowrig.New(kqflowrig.Config{Seed: seed, Agents: 120, Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30}})
	time.Sleep(4 * time.Second)
	rig.Store.SetFaults("", slowStore)
	time.Sleep(time.Second)
	inject(rig)
	time.Sleep(12 * time.Second)
	rig.Store.ClearFaults()
	time.Sleep(4 * time.Second)
	epoch, finalOwners = rig.Epoch(), rig.OwnerCount()
	rig.Stop()
	return epoch, finalOwners
}

// The owner of a cell of 120 agents is killed while the store is slow. Guards against all agents
// trying to acquire the cell at once: their writes delay the confirmations of the one that succeeds,
// which loses the cell to the next.
func TestAnOwnerLostWhileTheStoreIsSlowIsFollowedByOne(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			epoch, finalOwners := runTakeover(seed, func(r *kqflowrig.Rig) {
				for _, a := range r.Agents {
					if a.IsOwner() {
						a.Kill()
					}
				}
			})
			if epoch != 2 || finalOwners != 1 {
				t.Errorf("seed %d: epoch %d and %d owners after the loss of one owner", seed, epoch, finalOwners)
			}
		})
	}
}
