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

// entries is how many entries an overloaded cell has.
const entries = 3

// overload is a cell whose processors are all taken for a minute, and callers who ask for more.
type overload struct {
	t    *testing.T
	rig  *kqflowrig.Rig
	next int
}

func newOverload(t *testing.T, seed uint64) *overload {
	x := &overload{t: t, rig: kqflowrig.New(kqflowrig.Config{Seed: seed, Agents: 4, Entries: entries, Admission: true, Capacity: kqmodel.Resources{MilliProcessors: 4000, MemoryBytes: 64 << 30}})}
	time.Sleep(3 * time.Second)
	x.rig.Submit(kqflow.Job{ID: fmt.Sprintf("%016x", 1), Queue: "urgent", Payload: "p", Steps: []kqflow.Step{{Count: 16, Estimate: time.Minute,
		Resources: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}}}})
	return x
}

// job returns a job of four tasks of a second.
func (x *overload) job(n int) kqflow.Job {
	return kqflow.Job{ID: fmt.Sprintf("%016x", n), Queue: "batch", Payload: "p", Steps: []kqflow.Step{{Count: 4, Estimate: time.Second,
		Resources: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}}}}
}

// offer hands jobs in for some time and returns how many of them were rejected.
func (x *overload) offer(span time.Duration) int {
	n := 0
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		x.next++
		j := x.job(100 + x.next)
		if x.rig.Front.Admit(context.Background(), j).Verdict == kqadmission.Reject {
			x.rig.Ledger.ForbidStarts(j.ID)
			n++
			continue
		}
		x.rig.Submit(j)
	}
	return n
}

// killOwner ends the owner and starts its process again.
func (x *overload) killOwner() {
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

func (x *overload) end() {
	x.rig.Stop()
	if bad := x.rig.Ledger.Breaches(); len(bad) > 0 {
		x.t.Error(bad)
	}
}

// Rejected jobs never start, also over a takeover; while the new owner cannot know which attempts are unresolved, entries
// accept.
func TestARejectedJobStarts(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			x := newOverload(t, seed)
			if n := x.offer(10 * time.Second); n > 0 {
				t.Errorf("seed %d: %d rejected though the owner has just taken the cell", seed, n)
			}
			time.Sleep(5 * time.Second)
			before := x.offer(8 * time.Second)
			if before == 0 {
				t.Errorf("seed %d: none rejected", seed)
			}
			x.killOwner()
			// A digest of the dead owner is used until it is old.
			time.Sleep(kqadmission.MaxDigestAge)
			if n := x.offer(12 * time.Second); n > 0 {
				t.Errorf("seed %d: %d rejected after the takeover", seed, n)
			}
			t.Logf("seed %d: %d of %d rejected", seed, before, x.next)
			time.Sleep(60 * time.Second)
			x.end()
		})
	}
}

// A write that the store carries out late must not start a job that was rejected meanwhile.
func TestAnUnansweredJobIsRejected(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			x := newOverload(t, seed)
			time.Sleep(16 * time.Second)
			if x.offer(8*time.Second) == 0 {
				t.Errorf("seed %d: none rejected", seed)
			}
			x.rig.Store.SetFaults(kqflowrig.EntryName(0), kqrowstore.Faults{LateWrites: 1})
			late, other := x.job(7), 0
			ctx, stop := context.WithTimeout(context.Background(), 400*time.Millisecond)
			x.rig.Front.Submit(ctx, late)
			stop()
			x.rig.Store.ClearFaults()
			for range 70 {
				if d := x.rig.Front.Admit(context.Background(), late); d.Verdict == kqadmission.Reject {
					t.Errorf("seed %d: rejected: %s", seed, d)
				}
				other += x.offer(time.Millisecond)
			}
			if other == 0 {
				t.Errorf("seed %d: no other job was rejected meanwhile", seed)
			}
			x.end()
		})
	}
}

// An entry that is cut off from the owner accepts, and rejects again only once what it may have forgotten is resolved.
func TestAnEntryWithoutOwnerRejects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newOverload(t, 1)
		time.Sleep(16 * time.Second)
		if x.offer(8*time.Second) == 0 {
			t.Error("none rejected")
		}
		x.rig.Network.Cut(kqflowrig.EntryName(0), true)
		time.Sleep(kqadmission.MaxDigestAge)
		if n := x.offer(4 * time.Second); n > 0 {
			t.Errorf("%d rejected without an owner", n)
		}
		x.rig.Network.Heal()
		if n := x.offer(8 * time.Second); n > 0 {
			t.Errorf("%d rejected just after the entry was lost", n)
		}
		x.end()
	})
}

// caller hands a job in at one entry after the other until the answer is certain; it gives up soon, as callers do while the
// store is slow. It returns whether the job was rejected.
func (x *overload) caller(rng *rand.Rand, j kqflow.Job) bool {
	x.rig.Note(j)
	for range 5 {
		f := x.rig.Fronts[rng.IntN(entries)]
		if f.Admit(context.Background(), j).Verdict == kqadmission.Reject {
			x.rig.Ledger.ForbidStarts(j.ID)
			return true
		}
		ctx, stop := context.WithTimeout(context.Background(), time.Duration(20+rng.IntN(800))*time.Millisecond)
		o := f.Submit(ctx, j)
		stop()
		// The answer of one attempt in ten is lost on its way.
		if (o == kqcontrol.OutcomeStored || o == kqcontrol.OutcomeRefused) && rng.IntN(10) > 0 {
			return false
		}
	}
	return false
}

// Whatever happens to the store, the entries and their links, a job that one entry rejects after others tried to store it must
// never start.
func TestARejectionIsUntrueUnderFaults(t *testing.T) {
	all := 0
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			x := newOverload(t, seed)
			time.Sleep(16 * time.Second)
			rng := rand.New(rand.NewPCG(seed, 3))
			var done sync.WaitGroup
			var rejected atomic.Int64
			for n := range 400 {
				if n%25 == 0 {
					x.strike(rng)
				}
				done.Go(func() {
					if x.caller(rand.New(rand.NewPCG(seed, uint64(n))), x.job(1000+n)) {
						rejected.Add(1)
					}
				})
				time.Sleep(100 * time.Millisecond)
			}
			done.Wait()
			x.rig.Store.ClearFaults()
			x.rig.Network.Heal()
			time.Sleep(90 * time.Second)
			t.Logf("seed %d: %d of 400 rejected", seed, rejected.Load())
			all += int(rejected.Load())
			x.end()
		})
	}
	if all < 5*int(*seeds) {
		t.Errorf("only %d were rejected", all)
	}
}

// strike begins a fault of the store or of an entry, or ends all.
func (x *overload) strike(rng *rand.Rand) {
	i := rng.IntN(entries)
	switch rng.IntN(7) {
	case 0:
		x.rig.Store.SetFaults("", kqrowstore.Faults{LoseAnswers: 0.3})
	case 1:
		x.rig.Store.SetFaults("", kqrowstore.Faults{LateWrites: 0.3})
	case 2:
		x.rig.Store.SetFaults(kqflowrig.EntryName(i), kqrowstore.Faults{LateWrites: 0.5, LoseAnswers: 0.3})
	case 3:
		x.rig.Store.SetFaults("", kqrowstore.Faults{Delay: 300 * time.Millisecond})
	case 4:
		x.rig.Network.Cut(kqflowrig.EntryName(i), true)
	case 5:
		x.rig.RestartEntry(i)
	default:
		x.rig.Store.ClearFaults()
		x.rig.Network.Heal()
	}
}
