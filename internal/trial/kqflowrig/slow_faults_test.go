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
	usualLease = 7 * time.Second
	calmFor    = 10 * time.Second
)

// calls returns how many calls of the store were made over a time.
func (x *slow) calls(of func()) map[string]int {
	before, _ := x.rig.Store.CallCounts()
	of()
	after, _ := x.rig.Store.CallCounts()
	for k, n := range before {
		after[k] -= n
	}
	return after
}

// verdict reports what must not happen whatever the store does: breaches of the rules,
// jobs that are stored and do not end, more than one owner.
func (x *slow) verdict(t *testing.T) {
	open, bad, owners := x.open(), x.rig.Ledger.Breaches(), x.rig.Owners()
	t.Log(x)
	if open > 0 || len(bad) > 0 || owners != 1 {
		t.Errorf("%d stored jobs have not ended, %d owners, breaches: %v", open, owners, bad)
	}
	x.rig.Stop()
}

// mostWrites is how many transactions the load of calmFor took before the limits
// followed the speed of the store (760), and a twentieth more.
const mostWrites = 800

// While the store answers as usual, limits that follow its speed must cost no calls.
func TestAUsualStoreIsCalledMoreOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSlow(1, usualLease)
		n := x.calls(func() { x.load(calmFor) })
		if n["read"] > 0 || n["transact"] > mostWrites {
			t.Errorf("calls of the store in %s: %v", calmFor, n)
		}
		x.rig.Stop()
	})
}

// mostTooLate is the most jobs that ended too late with every tenth call of the owner
// hanging, in 17 runs before writes were held back while the store is slow.
const mostTooLate = 41

// Calls of the owner that hang on silent connections while the store answers others at
// once must hold up neither its other writes nor its confirmations.
func TestASilentConnectionHoldsTheOwnerUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSlow(1, usualLease)
		x.rig.Store.SetFaults(x.owner().Name(), kqrowstore.Faults{HungCalls: 0.1})
		x.load(calmFor)
		x.rig.Store.ClearFaults()
		x.load(time.Second)
		time.Sleep(8 * time.Second)
		if late := x.ends[kqplan.OutcomeTooLate].Load(); x.lost("") > 0 || x.rig.Epoch() != 1 || late > mostTooLate {
			t.Errorf("%s", x)
		}
		x.verdict(t)
	})
}

// followIn is in what time a dead owner must be followed while the store is 81 times as
// slow as usual, so that leases of 7 s are granted anew.
const followIn = 5 * time.Second

// An owner dies while the store is slow. Candidates waited for their turn to follow it
// for up to 19 s without a look at the store, so that they were not connected to the new
// owner when their leases ended.
func TestLeasesEndAfterAnOwnerDiedWhileTheStoreIsSlow(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			x := newSlow(seed, usualLease)
			x.rig.Store.SetFaults("", kqrowstore.Faults{LatencyFactor: 81})
			x.load(2 * time.Second)
			died, worker := time.Now(), x.owner().Host.Incarnation()
			x.owner().Kill()
			go x.load(6 * time.Second)
			for x.owner() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			took := time.Since(died)
			time.Sleep(8*time.Second - took)
			x.rig.Store.ClearFaults()
			x.load(2 * time.Second)
			time.Sleep(12 * time.Second)
			if lost := x.lost(string(worker)); lost > 0 || x.rig.Epoch() != 2 || took > followIn {
				t.Errorf("seed %d: followed after %s, %d runs of other workers lost; %s", seed, took, lost, x)
			}
			x.verdict(t)
		})
	}
}

// The store falls silent to the owner alone while it is slow: the owner must be replaced
// before the leases end. It gives up all runs by itself, which changes nothing, and those
// on its own worker end with their lease, since its agent stays with it.
func TestAnOwnerThatASlowStoreDoesNotAnswerKeepsTheCell(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			x := newSlow(seed, usualLease)
			x.rig.Store.SetFaults("", kqrowstore.Faults{LatencyFactor: 50})
			x.load(2 * time.Second)
			old := x.owner()
			x.rig.Store.SetFaults(old.Name(), kqrowstore.Faults{Silent: true})
			cut := time.Now()
			go x.load(6 * time.Second)
			for x.rig.Epoch() == 1 && time.Since(cut) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			took := time.Since(cut)
			time.Sleep(8*time.Second - took)
			x.rig.Store.ClearFaults()
			x.load(2 * time.Second)
			time.Sleep(12 * time.Second)
			if lost := x.lapsed(string(old.Host.Incarnation())); lost > 0 || x.rig.Epoch() != 2 || took > followIn {
				t.Errorf("seed %d: replaced after %s, %d runs of other workers lost; %s", seed, took, lost, x)
			}
			x.verdict(t)
		})
	}
}

// storedIn is in what time a job must be stored once the store is back.
const storedIn = 500 * time.Millisecond

// A store that goes from slow to unavailable must be treated as one that is
// unavailable, and be used again as soon as it is back.
func TestASlowStoreThatFallsSilentIsWaitedForTooLong(t *testing.T) {
	for _, silent := range []time.Duration{2 * time.Second, 4 * time.Second, 12 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			x := newSlow(1, usualLease)
			x.rig.Store.SetFaults("", kqrowstore.Faults{LatencyFactor: 81})
			x.load(3 * time.Second)
			x.rig.Store.SetFaults("", kqrowstore.Faults{Silent: true})
			x.load(silent)
			x.rig.Store.ClearFaults()
			back, stored := time.Now(), x.stored.Load()
			go x.load(4 * time.Second)
			for x.stored.Load() == stored {
				time.Sleep(10 * time.Millisecond)
			}
			first := time.Since(back)
			time.Sleep(16 * time.Second)
			if first > storedIn || silent < usualLease/2 && x.lost("") > 0 {
				t.Errorf("silent for %s: a job is stored after %s; %s", silent, first, x)
			}
			x.verdict(t)
		})
	}
}

// slowCancelBound is after how long a cancelled job starts nothing any more.
const slowCancelBound = 4 * time.Second

// A job that is cancelled while the store is slow, and calls of the owner hang besides,
// must not go on: the feed may be older then than while the store answers as usual.
func TestACancellationIsHeardTooLateWhileTheStoreIsSlow(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			x := newSlow(seed, usualLease)
			j := kqflow.Job{ID: x.id(), Queue: "urgent", Payload: "p"}
			for n := range 40 {
				s := step(2, 1000, 400*time.Millisecond)
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
			if bad := x.rig.Ledger.Breaches(); len(bad) > 0 {
				t.Errorf("seed %d: %v", seed, bad)
			}
			x.rig.Stop()
		})
	}
}
