package kqflowrig_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

const (
	defaultLease    = 7 * time.Second
	defaultLoadTime = 10 * time.Second
)

// storeCalls returns the number of store calls of each kind that are made while a function runs.
func (x *slowStoreRun) storeCalls(during func()) map[string]int {
	before, _ := x.rig.Store.CallCounts()
	during()
	after, _ := x.rig.Store.CallCounts()
	for k, n := range before {
		after[k] -= n
	}
	return after
}

// checkAndStop fails the test for what must not happen under any fault of the store: breaches of the
// ledger's rules, stored jobs that do not end, or a number of owners other than one. It stops the
// cell.
func (x *slowStoreRun) checkAndStop(t *testing.T) {
	unfinished, breaches, owners := x.unfinishedJobs(), x.rig.Ledger.Breaches(), x.rig.OwnerCount()
	t.Log(x)
	if unfinished > 0 || len(breaches) > 0 || owners != 1 {
		t.Errorf("%d stored jobs have not ended, %d owners, breaches: %v", unfinished, owners, breaches)
	}
	x.rig.Stop()
}

// maxTransactions bounds the transactions during the load of defaultLoadTime. With fixed store
// timeouts there are 760; the bound allows a twentieth more.
const maxTransactions = 800

// The owner adapts its store timeouts to the store's latency. Guards against additional store calls
// caused by this while the store answers at its usual latency.
func TestAUsualStoreIsCalledMoreOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSlowStoreRun(1, defaultLease)
		calls := x.storeCalls(func() { x.submitJobs(defaultLoadTime) })
		if calls["read"] > 0 || calls["transact"] > maxTransactions {
			t.Errorf("store calls within %s: %v", defaultLoadTime, calls)
		}
		x.stop()
	})
}

// maxTooLateJobs bounds the jobs that end too late while one in ten of the owner's store calls hangs.
// It is the maximum over 17 runs of an owner that did not hold back writes while the store is slow.
const maxTooLateJobs = 41

// One in ten of the owner's store calls hangs on a connection without response, while the store
// answers all others at once. Guards against hanging calls that delay the owner's other writes, or
// the writes that confirm its ownership, until it loses the cell or runs.
func TestASilentConnectionHoldsTheOwnerUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSlowStoreRun(1, defaultLease)
		x.rig.Store.SetFaults(x.owner().Name(), kqrowstore.Faults{HungCalls: 0.1})
		x.submitJobs(defaultLoadTime)
		x.rig.Store.ClearFaults()
		x.submitJobs(time.Second)
		time.Sleep(8 * time.Second)
		if tooLate := x.outcomes[kqplan.OutcomeTooLate].Load(); x.lostRuns("") > 0 || x.rig.Epoch() != 1 || tooLate > maxTooLateJobs {
			t.Errorf("%s", x)
		}
		x.checkAndStop(t)
	})
}

// maxTakeoverTime is the time within which a new owner must acquire the cell while the store is up to
// 81 times as slow as usual, so that leases of 7 s are renewed before they end.
const maxTakeoverTime = 5 * time.Second

// The owner is killed while the store is slow. Guards against candidates that wait for their turn to
// acquire the cell for up to 19 s without reading the store: they connect to the new owner only
// after their leases have ended, and their runs are lost.
func TestLeasesEndAfterAnOwnerDiedWhileTheStoreIsSlow(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			x := newSlowStoreRun(seed, defaultLease)
			x.rig.Store.SetFaults("", kqrowstore.Faults{LatencyFactor: 81})
			x.submitJobs(2 * time.Second)
			killedAt, worker := time.Now(), x.owner().Host.Incarnation()
			x.owner().Kill()
			go x.submitJobs(6 * time.Second)
			for x.owner() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			takeoverTime := time.Since(killedAt)
			time.Sleep(8*time.Second - takeoverTime)
			x.rig.Store.ClearFaults()
			x.submitJobs(2 * time.Second)
			time.Sleep(12 * time.Second)
			if lost := x.lostRuns(string(worker)); lost > 0 || x.rig.Epoch() != 2 || takeoverTime > maxTakeoverTime {
				t.Errorf("seed %d: new owner after %s, %d runs of other workers lost; %s", seed, takeoverTime, lost, x)
			}
			x.checkAndStop(t)
		})
	}
}

// The store is slow and then stops answering the owner alone. Guards against an owner that keeps the
// cell so long that leases end. The old owner declares all runs lost on its own, which has no effect,
// so only runs that end with their lease count. Those on the old owner's worker are excluded: its
// agent stays connected to the old owner, so they end with their lease.
func TestAnOwnerThatASlowStoreDoesNotAnswerKeepsTheCell(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			x := newSlowStoreRun(seed, defaultLease)
			x.rig.Store.SetFaults("", kqrowstore.Faults{LatencyFactor: 50})
			x.submitJobs(2 * time.Second)
			old := x.owner()
			x.rig.Store.SetFaults(old.Name(), kqrowstore.Faults{Silent: true})
			silentSince := time.Now()
			go x.submitJobs(6 * time.Second)
			for x.rig.Epoch() == 1 && time.Since(silentSince) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			takeoverTime := time.Since(silentSince)
			time.Sleep(8*time.Second - takeoverTime)
			x.rig.Store.ClearFaults()
			x.submitJobs(2 * time.Second)
			time.Sleep(12 * time.Second)
			if expired := x.expiredRuns(string(old.Host.Incarnation())); expired > 0 || x.rig.Epoch() != 2 || takeoverTime > maxTakeoverTime {
				t.Errorf("seed %d: new owner after %s, %d runs of other workers ended with their lease; %s", seed, takeoverTime, expired, x)
			}
			x.checkAndStop(t)
		})
	}
}

// maxStoreTime is the time within which a job must be stored after the store has recovered.
const maxStoreTime = 500 * time.Millisecond

// The store is slow and then stops answering altogether. Guards against processes that go on waiting
// with the long timeouts of a slow store: they would not use the store as soon as it answers again,
// and a silence shorter than half a lease would lose runs.
func TestASlowStoreThatFallsSilentIsWaitedForTooLong(t *testing.T) {
	for _, silence := range []time.Duration{2 * time.Second, 4 * time.Second, 12 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			x := newSlowStoreRun(1, defaultLease)
			x.rig.Store.SetFaults("", kqrowstore.Faults{LatencyFactor: 81})
			x.submitJobs(3 * time.Second)
			x.rig.Store.SetFaults("", kqrowstore.Faults{Silent: true})
			x.submitJobs(silence)
			x.rig.Store.ClearFaults()
			recoveredAt, stored := time.Now(), x.stored.Load()
			go x.submitJobs(4 * time.Second)
			for x.stored.Load() == stored {
				time.Sleep(10 * time.Millisecond)
			}
			storeTime := time.Since(recoveredAt)
			time.Sleep(16 * time.Second)
			if storeTime > maxStoreTime || silence < defaultLease/2 && x.lostRuns("") > 0 {
				t.Errorf("store silent for %s: first job stored %s after it recovered; %s", silence, storeTime, x)
			}
			x.checkAndStop(t)
		})
	}
}

// slowCancelBound is the time after a stored cancellation from which the job must not start tasks
// while the store is slow. It is longer than cancelBound since the owner's feed may lag more.
const slowCancelBound = 4 * time.Second

// A job is cancelled while the store is slow and three in ten of the owner's calls hang. Guards
// against an owner whose feed lags so far behind that the cancelled job starts further steps after
// slowCancelBound.
func TestACancellationIsHeardTooLateWhileTheStoreIsSlow(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			x := newSlowStoreRun(seed, defaultLease)
			j := kqflow.Job{ID: x.newID(), Queue: "urgent", Payload: "p"}
			for n := range 40 {
				s := newStep(2, 1000, 400*time.Millisecond)
				if n > 0 {
					s.After = []int{n - 1}
				}
				j.Steps = append(j.Steps, s)
			}
			x.submit(j)
			x.rig.Store.SetFaults("", kqrowstore.Faults{LatencyFactor: 100})
			x.rig.Store.SetFaults(x.owner().Name(), kqrowstore.Faults{LatencyFactor: 100, HungCalls: 0.3})
			time.Sleep(time.Duration(1000+100*seed) * time.Millisecond)
			for !x.rig.Cancel(j.ID) {
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(slowCancelBound)
			x.rig.Ledger.ForbidStarts(j.ID)
			time.Sleep(3 * time.Second)
			x.rig.Store.ClearFaults()
			time.Sleep(3 * time.Second)
			if breaches := x.rig.Ledger.Breaches(); len(breaches) > 0 {
				t.Errorf("seed %d: %v", seed, breaches)
			}
			x.rig.Stop()
		})
	}
}
