package kqexecutor_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqexecutor"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// slowWorker answers each poll a fixed time after its wait, if the poll is still waiting then.
type slowWorker struct {
	fakeWorker
	answerTime time.Duration
}

func (w *slowWorker) delayNow() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answerTime
}

func (w *slowWorker) connect(i kqexecution.Incarnation) kqexecution.Worker {
	c := w.fakeWorker.connect(i)
	poll := c.Hold
	c.Hold = func(ctx context.Context, h kqexecution.Hold) (kqexecution.Held, error) {
		held, err := poll(ctx, h)
		select {
		case <-ctx.Done():
			return kqexecution.Held{}, errNoAnswer
		case <-time.After(w.delayNow()):
			return held, err
		}
	}
	return c
}

// A worker on a busy machine answers each poll 0.8 s late. Guards against an agent that
// never waits long enough for an answer: it knows neither the worker's runs nor their ends, while
// the owner goes on granting it leases.
func TestAWorkerThatAnswersLateIsNeverHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		end := kqexecution.RunEnd{Number: 1, Run: run, Reason: kqexecution.EndLeaseExpired}
		w := &slowWorker{answerTime: 20 * time.Millisecond}
		w.startedAt = time.Now()
		x := kqexecutor.Start(kqexecutor.Config{Connect: w.connect, MaxLease: 7 * time.Second, Now: time.Now})
		x.CheckIn(kqplan.WorkerInfo{Worker: "w"}, 1)
		o := &fakeOwner{}
		x.Connected(1, o.send)
		time.Sleep(time.Second)
		x.Receive(kqmessage.FromOwner{Resync: true})
		w.mu.Lock()
		w.answerTime, w.ended = 800*time.Millisecond, []kqexecution.RunEnd{end}
		w.mu.Unlock()
		time.Sleep(5 * time.Second)
		ends := o.ends()
		x.Stop()
		time.Sleep(time.Second)
		g.Expect(ends).To(ContainElement(HaveField("Number", uint64(1))))
	})
}
