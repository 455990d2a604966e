package kqflowrig_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// All agents are killed and restarted, and answers of the store then take a little longer than the
// time limit of a read of the ownership, as on a busy machine. Guards against processes that have
// no measured response time yet and so never wait for an answer: no one takes the cell.
func TestAgentsThatHaveNoMeasurementTakeNoCellWhileAnswersAreLate(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			x := newTakeoverRun(seed)
			for _, a := range x.rig.Agents {
				a.Kill()
			}
			x.rig.Store.SetFaults("", kqrowstore.Faults{Delay: 800 * time.Millisecond})
			for _, a := range x.rig.Agents {
				if err := a.Start(); err != nil {
					t.Fatal(err)
				}
			}
			began := time.Now()
			for x.owner() == nil && time.Since(began) < time.Minute {
				time.Sleep(20 * time.Millisecond)
			}
			if took := time.Since(began); took > maxAbsence {
				t.Errorf("seed %d: the cell has an owner after %s, at most %s is allowed", seed, took, maxAbsence)
			}
			x.rig.Store.ClearFaults()
			x.rig.Stop()
		})
	}
}

// Answers of the store take longer than the time limits of heartbeats and confirming reads, as on a
// busy machine, and shorter than a lease. Guards against an owner that gives up each call before its
// answer, so that nothing confirms it and all leases end.
func TestAnOwnerWhoseAnswersAreLateIsNeverConfirmed(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			x := newTakeoverRun(seed)
			x.rig.Store.SetFaults("", kqrowstore.Faults{Delay: 1300 * time.Millisecond})
			var lapsedAt time.Time
			for began := time.Now(); time.Since(began) < time.Minute; time.Sleep(20 * time.Millisecond) {
				switch {
				case x.rig.Ledger.RunningCount(longRunningJobID) > 0:
					lapsedAt = time.Time{}
				case lapsedAt.IsZero():
					lapsedAt = time.Now()
				case time.Since(lapsedAt) > maxAbsence:
					t.Errorf("seed %d: the long-running task is away for more than %s", seed, maxAbsence)
					began = time.Time{}
				}
			}
			x.rig.Store.ClearFaults()
			x.rig.Stop()
		})
	}
}
