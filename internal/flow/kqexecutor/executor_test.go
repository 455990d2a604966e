package kqexecutor_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqexecutor"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

var errNoAnswer = errors.New("no answer")

// fakeWorker answers polls unless pollsUnanswered is true, starts unless startsUnanswered is true, and
// stops. It refuses polls if pollsFenced is true.
type fakeWorker struct {
	mu               sync.Mutex
	startedAt        time.Time
	born             time.Time
	startsUnanswered bool
	pollsUnanswered  bool
	pollsFenced      bool
	delay            time.Duration
	unhealthy        bool
	starts           []kqexecution.Start
	stops            []kqexecution.Run
	leaseEnd         kqexecution.Clock
	ended            []kqexecution.RunEnd
	ackedEnd         uint64
	// running is the runs that polls list.
	running []kqexecution.Run
	// lacksRuns and lacksEnds are those of the answers to polls; clockOnce is the clock of one answer.
	lacksRuns, lacksEnds bool
	clockOnce            kqexecution.Clock
}

func (w *fakeWorker) clock() kqexecution.Clock { return kqexecution.Clock(time.Since(w.startedAt)) }

func (w *fakeWorker) connect(kqexecution.Incarnation) kqexecution.Worker {
	return kqexecution.Worker{Start: w.start, Stop: w.stop, Hold: w.poll}
}

func (w *fakeWorker) start(ctx context.Context, s kqexecution.Start) (kqexecution.Answer, kqexecution.Clock, error) {
	time.Sleep(w.delay)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, s)
	if w.startsUnanswered {
		return "", 0, errNoAnswer
	}
	if w.unhealthy {
		return kqexecution.AnswerUnhealthy, w.clock(), nil
	}
	return kqexecution.AnswerDone, w.clock(), nil
}

func (w *fakeWorker) stop(_ context.Context, r kqexecution.Run, _ uint64) (kqexecution.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops = append(w.stops, r)
	return kqexecution.AnswerDone, nil
}

func (w *fakeWorker) poll(_ context.Context, h kqexecution.Hold) (kqexecution.Held, error) {
	time.Sleep(min(h.Wait, 50*time.Millisecond))
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pollsUnanswered {
		return kqexecution.Held{}, errNoAnswer
	}
	if w.pollsFenced {
		return kqexecution.Held{Answer: kqexecution.AnswerFenced, Clock: w.clock(), Born: w.born}, nil
	}
	w.leaseEnd, w.ackedEnd = max(w.leaseEnd, h.LeaseUntil), max(w.ackedEnd, h.Acknowledged)
	out := kqexecution.Held{Answer: kqexecution.AnswerDone, Clock: w.clock(), Born: w.born, LacksRuns: w.lacksRuns, LacksEnds: w.lacksEnds}
	if w.clockOnce != 0 {
		out.Clock, w.clockOnce = w.clockOnce, 0
	}
	for _, r := range w.running {
		out.Running = append(out.Running, kqexecution.RunStatus{Run: r})
	}
	for _, e := range w.ended {
		if e.Number > w.ackedEnd {
			out.Ended = append(out.Ended, e)
		}
	}
	return out, nil
}

// leaveCheckTime is the time in which an agent notices that a worker that has said so has left.
const leaveCheckTime = 200 * time.Millisecond

// leave sends a leave message and ends the worker, as it does when the message is acknowledged.
func (w *fakeWorker) leave(x *kqexecutor.Executor) {
	x.ReceiveLeave("w")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pollsUnanswered, w.startsUnanswered = true, true
}

// fakeOwner records the messages of the agent.
type fakeOwner struct {
	mu       sync.Mutex
	received []kqmessage.ToOwner
}

func (o *fakeOwner) send(m kqmessage.ToOwner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.received = append(o.received, m)
}

func (o *fakeOwner) ends() (out []kqexecution.RunEnd) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range o.received {
		if m.Report != nil {
			out = append(out, m.Report.Ended...)
		}
	}
	return out
}

func (o *fakeOwner) lastLeaseRequest() (n uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range o.received {
		n = max(n, m.LeaseRequest)
	}
	return n
}

var run = kqexecution.Run{Task: "j.0.0.0", Number: 1}

func order() *kqplan.Order {
	return &kqplan.Order{Run: run, Worker: "w", Size: kqmodel.Resources{MilliProcessors: 1000}}
}

// withExecutor runs an executor with a worker that has checked in and a connected owner.
func withExecutor(t *testing.T, w *fakeWorker, f func(g *WithT, x *kqexecutor.Executor, o *fakeOwner)) {
	synctest.Test(t, func(t *testing.T) {
		w.startedAt = time.Now()
		x := kqexecutor.Start(kqexecutor.Config{Connect: w.connect, MaxLease: 7 * time.Second, Now: time.Now})
		x.CheckIn(kqplan.WorkerInfo{Worker: "w", Zone: "a", Capacity: kqmodel.Resources{MilliProcessors: 4000}}, 1)
		o := &fakeOwner{}
		x.Connected(1, o.send)
		time.Sleep(time.Second)
		x.Receive(kqmessage.FromOwner{Resync: true})
		x.Receive(kqmessage.FromOwner{Grant: &kqmessage.Grant{LeaseRequest: o.lastLeaseRequest(), Duration: 7 * time.Second}})
		f(NewWithT(t), x, o)
		x.Stop()
		time.Sleep(time.Second)
	})
}

func TestAStartIsRepeatedUntilItIsAnswered(t *testing.T) {
	w := &fakeWorker{startsUnanswered: true}
	withExecutor(t, w, func(g *WithT, x *kqexecutor.Executor, _ *fakeOwner) {
		x.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{order()}})
		time.Sleep(time.Second)
		w.mu.Lock()
		tries := len(w.starts)
		w.startsUnanswered = false
		w.mu.Unlock()
		g.Expect(tries).To(BeNumerically(">", 2))
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		after := len(w.starts)
		g.Expect(after).To(BeNumerically("<=", tries+2))
		for _, s := range w.starts {
			g.Expect(s.Run).To(Equal(run))
			g.Expect(s.Token).To(Equal(uint64(1)))
		}
	})
}

// An unanswered start may be carried out seconds later. Guards against repeating it, or not
// stopping it, once a new owner does not know the run.
func TestAnUnansweredStartThatTheOwnerGaveUpIsStopped(t *testing.T) {
	w := &fakeWorker{startsUnanswered: true}
	withExecutor(t, w, func(g *WithT, x *kqexecutor.Executor, o *fakeOwner) {
		x.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{order()}})
		time.Sleep(500 * time.Millisecond)
		x.Disconnected()
		x.Connected(2, o.send)
		time.Sleep(time.Second)
		w.mu.Lock()
		tries := len(w.starts)
		w.mu.Unlock()
		x.Receive(kqmessage.FromOwner{Resync: true})
		time.Sleep(2 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		g.Expect(w.stops).To(ContainElement(run))
		g.Expect(len(w.starts)).To(BeNumerically("<=", tries+1))
	})
}

func TestARefusedStartIsStoppedBeforeItIsGivenBack(t *testing.T) {
	w := &fakeWorker{unhealthy: true}
	withExecutor(t, w, func(g *WithT, x *kqexecutor.Executor, o *fakeOwner) {
		x.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{order()}})
		time.Sleep(2 * time.Second)
		w.mu.Lock()
		g.Expect(w.stops).To(ContainElement(run))
		w.mu.Unlock()
		g.Expect(o.ends()).To(ContainElement(kqexecution.RunEnd{Run: run, Reason: kqexecution.EndRefused}))
	})
}

func TestEndsAreReportedOnceAndForgottenWhenNoted(t *testing.T) {
	end := kqexecution.RunEnd{Number: 1, Run: run, Reason: kqexecution.EndDone}
	w := &fakeWorker{ended: []kqexecution.RunEnd{end}}
	withExecutor(t, w, func(g *WithT, x *kqexecutor.Executor, o *fakeOwner) {
		g.Expect(o.ends()).To(Equal([]kqexecution.RunEnd{end}))
		g.Expect(w.ackedEnd).To(BeZero())
		x.Receive(kqmessage.FromOwner{Acknowledged: 1})
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		g.Expect(w.ackedEnd).To(Equal(uint64(1)))
	})
}

// Guards against a lease that counts from when the grant arrives instead of from when it was
// requested, on the worker's clock.
func TestALeaseIsCountedFromTheQuestion(t *testing.T) {
	w := &fakeWorker{}
	withExecutor(t, w, func(g *WithT, x *kqexecutor.Executor, o *fakeOwner) {
		time.Sleep(600 * time.Millisecond)
		asked := w.clock()
		n := o.lastLeaseRequest()
		time.Sleep(2 * time.Second)
		x.Receive(kqmessage.FromOwner{Grant: &kqmessage.Grant{LeaseRequest: n, Duration: 5 * time.Second}})
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		g.Expect(time.Duration(w.leaseEnd)).To(BeNumerically("<=", time.Duration(asked)+7*time.Second))
	})
}

func TestWhatDoesNotFitIsNotStarted(t *testing.T) {
	w := &fakeWorker{}
	withExecutor(t, w, func(g *WithT, x *kqexecutor.Executor, _ *fakeOwner) {
		o := order()
		o.Size.MilliProcessors = 5000
		x.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{o}})
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		g.Expect(w.starts).To(BeEmpty())
	})
}

func TestCheckInsOfAnotherTimeChangeNothing(t *testing.T) {
	w := &fakeWorker{}
	withExecutor(t, w, func(g *WithT, x *kqexecutor.Executor, _ *fakeOwner) {
		g.Expect(x.CheckIn(kqplan.WorkerInfo{Worker: "w", Draining: true}, 1)).To(BeFalse(), "its sequence is not higher")
		w.leave(x)
		g.Expect(x.CheckIn(kqplan.WorkerInfo{Worker: "w"}, 9)).To(BeFalse(), "it leaves")
		time.Sleep(leaveCheckTime)
		g.Expect(x.CheckIn(kqplan.WorkerInfo{Worker: "w"}, 10)).To(BeFalse(), "it has departed")
		g.Expect(x.Drives("w")).To(BeFalse())
	})
}

func (o *fakeOwner) messageCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.received)
}

// Guards against an agent that sends reports and lease requests faster than its owner reads them: they
// queue up, and the grants come after the leases have ended.
func TestAnOwnerThatIsBehindIsSentMore(t *testing.T) {
	w := &fakeWorker{}
	withExecutor(t, w, func(g *WithT, x *kqexecutor.Executor, o *fakeOwner) {
		time.Sleep(time.Second)
		unanswered, sent := o.lastLeaseRequest(), o.messageCount()
		w.mu.Lock()
		w.ended = []kqexecution.RunEnd{{Number: 1, Run: run, Reason: kqexecution.EndDone}}
		w.mu.Unlock()
		time.Sleep(900 * time.Millisecond)
		g.Expect(o.messageCount()-sent).To(BeNumerically("<=", 1), "messages behind an unanswered lease request")
		g.Expect(o.ends()).To(BeEmpty())
		x.Receive(kqmessage.FromOwner{Grant: &kqmessage.Grant{LeaseRequest: unanswered, Duration: 7 * time.Second}})
		time.Sleep(450 * time.Millisecond)
		g.Expect(o.ends()).To(HaveLen(1))
		g.Expect(o.lastLeaseRequest()).To(BeNumerically(">", unanswered))
	})
}

// A run ends while the owner is behind, and the worker leaves before the owner has caught up. Guards
// against an end that is never reported, after which the owner runs the finished task again.
func TestAnEndThatWaitsForTheOwnerIsLostWithItsWorker(t *testing.T) {
	end := kqexecution.RunEnd{Number: 1, Run: run, Reason: kqexecution.EndDone}
	w := &fakeWorker{}
	withExecutor(t, w, func(g *WithT, x *kqexecutor.Executor, o *fakeOwner) {
		time.Sleep(time.Second)
		w.mu.Lock()
		w.ended = []kqexecution.RunEnd{end}
		w.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		w.leave(x)
		time.Sleep(3 * time.Second)
		x.Stop()
		time.Sleep(time.Second)
		g.Expect(o.ends()).To(ContainElement(end))
	})
}
