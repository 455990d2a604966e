package kqplan_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// The worker of a long-running task drains, does not answer any more, or loses its agent. Until it is
// gone, finite tasks use all that becomes free elsewhere, so the task waits once more when it may run
// again.
func TestTheRoomOfATaskIsGivenAwayBeforeItsWorkerIsGone(t *testing.T) {
	info := kqplan.WorkerInfo{Worker: "w-home0", Service: "s", Capacity: kqmodel.Resources{MilliProcessors: 32000, MemoryBytes: 1 << 40}}
	for _, x := range []struct {
		name    string
		disturb func(f *crowdedFleet)
		goneIn  time.Duration
		leaves  bool
	}{
		{"drains", func(f *crowdedFleet) {
			w := info
			w.Draining, w.Remaining = true, 4*time.Second
			f.UpdateWorker(f.now, "home0", w)
		}, 4 * time.Second, true},
		{"does not answer", func(f *crowdedFleet) {
			w := info
			w.Unresponsive = true
			f.UpdateWorker(f.now, "home0", w)
		}, leaseTime, false},
		{"has no agent", func(f *crowdedFleet) { f.AgentDisconnected(f.now, "home0") }, leaseTime, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newCrowdedFleet(g, "urgent", longRunning(1, 6, 0), 8, 8)
			f.slowdown = 2.5
			f.LeaseGranted(f.now, "home0", 7*time.Second)
			x.disturb(f)
			if !x.leaves {
				f.workers = f.workers[1:]
			}
			_, running, _ := f.advanceAndCount(x.goneIn)
			g.Expect(running).To(BeZero(), "the run may still be at work")
			var delay time.Duration
			if x.leaves {
				delay, _, _ = f.departHomes(maxDowntime)
			} else {
				delay, _, _ = f.advanceAndCount(maxDowntime)
			}
			g.Expect(delay).To(BeNumerically("<=", passTime))
		})
	}
}

// Most workers of a service lose their agents at once, as in a cut of a zone, and the agents come back
// shortly before the leases expire. Finite jobs keep their share of the other workers meanwhile, and all
// of it afterwards.
func TestWorkersInDoubtKeepFiniteTasksOut(t *testing.T) {
	g := NewWithT(t)
	f := newCrowdedFleet(g, "urgent", longRunning(5, 6, 1), 9, 9, 9, 9)
	for _, w := range f.homes {
		f.LeaseGranted(f.now, w.host, 7*time.Second)
		f.AgentDisconnected(f.now, w.host)
	}
	f.workers = f.workers[len(f.homes):]
	f.advance(leaseTime-2*time.Second, nil)
	_, _, quick := f.advanceAndCount(time.Second)
	g.Expect(quick).To(And(BeNumerically(">=", 24), BeNumerically("<=", 36)), "40 % of 36 processors are kept for finite tasks of 0.3 to 1 s")
	f.workers = append(f.workers, f.homes...)
	for _, w := range f.homes {
		f.AgentConnected(f.now, w.host)
		f.LeaseGranted(f.now, w.host, 7*time.Second)
	}
	f.advance(time.Second, nil)
	g.Expect(f.workers[0].runs).To(HaveLen(9))
}
