package kqflowrig_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
	"github.com/kumquatswitch/kumquatswitch/internal/trial/kqflowrig"
)

// overload is a cell whose processors are all taken for a minute, and callers who ask for more.
type overload struct {
	t        *testing.T
	rig      *kqflowrig.Rig
	next     int
	rejected []string
}

func newOverload(t *testing.T, seed uint64) *overload {
	x := &overload{t: t, rig: kqflowrig.New(kqflowrig.Config{Seed: seed, Agents: 4, Admission: true, Capacity: kqmodel.Resources{MilliProcessors: 4000, MemoryBytes: 64 << 30}})}
	time.Sleep(3 * time.Second)
	x.rig.Submit(kqflow.Job{ID: fmt.Sprintf("%016x", 1), Queue: "urgent", Payload: "p", Steps: []kqflow.Step{{Count: 16, Estimate: time.Minute,
		Size: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}}}})
	return x
}

// job returns a job of four tasks of a second.
func (x *overload) job(n int) kqflow.Job {
	return kqflow.Job{ID: fmt.Sprintf("%016x", n), Queue: "batch", Payload: "p", Steps: []kqflow.Step{{Count: 4, Estimate: time.Second,
		Size: kqmodel.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30}}}}
}

// offer hands jobs in for some time and returns how many of them were rejected.
func (x *overload) offer(span time.Duration) int {
	n := 0
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		x.next++
		j := x.job(100 + x.next)
		if x.rig.Front.Admit(j).Verdict == kqadmission.Reject {
			x.rig.Ledger.Forbid(j.ID)
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
		if a.Owning() {
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
			time.Sleep(kqadmission.MaxAge)
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
			x.rig.Store.SetFaults("10.0.1.1", kqrowstore.Faults{Late: 1})
			late, other := x.job(7), 0
			ctx, stop := context.WithTimeout(context.Background(), 400*time.Millisecond)
			x.rig.Front.Submit(ctx, late)
			stop()
			x.rig.Store.Heal()
			for range 70 {
				time.Sleep(100 * time.Millisecond)
				if d := x.rig.Front.Admit(late); d.Verdict == kqadmission.Reject {
					t.Errorf("seed %d: rejected: %s", seed, d)
				}
				x.next++
				if x.rig.Front.Admit(x.job(100+x.next)).Verdict == kqadmission.Reject {
					other++
				}
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
		x.rig.Network.Cut("10.0.1.1", true)
		time.Sleep(kqadmission.MaxAge)
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
