package kqexecutor_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqexecutor"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// A worker lists an end whose number is too large. Guards against later ends that count as reported,
// and against an acknowledgement that makes the worker forget them.
func TestAnOddEndNumberHidesLaterEnds(t *testing.T) {
	for name, number := range map[string]uint64{"too large": math.MaxUint64, "out of range": kqexecution.MaxEndNumber + 1} {
		t.Run(name, func(t *testing.T) {
			odd := kqexecution.RunEnd{Number: number, Run: kqexecution.Run{Task: "odd", Number: 1}, Reason: kqexecution.EndDone}
			end := kqexecution.RunEnd{Number: 1, Run: run, Reason: kqexecution.EndDone}
			w := &fakeWorker{ended: []kqexecution.RunEnd{odd}}
			withExecutor(t, w, func(g *WithT, _ *kqexecutor.Executor, o *fakeOwner) {
				time.Sleep(time.Second)
				w.mu.Lock()
				w.ended = append(w.ended, end)
				w.mu.Unlock()
				time.Sleep(2 * time.Second)
				g.Expect(o.ends()).To(Equal([]kqexecution.RunEnd{end}))
			})
		})
	}
}

// The end of a run cannot be decoded. Guards against a run that the owner takes for running for ever,
// and against one that is taken for ended although the worker's list of runs is incomplete as well.
func TestTheRunOfAnOddEndIsTakenForRunning(t *testing.T) {
	for name, x := range map[string]struct {
		lacksRuns bool
		want      []kqexecution.RunEnd
	}{"ended": {false, []kqexecution.RunEnd{{Run: run, Reason: kqexecution.EndBroken}}}, "incomplete list": {true, nil}} {
		t.Run(name, func(t *testing.T) {
			w := &fakeWorker{}
			withExecutor(t, w, func(g *WithT, executor *kqexecutor.Executor, o *fakeOwner) {
				executor.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{order()}})
				w.mu.Lock()
				w.running = []kqexecution.Run{run}
				w.mu.Unlock()
				time.Sleep(time.Second)
				w.mu.Lock()
				w.running, w.lacksEnds, w.lacksRuns = nil, true, x.lacksRuns
				w.mu.Unlock()
				time.Sleep(2 * time.Second)
				g.Expect(o.ends()).To(Equal(x.want))
				o.mu.Lock()
				defer o.mu.Unlock()
				g.Expect(o.received[len(o.received)-1].Report.Complete).To(Equal(!x.lacksRuns))
			})
		})
	}
}

// One answer of the worker holds a clock reading that is out of range. Guards against leases that end
// on that clock: they are renewed without grants of the owner, or overflow and are renewed no more.
func TestAnOddClockReadingRenewsLeasesWithoutGrants(t *testing.T) {
	for name, clock := range map[string]kqexecution.Clock{"too large": math.MaxInt64, "an hour ahead": kqexecution.Clock(time.Hour), "negative": math.MinInt64} {
		t.Run(name, func(t *testing.T) {
			w := &fakeWorker{}
			withExecutor(t, w, func(g *WithT, x *kqexecutor.Executor, o *fakeOwner) {
				w.mu.Lock()
				w.clockOnce = clock
				w.mu.Unlock()
				// The unanswered request for a lease is repeated meanwhile.
				time.Sleep(3 * time.Second)
				before := w.clock()
				x.Receive(kqmessage.FromOwner{Grant: &kqmessage.Grant{LeaseRequest: o.lastLeaseRequest(), Duration: 7 * time.Second}})
				time.Sleep(time.Second)
				w.mu.Lock()
				defer w.mu.Unlock()
				g.Expect(w.leaseEnd).To(BeNumerically(">", before+kqexecution.Clock(5*time.Second)))
				g.Expect(w.leaseEnd).To(BeNumerically("<=", before+kqexecution.Clock(7*time.Second)))
			})
		})
	}
}
