package kqflowrig_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqmachine"
)

var slowSeeds = flag.Uint64("slow_seeds", 1, "number of seeds for each latency, duration and lease of a slow store")

const (
	slowAgents           = 30
	slowJobRate          = 17.0
	slowLongRunningJobs  = 20
	submissionPartitions = 16
	keptEvents           = 1 << 16
	shortEstimate        = 800 * time.Millisecond
)

// slowStoreRun is a cell with load whose store becomes slow.
type slowStoreRun struct {
	rig       *kqflowrig.Rig
	events    *kqevent.Log
	rng       *rand.Rand
	created   int
	submits   sync.WaitGroup
	submitted atomic.Int64
	stored    atomic.Int64
	outcomes  [4]atomic.Int64
}

func newSlowStoreRun(seed uint64, lease time.Duration) *slowStoreRun {
	x := &slowStoreRun{events: kqevent.New(kqevent.Config{MaxEvents: keptEvents}), rng: rand.New(rand.NewPCG(seed, 23))}
	x.rig = kqflowrig.New(kqflowrig.Config{Seed: seed, Agents: slowAgents, Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30}, Lease: lease,
		Partitions: submissionPartitions, Events: x.events, OnOutcome: func(s kqplan.JobOutcome) { x.outcomes[s.Outcome].Add(1) }})
	time.Sleep(3 * time.Second)
	for range slowLongRunningJobs {
		s := newStep(3, 2000, time.Hour)
		s.LongRunning = true
		x.submit(kqflow.Job{ID: x.newID(), Queue: "urgent", Payload: "p", Steps: []kqflow.Step{s}})
	}
	x.submitJobs(2 * time.Second)
	return x
}

func (x *slowStoreRun) newID() string {
	x.created++
	return fmt.Sprintf("%016x", x.created)
}

func (x *slowStoreRun) submit(j kqflow.Job) {
	x.submitted.Add(1)
	if x.rig.Submit(j) {
		x.stored.Add(1)
	}
}

// submitJobs submits short jobs at slowJobRate for the given time without waiting for answers.
func (x *slowStoreRun) submitJobs(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(x.rng.ExpFloat64() * float64(time.Second) / slowJobRate))
		j := kqflow.Job{ID: x.newID(), Queue: "urgent", Payload: "p", Steps: []kqflow.Step{newStep(3, 2000, shortEstimate)}}
		x.submits.Go(func() { x.submit(j) })
	}
}

// stop waits for the answers to all submissions and stops the cell.
func (x *slowStoreRun) stop() {
	x.submits.Wait()
	x.rig.Stop()
}

// lostRuns returns the number of runs that the owner declared lost or that ended with their lease,
// except those on one worker; "" excludes none.
func (x *slowStoreRun) lostRuns(except string) int {
	return x.countEvents(except, func(e kqevent.Event) bool { return e.Number == kqevent.FlowRunLost }) + x.expiredRuns(except)
}

// expiredRuns returns the number of runs that ended with their lease, except those on one worker.
func (x *slowStoreRun) expiredRuns(except string) int {
	return x.countEvents(except, func(e kqevent.Event) bool {
		return e.Number == kqevent.FlowRunEnded && strings.HasSuffix(e.Text, string(kqexecution.EndLeaseExpired))
	})
}

func (x *slowStoreRun) countEvents(except string, matches func(kqevent.Event) bool) (n int) {
	for job := 1; job <= x.created; job++ {
		for _, e := range x.events.ByJob(fmt.Sprintf("%016x", job)) {
			if matches(e) && !strings.Contains(e.Text, "on "+except+":") {
				n++
			}
		}
	}
	return n
}

func (x *slowStoreRun) owner() *kqmachine.Machine {
	for _, a := range x.rig.Agents {
		if a.IsOwner() {
			return a
		}
	}
	return nil
}

// valuableJobs returns the number of jobs that completed before their value had fallen to zero.
func (x *slowStoreRun) valuableJobs() int64 {
	return x.outcomes[kqplan.OutcomeInTime].Load() + x.outcomes[kqplan.OutcomeLate].Load()
}

func (x *slowStoreRun) String() string {
	_, rejected := x.rig.Store.CallCounts()
	return fmt.Sprintf("%d of %d jobs stored, %d in time, %d late, %d too late; %d runs lost, epoch %d, %d transactions refused by full partitions", x.stored.Load(), x.submitted.Load(),
		x.outcomes[kqplan.OutcomeInTime].Load(), x.outcomes[kqplan.OutcomeLate].Load(), x.outcomes[kqplan.OutcomeTooLate].Load(), x.lostRuns(""), x.rig.Epoch(), rejected)
}

// unfinishedJobs returns the number of stored jobs that have not completed, without the long-running
// ones.
func (x *slowStoreRun) unfinishedJobs() (n int) {
	for _, id := range x.rig.Accepted()[slowLongRunningJobs:] {
		if x.rig.State(id) != kqflow.StateCompleted {
			n++
		}
	}
	return n
}

// The store is slow for some seconds, but no process fails. Guards against the owner's writes filling
// one partition of the store, so that the write that confirms its ownership waits too long and every
// run is declared lost.
func TestRunsAreGivenUpWhileTheStoreIsSlow(t *testing.T) {
	for _, factor := range []int{20, 50, 81, 100} {
		for _, slowTime := range []time.Duration{3 * time.Second, 5 * time.Second, 10 * time.Second} {
			for _, lease := range []time.Duration{7 * time.Second, 5760 * time.Millisecond} {
				for seed := range *slowSeeds {
					t.Run(fmt.Sprintf("%d times for %s with leases of %s, seed %d", factor, slowTime, lease, seed), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { runSlowStore(t, seed, factor, slowTime, lease) })
					})
				}
			}
		}
	}
}

func runSlowStore(t *testing.T, seed uint64, factor int, slowTime, lease time.Duration) {
	x := newSlowStoreRun(seed, lease)
	x.rig.Store.SetFaults("", kqrowstore.Faults{LatencyFactor: factor})
	x.submitJobs(slowTime / 2)
	x.rig.Store.TakeMaxQueueDepth()
	x.submitJobs(slowTime - slowTime/2)
	if n := x.rig.Store.TakeMaxQueueDepth(); n > 1 {
		t.Errorf("%d transactions in the common partition at once, at most 1 is allowed", n)
	}
	x.rig.Store.ClearFaults()
	x.submitJobs(3 * time.Second)
	time.Sleep(8 * time.Second)
	unfinished, breaches := x.unfinishedJobs(), x.rig.Ledger.Breaches()
	t.Log(x)
	if x.lostRuns("") > 0 || x.rig.Epoch() != 1 || x.rig.OwnerCount() != 1 || unfinished > 0 || len(breaches) > 0 {
		t.Errorf("%d stored jobs have not ended, breaches: %v", unfinished, breaches)
	}
	if n := x.submitted.Load() - slowLongRunningJobs; x.valuableJobs() < n*9/10 {
		t.Errorf("only %d of %d short jobs completed while they had value", x.valuableJobs(), n)
	}
	x.rig.Stop()
}
