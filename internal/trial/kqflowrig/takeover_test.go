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
	longRunningJobID = "00000000000000aa"
	// maxAbsence bounds the time without a run of the long-running task. It should be running again
	// 6 s after its last run; the bound adds 3 s.
	maxAbsence = 9 * time.Second
)

// takeoverRun is a cell with one long-running task.
type takeoverRun struct {
	rig *kqflowrig.Rig
}

func newTakeoverRun(seed uint64) *takeoverRun {
	x := &takeoverRun{kqflowrig.New(kqflowrig.Config{Seed: seed, Agents: 7, Capacity: kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 64 << 30}})}
	time.Sleep(3 * time.Second)
	x.rig.Submit(kqflow.Job{ID: longRunningJobID, Queue: "urgent", Payload: "p", Steps: []kqflow.Step{{Count: 1, LongRunning: true, Estimate: time.Hour,
		Resources: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}}}})
	time.Sleep(5 * time.Second)
	return x
}

// hostingAgent returns the running agent whose worker runs the task; nil if there is none.
func (x *takeoverRun) hostingAgent() *kqmachine.Machine {
	workers := x.rig.Ledger.Workers(longRunningJobID)
	for _, a := range x.rig.Agents {
		if a.IsRunning() && slices.Contains(workers, a.Host.Incarnation()) {
			return a
		}
	}
	return nil
}

func (x *takeoverRun) owner() *kqmachine.Machine {
	for _, a := range x.rig.Agents {
		if a.IsOwner() {
			return a
		}
	}
	return nil
}

// killOwner waits until the cell has an owner and kills it.
func (x *takeoverRun) killOwner() {
	for x.owner() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	x.owner().Kill()
}

// A worker is lost with its agent, and the owner is killed twice before the loss is stored. Guards
// against each new owner waiting for the full lease that its predecessor may have granted, counted
// from its own takeover, so that the task is down for several leases.
func TestASecondTakeoverWaitsAnewForTheLeaseOfALeftWorker(t *testing.T) {
	for seed := range uint64(6) {
		for _, delay := range []time.Duration{1500 * time.Millisecond, 3 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				x := newTakeoverRun(seed)
				killedAt := time.Now()
				x.hostingAgent().Kill()
				x.killOwner()
				time.Sleep(delay)
				x.killOwner()
				for x.hostingAgent() == nil && time.Since(killedAt) < time.Minute {
					time.Sleep(20 * time.Millisecond)
				}
				if absence := time.Since(killedAt); absence > maxAbsence {
					t.Errorf("seed %d, second owner killed after %s: the long-running task runs again after %s, at most %s is allowed", seed, delay, absence, maxAbsence)
				}
				time.Sleep(10 * time.Second)
				x.rig.Stop()
				if breaches := x.rig.Ledger.Breaches(); len(breaches) > 0 {
					t.Errorf("seed %d: %v", seed, breaches)
				}
			})
		}
	}
}

// The second of three owners grants a worker a lease, then the worker is isolated and the owner
// killed. Guards against the third owner starting the task elsewhere before that lease has ended.
func TestAfterTwoTakeoversTheLeaseOfACutOffWorkerIsWaitedFor(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			x := newTakeoverRun(seed)
			for x.owner() == x.hostingAgent() {
				x.killOwner()
				time.Sleep(12 * time.Second)
			}
			x.killOwner()
			time.Sleep(6 * time.Second)
			x.rig.Network.SetIsolated(x.hostingAgent().Name(), true)
			x.killOwner()
			time.Sleep(20 * time.Second)
			if n := x.rig.Ledger.RunningCount(longRunningJobID); n != 1 {
				t.Errorf("seed %d: %d runs of the long-running task", seed, n)
			}
			x.rig.Stop()
			if breaches := x.rig.Ledger.Breaches(); len(breaches) > 0 {
				t.Errorf("seed %d: %v", seed, breaches)
			}
		})
	}
}
