package kqflowrig_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
)

// slowStore is a store 60 times slower than usual that carries the transactions of
// a cell out one after another.
var slowStore = kqrowstore.Faults{Delay: 240 * time.Millisecond, SerialTime: 240 * time.Millisecond}

// takeovers runs a large cell while the store is slow for some seconds; strike is called a
// second into it. It returns how many owners there were and how many there are in
// the end.
func takeovers(seed uint64, strike func(*kqflowrig.Rig)) (owners uint64, at int) {
	rig := kqflowrig.New(kqflowrig.Config{Seed: seed, Agents: 120, Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30}})
	time.Sleep(4 * time.Second)
	rig.Store.SetFaults("", slowStore)
	time.Sleep(time.Second)
	strike(rig)
	time.Sleep(12 * time.Second)
	rig.Store.ClearFaults()
	time.Sleep(4 * time.Second)
	owners, at = rig.Epoch(), rig.Owners()
	rig.Stop()
	return owners, at
}

// The owner dies while the store is slow. A hundred agents that all write at once to
// follow it keep out the beats of the one that does, so that it is followed in turn.
func TestAnOwnerLostWhileTheStoreIsSlowIsFollowedByOne(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			owners, at := takeovers(seed, func(r *kqflowrig.Rig) {
				for _, a := range r.Agents {
					if a.IsOwner() {
						a.Kill()
					}
				}
			})
			if owners != 2 || at != 1 {
				t.Errorf("seed %d: %d owners one after another, %d in the end, for one loss", seed, owners, at)
			}
		})
	}
}
