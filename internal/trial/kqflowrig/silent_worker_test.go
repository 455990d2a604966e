package kqflowrig_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqtaskhost"
)

// A worker stops answering its agent, which stays connected to the owner. Guards against leases that
// are granted but cannot be passed on to the worker: they keep the owner from giving up a run that
// has lapsed.
func TestATaskOfAWorkerThatDoesNotAnswerItsConnectedAgentRunsAgain(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			x := newTakeoverRun(seed)
			x.hostingAgent().Host.SetFaults(kqtaskhost.Faults{Down: true})
			for x.rig.Ledger.RunningCount(longRunningJobID) > 0 {
				time.Sleep(20 * time.Millisecond)
			}
			lapsedAt := time.Now()
			for x.rig.Ledger.RunningCount(longRunningJobID) == 0 && time.Since(lapsedAt) < time.Minute {
				time.Sleep(20 * time.Millisecond)
			}
			if absence := time.Since(lapsedAt); absence > maxAbsence {
				t.Errorf("seed %d: the long-running task runs again %s after its run lapsed, at most %s is allowed", seed, absence, maxAbsence)
			}
			x.rig.Stop()
			if breaches := x.rig.Ledger.Breaches(); len(breaches) > 0 {
				t.Errorf("seed %d: %v", seed, breaches)
			}
		})
	}
}
