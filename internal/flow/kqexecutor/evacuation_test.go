package kqexecutor_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqexecutor"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

func (w *fakeWorker) startCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts)
}

func (w *fakeWorker) stoppedRuns() []kqexecution.Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]kqexecution.Run(nil), w.stops...)
}

func zones(at uint64, names ...string) kqevacuate.Zones {
	var changes []kqevacuate.Change
	for _, n := range names {
		changes = append(changes, kqevacuate.Change{Zone: n})
	}
	return kqevacuate.Zones{}.Apply(time.Now(), at, true, changes)
}

// An unanswered start is repeated without a limit. Guards against starts that are still sent
// after the zone is evacuated, and against an earlier one that is carried out late.
func TestARepeatedStartIsStoppedOnceTheZoneIsEvacuated(t *testing.T) {
	w := &fakeWorker{startsUnanswered: true}
	withExecutor(t, w, func(g *WithT, x *kqexecutor.Executor, o *fakeOwner) {
		x.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{order()}})
		time.Sleep(500 * time.Millisecond)
		before := w.startCount()
		g.Expect(before).To(BeNumerically(">", 2))
		x.SetZones(zones(5, "a"))
		time.Sleep(2 * time.Second)
		g.Expect(w.startCount()).To(BeNumerically("<=", before+1))
		g.Expect(w.stoppedRuns()).To(ContainElement(run))
		g.Expect(o.ends()).To(ContainElement(kqexecution.RunEnd{Run: run, Reason: kqexecution.EndRefused}))
	})
}

// Guards against stopping or starting again a run in an evacuated zone whose start was
// carried out although its answer was lost: the worker lists the run.
func TestAListedRunGoesOnInAnEvacuatedZone(t *testing.T) {
	w := &fakeWorker{startsUnanswered: true}
	withExecutor(t, w, func(g *WithT, x *kqexecutor.Executor, o *fakeOwner) {
		x.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{order()}})
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		w.running = []kqexecution.Run{run}
		w.mu.Unlock()
		time.Sleep(time.Second)
		x.SetZones(zones(5, "a"))
		time.Sleep(100 * time.Millisecond)
		before := w.startCount()
		time.Sleep(2 * time.Second)
		g.Expect(w.startCount()).To(Equal(before))
		g.Expect(w.stoppedRuns()).To(BeEmpty())
		g.Expect(o.ends()).To(BeEmpty())
		stop := order()
		stop.Stop = true
		x.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{stop}})
		time.Sleep(time.Second)
		g.Expect(w.stoppedRuns()).To(ContainElement(run), "the owner can still stop it")
	})
}

// An agent that cannot reach the store learns only from its owner that a zone is evacuated and
// that the request was withdrawn. Guards against starts by outdated zones in both cases.
func TestAnAgentCutOffFromTheStoreObeysItsOwner(t *testing.T) {
	w := &fakeWorker{}
	withExecutor(t, w, func(g *WithT, x *kqexecutor.Executor, o *fakeOwner) {
		x.SetZones(zones(3))
		notice := zones(5, "a").Notice()
		x.Receive(kqmessage.FromOwner{Zones: &notice, Orders: []*kqplan.Order{order()}})
		time.Sleep(time.Second)
		g.Expect(w.startCount()).To(BeZero())
		g.Expect(o.ends()).To(ContainElement(kqexecution.RunEnd{Run: run, Reason: kqexecution.EndRefused}))
		old := zones(4).Notice()
		next := order()
		next.Run.Number = 2
		x.Receive(kqmessage.FromOwner{Zones: &old, Orders: []*kqplan.Order{next}})
		time.Sleep(time.Second)
		g.Expect(w.startCount()).To(BeZero(), "an older notice changes nothing")
		withdrawn := zones(6).Notice()
		next = order()
		next.Run.Number = 3
		x.Receive(kqmessage.FromOwner{Zones: &withdrawn, Orders: []*kqplan.Order{next}})
		time.Sleep(time.Second)
		g.Expect(w.startCount()).To(Equal(1))
	})
}

// A process that was suspended, or that neither the store nor an owner answers, may not know of
// an evacuation that must have taken effect. Guards against starts until either confirms the
// zones again.
func TestNoStartIsSentByZonesThatAreTooOld(t *testing.T) {
	w := &fakeWorker{startsUnanswered: true}
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w.startedAt = time.Now()
		feed := kqevacuate.NewFeed("agent", nil)
		feed.MarkKnownAt(time.Now())
		x := kqexecutor.Start(kqexecutor.Config{Connect: w.connect, MaxLease: 7 * time.Second, Now: time.Now,
			ZonesKnownAt: feed.KnownAt, EvacuateWithin: 5 * time.Second})
		x.CheckIn(kqplan.WorkerInfo{Worker: "w", Zone: "a", Capacity: kqmodel.Resources{MilliProcessors: 4000}}, 1)
		o := &fakeOwner{}
		x.Connected(1, o.send)
		time.Sleep(time.Second)
		x.Receive(kqmessage.FromOwner{Resync: true, Orders: []*kqplan.Order{order()}})
		time.Sleep(4 * time.Second)
		before := w.startCount()
		time.Sleep(time.Second)
		g.Expect(before).To(BeNumerically(">", 2))
		g.Expect(w.startCount()).To(Equal(before))
		x.Receive(kqmessage.FromOwner{Grant: &kqmessage.Grant{LeaseRequest: o.lastLeaseRequest(), ZonesAge: 100 * time.Millisecond}})
		time.Sleep(time.Second)
		after := w.startCount()
		time.Sleep(5 * time.Second)
		g.Expect(after).To(BeNumerically(">", before), "the owner knows the zones")
		feed.MarkKnownAt(time.Now())
		before = w.startCount()
		time.Sleep(time.Second)
		g.Expect(w.startCount()).To(BeNumerically(">", before), "the store has answered")
		x.Stop()
		time.Sleep(time.Second)
	})
}

// A worker reports its remaining warm-up at each check-in. Guards against notifying the owner
// each time although the end of the warm-up has not changed.
func TestAnOwnerIsToldOnceThatAWorkerIsCold(t *testing.T) {
	w := &fakeWorker{}
	withExecutor(t, w, func(g *WithT, x *kqexecutor.Executor, o *fakeOwner) {
		reportedTimes := func() (out []time.Duration) {
			o.mu.Lock()
			defer o.mu.Unlock()
			for _, m := range o.received {
				if m.Worker != nil && m.Report == nil {
					out = append(out, m.Worker.WarmUpLeft)
				}
			}
			return out
		}
		for n := range 6 {
			time.Sleep(1500 * time.Millisecond)
			remaining := max(0, 6*time.Second-time.Duration(n)*1500*time.Millisecond)
			x.CheckIn(kqplan.WorkerInfo{Worker: "w", Zone: "a", Capacity: kqmodel.Resources{MilliProcessors: 4000}, WarmUpLeft: remaining}, uint64(2+n))
		}
		g.Expect(reportedTimes()).To(Equal([]time.Duration{6 * time.Second}))
	})
}
