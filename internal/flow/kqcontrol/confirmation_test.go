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

// ownerConfig returns the configuration of an owner of the cell leasesCell.
func ownerConfig(store kqrows.Store, lease time.Duration) kqcontrol.Config {
	return kqcontrol.Config{Cell: leasesCell, Name: "owner", Boot: "b", Store: store, Lease: lease, CrossRackSlowdown: 1, Retention: time.Minute,
		Policy: func() *kqflow.Policy { return nil }, Now: time.Now, WallClock: time.Now, Counter: &kqinvariant.Counter{},
		Evacuation: kqcontrol.EvacuationSource{KnownAt: time.Now}}
}

// Each pass of the scheduling loop takes longer than the heartbeat timeout. Guards against heartbeats
// that wait for the pass, after which the owner is replaced although it is alive.
func TestHeartbeatsWaitForALongSchedulingPass(t *testing.T) {
	g := NewWithT(t)
	var isSlow atomic.Bool
	recorder := &heartbeatRecorder{}
	config := ownerConfig(recorder.store(kqrowstore.New(1).Client("owner")), 7*time.Second)
	config.Evacuation.KnownAt = func() time.Time {
		if isSlow.Load() {
			time.Sleep(kqelect.HeartbeatTimeout + 100*time.Millisecond)
		}
		return time.Now()
	}
	c, err := kqcontrol.Acquire(context.Background(), config, kqcontrol.OwnerRow{}, 0, nil)
	g.Expect(err).NotTo(HaveOccurred())
	c.Start()
	isSlow.Store(true)
	since := time.Now()
	time.Sleep(2 * time.Second)
	g.Expect(recorder.longestGap(since)).To(BeNumerically("<", kqelect.HeartbeatTimeout))
	isSlow.Store(false)
	c.Abandon()
}

// An owner hangs while it loads the state of earlier owners, in its first step or in a later one. Guards
// against an owner that hangs before its first step has ended and keeps the cell by its heartbeats.
func TestAnOwnerThatHangsBeforeItsFirstStepKeepsTheCell(t *testing.T) {
	const lease = time.Second
	for name, x := range map[string]struct {
		whileLoading bool
		steps        int32
	}{"while it loads": {whileLoading: true}, "in its first step": {}, "in a later step": {steps: 5}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			recorder, released := &heartbeatRecorder{}, make(chan struct{})
			var steps atomic.Int32
			config := ownerConfig(recorder.store(kqrowstore.New(1).Client("owner")), lease)
			config.Policy = func() *kqflow.Policy {
				if x.whileLoading {
					<-released
				}
				return nil
			}
			config.Evacuation.EvacuateWithin = time.Minute
			config.Evacuation.KnownAt = func() time.Time {
				if !x.whileLoading && steps.Add(1) > x.steps {
					<-released
				}
				return time.Now()
			}
			acquired := make(chan *kqcontrol.Controller, 1)
			go func() {
				c, err := kqcontrol.Acquire(context.Background(), config, kqcontrol.OwnerRow{}, 0, nil)
				g.Expect(err).NotTo(HaveOccurred())
				c.Start()
				acquired <- c
			}()
			time.Sleep(2 * lease)
			since := time.Now()
			time.Sleep(kqelect.HeartbeatTimeout)
			g.Expect(recorder.longestGap(since)).To(BeNumerically(">=", kqelect.HeartbeatTimeout), "other processes see no heartbeat")
			close(released)
			(<-acquired).Abandon()
		})
	}
}
