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

// entry is a front over a stand-in of the store.
type entry struct {
	*kqfront.Frontend
	store *kqrowstore.Store
	n     int
}

func newEntry() *entry {
	s := kqrowstore.New(1)
	return &entry{store: s, Frontend: kqfront.New(kqfront.Config{Store: s.Client("entry"), Now: time.Now, WallClock: time.Now})}
}

// submit hands a new job in and returns what came of it and how long that took.
func (e *entry) submit() (kqcontrol.Outcome, time.Duration) {
	e.n++
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	began := time.Now()
	o := e.Submit(ctx, kqflow.Job{ID: fmt.Sprintf("%016x", e.n), Queue: "q", Steps: []kqflow.Step{{Count: 1}}})
	return o, time.Since(began)
}

// While the store gives no answer, requests must be refused at once instead of
// being held to their end, and taken again soon after it is back.
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
			e.store.Heal()
			time.Sleep(300 * time.Millisecond)
			o, _ = e.submit()
			g.Expect(o).To(Equal(kqcontrol.OutcomeStored))
			e.store.SetFaults("entry", kqrowstore.Faults{Silent: true})
			e.submit()
			time.Sleep(500 * time.Millisecond)
		}
		e.store.Heal()
		time.Sleep(2 * time.Second)
	})
}

// A store that is slow or loses single answers is not out.
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

// An entry that the store leaves without an answer hands on to the owner.
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
		e.store.Heal()
		time.Sleep(2 * time.Second)
	})
}
