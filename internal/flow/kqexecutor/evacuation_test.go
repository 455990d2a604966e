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

func (w *worker) begun() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.starts)
}

func (w *worker) stopped() []kqexecution.Run {
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

// A start that the worker leaves unanswered is repeated for as long as it takes:
// once the zone is evacuated no start may be sent, and a late one must not begin.
func TestARepeatedStartIsStoppedOnceTheZoneIsEvacuated(t *testing.T) {
	w := &worker{silent: true}
	play(t, w, func(g *WithT, x *kqexecutor.Executor, o *owner) {
		x.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{order()}})
		time.Sleep(500 * time.Millisecond)
		before := w.begun()
		g.Expect(before).To(BeNumerically(">", 2))
		x.SetZones(zones(5, "a"))
		time.Sleep(2 * time.Second)
		g.Expect(w.begun()).To(BeNumerically("<=", before+1))
		g.Expect(w.stopped()).To(ContainElement(run))
		g.Expect(o.ends()).To(ContainElement(kqexecution.End{Run: run, How: kqexecution.HowRefused}))
	})
}

// A start whose answer was lost has begun if the worker lists the run: it goes on,
// and no start is sent again.
func TestAListedRunGoesOnInAnEvacuatedZone(t *testing.T) {
	w := &worker{silent: true}
	play(t, w, func(g *WithT, x *kqexecutor.Executor, o *owner) {
		x.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{order()}})
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		w.running = []kqexecution.Run{run}
		w.mu.Unlock()
		time.Sleep(time.Second)
		x.SetZones(zones(5, "a"))
		time.Sleep(100 * time.Millisecond)
		before := w.begun()
		time.Sleep(2 * time.Second)
		g.Expect(w.begun()).To(Equal(before))
		g.Expect(w.stopped()).To(BeEmpty())
		g.Expect(o.ends()).To(BeEmpty())
		stop := order()
		stop.Stop = true
		x.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{stop}})
		time.Sleep(time.Second)
		g.Expect(w.stopped()).To(ContainElement(run), "the owner can stop it still")
	})
}

// An agent that is cut off from the store hears of the zones from its owner alone,
// of the request and of its withdrawal.
func TestAnAgentCutOffFromTheStoreObeysItsOwner(t *testing.T) {
	w := &worker{}
	play(t, w, func(g *WithT, x *kqexecutor.Executor, o *owner) {
		x.SetZones(zones(3))
		told := zones(5, "a").Notice()
		x.Receive(kqmessage.FromOwner{Zones: &told, Orders: []*kqplan.Order{order()}})
		time.Sleep(time.Second)
		g.Expect(w.begun()).To(BeZero())
		g.Expect(o.ends()).To(ContainElement(kqexecution.End{Run: run, How: kqexecution.HowRefused}))
		old := zones(4).Notice()
		next := order()
		next.Run.Number = 2
		x.Receive(kqmessage.FromOwner{Zones: &old, Orders: []*kqplan.Order{next}})
		time.Sleep(time.Second)
		g.Expect(w.begun()).To(BeZero(), "an older word changes nothing")
		back := zones(6).Notice()
		next = order()
		next.Run.Number = 3
		x.Receive(kqmessage.FromOwner{Zones: &back, Orders: []*kqplan.Order{next}})
		time.Sleep(time.Second)
		g.Expect(w.begun()).To(Equal(1))
	})
}

// A process that was suspended, or that neither the store nor an owner answers, may
// not know of a request that must be obeyed by now.
func TestNoStartIsSentByZonesThatAreTooOld(t *testing.T) {
	w := &worker{silent: true}
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w.began = time.Now()
		feed := kqevacuate.NewFeed("agent", nil)
		feed.MarkKnownAt(time.Now())
		x := kqexecutor.Start(kqexecutor.Config{Connect: w.connect, MaxLease: 7 * time.Second, Now: time.Now,
			ZonesKnownAt: feed.KnownAt, EvacuateWithin: 5 * time.Second})
		x.CheckIn(kqplan.WorkerInfo{Worker: "w", Zone: "a", Capacity: kqmodel.Resources{MilliProcessors: 4000}}, 1)
		o := &owner{}
		x.Connected(1, o.send)
		time.Sleep(time.Second)
		x.Receive(kqmessage.FromOwner{Resync: true, Orders: []*kqplan.Order{order()}})
		time.Sleep(4 * time.Second)
		before := w.begun()
		time.Sleep(time.Second)
		g.Expect(before).To(BeNumerically(">", 2))
		g.Expect(w.begun()).To(Equal(before))
		x.Receive(kqmessage.FromOwner{Grant: &kqmessage.Grant{LeaseRequest: o.lastAsk(), ZonesAge: 100 * time.Millisecond}})
		time.Sleep(time.Second)
		after := w.begun()
		time.Sleep(5 * time.Second)
		g.Expect(after).To(BeNumerically(">", before), "the owner knows the zones")
		feed.MarkKnownAt(time.Now())
		before = w.begun()
		time.Sleep(time.Second)
		g.Expect(w.begun()).To(BeNumerically(">", before), "the store has answered")
		x.Stop()
		time.Sleep(time.Second)
	})
}

// A worker says at each check-in how long it is still cold: its owner is told when that
// begins, not each time.
func TestAnOwnerIsToldOnceThatAWorkerIsCold(t *testing.T) {
	w := &worker{}
	play(t, w, func(g *WithT, x *kqexecutor.Executor, o *owner) {
		said := func() (out []time.Duration) {
			o.mu.Lock()
			defer o.mu.Unlock()
			for _, m := range o.said {
				if m.Worker != nil && m.Report == nil {
					out = append(out, m.Worker.WarmUpLeft)
				}
			}
			return out
		}
		for n := range 6 {
			time.Sleep(1500 * time.Millisecond)
			cold := max(0, 6*time.Second-time.Duration(n)*1500*time.Millisecond)
			x.CheckIn(kqplan.WorkerInfo{Worker: "w", Zone: "a", Capacity: kqmodel.Resources{MilliProcessors: 4000}, WarmUpLeft: cold}, uint64(2+n))
		}
		g.Expect(said()).To(Equal([]time.Duration{6 * time.Second}))
	})
}
