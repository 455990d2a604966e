package kqcontrol_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqelect"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqrows"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// heartbeatRecorder records when the transactions that carry a heartbeat were sent.
type heartbeatRecorder struct {
	mu     sync.Mutex
	sentAt []time.Time
}

func (r *heartbeatRecorder) store(s kqrows.Store) kqrows.Store {
	transact := s.Transact
	s.Transact = func(ctx context.Context, t kqrows.Tx) (kqrows.Outcome, error) {
		for _, p := range t.Puts {
			if p.Key == kqcontrol.HeartbeatKey(leasesCell) {
				r.mu.Lock()
				r.sentAt = append(r.sentAt, time.Now())
				r.mu.Unlock()
			}
		}
		return transact(ctx, t)
	}
	return s
}

// longestGap returns the longest time without a heartbeat from since until now.
func (r *heartbeatRecorder) longestGap(since time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := time.Duration(0)
	for _, at := range r.sentAt {
		if at.After(since) {
			longest, since = max(longest, at.Sub(since)), at
		}
	}
	return max(longest, time.Since(since))
}

// Each pass of the scheduling loop takes longer than the heartbeat timeout. Guards against heartbeats
// that wait for the pass, after which the owner is replaced although it is alive.
func TestHeartbeatsWaitForALongSchedulingPass(t *testing.T) {
	g := NewWithT(t)
	var isSlow atomic.Bool
	recorder := &heartbeatRecorder{}
	c, err := kqcontrol.Acquire(context.Background(), kqcontrol.Config{Cell: leasesCell, Name: "owner", Boot: "b", Store: recorder.store(kqrowstore.New(1).Client("owner")),
		Lease: 7 * time.Second, CrossRackSlowdown: 1, Retention: time.Minute, Policy: func() *kqflow.Policy { return nil }, Now: time.Now, WallClock: time.Now, Counter: &kqinvariant.Counter{},
		Evacuation: kqcontrol.EvacuationSource{KnownAt: func() time.Time {
			if isSlow.Load() {
				time.Sleep(kqelect.HeartbeatTimeout + 100*time.Millisecond)
			}
			return time.Now()
		}}}, kqcontrol.OwnerRow{}, 0, nil)
	g.Expect(err).NotTo(HaveOccurred())
	c.Start()
	isSlow.Store(true)
	since := time.Now()
	time.Sleep(2 * time.Second)
	g.Expect(recorder.longestGap(since)).To(BeNumerically("<", kqelect.HeartbeatTimeout))
	isSlow.Store(false)
	c.Abandon()
}
