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

// admissionEntry is an entry with admission control. It records the messages to the owner and
// the verdicts.
type admissionEntry struct {
	*kqfront.Frontend
	store  *kqrowstore.Store
	events *kqevent.Log
	// mu guards sent, which attempts in progress append to.
	mu       sync.Mutex
	sent     []kqmessage.ToOwner
	verdicts []kqadmission.Verdict
}

func newAdmissionEntry() *admissionEntry {
	e := &admissionEntry{store: kqrowstore.New(1), events: kqevent.New(kqevent.Config{Process: "entry"})}
	policy := &kqflow.Policy{Queues: map[string]kqflow.Queue{"q": {Name: "q", Service: "s", MaxAttempts: 2, Stretch: 1.5, Target: 250 * time.Millisecond}}}
	e.Frontend = kqfront.New(kqfront.Config{Zone: "z", Store: e.store.Client("entry"), Now: time.Now, WallClock: time.Now, Events: e.events,
		Admission: &kqfront.AdmissionConfig{Policy: func() *kqflow.Policy { return policy },
			OnDecision: func(_ string, v kqadmission.Verdict) { e.verdicts = append(e.verdicts, v) }}})
	e.connectOwner()
	return e
}

// connectOwner connects an owner that has sent all states.
func (e *admissionEntry) connectOwner() {
	e.Connected(1, func(m kqmessage.ToOwner) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.sent = append(e.sent, m)
	})
	e.Receive(kqmessage.FromOwner{AllStates: true})
}

// saturate lets the owner report a saturated cell for long enough that jobs may be rejected.
func (e *admissionEntry) saturate() {
	for range 2 {
		e.Receive(kqmessage.FromOwner{Digest: saturatedDigest()})
		time.Sleep(kqadmission.MinDigestInterval)
	}
}

// admit returns the decision on a job with the given ID.
func (e *admissionEntry) admit(id string) kqadmission.Decision {
	return e.Admit(context.Background(), quickJob(id))
}

// sentUnresolved lists the jobs that were reported to the owner as unresolved.
func (e *admissionEntry) sentUnresolved() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for _, m := range e.sent {
		out = append(out, m.Unresolved...)
	}
	return out
}

func (e *admissionEntry) clearSent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent = nil
}

// saturatedDigest returns a digest by which no job of the queue can start in time to have value.
func saturatedDigest() *kqadmission.Digest {
	return &kqadmission.Digest{Saturated: true, Levels: []kqadmission.Level{{Service: "s", MilliProcessors: 4000, Releases: []kqadmission.Release{{After: 32 * time.Second, MilliProcessors: 4000}}}},
		Queues: map[string]kqadmission.PerQueue{"q": {OverShare: []kqadmission.Segment{{Zone: "z"}}}}}
}

func quickJob(id string) kqflow.Job {
	return kqflow.Job{ID: id, Queue: "q", Steps: []kqflow.Step{{Count: 1, Resources: kqmodel.Resources{MilliProcessors: 1000}, Estimate: time.Second}}}
}

// Guards against storing a hopeless job, one that cannot have any value by the entry's digest. It
// is rejected without the store, and the owner is notified.
func TestAHopelessJobIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newAdmissionEntry()
		e.saturate()
		e.store.SetFaults("entry", kqrowstore.Faults{Silent: true})
		d := e.admit("a")
		g.Expect(d.Verdict).To(Equal(kqadmission.Reject), d.String())
		g.Expect(d.RetryAfter).To(BeNumerically(">=", 32*time.Second))
		time.Sleep(500 * time.Millisecond)
		e.saturate()
		g.Expect(e.admit("a").Verdict).To(Equal(kqadmission.Reject))
		g.Expect(e.sent).To(HaveLen(2))
		g.Expect(*e.sent[0].Rejected).To(Equal(kqadmission.RejectedJob{ID: "a", Queue: "q", Age: 100 * time.Millisecond, Work: 1, ReservedWork: 1, Zone: "z"}))
		g.Expect(e.sent[1].Rejected.Age).To(Equal(1300*time.Millisecond), "it counts from the first attempt")
		g.Expect(e.verdicts).To(Equal([]kqadmission.Verdict{kqadmission.Reject, kqadmission.Reject}))
		logged := e.events.ByJob("a")
		g.Expect(logged).To(HaveLen(2))
		g.Expect(logged[0].Number).To(Equal(kqevent.FlowRejected))
		g.Expect(logged[0].Text).To(And(ContainSubstring("cannot start within 16s"), ContainSubstring("retry after 3")))
	})
}

// In each of these cases the job may be stored already or may find free capacity. Guards against
// a rejection, which tells the caller that the job will not run.
func TestAJobThatMayRunIsRejected(t *testing.T) {
	for name, prepare := range map[string]func(*admissionEntry){
		"the owner already has the job": func(e *admissionEntry) {
			e.Receive(kqmessage.FromOwner{States: map[string]kqflow.State{"a": kqflow.StateQueued}})
		},
		"another entry may have stored it":      func(e *admissionEntry) { e.Receive(kqmessage.FromOwner{Unresolved: []string{"a"}}) },
		"this entry has stored it":              func(e *admissionEntry) { e.Submit(context.Background(), quickJob("a")) },
		"no owner is connected":                 func(e *admissionEntry) { e.Disconnected() },
		"the owner has not sent the states yet": func(e *admissionEntry) { e.Disconnected(); e.Connected(2, func(kqmessage.ToOwner) {}); e.saturate() },
		"a new owner has not sent a digest":     func(e *admissionEntry) { e.Disconnected(); e.connectOwner() },
		"the cell has been saturated for less than 300 ms": func(e *admissionEntry) {
			e.Receive(kqmessage.FromOwner{Digest: &kqadmission.Digest{}})
			e.Receive(kqmessage.FromOwner{Digest: saturatedDigest()})
		},
		"another entry reports an attempt meanwhile": func(e *admissionEntry) {
			time.AfterFunc(50*time.Millisecond, func() { e.Receive(kqmessage.FromOwner{Unresolved: []string{"a"}}) })
		},
		"the owner disconnects meanwhile":       func(e *admissionEntry) { time.AfterFunc(50*time.Millisecond, e.Disconnected) },
		"the digest is older than a second":     func(*admissionEntry) { time.Sleep(time.Second + time.Millisecond) },
		"this entry is storing it":              func(e *admissionEntry) { e.startSubmit("a") },
		"this entry's attempt was not answered": func(e *admissionEntry) { e.submitUnanswered("a") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				e := newAdmissionEntry()
				e.saturate()
				g.Expect(e.admit("b").Verdict).To(Equal(kqadmission.Reject), "another job is rejected")
				prepare(e)
				d := e.admit("a")
				g.Expect(d.Verdict).To(Equal(kqadmission.Accept), d.String())
				e.store.ClearFaults()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// startSubmit starts to submit a job that the store answers only after 50 ms.
func (e *admissionEntry) startSubmit(id string) {
	e.store.SetFaults("entry", kqrowstore.Faults{Delay: 50 * time.Millisecond})
	go e.Submit(context.Background(), quickJob(id))
	time.Sleep(10 * time.Millisecond)
}

// submitUnanswered submits a job that the store does not answer.
func (e *admissionEntry) submitUnanswered(id string) {
	e.store.SetFaults("entry", kqrowstore.Faults{Silent: true})
	ctx, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer stop()
	e.Submit(ctx, quickJob(id))
	e.saturate()
}

// The caller of an attempt that the store does not answer will time out and try another entry.
// Guards against other entries that do not learn of the attempt before that.
func TestAnUnresolvedAttemptIsKeptFromOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newAdmissionEntry()
		e.Submit(context.Background(), quickJob("sound"))
		g.Expect(e.sentUnresolved()).To(BeEmpty(), "its outcome was certain and no task waits")
		e.store.SetFaults("entry", kqrowstore.Faults{Silent: true})
		ctx, stop := context.WithTimeout(context.Background(), budget)
		defer stop()
		go e.Submit(ctx, quickJob("a"))
		time.Sleep(101 * time.Millisecond)
		g.Expect(e.sentUnresolved()).To(ConsistOf("a"))
		time.Sleep(budget)
		e.Disconnected()
		e.clearSent()
		e.connectOwner()
		g.Expect(e.sentUnresolved()).To(ContainElement("a"), "a new owner must learn of it too")
		e.Receive(kqmessage.FromOwner{States: map[string]kqflow.State{"a": kqflow.StateQueued}})
		e.clearSent()
		e.connectOwner()
		g.Expect(e.sentUnresolved()).NotTo(ContainElement("a"), "the owner has it")
		e.store.ClearFaults()
		time.Sleep(2 * time.Second)
	})
}

// While the cell is saturated, other entries reject jobs, and the caller of an attempt may try
// one of them at any time. Guards against attempts that are not reported when they begin.
func TestAnAttemptIsRejectedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newAdmissionEntry()
		e.saturate()
		e.store.SetFaults("entry", kqrowstore.Faults{Delay: 50 * time.Millisecond})
		go e.Submit(context.Background(), quickJob("a"))
		time.Sleep(time.Millisecond)
		g.Expect(e.sentUnresolved()).To(ConsistOf("a"))
		time.Sleep(time.Second)
	})
}

// Guards against an entry without admission control that rejects a job or reports to the owner.
func TestAnEntryWithoutAdmissionControlRejects(t *testing.T) {
	g := NewWithT(t)
	e := newEntry()
	var sent []kqmessage.ToOwner
	e.Connected(1, func(m kqmessage.ToOwner) { sent = append(sent, m) })
	e.Receive(kqmessage.FromOwner{AllStates: true, Digest: saturatedDigest()})
	g.Expect(e.Admit(context.Background(), quickJob("a")).Verdict).To(Equal(kqadmission.Accept))
	g.Expect(e.Submit(context.Background(), quickJob("a"))).To(Equal(kqcontrol.OutcomeStored))
	g.Expect(sent).To(BeEmpty())
}
