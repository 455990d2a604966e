package kqflowrig_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqtaskhost"
)

// A worker does not answer its agent for 20 s, and other workers have room. Guards against an owner
// that goes on granting the worker leases, which do not reach it: the long-running task ends there
// and runs again only once the worker answers.
func TestATaskOfAWorkerThatDoesNotAnswerRunsAgainElsewhere(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			x := newTakeoverRun(seed)
			a := x.hostingAgent()
			a.Host.SetFaults(kqtaskhost.Faults{Down: true})
			time.AfterFunc(20*time.Second, func() { a.Host.SetFaults(kqtaskhost.Faults{}) })
			downAt := time.Now()
			for x.hostingAgent() == a && time.Since(downAt) < time.Minute {
				time.Sleep(20 * time.Millisecond)
			}
			endedAt := time.Now()
			for x.hostingAgent() == nil && time.Since(endedAt) < time.Minute {
				time.Sleep(20 * time.Millisecond)
			}
			absence := time.Since(endedAt)
			t.Logf("seed %d: the run ended after %s, the task ran again %s later", seed, endedAt.Sub(downAt), absence)
			if absence > maxAbsence {
				t.Errorf("seed %d: the long-running task runs again after %s, at most %s is allowed", seed, absence, maxAbsence)
			}
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

// A worker does not answer its agent for a second less than its lease lasts at least. Guards against
// an agent that requests no lease meanwhile and does not renew the lease in time once the worker
// answers.
func TestAWorkerThatAnswersBeforeItsLeaseEndsKeepsItsTask(t *testing.T) {
	for seed := range uint64(6) {
		for _, outage := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				x := newTakeoverRun(seed)
				a, starts := x.hostingAgent(), x.rig.Ledger.StartCount()
				a.Host.SetFaults(kqtaskhost.Faults{Down: true})
				time.Sleep(outage)
				a.Host.SetFaults(kqtaskhost.Faults{})
				time.Sleep(20 * time.Second)
				if x.hostingAgent() != a || x.rig.Ledger.StartCount() != starts {
					t.Errorf("seed %d: the task was started anew after the worker had not answered for %s", seed, outage)
				}
				x.rig.Stop()
				if breaches := x.rig.Ledger.Breaches(); len(breaches) > 0 {
					t.Errorf("seed %d: %v", seed, breaches)
				}
			})
		}
	}
}
