package kqflowrig_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqmachine"
)

const (
	watchJob = "00000000000000aa"
	// standingAway is for how long a standing task may be away: it must be back
	// 6 s after its last run, with 3 s to spare.
	standingAway = 9 * time.Second
)

// takeover is a cell with one standing task.
type takeover struct {
	rig *kqflowrig.Rig
}

func newTakeover(seed uint64) *takeover {
	x := &takeover{kqflowrig.New(kqflowrig.Config{Seed: seed, Agents: 7, Capacity: kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 64 << 30}})}
	time.Sleep(3 * time.Second)
	x.rig.Submit(kqflow.Job{ID: watchJob, Queue: "urgent", Payload: "p", Steps: []kqflow.Step{{Count: 1, LongRunning: true, Estimate: time.Hour,
		Resources: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}}}})
	time.Sleep(5 * time.Second)
	return x
}

// place returns the agent whose worker runs the task; nil if none does.
func (x *takeover) place() *kqmachine.Machine {
	workers := x.rig.Ledger.Workers(watchJob)
	for _, a := range x.rig.Agents {
		if a.IsRunning() && slices.Contains(workers, a.Host.Incarnation()) {
			return a
		}
	}
	return nil
}

func (x *takeover) owner() *kqmachine.Machine {
	for _, a := range x.rig.Agents {
		if a.IsOwner() {
			return a
		}
	}
	return nil
}

// killOwner ends the owner, once there is one.
func (x *takeover) killOwner() {
	for x.owner() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	x.owner().Kill()
}

// A worker leaves with its agent, and the owner changes twice before anything of
// it is stored: each owner waited for the lease that the last one might have
// granted.
func TestASecondTakeoverWaitsAnewForTheLeaseOfALeftWorker(t *testing.T) {
	for seed := range uint64(6) {
		for _, second := range []time.Duration{1500 * time.Millisecond, 3 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				x := newTakeover(seed)
				left := time.Now()
				x.place().Kill()
				x.killOwner()
				time.Sleep(second)
				x.killOwner()
				for x.place() == nil && time.Since(left) < time.Minute {
					time.Sleep(20 * time.Millisecond)
				}
				if away := time.Since(left); away > standingAway {
					t.Errorf("seed %d, second owner gone after %s: the standing task is back after %s, %s are allowed", seed, second, away, standingAway)
				}
				time.Sleep(10 * time.Second)
				x.rig.Stop()
				if bad := x.rig.Ledger.Breaches(); len(bad) > 0 {
					t.Errorf("seed %d: %v", seed, bad)
				}
			})
		}
	}
}

// A worker that the middle one of three owners granted a lease is cut off as
// that owner dies: the task must not run elsewhere before that lease has ended.
func TestAfterTwoTakeoversTheLeaseOfACutOffWorkerIsWaitedFor(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			x := newTakeover(seed)
			for x.owner() == x.place() {
				x.killOwner()
				time.Sleep(12 * time.Second)
			}
			x.killOwner()
			time.Sleep(6 * time.Second)
			x.rig.Network.Cut(x.place().Name(), true)
			x.killOwner()
			time.Sleep(20 * time.Second)
			if n := x.rig.Ledger.RunningCount(watchJob); n != 1 {
				t.Errorf("seed %d: %d runs of the standing task", seed, n)
			}
			x.rig.Stop()
			if bad := x.rig.Ledger.Breaches(); len(bad) > 0 {
				t.Errorf("seed %d: %v", seed, bad)
			}
		})
	}
}
