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

// machine runs one incarnation of a worker after another under one ID.
type machine struct {
	executor *kqexecutor.Executor
	owner    *fakeOwner
	events   *kqevent.Log
	// policyWorkers is the workers that the policy service was asked about.
	policyWorkers []string

	mu     sync.Mutex
	worker *fakeWorker
	// departures is the verified departures that were stored, attempts how often that was tried.
	departures []kqexecution.Incarnation
	attempts   map[kqexecutor.Departure]int
	// changePoll changes the answers to polls, if not nil.
	changePoll func(h kqexecution.Held) (kqexecution.Held, error)
}

// current returns the incarnation that is running.
func (m *machine) current() *fakeWorker {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.worker
}

// restart starts the next incarnation and returns it.
func (m *machine) restart() kqexecution.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.worker = &fakeWorker{startedAt: time.Now(), born: time.Now()}
	return kqexecution.NewIncarnation("w", m.worker.born)
}

func (m *machine) connect(kqexecution.Incarnation) kqexecution.Worker {
	return kqexecution.Worker{
		Start: func(ctx context.Context, s kqexecution.Start) (kqexecution.Answer, kqexecution.Clock, error) {
			return m.current().start(ctx, s)
		},
		Stop: func(ctx context.Context, r kqexecution.Run, token uint64) (kqexecution.Answer, error) {
			return m.current().stop(ctx, r, token)
		},
		Hold: func(ctx context.Context, h kqexecution.Hold) (kqexecution.Held, error) {
			out, err := m.current().poll(ctx, h)
			m.mu.Lock()
			change := m.changePoll
			m.mu.Unlock()
			if change != nil && err == nil {
				return change(out)
			}
			return out, err
		}}
}

func (m *machine) setPollChange(change func(h kqexecution.Held) (kqexecution.Held, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changePoll = change
}

func info(w kqexecution.Incarnation) kqplan.WorkerInfo {
	return kqplan.WorkerInfo{Worker: w, Capacity: kqmodel.Resources{MilliProcessors: 4000}}
}

// sync lets the owner answer the registration and grant a lease.
func (m *machine) sync() {
	time.Sleep(time.Second)
	m.executor.Receive(kqmessage.FromOwner{Resync: true})
	m.executor.Receive(kqmessage.FromOwner{Grant: &kqmessage.Grant{LeaseRequest: m.owner.lastLeaseRequest(), Duration: 7 * time.Second}})
}

func (m *machine) order(w kqexecution.Incarnation) {
	o := order()
	o.Worker = w
	m.executor.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{o}})
}

// stops returns the runs that the current incarnation was ordered to stop.
func (m *machine) stops() []kqexecution.Run {
	w := m.current()
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]kqexecution.Run(nil), w.stops...)
}

// describedWorkers returns the workers that were reported to the owner, in order.
func (o *fakeOwner) describedWorkers() (out []kqexecution.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range o.received {
		if m.Worker != nil {
			out = append(out, m.Worker.Worker)
		}
	}
	return out
}

func (o *fakeOwner) departedWorkers() (out []kqexecution.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range o.received {
		if m.Departed != "" {
			out = append(out, m.Departed)
		}
	}
	return out
}

// withMachine runs an executor with a first incarnation that has checked in with sequence 9,
// and a connected owner.
func withMachine(t *testing.T, f func(g *WithT, m *machine, first kqexecution.Incarnation)) {
	synctest.Test(t, func(t *testing.T) {
		m := &machine{owner: &fakeOwner{}, attempts: map[kqexecutor.Departure]int{}, events: kqevent.New(kqevent.Config{Process: "p", Logger: zap.New(zapcore.NewCore(
			zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&bytes.Buffer{}), zapcore.InfoLevel)), MaxEvents: 10})}
		first := m.restart()
		m.executor = kqexecutor.Start(kqexecutor.Config{Connect: m.connect, MaxLease: 7 * time.Second, Now: time.Now, Events: m.events, RecordDeparture: m.recordDeparture, Policy: kqapproval.Service{
			RequestTickets: func(_ context.Context, _ string, workers []string) (kqapproval.Response, error) {
				m.policyWorkers = append(m.policyWorkers, workers...)
				return kqapproval.Response{}, nil
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
	withMachine(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		second := m.restart()
		g.Expect(m.executor.CheckIn(info(second), 1)).To(BeTrue())
		g.Expect(m.executor.Drives(second)).To(BeTrue())
		time.Sleep(time.Second)
		g.Expect(m.owner.describedWorkers()).To(Equal([]kqexecution.Incarnation{first, "", second}))
		g.Expect(m.owner.departedWorkers()).To(BeEmpty(), "the runs of the first are stopped on the second before it is reported as departed")
		g.Expect(m.events.Counts()).To(HaveKeyWithValue("worker_reborn", uint64(1)))
	})
}

func TestAWorkerThatHasLeftMayBeginAnew(t *testing.T) {
	withMachine(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		m.leave(first)
		g.Expect(m.owner.departedWorkers()).To(Equal([]kqexecution.Incarnation{first}))
		g.Expect(m.executor.CheckIn(info(first), 10)).To(BeFalse())
		time.Sleep(time.Second)
		m.setPollChange(nil)
		second := m.restart()
		g.Expect(m.executor.CheckIn(info(second), 1)).To(BeTrue())
		g.Expect(m.executor.Drives(second)).To(BeTrue())
	})
}

func TestAListOfALaterIncarnationEndsTheOneThatIsDriven(t *testing.T) {
	withMachine(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		second := m.restart()
		m.current().ended = []kqexecution.RunEnd{{Number: 1, Run: run, Reason: kqexecution.EndDone}}
		time.Sleep(600 * time.Millisecond)
		g.Expect(m.executor.Drives(first)).To(BeFalse())
		g.Expect(m.executor.Drives(second)).To(BeFalse(), "it is driven only from its first check-in")
		g.Expect(m.owner.describedWorkers()).To(Equal([]kqexecution.Incarnation{first, ""}))
		g.Expect(m.owner.ends()).To(BeEmpty(), "its ends are not those of the first")
		g.Expect(m.executor.CheckIn(info(first), 11)).To(BeFalse())
		g.Expect(m.executor.CheckIn(info(second), 1)).To(BeTrue())
		time.Sleep(time.Second)
		g.Expect(m.owner.ends()).To(HaveLen(1))
		g.Expect(m.events.Counts()).To(HaveKeyWithValue("incarnation_over", uint64(1)))
	})
}

func TestWhatIsSaidOfAnEarlierIncarnationIsDropped(t *testing.T) {
	withMachine(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		second := m.restart()
		m.executor.CheckIn(info(second), 1)
		m.sync()
		earlier, _ := first.Born()
		g.Expect(m.executor.CheckIn(info(first), 12)).To(BeFalse())
		m.executor.ReceiveLeave(first)
		g.Expect(m.executor.Drives(second)).To(BeTrue())
		m.setPollChange(func(h kqexecution.Held) (kqexecution.Held, error) {
			h.Born = earlier
			h.Ended = []kqexecution.RunEnd{{Number: 1, Run: run, Reason: kqexecution.EndDone}}
			return h, nil
		})
		time.Sleep(500 * time.Millisecond)
		g.Expect(m.executor.Drives(second)).To(BeTrue())
		g.Expect(m.owner.ends()).To(BeEmpty())
		g.Expect(m.events.Counts()["incarnation_over"]).To(BeNumerically(">", uint64(2)))
	})
}

func TestAMessageWithoutAValidBirthNamesNoWorker(t *testing.T) {
	withMachine(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		g.Expect(m.executor.CheckIn(info("w"), 99)).To(BeFalse())
		m.executor.ReceiveLeave("w")
		g.Expect(m.executor.Drives(first)).To(BeTrue())
		g.Expect(m.events.Counts()).To(HaveKeyWithValue("birth_refused", uint64(2)))
		for _, bad := range []func(h kqexecution.Held) (kqexecution.Held, error){
			func(kqexecution.Held) (kqexecution.Held, error) { return kqexecution.Held{}, kqexecution.ErrBirth },
			func(h kqexecution.Held) (kqexecution.Held, error) { h.Born = time.Time{}; return h, nil },
		} {
			before := m.events.Counts()["birth_refused"]
			m.setPollChange(bad)
			time.Sleep(300 * time.Millisecond)
			m.setPollChange(nil)
			time.Sleep(300 * time.Millisecond)
			g.Expect(m.executor.Drives(first)).To(BeTrue())
			g.Expect(m.events.Counts()["birth_refused"]).To(BeNumerically(">", before))
		}
		g.Expect(m.executor.CheckIn(info(first), 10)).To(BeTrue())
		g.Expect(m.owner.describedWorkers()).To(Equal([]kqexecution.Incarnation{first}))
	})
}

// An unanswered start may be carried out up to 12 s later by any incarnation that runs then.
// Guards against not stopping it there, also while no owner is connected.
func TestAStartThatWasLeftUnansweredIsStoppedOnEachLaterIncarnation(t *testing.T) {
	withMachine(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		m.current().startsUnanswered = true
		m.order(first)
		time.Sleep(500 * time.Millisecond)
		m.executor.Disconnected()
		for range 2 {
			m.restart()
			time.Sleep(700 * time.Millisecond)
			g.Expect(m.stops()).To(ContainElement(run), "before its first check-in")
			second := kqexecution.NewIncarnation("w", m.current().born)
			m.executor.CheckIn(info(second), 1)
			tries := len(m.current().starts)
			time.Sleep(300 * time.Millisecond)
			g.Expect(m.current().starts).To(HaveLen(tries))
		}
		time.Sleep(20 * time.Second)
		fourth := m.restart()
		m.executor.CheckIn(info(fourth), 1)
		time.Sleep(time.Second)
		g.Expect(m.stops()).To(BeEmpty(), "no start can be in flight any more")
	})
}

// The second incarnation may carry out and answer a start that was sent while only the first
// was known. Guards against leaving that run on the second.
func TestAStartThatReachedTheSecondIncarnationIsStoppedThere(t *testing.T) {
	withMachine(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		m.restart()
		m.order(first)
		time.Sleep(10 * time.Millisecond)
		g.Expect(m.current().starts).To(HaveLen(1))
		m.executor.Disconnected()
		time.Sleep(500 * time.Millisecond)
		g.Expect(m.stops()).To(ContainElement(run))
	})
}

func TestLateAnswersOfTheFirstIncarnationChangeNothing(t *testing.T) {
	withMachine(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		old := m.current()
		old.delay, old.unhealthy = 200*time.Millisecond, true
		m.order(first)
		time.Sleep(100 * time.Millisecond)
		second := m.restart()
		m.executor.CheckIn(info(second), 1)
		m.sync()
		g.Expect(m.owner.ends()).To(BeEmpty())
		g.Expect(m.current().starts).To(BeEmpty())
		g.Expect(m.stops()).To(ContainElement(run), "a start that was in flight may have reached the second")
		g.Expect(m.executor.Drives(second)).To(BeTrue())
		g.Expect(m.events.Counts()).NotTo(HaveKey("order_refused"))
		g.Expect(time.Duration(m.current().leaseEnd)).To(BeNumerically("<", 9*time.Second), "the lease counts on the clock of the second")
	})
}

// The first incarnation lists the run before the call to start it has timed out. Guards
// against a copy of that call that starts the run on the second.
func TestATryThatWasUnderWayAsTheWorkerBeganAnewIsStoppedThere(t *testing.T) {
	withMachine(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		old := m.current()
		old.delay, old.startsUnanswered = 200*time.Millisecond, true
		m.setPollChange(func(h kqexecution.Held) (kqexecution.Held, error) {
			h.Running = []kqexecution.RunStatus{{Run: run, Percent: 50}}
			return h, nil
		})
		m.order(first)
		time.Sleep(120 * time.Millisecond)
		m.setPollChange(nil)
		second := m.restart()
		m.executor.CheckIn(info(second), 1)
		time.Sleep(500 * time.Millisecond)
		g.Expect(m.stops()).To(ContainElement(run))
	})
}

// Each incarnation numbers its ends from 1. Guards against an acknowledgement for the first
// that makes the worker forget, or the agent skip, ends of the second.
func TestEndsOfTheSecondIncarnationAreReportedWhateverWasNotedOfTheFirst(t *testing.T) {
	withMachine(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		second := m.restart()
		m.executor.CheckIn(info(second), 1)
		m.executor.Receive(kqmessage.FromOwner{Acknowledged: 40, AcknowledgedOf: first})
		w := m.current()
		w.mu.Lock()
		w.ended = []kqexecution.RunEnd{{Number: 1, Run: run, Reason: kqexecution.EndDone}}
		w.mu.Unlock()
		m.sync()
		g.Expect(m.owner.ends()).To(Equal(w.ended))
		g.Expect(w.ackedEnd).To(BeZero())
		m.executor.Receive(kqmessage.FromOwner{Acknowledged: 1, AcknowledgedOf: second})
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		g.Expect(w.ackedEnd).To(Equal(uint64(1)))
	})
}

// A poll for the first incarnation may reach the second. Guards against an acknowledged number
// of the first in it, by which the second would forget its own ends.
func TestNoNumbersOfTheFirstReachTheSecondAfterACrash(t *testing.T) {
	withMachine(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		w := m.current()
		w.mu.Lock()
		w.ended = []kqexecution.RunEnd{{Number: 1, Run: run, Reason: kqexecution.EndDone}}
		w.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		m.setPollChange(func(kqexecution.Held) (kqexecution.Held, error) { return kqexecution.Held{}, errNoAnswer })
		m.executor.Receive(kqmessage.FromOwner{Acknowledged: 1, AcknowledgedOf: first})
		time.Sleep(500 * time.Millisecond)
		m.restart()
		time.Sleep(300 * time.Millisecond)
		m.setPollChange(nil)
		time.Sleep(500 * time.Millisecond)
		g.Expect(m.current().ackedEnd).To(BeZero())
		g.Expect(m.current().leaseEnd).To(BeZero(), "the lease counts on the clock of the first")
		g.Expect(m.executor.Drives(first)).To(BeFalse())
	})
}

func TestAnAgentThatWasToldOfTheFirstIncarnationFindsTheSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := &machine{owner: &fakeOwner{}}
		first := m.restart()
		time.Sleep(time.Second)
		second := m.restart()
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
		g.Expect(m.owner.describedWorkers()).To(ContainElement(second))
		g.Expect(m.owner.describedWorkers()).NotTo(ContainElement(first))
		m.executor.Receive(kqmessage.FromOwner{KnownWorker: &known})
		g.Expect(m.executor.Drives(second)).To(BeTrue())
		m.executor.Stop()
		time.Sleep(time.Second)
	})
}

// A leave message of a later incarnation, which was never driven, proves that the current one
// has ended. Guards against driving the current one further.
func TestALeaveMessageOfALaterIncarnationEndsTheOneThatIsDriven(t *testing.T) {
	withMachine(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		second := m.restart()
		m.executor.ReceiveLeave(second)
		g.Expect(m.executor.Drives(first)).To(BeFalse())
		m.leave(second)
		g.Expect(m.executor.CheckIn(info(second), 2)).To(BeFalse())
		g.Expect(m.owner.departedWorkers()).To(Equal([]kqexecution.Incarnation{second}))
	})
}

func TestThePolicyServiceIsAskedWithIDs(t *testing.T) {
	withMachine(t, func(g *WithT, m *machine, first kqexecution.Incarnation) {
		m.executor.Receive(kqmessage.FromOwner{ApprovalRequests: []*kqplan.ApprovalRequest{{Step: "j.0.0", Workers: []kqexecution.Incarnation{first, "x"}}}})
		time.Sleep(100 * time.Millisecond)
		g.Expect(m.policyWorkers).To(Equal([]string{"w", "x"}))
	})
}

// A worker that has just started answers with clock 0. Guards against a lease that counts from
// a reading that the clock has not reached.
func TestTheLeaseOfAWorkerWhoseClockReadsZeroIsNotTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := &machine{owner: &fakeOwner{}}
		first := m.restart()
		m.setPollChange(func(h kqexecution.Held) (kqexecution.Held, error) {
			h.Clock = 0
			return h, nil
		})
		m.executor = kqexecutor.Start(kqexecutor.Config{Connect: m.connect, MaxLease: 7 * time.Second, Now: time.Now})
		m.executor.CheckIn(info(first), 1)
		m.executor.Connected(1, m.owner.send)
		m.sync()
		time.Sleep(time.Second)
		g.Expect(time.Duration(m.current().leaseEnd)).To(BeNumerically("<=", 8*time.Second))
		m.executor.Stop()
		time.Sleep(time.Second)
	})
}
