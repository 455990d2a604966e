package kqexecutor_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqexecutor"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqapproval"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// machine is where incarnations of a worker follow each other under one id.
type machine struct {
	executor *kqexecutor.Executor
	owner    *owner
	events   *kqevent.Log
	asked    []string

	mu     sync.Mutex
	worker *worker
	holds  func(h kqexecution.Held) (kqexecution.Held, error)
}

// present returns the incarnation that answers now.
func (m *machine) present() *worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.worker
}

// begin replaces the incarnation and returns its name.
func (m *machine) begin() kqexecution.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.worker = &worker{began: time.Now(), born: time.Now()}
	return kqexecution.NewIncarnation("w", m.worker.born)
}

func (m *machine) connect(kqexecution.Incarnation) kqexecution.Worker {
	return kqexecution.Worker{
		Start: func(ctx context.Context, s kqexecution.Start) (kqexecution.Answer, kqexecution.Clock, error) {
			return m.present().start(ctx, s)
		},
		Stop: func(ctx context.Context, r kqexecution.Run, token uint64) (kqexecution.Answer, error) {
			return m.present().stop(ctx, r, token)
		},
		Hold: func(ctx context.Context, h kqexecution.Hold) (kqexecution.Held, error) {
			out, err := m.present().hold(ctx, h)
			m.mu.Lock()
			change := m.holds
			m.mu.Unlock()
			if change != nil && err == nil {
				return change(out)
			}
			return out, err
		}}
}

func (m *machine) answer(change func(h kqexecution.Held) (kqexecution.Held, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holds = change
}

func info(w kqexecution.Incarnation) kqplan.WorkerInfo {
	return kqplan.WorkerInfo{Worker: w, Capacity: kqmodel.Resources{MilliProcessors: 4000}}
}

// sync has the owner answer the registration and grant a lease.
func (m *machine) sync() {
	time.Sleep(time.Second)
	m.executor.Receive(kqmessage.FromOwner{Resync: true})
	m.executor.Receive(kqmessage.FromOwner{Grant: &kqmessage.Grant{LeaseRequest: m.owner.lastAsk(), Duration: 7 * time.Second}})
}

func (m *machine) order(w kqexecution.Incarnation) {
	o := order()
	o.Worker = w
	m.executor.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{o}})
}

// stops returns what the present incarnation was told to stop.
func (m *machine) stops() []kqexecution.Run {
	w := m.present()
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]kqexecution.Run(nil), w.stops...)
}

// described returns the workers that the owner was told of, in order.
func (o *owner) described() (out []kqexecution.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range o.said {
		if m.Worker != nil {
			out = append(out, m.Worker.Worker)
		}
	}
	return out
}

func (o *owner) gone() (out []kqexecution.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range o.said {
		if m.Departed != "" {
			out = append(out, m.Departed)
		}
	}
	return out
}

// lives runs an agent with a first incarnation that has checked in with sequence
// 9, and an owner.
func lives(t *testing.T, f func(g *WithT, m *machine, first kqexecution.Incarnation)) {
	synctest.Test(t, func(t *testing.T) {
		m := &machine{owner: &owner{}, events: kqevent.New(kqevent.Config{Process: "p", Logger: zap.New(zapcore.NewCore(
			zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&bytes.Buffer{}), zapcore.InfoLevel)), Keep: 10})}
		first := m.begin()
		m.executor = kqexecutor.Start(kqexecutor.Config{Connect: m.connect, MaxLease: 7 * time.Second, Now: time.Now, Events: m.events, Policy: kqapproval.Service{
			Ask: func(_ context.Context, _ string, workers []string) (kqapproval.Answer, error) {
				m.asked = append(m.asked, workers...)
				return kqapproval.Answer{}, nil
			}}})
		m.executor.CheckIn(info(first), 9)
		m.executor.Connected(1, m.owner.send)
		m.sync()
		defer func() {
			m.executor.Stop()
			time.Sleep(time.Second)
		}()
		f(NewWithT(t), m, first)
	})
}

func TestASecondIncarnationIsDrivenFromItsFirstCheckInWhateverItsSequence(t *testing.T) {
	lives(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		second := m.begin()
		g.Expect(m.executor.CheckIn(info(second), 1)).To(BeTrue())
		g.Expect(m.executor.Drives(second)).To(BeTrue())
		time.Sleep(time.Second)
		g.Expect(m.owner.described()).To(Equal([]kqexecution.Incarnation{first, "", second}))
		g.Expect(m.owner.gone()).To(BeEmpty(), "what the first ran is stopped on the second before it is given up")
		g.Expect(m.events.Counts()).To(HaveKeyWithValue("worker_reborn", uint64(1)))
	})
}

func TestAWorkerThatHasLeftMayBeginAnew(t *testing.T) {
	lives(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		m.executor.Departed(first)
		g.Expect(m.owner.gone()).To(Equal([]kqexecution.Incarnation{first}))
		g.Expect(m.executor.CheckIn(info(first), 10)).To(BeFalse())
		time.Sleep(time.Second)
		second := m.begin()
		g.Expect(m.executor.CheckIn(info(second), 1)).To(BeTrue())
		g.Expect(m.executor.Drives(second)).To(BeTrue())
	})
}

func TestAListOfALaterIncarnationEndsTheOneThatIsDriven(t *testing.T) {
	lives(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		second := m.begin()
		m.present().ended = []kqexecution.End{{Number: 1, Run: run, How: kqexecution.HowDone}}
		time.Sleep(600 * time.Millisecond)
		g.Expect(m.executor.Drives(first)).To(BeFalse())
		g.Expect(m.executor.Drives(second)).To(BeFalse(), "it is driven from its first check-in")
		g.Expect(m.owner.described()).To(Equal([]kqexecution.Incarnation{first, ""}))
		g.Expect(m.owner.ends()).To(BeEmpty(), "its list is not that of the first")
		g.Expect(m.executor.CheckIn(info(first), 11)).To(BeFalse())
		g.Expect(m.executor.CheckIn(info(second), 1)).To(BeTrue())
		time.Sleep(time.Second)
		g.Expect(m.owner.ends()).To(HaveLen(1))
		g.Expect(m.events.Counts()).To(HaveKeyWithValue("incarnation_over", uint64(1)))
	})
}

func TestWhatIsSaidOfAnEarlierIncarnationIsDropped(t *testing.T) {
	lives(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		second := m.begin()
		m.executor.CheckIn(info(second), 1)
		m.sync()
		earlier, _ := first.Born()
		g.Expect(m.executor.CheckIn(info(first), 12)).To(BeFalse())
		m.executor.Departed(first)
		g.Expect(m.executor.Drives(second)).To(BeTrue())
		m.answer(func(h kqexecution.Held) (kqexecution.Held, error) {
			h.Born = earlier
			h.Ended = []kqexecution.End{{Number: 1, Run: run, How: kqexecution.HowDone}}
			return h, nil
		})
		time.Sleep(500 * time.Millisecond)
		g.Expect(m.executor.Drives(second)).To(BeTrue())
		g.Expect(m.owner.ends()).To(BeEmpty())
		g.Expect(m.events.Counts()["incarnation_over"]).To(BeNumerically(">", uint64(2)))
	})
}

func TestAMessageWithoutAValidBirthNamesNoWorker(t *testing.T) {
	lives(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		g.Expect(m.executor.CheckIn(info("w"), 99)).To(BeFalse())
		m.executor.Departed("w")
		g.Expect(m.executor.Drives(first)).To(BeTrue())
		g.Expect(m.events.Counts()).To(HaveKeyWithValue("birth_refused", uint64(2)))
		for _, bad := range []func(h kqexecution.Held) (kqexecution.Held, error){
			func(kqexecution.Held) (kqexecution.Held, error) { return kqexecution.Held{}, kqexecution.ErrBirth },
			func(h kqexecution.Held) (kqexecution.Held, error) { h.Born = time.Time{}; return h, nil },
		} {
			before := m.events.Counts()["birth_refused"]
			m.answer(bad)
			time.Sleep(300 * time.Millisecond)
			m.answer(nil)
			time.Sleep(300 * time.Millisecond)
			g.Expect(m.executor.Drives(first)).To(BeTrue())
			g.Expect(m.events.Counts()["birth_refused"]).To(BeNumerically(">", before))
		}
		g.Expect(m.executor.CheckIn(info(first), 10)).To(BeTrue())
		g.Expect(m.owner.described()).To(Equal([]kqexecution.Incarnation{first}))
	})
}

// A start that was not answered may be carried out by whichever incarnation is there
// 12 s later, also while no owner can be reached.
func TestAStartThatWasLeftUnansweredIsStoppedOnEachLaterIncarnation(t *testing.T) {
	lives(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		m.present().silent = true
		m.order(first)
		time.Sleep(500 * time.Millisecond)
		m.executor.Disconnected()
		for range 2 {
			m.begin()
			time.Sleep(700 * time.Millisecond)
			g.Expect(m.stops()).To(ContainElement(run), "before its first check-in")
			second := kqexecution.NewIncarnation("w", m.present().born)
			m.executor.CheckIn(info(second), 1)
			tries := len(m.present().starts)
			time.Sleep(300 * time.Millisecond)
			g.Expect(m.present().starts).To(HaveLen(tries))
		}
		time.Sleep(20 * time.Second)
		fourth := m.begin()
		m.executor.CheckIn(info(fourth), 1)
		time.Sleep(time.Second)
		g.Expect(m.stops()).To(BeEmpty(), "no start is under way any more")
	})
}

// The second may have carried out, and answered, a start that was sent before it was
// known.
func TestAStartThatReachedTheSecondIncarnationIsStoppedThere(t *testing.T) {
	lives(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		m.begin()
		m.order(first)
		time.Sleep(10 * time.Millisecond)
		g.Expect(m.present().starts).To(HaveLen(1))
		m.executor.Disconnected()
		time.Sleep(500 * time.Millisecond)
		g.Expect(m.stops()).To(ContainElement(run))
	})
}

func TestLateAnswersOfTheFirstIncarnationChangeNothing(t *testing.T) {
	lives(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		old := m.present()
		old.delay, old.unwell = 200*time.Millisecond, true
		m.order(first)
		time.Sleep(100 * time.Millisecond)
		second := m.begin()
		m.executor.CheckIn(info(second), 1)
		m.sync()
		g.Expect(m.owner.ends()).To(BeEmpty())
		g.Expect(m.present().starts).To(BeEmpty())
		g.Expect(m.stops()).To(ContainElement(run), "a try that was under way may have reached the second")
		g.Expect(m.executor.Drives(second)).To(BeTrue())
		g.Expect(m.events.Counts()).NotTo(HaveKey("order_refused"))
		g.Expect(time.Duration(m.present().until)).To(BeNumerically("<", 9*time.Second), "the lease is on the clock of the second")
	})
}

// The first lists the run before the try to start it has timed out: a copy of that
// try may still begin on the second.
func TestATryThatWasUnderWayAsTheWorkerBeganAnewIsStoppedThere(t *testing.T) {
	lives(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		old := m.present()
		old.delay, old.silent = 200*time.Millisecond, true
		m.answer(func(h kqexecution.Held) (kqexecution.Held, error) {
			h.Running = []kqexecution.Running{{Run: run, Percent: 50}}
			return h, nil
		})
		m.order(first)
		time.Sleep(120 * time.Millisecond)
		m.answer(nil)
		second := m.begin()
		m.executor.CheckIn(info(second), 1)
		time.Sleep(500 * time.Millisecond)
		g.Expect(m.stops()).To(ContainElement(run))
	})
}

// Numbers of ends start anew: what was noted of the first must not make the worker
// forget, or the agent pass over, ends of the second.
func TestEndsOfTheSecondIncarnationAreReportedWhateverWasNotedOfTheFirst(t *testing.T) {
	lives(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		second := m.begin()
		m.executor.CheckIn(info(second), 1)
		m.executor.Receive(kqmessage.FromOwner{Acknowledged: 40, AcknowledgedOf: first})
		w := m.present()
		w.mu.Lock()
		w.ended = []kqexecution.End{{Number: 1, Run: run, How: kqexecution.HowDone}}
		w.mu.Unlock()
		m.sync()
		g.Expect(m.owner.ends()).To(Equal(w.ended))
		g.Expect(w.seen).To(BeZero())
		m.executor.Receive(kqmessage.FromOwner{Acknowledged: 1, AcknowledgedOf: second})
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		g.Expect(w.seen).To(Equal(uint64(1)))
	})
}

// A question meant for the first may reach the second, which would forget its ends.
func TestNoNumbersOfTheFirstReachTheSecondAfterACrash(t *testing.T) {
	lives(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		w := m.present()
		w.mu.Lock()
		w.ended = []kqexecution.End{{Number: 1, Run: run, How: kqexecution.HowDone}}
		w.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		m.answer(func(kqexecution.Held) (kqexecution.Held, error) { return kqexecution.Held{}, errSilent })
		m.executor.Receive(kqmessage.FromOwner{Acknowledged: 1, AcknowledgedOf: first})
		time.Sleep(500 * time.Millisecond)
		m.begin()
		time.Sleep(300 * time.Millisecond)
		m.answer(nil)
		time.Sleep(500 * time.Millisecond)
		g.Expect(m.present().seen).To(BeZero())
		g.Expect(m.present().until).To(BeZero(), "the lease is on the clock of the first")
		g.Expect(m.executor.Drives(first)).To(BeFalse())
	})
}

func TestAnAgentThatWasToldOfTheFirstIncarnationFindsTheSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := &machine{owner: &owner{}}
		first := m.begin()
		time.Sleep(time.Second)
		second := m.begin()
		m.executor = kqexecutor.Start(kqexecutor.Config{Connect: m.connect, MaxLease: 7 * time.Second, Now: time.Now})
		m.executor.Connected(1, m.owner.send)
		known := info(first)
		m.executor.Receive(kqmessage.FromOwner{KnownWorker: &known})
		g.Expect(m.executor.Drives(first)).To(BeTrue())
		time.Sleep(time.Second)
		g.Expect(m.executor.Drives(first)).To(BeFalse())
		g.Expect(m.executor.CheckIn(info(first), 30)).To(BeFalse())
		g.Expect(m.executor.CheckIn(info(second), 1)).To(BeTrue())
		time.Sleep(time.Second)
		g.Expect(m.owner.described()).To(ContainElement(second))
		g.Expect(m.owner.described()).NotTo(ContainElement(first))
		m.executor.Receive(kqmessage.FromOwner{KnownWorker: &known})
		g.Expect(m.executor.Drives(second)).To(BeTrue())
		m.executor.Stop()
		time.Sleep(time.Second)
	})
}

// A leave message of an incarnation that was never driven proves the end of the one
// that is.
func TestALeaveMessageOfALaterIncarnationEndsTheOneThatIsDriven(t *testing.T) {
	lives(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		second := m.begin()
		m.executor.Departed(second)
		g.Expect(m.executor.Drives(first)).To(BeFalse())
		g.Expect(m.executor.CheckIn(info(second), 2)).To(BeFalse())
		g.Expect(m.owner.gone()).To(Equal([]kqexecution.Incarnation{second}))
	})
}

func TestThePolicyServiceIsAskedWithIDs(t *testing.T) {
	lives(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		m.executor.Receive(kqmessage.FromOwner{ApprovalRequests: []*kqplan.ApprovalRequest{{Step: "j.0.0", Workers: []kqexecution.Incarnation{first, "x"}}}})
		time.Sleep(100 * time.Millisecond)
		g.Expect(m.asked).To(Equal([]string{"w", "x"}))
	})
}

// A worker that has just begun answers with clock 0: the lease must not be counted
// from a reading that it has not reached.
func TestTheLeaseOfAWorkerWhoseClockReadsZeroIsNotTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := &machine{owner: &owner{}}
		first := m.begin()
		m.answer(func(h kqexecution.Held) (kqexecution.Held, error) {
			h.Clock = 0
			return h, nil
		})
		m.executor = kqexecutor.Start(kqexecutor.Config{Connect: m.connect, MaxLease: 7 * time.Second, Now: time.Now})
		m.executor.CheckIn(info(first), 1)
		m.executor.Connected(1, m.owner.send)
		m.sync()
		time.Sleep(time.Second)
		g.Expect(time.Duration(m.present().until)).To(BeNumerically("<=", 8*time.Second))
		m.executor.Stop()
		time.Sleep(time.Second)
	})
}
