package kqflowrig_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
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

func newTakeoverRun(seed uint64) *takeoverRun { return newTakeoverRunWithLease(seed, defaultLease) }

func newTakeoverRunWithLease(seed uint64, lease time.Duration) *takeoverRun {
	return newTakeoverRunOf(kqflowrig.Config{Seed: seed, Lease: lease})
}

func newTakeoverRunOf(c kqflowrig.Config) *takeoverRun {
	c.Agents, c.Capacity = 7, kqmodel.Resources{MilliProcessors: 8000, MemoryBytes: 64 << 30}
	x := &takeoverRun{kqflowrig.New(c)}
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

// killOwner waits until the cell has an owner, kills it and returns it.
func (x *takeoverRun) killOwner() *kqmachine.Machine {
	owner := x.owner()
	for ; owner == nil; owner = x.owner() {
		time.Sleep(20 * time.Millisecond)
	}
	owner.Kill()
	return owner
}

// restartExcept stops all processes and starts them again, except those of some machines.
func (x *takeoverRun) restartExcept(stop func(*kqmachine.Machine), machines ...*kqmachine.Machine) {
	for _, a := range x.rig.Agents {
		if !slices.Contains(machines, a) {
			stop(a)
		}
	}
	time.Sleep(restartTime)
	for _, a := range x.rig.Agents {
		if !slices.Contains(machines, a) {
			restart(a)()
		}
	}
}

// awaitRun waits until the task runs, at most a minute from a time on.
func (x *takeoverRun) awaitRun(from time.Time) {
	for x.rig.Ledger.RunningCount(longRunningJobID) == 0 && time.Since(from) < time.Minute {
		time.Sleep(20 * time.Millisecond)
	}
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
				killed := x.killOwner()
				time.Sleep(12 * time.Second)
				restart(killed)()
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

// restartTime is the time from the kill of all processes until they are started again.
const restartTime = 300 * time.Millisecond

// A machine is lost, and all other processes are killed and started again before the owner has given
// the lost one up. Guards against a new owner that has read no earlier epoch and counts the full lease of
// the lost machine from its own takeover.
func TestAllProcessesRestartWhileTheLeaseOfALostMachineRuns(t *testing.T) {
	for _, lease := range []time.Duration{defaultLease, shortLease} {
		for _, delay := range []time.Duration{0, 2 * time.Second, 5 * time.Second} {
			for _, loseOwner := range []bool{false, true} {
				t.Run(fmt.Sprintf("lease %s, restart after %s, owner lost %t", lease, delay, loseOwner), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { loseMachineAndRestart(t, lease, delay, loseOwner) })
				})
			}
		}
	}
}

// loseMachineAndRestart loses the machine that runs the task, restarts all other processes after a
// delay, except that of the owner if its machine is lost too, and checks when the task runs again.
func loseMachineAndRestart(t *testing.T, lease, delay time.Duration, loseOwner bool) {
	x := newTakeoverRunWithLease(1, lease)
	lostAt, lost := time.Now(), []*kqmachine.Machine{x.hostingAgent()}
	lost[0].Kill()
	lost[0].Host.Restart(lost[0].Name())
	time.Sleep(delay)
	if owner := x.owner(); loseOwner && owner != nil {
		lost = append(lost, owner)
		owner.Kill()
	}
	x.restartExcept(kill, lost...)
	restartedAt := time.Now()
	x.awaitRun(lostAt)
	absence, calm := time.Since(lostAt), time.Since(restartedAt)
	t.Logf("the long-running task runs again after %s, calm for %s", absence, calm)
	if absence > maxAbsence && calm > calmTime {
		t.Errorf("the long-running task runs again after %s, of which the last %s were calm; at most %s is allowed", absence, calm, maxAbsence)
	}
	x.rig.Stop()
	if breaches := x.rig.Ledger.Breaches(); len(breaches) > 0 {
		t.Error(breaches)
	}
}

// The owner's machine is lost with the task at the start of a store outage. Guards against a new owner
// that counts the full lease of the lost machine from its own takeover, which the outage delays, although
// the store confirmed no owner meanwhile.
func TestTheOwnersMachineIsLostDuringAStoreOutage(t *testing.T) {
	for _, lease := range []time.Duration{defaultLease, shortLease} {
		for _, outage := range []time.Duration{4 * time.Second, 8 * time.Second} {
			t.Run(fmt.Sprintf("lease %s, outage of %s", lease, outage), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { loseOwnerDuringOutage(t, lease, outage) })
			})
		}
	}
}

func loseOwnerDuringOutage(t *testing.T, lease, outage time.Duration) {
	x := newTakeoverRunWithLease(1, lease)
	for x.owner() != x.hostingAgent() {
		owner := x.owner()
		x.killOwner()
		time.Sleep(2 * time.Second)
		restart(owner)()
		time.Sleep(10 * time.Second)
	}
	x.rig.Store.SetFaults("", kqrowstore.Faults{Refuse: true})
	time.Sleep(200 * time.Millisecond)
	lostAt, lost := time.Now(), x.owner()
	lost.Kill()
	lost.Host.Restart(lost.Name())
	time.Sleep(outage)
	x.rig.Store.ClearFaults()
	calmAt := time.Now()
	x.awaitRun(lostAt)
	absence, calm := time.Since(lostAt), time.Since(calmAt)
	t.Logf("the long-running task runs again after %s, calm for %s", absence, calm)
	if absence > maxAbsence && calm > calmTime {
		t.Errorf("the long-running task runs again after %s, of which the last %s were calm; at most %s is allowed", absence, calm, maxAbsence)
	}
	x.rig.Stop()
}

// A machine is lost, and all other processes are started again several times before its lease has ended.
// Guards against each new owner counting the full lease of the lost machine from its own takeover: it has
// read no earlier epoch, and the owner before it has granted the machine nothing.
func TestEachOfSeveralOwnersWaitsAnewForTheLeaseOfALostMachine(t *testing.T) {
	for _, c := range []struct {
		owners       int
		first, every time.Duration // from the loss to the first restart, and between two restarts
	}{{3, 0, time.Second}, {3, 3 * time.Second, 2 * time.Second}, {4, 0, 1500 * time.Millisecond}, {4, time.Second, time.Second}, {6, 0, time.Second}, {6, 2 * time.Second, 700 * time.Millisecond}} {
		for name, stop := range map[string]func(*kqmachine.Machine){"killed": kill, "shut down": (*kqmachine.Machine).Shutdown} {
			t.Run(fmt.Sprintf("%d owners %s, first after %s, then every %s", c.owners, name, c.first, c.every), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					x := newTakeoverRun(1)
					lostAt, lost := time.Now(), x.hostingAgent()
					lost.Kill()
					lost.Host.Restart(lost.Name())
					time.Sleep(c.first)
					for n := range c.owners - 1 {
						if n > 0 {
							time.Sleep(c.every)
						}
						x.restartExcept(stop, lost)
					}
					x.awaitRun(lostAt)
					if absence := time.Since(lostAt); absence > maxAbsence {
						t.Errorf("the long-running task runs again after %s, at most %s is allowed", absence, maxAbsence)
					}
					x.rig.Stop()
					if breaches := x.rig.Ledger.Breaches(); len(breaches) > 0 {
						t.Error(breaches)
					}
				})
			})
		}
	}
}

// The second of several owners grants a worker a lease before the worker is isolated, in some cases for
// the second time, and then all other processes are started again several times. Guards against owners that
// count that lease from an earlier grant or takeover, and start the task elsewhere before it has ended.
func TestTheLeaseThatTheSecondOfSeveralOwnersGrantedIsWaitedFor(t *testing.T) {
	for _, c := range []struct {
		earlier, delay, every time.Duration // of an earlier isolation; from the last one to the first restart; between two restarts
		owners                int
	}{{0, 0, time.Second, 4}, {0, 2 * time.Second, time.Second, 3}, {3 * time.Second, 0, time.Second, 4}, {3 * time.Second, 0, 300 * time.Millisecond, 6},
		{1200 * time.Millisecond, 0, 2 * time.Second, 3}, {3 * time.Second, 2 * time.Second, time.Second, 3}, {0, 900 * time.Millisecond, time.Second, 5}, {0, 1200 * time.Millisecond, time.Second, 4}} {
		t.Run(fmt.Sprintf("isolated for %s before, first restart after %s, then every %s, %d owners", c.earlier, c.delay, c.every, c.owners), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newTakeoverRun(1)
				for x.owner() == x.hostingAgent() {
					killed := x.killOwner()
					time.Sleep(12 * time.Second)
					restart(killed)()
				}
				host := x.hostingAgent()
				x.restartExcept(kill, host)
				time.Sleep(3 * time.Second)
				if c.earlier > 0 {
					x.rig.Network.SetIsolated(host.Name(), true)
					time.Sleep(c.earlier)
					x.rig.Network.ReconnectAll()
					time.Sleep(3 * time.Second)
				}
				isolatedAt := time.Now()
				x.rig.Network.SetIsolated(host.Name(), true)
				time.Sleep(c.delay)
				for n := range c.owners - 2 {
					if n > 0 {
						time.Sleep(c.every)
					}
					x.restartExcept(kill, host)
				}
				for x.rig.Ledger.RunningCount(longRunningJobID) > 0 && time.Since(isolatedAt) < maxAbsence {
					time.Sleep(20 * time.Millisecond)
				}
				if held := time.Since(isolatedAt); held < defaultLease-time.Second {
					t.Errorf("the worker's lease ended %s after the isolation: it was not renewed", held)
				}
				// A worker that only seems to be lost is waited for no longer than one that is.
				x.awaitRun(isolatedAt)
				if absence := time.Since(isolatedAt); absence > maxAbsence {
					t.Errorf("the long-running task runs again after %s, at most %s is allowed", absence, maxAbsence)
				}
				time.Sleep(12 * time.Second)
				if n := x.rig.Ledger.RunningCount(longRunningJobID); n != 1 {
					t.Errorf("%d runs of the long-running task", n)
				}
				x.rig.Stop()
				if breaches := x.rig.Ledger.Breaches(); len(breaches) > 0 {
					t.Error(breaches)
				}
			})
		})
	}
}
