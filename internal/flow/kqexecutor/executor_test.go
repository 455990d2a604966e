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

var errSilent = errors.New("no answer")

// worker answers holds and stops; starts are answered unless it is silent.
type worker struct {
	mu     sync.Mutex
	began  time.Time
	born   time.Time
	silent bool
	delay  time.Duration
	unwell bool
	starts []kqexecution.Start
	stops  []kqexecution.Run
	until  kqexecution.Clock
	ended  []kqexecution.End
	seen   uint64
	// running is what holds list.
	running []kqexecution.Run
}

func (w *worker) clock() kqexecution.Clock { return kqexecution.Clock(time.Since(w.began)) }

func (w *worker) connect(kqexecution.Incarnation) kqexecution.Worker {
	return kqexecution.Worker{Start: w.start, Stop: w.stop, Hold: w.hold}
}

func (w *worker) start(ctx context.Context, s kqexecution.Start) (kqexecution.Answer, kqexecution.Clock, error) {
	time.Sleep(w.delay)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, s)
	if w.silent {
		return "", 0, errSilent
	}
	if w.unwell {
		return kqexecution.AnswerUnhealthy, w.clock(), nil
	}
	return kqexecution.AnswerDone, w.clock(), nil
}

func (w *worker) stop(_ context.Context, r kqexecution.Run, _ uint64) (kqexecution.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops = append(w.stops, r)
	return kqexecution.AnswerDone, nil
}

func (w *worker) hold(_ context.Context, h kqexecution.Hold) (kqexecution.Held, error) {
	time.Sleep(min(h.Wait, 50*time.Millisecond))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.until, w.seen = max(w.until, h.Until), max(w.seen, h.Seen)
	out := kqexecution.Held{Answer: kqexecution.AnswerDone, Clock: w.clock(), Born: w.born}
	for _, r := range w.running {
		out.Running = append(out.Running, kqexecution.Running{Run: r})
	}
	for _, e := range w.ended {
		if e.Number > w.seen {
			out.Ended = append(out.Ended, e)
		}
	}
	return out, nil
}

// owner remembers what the agent says.
type owner struct {
	mu   sync.Mutex
	said []kqmessage.ToOwner
}

func (o *owner) send(m kqmessage.ToOwner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.said = append(o.said, m)
}

func (o *owner) ends() (out []kqexecution.End) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range o.said {
		if m.Report != nil {
			out = append(out, m.Report.Ended...)
		}
	}
	return out
}

func (o *owner) lastAsk() (n uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range o.said {
		n = max(n, m.LeaseRequest)
	}
	return n
}

var run = kqexecution.Run{Task: "j.0.0.0", Number: 1}

func order() *kqplan.Order {
	return &kqplan.Order{Run: run, Worker: "w", Size: kqmodel.Resources{MilliProcessors: 1000}}
}

// play runs an agent with a worker that has checked in and an owner.
func play(t *testing.T, w *worker, f func(g *WithT, x *kqexecutor.Executor, o *owner)) {
	synctest.Test(t, func(t *testing.T) {
		w.began = time.Now()
		x := kqexecutor.Start(kqexecutor.Config{Connect: w.connect, MaxLease: 7 * time.Second, Now: time.Now})
		x.CheckIn(kqplan.WorkerInfo{Worker: "w", Zone: "a", Capacity: kqmodel.Resources{MilliProcessors: 4000}}, 1)
		o := &owner{}
		x.Connected(1, o.send)
		time.Sleep(time.Second)
		x.Receive(kqmessage.FromOwner{Resync: true})
		x.Receive(kqmessage.FromOwner{Grant: &kqmessage.Grant{LeaseRequest: o.lastAsk(), Duration: 7 * time.Second}})
		f(NewWithT(t), x, o)
		x.Stop()
		time.Sleep(time.Second)
	})
}

func TestAStartIsRepeatedUntilItIsAnswered(t *testing.T) {
	w := &worker{silent: true}
	play(t, w, func(g *WithT, x *kqexecutor.Executor, _ *owner) {
		x.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{order()}})
		time.Sleep(time.Second)
		w.mu.Lock()
		tries := len(w.starts)
		w.silent = false
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

// A start without an answer may be carried out seconds later. When the owner
// does not know the run any more it must be stopped, never tried again.
func TestAnUnansweredStartThatTheOwnerGaveUpIsStopped(t *testing.T) {
	w := &worker{silent: true}
	play(t, w, func(g *WithT, x *kqexecutor.Executor, o *owner) {
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
	w := &worker{unwell: true}
	play(t, w, func(g *WithT, x *kqexecutor.Executor, o *owner) {
		x.Receive(kqmessage.FromOwner{Orders: []*kqplan.Order{order()}})
		time.Sleep(2 * time.Second)
		w.mu.Lock()
		g.Expect(w.stops).To(ContainElement(run))
		w.mu.Unlock()
		g.Expect(o.ends()).To(ContainElement(kqexecution.End{Run: run, How: kqexecution.HowRefused}))
	})
}

func TestEndsAreReportedOnceAndForgottenWhenNoted(t *testing.T) {
	end := kqexecution.End{Number: 1, Run: run, How: kqexecution.HowDone}
	w := &worker{ended: []kqexecution.End{end}}
	play(t, w, func(g *WithT, x *kqexecutor.Executor, o *owner) {
		g.Expect(o.ends()).To(Equal([]kqexecution.End{end}))
		g.Expect(w.seen).To(BeZero())
		x.Receive(kqmessage.FromOwner{Acknowledged: 1})
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		g.Expect(w.seen).To(Equal(uint64(1)))
	})
}

// A grant counts from when the agent asked, on the worker's own clock.
func TestALeaseIsCountedFromTheQuestion(t *testing.T) {
	w := &worker{}
	play(t, w, func(g *WithT, x *kqexecutor.Executor, o *owner) {
		time.Sleep(600 * time.Millisecond)
		asked := w.clock()
		n := o.lastAsk()
		time.Sleep(2 * time.Second)
		x.Receive(kqmessage.FromOwner{Grant: &kqmessage.Grant{LeaseRequest: n, Duration: 5 * time.Second}})
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		g.Expect(time.Duration(w.until)).To(BeNumerically("<=", time.Duration(asked)+7*time.Second))
	})
}

func TestWhatDoesNotFitIsNotStarted(t *testing.T) {
	w := &worker{}
	play(t, w, func(g *WithT, x *kqexecutor.Executor, _ *owner) {
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
	w := &worker{}
	play(t, w, func(g *WithT, x *kqexecutor.Executor, _ *owner) {
		g.Expect(x.CheckIn(kqplan.WorkerInfo{Worker: "w", Draining: true}, 1)).To(BeFalse(), "its number is not higher")
		x.Departed("w")
		g.Expect(x.CheckIn(kqplan.WorkerInfo{Worker: "w"}, 9)).To(BeFalse(), "it has left")
		g.Expect(x.Drives("w")).To(BeFalse())
	})
}
