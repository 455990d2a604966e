package kqfront_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqfront"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

const budget = 3 * time.Second

// entry is a Frontend over a stand-in of the store.
type entry struct {
	*kqfront.Frontend
	store *kqrowstore.Store
	jobs  int
}

func newEntry() *entry {
	s := kqrowstore.New(1)
	return &entry{store: s, Frontend: kqfront.New(kqfront.Config{Store: s.Client("entry"), Now: time.Now, WallClock: time.Now})}
}

// submit submits a new job and returns the outcome and the time that it took.
func (e *entry) submit() (kqcontrol.Outcome, time.Duration) {
	e.jobs++
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	start := time.Now()
	o := e.Submit(ctx, kqflow.Job{ID: fmt.Sprintf("%016x", e.jobs), Queue: "q", Steps: []kqflow.Step{{Count: 1}}})
	return o, time.Since(start)
}

// Guards against requests that wait for their time limit while the store does not answer,
// instead of being refused at once, and that are still refused after it answers again.
func TestRequestsAreRefusedAtOnceWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newEntry()
		o, _ := e.submit()
		g.Expect(o).To(Equal(kqcontrol.OutcomeStored))
		e.store.SetFaults("entry", kqrowstore.Faults{Silent: true})
		o, took := e.submit()
		g.Expect(o).To(Equal(kqcontrol.OutcomeUnknown))
		g.Expect(took).To(BeNumerically("<", budget))
		for range 20 {
			o, took = e.submit()
			g.Expect(o).To(Equal(kqcontrol.OutcomeRefused))
			g.Expect(took).To(BeZero())
			_, _, err := e.State(context.Background(), "0000000000000001")
			g.Expect(err).To(MatchError(kqfront.ErrUnavailable))
			time.Sleep(200 * time.Millisecond)
		}
		for range 8 {
			e.store.ClearFaults()
			time.Sleep(300 * time.Millisecond)
			o, _ = e.submit()
			g.Expect(o).To(Equal(kqcontrol.OutcomeStored))
			e.store.SetFaults("entry", kqrowstore.Faults{Silent: true})
			e.submit()
			time.Sleep(500 * time.Millisecond)
		}
		e.store.ClearFaults()
		time.Sleep(2 * time.Second)
	})
}

// Guards against treating a store that is slow or loses single answers as unavailable.
func TestAStoreThatAnswersNowAndThenIsNotOut(t *testing.T) {
	for name, f := range map[string]kqrowstore.Faults{"slow": {Delay: 900 * time.Millisecond}, "loses answers": {LoseAnswers: 0.3}} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			e := newEntry()
			e.store.SetFaults("entry", f)
			for range 10 {
				o, _ := e.submit()
				g.Expect(o).To(Equal(kqcontrol.OutcomeStored), name)
				time.Sleep(time.Second)
			}
			time.Sleep(2 * time.Second)
		})
	}
}

// Guards against a lost or slow submission when the store does not answer this entry but does
// answer the owner: the entry relays the job to the owner.
func TestTheOwnerStoresForAnEntryThatTheStoreDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newEntry()
		e.store.SetFaults("entry", kqrowstore.Faults{Silent: true})
		e.Connected(1, func(m kqmessage.ToOwner) {
			e.Receive(kqmessage.FromOwner{SubmitReply: &kqmessage.SubmitReply{Number: m.Submit.Number, Outcome: string(kqcontrol.OutcomeStored)}})
		})
		e.Receive(kqmessage.FromOwner{AllStates: true})
		for n := range 5 {
			o, took := e.submit()
			g.Expect(o).To(Equal(kqcontrol.OutcomeStored))
			if n > 1 {
				g.Expect(took).To(BeZero())
			}
			time.Sleep(300 * time.Millisecond)
		}
		e.store.ClearFaults()
		time.Sleep(2 * time.Second)
	})
}
