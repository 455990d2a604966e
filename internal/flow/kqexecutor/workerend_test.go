package kqexecutor_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqexecutor"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// workerEnds returns the ends of incarnations that were reported last.
func (o *fakeOwner) workerEnds() (out []kqplan.WorkerEnd) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range o.received {
		if len(m.WorkerEnds) > 0 {
			out = m.WorkerEnds
		}
	}
	return out
}

// A worker ends while it has a run, and another one takes its place. Guards against the end of a worker
// that leaves or drains being taken for a crash, against runs that were ordered after the crash being
// blamed for it, and against a crash of which the owner that connects later learns nothing.
func TestTheEndOfAWorkerIsTakenForACrash(t *testing.T) {
	replacement := kqplan.WorkerInfo{Worker: "w2", Zone: "a", Capacity: kqmodel.Resources{MilliProcessors: 4000}}
	for name, c := range map[string]struct {
		end         func(x *kqexecutor.Executor, w *fakeWorker)
		crashed     bool
		runTime     time.Duration
		ownerLeaves bool
	}{
		"it crashes":                      {crashed: true, runTime: 300 * time.Millisecond, end: func(*kqexecutor.Executor, *fakeWorker) {}},
		"it crashes while no owner hears": {crashed: true, runTime: 300 * time.Millisecond, ownerLeaves: true, end: func(*kqexecutor.Executor, *fakeWorker) {}},
		"it leaves":                       {end: func(x *kqexecutor.Executor, _ *fakeWorker) { x.ReceiveLeave("w") }},
		"it drains": {end: func(x *kqexecutor.Executor, _ *fakeWorker) {
			x.CheckIn(kqplan.WorkerInfo{Worker: "w", Zone: "a", Draining: true}, 2)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			w := &fakeWorker{}
			withExecutor(t, w, func(g *WithT, x *kqexecutor.Executor, o *fakeOwner) {
				x.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{order()}})
				time.Sleep(300 * time.Millisecond)
				if c.ownerLeaves {
					x.Disconnected()
				}
				c.end(x, w)
				w.mu.Lock()
				w.pollsUnanswered, w.startsUnanswered = true, true
				w.mu.Unlock()
				time.Sleep(400 * time.Millisecond)
				late := order()
				late.Run = kqexecution.Run{Task: "j.0.0.1", Number: 1}
				x.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{late}})
				time.Sleep(2 * time.Second)
				w.mu.Lock()
				w.pollsUnanswered = false
				w.mu.Unlock()
				x.CheckIn(replacement, 1)
				time.Sleep(500 * time.Millisecond)
				if c.ownerLeaves {
					g.Expect(o.workerEnds()).To(BeEmpty())
					x.Connected(2, o.send)
					time.Sleep(500 * time.Millisecond)
				}
				ends := o.workerEnds()
				g.Expect(ends).To(HaveLen(1))
				g.Expect(ends[0].Worker).To(Equal(kqexecution.Incarnation("w")))
				g.Expect(ends[0].Crashed).To(Equal(c.crashed))
				if c.crashed {
					g.Expect(ends[0].Runs).To(HaveLen(1), "the run that was started before the crash")
					g.Expect(ends[0].Runs[0].Run).To(Equal(run))
					g.Expect(ends[0].Runs[0].RunTime).To(BeNumerically("~", c.runTime, 100*time.Millisecond))
					g.Expect(ends[0].SilentFor).To(BeNumerically(">", 2*time.Second))
				}
			})
		})
	}
}

// A worker refuses the connections of its agent. Guards against runs that are placed on a worker whose
// process has gone for as long as on one that is slow to answer.
func TestAWorkerThatRefusesItsAgentGetsNewRuns(t *testing.T) {
	w := &fakeWorker{}
	withExecutor(t, w, func(g *WithT, x *kqexecutor.Executor, o *fakeOwner) {
		w.mu.Lock()
		w.pollsUnanswered = true
		w.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		o.mu.Lock()
		defer o.mu.Unlock()
		last := o.received[len(o.received)-1]
		g.Expect(last.Worker).NotTo(BeNil())
		g.Expect(last.Worker.Unresponsive).To(BeTrue())
	})
}

// A worker crashes 10 ms after the start of a run, while its agent waits for the owner to acknowledge an end
// and has no call in flight. Guards against the time until the next call being taken for time at work.
func TestTheTimeAtWorkIncludesTheTimeUntilTheNextCall(t *testing.T) {
	w := &fakeWorker{}
	var ends []kqplan.WorkerEnd
	withExecutor(t, w, func(_ *WithT, x *kqexecutor.Executor, o *fakeOwner) {
		w.mu.Lock()
		w.ended = []kqexecution.RunEnd{{Number: 1, Run: kqexecution.Run{Task: "k.0.0.0", Number: 1}, Reason: kqexecution.EndDone}}
		w.mu.Unlock()
		for len(o.ends()) == 0 {
			time.Sleep(time.Millisecond)
		}
		x.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{order()}})
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		w.pollsUnanswered, w.startsUnanswered = true, true
		w.mu.Unlock()
		time.Sleep(2 * time.Second)
		x.CheckIn(kqplan.WorkerInfo{Worker: "w2", Zone: "a", Capacity: kqmodel.Resources{MilliProcessors: 4000}}, 1)
		w.mu.Lock()
		w.pollsUnanswered = false
		w.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		ends = o.workerEnds()
	})
	g := NewWithT(t)
	g.Expect(ends).To(HaveLen(1))
	g.Expect(ends[0].Runs).To(HaveLen(1))
	g.Expect(ends[0].Runs[0].RunTime).To(BeNumerically("<=", 50*time.Millisecond), "crashes up to 50 ms after the start count as quick")
}
