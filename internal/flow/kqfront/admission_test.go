package kqfront_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqfront"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// gatedEntry is an entry that decides on admission, and what it has told the owner.
type gatedEntry struct {
	*kqfront.Frontend
	store  *kqrowstore.Store
	events *kqevent.Log
	// mu guards told, which attempts that wait for the store append to.
	mu      sync.Mutex
	told    []kqmessage.ToOwner
	decided []kqadmission.Verdict
}

func newGatedEntry() *gatedEntry {
	e := &gatedEntry{store: kqrowstore.New(1), events: kqevent.New(kqevent.Config{Process: "entry"})}
	policy := &kqflow.Policy{Queues: map[string]kqflow.Queue{"q": {Name: "q", Service: "s", MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond}}}
	e.Frontend = kqfront.New(kqfront.Config{Zone: "z", Store: e.store.Client("entry"), Now: time.Now, WallClock: time.Now, Events: e.events,
		Admission: &kqfront.AdmissionConfig{Policy: func() *kqflow.Policy { return policy },
			OnDecision: func(_ string, v kqadmission.Verdict) { e.decided = append(e.decided, v) }}})
	e.link()
	return e
}

// link connects an owner.
func (e *gatedEntry) link() {
	e.Connected(1, func(m kqmessage.ToOwner) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.told = append(e.told, m)
	})
	e.Receive(kqmessage.FromOwner{AllStates: true})
}

// warned lets the owner say for long enough that the cell is crowded.
func (e *gatedEntry) warned() {
	for range 2 {
		e.Receive(kqmessage.FromOwner{Digest: crowded()})
		time.Sleep(kqadmission.MinDigestInterval)
	}
}

// admit asks for a decision on a job of an id.
func (e *gatedEntry) admit(id string) kqadmission.Decision {
	return e.Admit(context.Background(), quick(id))
}

// unresolved lists the jobs that the owner was told may be stored.
func (e *gatedEntry) unresolved() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for _, m := range e.told {
		out = append(out, m.Unresolved...)
	}
	return out
}

func (e *gatedEntry) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.told = nil
}

// crowded is a digest by which no job of the queue can be worth anything.
func crowded() *kqadmission.Digest {
	return &kqadmission.Digest{Saturated: true, Levels: []kqadmission.Level{{Service: "s", MilliProcessors: 4000, Releases: []kqadmission.Release{{After: 32 * time.Second, MilliProcessors: 4000}}}},
		Queues: map[string]kqadmission.PerQueue{"q": {OverShare: []kqadmission.Segment{{Zone: "z"}}}}}
}

func quick(id string) kqflow.Job {
	return kqflow.Job{ID: id, Queue: "q", Steps: []kqflow.Step{{Count: 1, Resources: kqmodel.Resources{MilliProcessors: 1000}, Estimate: time.Second}}}
}

// A job without any hope is rejected by what the entry knows, and the owner is told of it; the store is not asked.
func TestAHopelessJobIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newGatedEntry()
		e.warned()
		e.store.SetFaults("entry", kqrowstore.Faults{Silent: true})
		d := e.admit("a")
		g.Expect(d.Verdict).To(Equal(kqadmission.Reject), d.String())
		g.Expect(d.RetryAfter).To(BeNumerically(">=", 32*time.Second))
		time.Sleep(500 * time.Millisecond)
		e.warned()
		g.Expect(e.admit("a").Verdict).To(Equal(kqadmission.Reject))
		g.Expect(e.told).To(HaveLen(2))
		g.Expect(*e.told[0].Rejected).To(Equal(kqadmission.RejectedJob{ID: "a", Queue: "q", Age: 100 * time.Millisecond, Work: 1, ReservedWork: 1, Zone: "z"}))
		g.Expect(e.told[1].Rejected.Age).To(Equal(1300*time.Millisecond), "it counts from the first attempt")
		g.Expect(e.decided).To(Equal([]kqadmission.Verdict{kqadmission.Reject, kqadmission.Reject}))
		said := e.events.AboutJob("a")
		g.Expect(said).To(HaveLen(2))
		g.Expect(said[0].Number).To(Equal(kqevent.FlowRejected))
		g.Expect(said[0].Text).To(And(ContainSubstring("cannot start within 16s"), ContainSubstring("retry after 3")))
	})
}

// Each of these jobs may be stored already or may find room: a rejection would be untrue.
func TestAJobThatMayRunIsRejected(t *testing.T) {
	for name, prepare := range map[string]func(*gatedEntry){
		"the owner has it": func(e *gatedEntry) {
			e.Receive(kqmessage.FromOwner{States: map[string]kqflow.State{"a": kqflow.StateQueued}})
		},
		"another entry may have stored":  func(e *gatedEntry) { e.Receive(kqmessage.FromOwner{Unresolved: []string{"a"}}) },
		"this entry has stored it":       func(e *gatedEntry) { e.Submit(context.Background(), quick("a")) },
		"no owner":                       func(e *gatedEntry) { e.Disconnected() },
		"no states of the owner yet":     func(e *gatedEntry) { e.Disconnected(); e.Connected(2, func(kqmessage.ToOwner) {}); e.warned() },
		"another owner without a digest": func(e *gatedEntry) { e.Disconnected(); e.link() },
		"the cell has been crowded for less than 300 ms": func(e *gatedEntry) {
			e.Receive(kqmessage.FromOwner{Digest: &kqadmission.Digest{}})
			e.Receive(kqmessage.FromOwner{Digest: crowded()})
		},
		"another entry tells of it meanwhile": func(e *gatedEntry) {
			time.AfterFunc(50*time.Millisecond, func() { e.Receive(kqmessage.FromOwner{Unresolved: []string{"a"}}) })
		},
		"the owner goes meanwhile":        func(e *gatedEntry) { time.AfterFunc(50*time.Millisecond, e.Disconnected) },
		"a digest of more than a second":  func(*gatedEntry) { time.Sleep(time.Second + time.Millisecond) },
		"this entry is storing it":        func(e *gatedEntry) { e.storing("a") },
		"this entry did not get to store": func(e *gatedEntry) { e.giveUp("a") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				e := newGatedEntry()
				e.warned()
				g.Expect(e.admit("b").Verdict).To(Equal(kqadmission.Reject), "without it")
				prepare(e)
				d := e.admit("a")
				g.Expect(d.Verdict).To(Equal(kqadmission.Accept), d.String())
				e.store.Heal()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// storing begins to store a job that the store does not answer.
func (e *gatedEntry) storing(id string) {
	e.store.SetFaults("entry", kqrowstore.Faults{Delay: 50 * time.Millisecond})
	go e.Submit(context.Background(), quick(id))
	time.Sleep(10 * time.Millisecond)
}

// giveUp tries in vain to store a job.
func (e *gatedEntry) giveUp(id string) {
	e.store.SetFaults("entry", kqrowstore.Faults{Silent: true})
	ctx, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer stop()
	e.Submit(ctx, quick(id))
	e.warned()
}

// Other entries must hear of an attempt that the store does not answer before its caller gives up and tries there.
func TestAnUnresolvedAttemptIsKeptFromOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newGatedEntry()
		e.Submit(context.Background(), quick("sound"))
		g.Expect(e.unresolved()).To(BeEmpty(), "its answer was certain and nothing waits")
		e.store.SetFaults("entry", kqrowstore.Faults{Silent: true})
		ctx, stop := context.WithTimeout(context.Background(), budget)
		defer stop()
		go e.Submit(ctx, quick("a"))
		time.Sleep(101 * time.Millisecond)
		g.Expect(e.unresolved()).To(ConsistOf("a"))
		time.Sleep(budget)
		e.Disconnected()
		e.forget()
		e.link()
		g.Expect(e.unresolved()).To(ContainElement("a"), "another owner must know it too")
		e.Receive(kqmessage.FromOwner{States: map[string]kqflow.State{"a": kqflow.StateQueued}})
		e.forget()
		e.link()
		g.Expect(e.unresolved()).NotTo(ContainElement("a"), "the owner has it")
		e.store.Heal()
		time.Sleep(2 * time.Second)
	})
}

// While work waits others reject, so they must hear of each attempt as it begins: its caller may try elsewhere at once.
func TestAnAttemptIsRejectedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newGatedEntry()
		e.warned()
		e.store.SetFaults("entry", kqrowstore.Faults{Delay: 50 * time.Millisecond})
		go e.Submit(context.Background(), quick("a"))
		time.Sleep(time.Millisecond)
		g.Expect(e.unresolved()).To(ConsistOf("a"))
		time.Sleep(time.Second)
	})
}

// An entry without admission control answers as before and tells the owner nothing.
func TestAnEntryWithoutAdmissionControlRejects(t *testing.T) {
	g := NewWithT(t)
	e := newEntry()
	var told []kqmessage.ToOwner
	e.Connected(1, func(m kqmessage.ToOwner) { told = append(told, m) })
	e.Receive(kqmessage.FromOwner{AllStates: true, Digest: crowded()})
	g.Expect(e.Admit(context.Background(), quick("a")).Verdict).To(Equal(kqadmission.Accept))
	g.Expect(e.Submit(context.Background(), quick("a"))).To(Equal(kqcontrol.OutcomeStored))
	g.Expect(told).To(BeEmpty())
}
