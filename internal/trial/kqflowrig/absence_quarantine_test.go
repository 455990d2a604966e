package kqflowrig_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqtaskhost"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
)

// quarantineRun is a cell of three workers of 16 processors with one long-running task of 3.
type quarantineRun struct {
	*absenceRun
	submitted int
}

func newQuarantineRun() *quarantineRun {
	x := &quarantineRun{absenceRun: &absenceRun{events: kqevent.New(kqevent.Config{MaxEvents: keptEvents})}}
	x.chaosRun = &chaosRun{rig: kqflowrig.New(kqflowrig.Config{Seed: 1, Agents: 3, Lease: shortLease, Events: x.events,
		Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30}})}
	time.Sleep(3 * time.Second)
	s := newStep(1, 3000, time.Hour)
	s.LongRunning = true
	x.rig.Submit(kqflow.Job{ID: longRunningJobID, Queue: "urgent", Payload: "p", Steps: []kqflow.Step{s}})
	time.Sleep(3 * time.Second)
	// A new owner knows no quarantine, so the owner must not be on the machine that is lost.
	for y := (&takeoverRun{x.rig}); y.owner() == y.hostingAgent(); {
		owner := y.owner()
		owner.Shutdown()
		time.Sleep(2 * time.Second)
		restart(owner)()
		time.Sleep(2 * time.Second)
	}
	return x
}

// submitFinite submits n jobs of one task.
func (x *quarantineRun) submitFinite(n int, milliProcessors int64, estimate time.Duration) {
	for range n {
		x.submitted++
		x.rig.Submit(kqflow.Job{ID: fmt.Sprintf("%016x", x.submitted), Queue: "urgent", Payload: "p", Steps: []kqflow.Step{newStep(1, milliProcessors, estimate)}})
	}
}

// setFaults sets the faults of all workers, except that of the long-running task if others is true.
func (x *quarantineRun) setFaults(f kqtaskhost.Faults, others bool) {
	host := (&takeoverRun{x.rig}).hostingAgent()
	for _, a := range x.rig.Agents {
		if !others || a != host {
			a.Host.SetFaults(f)
		}
	}
}

// loseMachine loses the machine that runs the long-running task and returns the time until the task
// runs again, at most a minute.
func (x *quarantineRun) loseMachine(t *testing.T) time.Duration {
	host, lostAt := (&takeoverRun{x.rig}).hostingAgent(), time.Now()
	host.Kill()
	host.Host.Restart(host.Name())
	for x.rig.Ledger.RunningCount(longRunningJobID) == 0 && time.Since(lostAt) < time.Minute {
		time.Sleep(20 * time.Millisecond)
	}
	away := time.Since(lostAt)
	t.Logf("the long-running task runs again after %s\n%s", away, x.trace(longRunningJobID+".0.0.0", lostAt, time.Now()))
	return away
}

// Two workers fail runs and are quarantined; then each runs a finite task for long, as the probe that
// shows whether it is sound. Guards against a worker that takes no long-running task until its probe ends.
func TestAWorkerTakesNoLongRunningTaskUntilALongProbeEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newQuarantineRun()
		x.setFaults(kqtaskhost.Faults{FailRuns: true}, true)
		for range 6 {
			x.submitFinite(10, 4000, 300*time.Millisecond)
			time.Sleep(500 * time.Millisecond)
		}
		// All failing jobs end before the fault does: one that completed would end the quarantine.
		time.Sleep(10 * time.Second)
		x.setFaults(kqtaskhost.Faults{}, false)
		time.Sleep(2 * time.Second)
		x.submitFinite(10, 1000, 40*time.Second)
		time.Sleep(8 * time.Second)
		if away := x.loseMachine(t); away > maxAbsence {
			t.Errorf("the long-running task runs again after %s, at most %s is allowed", away, maxAbsence)
		}
		x.rig.Stop()
	})
}

// A run hangs on each worker and fits on no other one. Guards against workers that stay quarantined, and
// take no long-running task, for as long as the runs hang, which nobody stops.
func TestHungRunsThatFitNowhereElseKeepTheirWorkersClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newQuarantineRun()
		x.setFaults(kqtaskhost.Faults{HangRuns: true}, false)
		x.submitFinite(3, 9000, 2*time.Second)
		time.Sleep(3 * time.Second)
		x.setFaults(kqtaskhost.Faults{}, false)
		time.Sleep(8 * time.Second)
		if away := x.loseMachine(t); away > maxAbsence {
			t.Errorf("the long-running task runs again after %s, at most %s is allowed", away, maxAbsence)
		}
		x.rig.Stop()
	})
}
