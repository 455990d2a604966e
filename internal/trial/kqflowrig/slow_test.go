package kqflowrig_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
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

var slowSeeds = flag.Uint64("slow_seeds", 1, "how many seeds each slow store takes")

const (
	slowAgents     = 30
	slowRate       = 17.0
	slowStanding   = 20
	slowPartitions = 16
	keptEvents     = 1 << 16
	quickEstimate  = 800 * time.Millisecond
)

// slow is a cell with load whose store becomes slow.
type slow struct {
	rig      *kqflowrig.Rig
	events   *kqevent.Log
	rng      *rand.Rand
	jobs     int
	handedIn atomic.Int64
	stored   atomic.Int64
	ends     [4]atomic.Int64
}

func newSlow(seed uint64, lease time.Duration) *slow {
	x := &slow{events: kqevent.New(kqevent.Config{MaxEvents: keptEvents}), rng: rand.New(rand.NewPCG(seed, 23))}
	x.rig = kqflowrig.New(kqflowrig.Config{Seed: seed, Agents: slowAgents, Capacity: kqmodel.Resources{MilliProcessors: 16_000, MemoryBytes: 64 << 30}, Lease: lease,
		Partitions: slowPartitions, Events: x.events, Settled: func(s kqplan.JobOutcome) { x.ends[s.Outcome].Add(1) }})
	time.Sleep(3 * time.Second)
	for range slowStanding {
		s := step(3, 2000, time.Hour)
		s.LongRunning = true
		x.submit(kqflow.Job{ID: x.id(), Queue: "urgent", Payload: "p", Steps: []kqflow.Step{s}})
	}
	x.load(2 * time.Second)
	return x
}

func (x *slow) id() string {
	x.jobs++
	return fmt.Sprintf("%016x", x.jobs)
}

func (x *slow) submit(j kqflow.Job) {
	x.handedIn.Add(1)
	if x.rig.Submit(j) {
		x.stored.Add(1)
	}
}

// load hands quick jobs in for a while, without waiting for the answers.
func (x *slow) load(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(x.rng.ExpFloat64() * float64(time.Second) / slowRate))
		go x.submit(kqflow.Job{ID: x.id(), Queue: "urgent", Payload: "p", Steps: []kqflow.Step{step(3, 2000, quickEstimate)}})
	}
}

// lost is how many runs were given up or ended with their lease, but for those on a
// worker.
func (x *slow) lost(except string) int {
	return x.count(except, func(e kqevent.Event) bool { return e.Number == kqevent.FlowRunLost }) + x.lapsed(except)
}

// lapsed is how many runs ended with their lease, but for those on a worker.
func (x *slow) lapsed(except string) int {
	return x.count(except, func(e kqevent.Event) bool {
		return e.Number == kqevent.FlowRunEnded && strings.HasSuffix(e.Text, string(kqexecution.EndLeaseExpired))
	})
}

func (x *slow) count(except string, counts func(kqevent.Event) bool) (n int) {
	for job := 1; job <= x.jobs; job++ {
		for _, e := range x.events.ByJob(fmt.Sprintf("%016x", job)) {
			if counts(e) && !strings.Contains(e.Text, "on "+except+":") {
				n++
			}
		}
	}
	return n
}

func (x *slow) owner() *kqmachine.Machine {
	for _, a := range x.rig.Agents {
		if a.IsOwner() {
			return a
		}
	}
	return nil
}

// served returns how many quick jobs ended while they were worth something.
func (x *slow) served() int64 {
	return x.ends[kqplan.OutcomeInTime].Load() + x.ends[kqplan.OutcomeLate].Load()
}

func (x *slow) String() string {
	_, full := x.rig.Store.CallCounts()
	return fmt.Sprintf("%d of %d jobs stored, %d in time, %d late, %d too late; %d runs given up, %d owners, %d transactions turned away", x.stored.Load(), x.handedIn.Load(),
		x.ends[kqplan.OutcomeInTime].Load(), x.ends[kqplan.OutcomeLate].Load(), x.ends[kqplan.OutcomeTooLate].Load(), x.lost(""), x.rig.Epoch(), full)
}

// open returns the stored jobs that have not ended, but for those that stay.
func (x *slow) open() (n int) {
	for _, id := range x.rig.Accepted()[slowStanding:] {
		if x.rig.State(id) != kqflow.StateCompleted {
			n++
		}
	}
	return n
}

// A store that is slow for some seconds must not end the ownership or the leases: the
// owner's writes filled one partition, nothing confirmed the ownership any more, and
// every run was given up although no process had failed.
func TestRunsAreGivenUpWhileTheStoreIsSlow(t *testing.T) {
	for _, times := range []int{20, 50, 81, 100} {
		for _, d := range []time.Duration{3 * time.Second, 5 * time.Second, 10 * time.Second} {
			for _, lease := range []time.Duration{7 * time.Second, 5760 * time.Millisecond} {
				for seed := range *slowSeeds {
					t.Run(fmt.Sprintf("%d times for %s with leases of %s, seed %d", times, d, lease, seed), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { slowFor(t, seed, times, d, lease) })
					})
				}
			}
		}
	}
}

func slowFor(t *testing.T, seed uint64, times int, d, lease time.Duration) {
	x := newSlow(seed, lease)
	x.rig.Store.SetFaults("", kqrowstore.Faults{LatencyFactor: times})
	x.load(d / 2)
	x.rig.Store.TakeMaxQueueDepth()
	x.load(d - d/2)
	if n := x.rig.Store.TakeMaxQueueDepth(); n > 1 {
		t.Errorf("the owner had %d writes in its partition at once", n)
	}
	x.rig.Store.ClearFaults()
	x.load(3 * time.Second)
	time.Sleep(8 * time.Second)
	open, bad := x.open(), x.rig.Ledger.Breaches()
	t.Log(x)
	if x.lost("") > 0 || x.rig.Epoch() != 1 || x.rig.Owners() != 1 || open > 0 || len(bad) > 0 {
		t.Errorf("%d stored jobs have not ended, breaches: %v", open, bad)
	}
	if n := x.handedIn.Load() - slowStanding; x.served() < n*9/10 {
		t.Errorf("%d of %d quick jobs ended while they were worth something", x.served(), n)
	}
	x.rig.Stop()
}
