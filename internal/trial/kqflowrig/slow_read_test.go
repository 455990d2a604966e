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
