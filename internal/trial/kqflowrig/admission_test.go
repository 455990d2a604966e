package kqflowrig_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
)

// entryCount is the number of entries of an overloaded cell.
const entryCount = 3

// overloadedCell is a cell whose processors are all occupied for a minute while jobs arrive.
type overloadedCell struct {
	t       *testing.T
	rig     *kqflowrig.Rig
	offered int
}

func newOverloadedCell(t *testing.T, seed uint64) *overloadedCell {
	x := &overloadedCell{t: t, rig: kqflowrig.New(kqflowrig.Config{Seed: seed, Agents: 4, Entries: entryCount, Admission: true, Capacity: kqmodel.Resources{MilliProcessors: 4000, MemoryBytes: 64 << 30}})}
	time.Sleep(3 * time.Second)
	x.rig.Submit(kqflow.Job{ID: fmt.Sprintf("%016x", 1), Queue: "urgent", Payload: "p", Steps: []kqflow.Step{{Count: 16, Estimate: time.Minute,
		Resources: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}}}})
	return x
}

// batchJob returns a batch job of four tasks of one second each.
func (x *overloadedCell) batchJob(n int) kqflow.Job {
	return kqflow.Job{ID: fmt.Sprintf("%016x", n), Queue: "batch", Payload: "p", Steps: []kqflow.Step{{Count: 4, Estimate: time.Second,
		Resources: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}}}}
}

// offerJobs asks the first entry to admit a job every 100 ms for some time, and submits those that
// are not rejected. It returns the number of rejected jobs, which must not start from then on.
func (x *overloadedCell) offerJobs(duration time.Duration) int {
	rejected := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		x.offered++
		job := x.batchJob(100 + x.offered)
		if x.rig.Frontend.Admit(context.Background(), job).Verdict == kqadmission.Reject {
			x.rig.Ledger.ForbidStarts(job.ID)
			rejected++
			continue
		}
		x.rig.Submit(job)
	}
	return rejected
}

// restartOwner kills the owner and starts its process again.
func (x *overloadedCell) restartOwner() {
	for _, a := range x.rig.Agents {
		if a.IsOwner() {
			a.Kill()
			if err := a.Start(); err != nil {
				x.t.Error(err)
			}
			return
		}
	}
}

func (x *overloadedCell) stopAndCheck() {
	x.rig.Stop()
	if breaches := x.rig.Ledger.Breaches(); len(breaches) > 0 {
		x.t.Error(breaches)
	}
}

// A rejected job must never start, also after a takeover. After it acquired the cell, an owner cannot
// know which writes with unknown outcome may still store a job, so entries must accept all jobs for
// a while. Guards against rejections during that time, and against starts of rejected jobs.
func TestARejectedJobStarts(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			x := newOverloadedCell(t, seed)
			if n := x.offerJobs(10 * time.Second); n > 0 {
				t.Errorf("seed %d: %d jobs rejected just after the owner acquired the cell", seed, n)
			}
			time.Sleep(5 * time.Second)
			before := x.offerJobs(8 * time.Second)
			if before == 0 {
				t.Errorf("seed %d: no job rejected by the overloaded cell", seed)
			}
			x.restartOwner()
			// Entries use the digest of the killed owner until it is too old.
			time.Sleep(kqadmission.MaxDigestAge)
			if n := x.offerJobs(12 * time.Second); n > 0 {
				t.Errorf("seed %d: %d jobs rejected after the takeover", seed, n)
			}
			t.Logf("seed %d: %d of %d jobs rejected", seed, before, x.offered)
			time.Sleep(60 * time.Second)
			x.stopAndCheck()
		})
	}
}

// A caller's submission gets no answer, because the store carries the write out seconds later, and
// the caller asks for admission again. Guards against a rejection of that job, which the late write
// would then start, while other jobs are still rejected.
func TestAnUnansweredJobIsRejected(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			x := newOverloadedCell(t, seed)
			time.Sleep(16 * time.Second)
			if x.offerJobs(8*time.Second) == 0 {
				t.Errorf("seed %d: no job rejected by the overloaded cell", seed)
			}
			x.rig.Store.SetFaults(kqflowrig.EntryName(0), kqrowstore.Faults{LateWrites: 1})
			lateJob, otherRejected := x.batchJob(7), 0
			ctx, stop := context.WithTimeout(context.Background(), 400*time.Millisecond)
			x.rig.Frontend.Submit(ctx, lateJob)
			stop()
			x.rig.Store.ClearFaults()
			for range 70 {
				if d := x.rig.Frontend.Admit(context.Background(), lateJob); d.Verdict == kqadmission.Reject {
					t.Errorf("seed %d: the job with an unanswered submission was rejected: %s", seed, d)
				}
				otherRejected += x.offerJobs(time.Millisecond)
			}
			if otherRejected == 0 {
				t.Errorf("seed %d: no other job was rejected meanwhile", seed)
			}
			x.stopAndCheck()
		})
	}
}

// An entry that is isolated from the owner must accept all jobs. After it has reconnected, it must
// reject none until the writes are resolved whose unknown outcome only a lost process may have known
// of. Guards against rejections in both cases.
func TestAnEntryWithoutOwnerRejects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newOverloadedCell(t, 1)
		time.Sleep(16 * time.Second)
		if x.offerJobs(8*time.Second) == 0 {
			t.Error("no job rejected by the overloaded cell")
		}
		x.rig.Network.SetIsolated(kqflowrig.EntryName(0), true)
		time.Sleep(kqadmission.MaxDigestAge)
		if n := x.offerJobs(4 * time.Second); n > 0 {
			t.Errorf("%d jobs rejected by an entry without a connection to the owner", n)
		}
		x.rig.Network.ReconnectAll()
		if n := x.offerJobs(8 * time.Second); n > 0 {
			t.Errorf("%d jobs rejected just after the entry was isolated", n)
		}
		x.stopAndCheck()
	})
}

// submitAsCaller submits a job as a caller does: up to five times at random entries, until the
// answer is certain. Each attempt ends after 20 to 820 ms without an answer, as with callers whose
// timeout is short while the store is slow. It returns whether the job was rejected.
func (x *overloadedCell) submitAsCaller(rng *rand.Rand, job kqflow.Job) bool {
	x.rig.Register(job)
	for range 5 {
		frontend := x.rig.Frontends[rng.IntN(entryCount)]
		if frontend.Admit(context.Background(), job).Verdict == kqadmission.Reject {
			x.rig.Ledger.ForbidStarts(job.ID)
			return true
		}
		ctx, stop := context.WithTimeout(context.Background(), time.Duration(20+rng.IntN(800))*time.Millisecond)
		outcome := frontend.Submit(ctx, job)
		stop()
		// One answer in ten is treated as lost, so the caller tries again.
		if (outcome == kqcontrol.OutcomeStored || outcome == kqcontrol.OutcomeRefused) && rng.IntN(10) > 0 {
			return false
		}
	}
	return false
}

// Callers retry each job at several entries while the store, the entries and their connections have
// random faults. Guards against a job that starts although an entry rejected it, which happens if an
// earlier attempt at another entry was stored, or is stored later.
func TestARejectionIsUntrueUnderFaults(t *testing.T) {
	totalRejected := 0
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			x := newOverloadedCell(t, seed)
			time.Sleep(16 * time.Second)
			rng := rand.New(rand.NewPCG(seed, 3))
			var callers sync.WaitGroup
			var rejected atomic.Int64
			for n := range 400 {
				if n%25 == 0 {
					x.changeFaults(rng)
				}
				callers.Go(func() {
					if x.submitAsCaller(rand.New(rand.NewPCG(seed, uint64(n))), x.batchJob(1000+n)) {
						rejected.Add(1)
					}
				})
				time.Sleep(100 * time.Millisecond)
			}
			callers.Wait()
			x.rig.Store.ClearFaults()
			x.rig.Network.ReconnectAll()
			time.Sleep(90 * time.Second)
			t.Logf("seed %d: %d of 400 jobs rejected", seed, rejected.Load())
			totalRejected += int(rejected.Load())
			x.stopAndCheck()
		})
	}
	if totalRejected < 5*int(*seeds) {
		t.Errorf("only %d jobs rejected over all seeds", totalRejected)
	}
}

// changeFaults begins a random fault of the store or of an entry, or ends all faults.
func (x *overloadedCell) changeFaults(rng *rand.Rand) {
	entry := rng.IntN(entryCount)
	switch rng.IntN(7) {
	case 0:
		x.rig.Store.SetFaults("", kqrowstore.Faults{LoseAnswers: 0.3})
	case 1:
		x.rig.Store.SetFaults("", kqrowstore.Faults{LateWrites: 0.3})
	case 2:
		x.rig.Store.SetFaults(kqflowrig.EntryName(entry), kqrowstore.Faults{LateWrites: 0.5, LoseAnswers: 0.3})
	case 3:
		x.rig.Store.SetFaults("", kqrowstore.Faults{Delay: 300 * time.Millisecond})
	case 4:
		x.rig.Network.SetIsolated(kqflowrig.EntryName(entry), true)
	case 5:
		x.rig.RestartEntry(entry)
	default:
		x.rig.Store.ClearFaults()
		x.rig.Network.ReconnectAll()
	}
}
