package kqfront

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
)

// Admission sets up the decisions of an entry on new jobs.
type Admission struct {
	// Zone is the availability zone of the entry.
	Zone string
	// Policy returns the queues in force, or nil.
	Policy func() *kqflow.Policy
	// Decided is told of each decision; may be nil.
	Decided func(queue string, v kqadmission.Verdict)
}

// admission is what an entry keeps for its decisions; the front's mutex guards it.
type admission struct {
	received kqadmission.Received
	// ledger remembers what this entry has rejected, and what may be stored by attempts of this and other entries.
	ledger *kqadmission.Ledger
	// attempts counts the attempts of this entry that are under way.
	attempts map[string]int
}

func newAdmission() admission {
	return admission{ledger: kqadmission.NewLedger(), attempts: map[string]int{}}
}

// linked forgets what another owner told, and tells the new one which jobs may be stored.
func (a *admission) linked(now time.Time, send func(kqmessage.ToOwner)) {
	a.received = kqadmission.Received{}
	if ids := a.ledger.AllUnresolved(now); len(ids) > 0 {
		send(kqmessage.ToOwner{Unresolved: ids})
	}
}

// receive takes what the owner tells.
func (a *admission) receive(now time.Time, m kqmessage.FromOwner) {
	if m.Digest != nil {
		a.received = kqadmission.Received{Digest: m.Digest, At: now}
	}
	for id := range m.States {
		a.ledger.Resolve(id)
	}
	for _, id := range m.Unresolved {
		a.ledger.Unresolve(now, id)
	}
}

// Admit decides whether a job is stored. One that is rejected must not be submitted; the owner is told of it.
func (f *Front) Admit(j kqflow.Job) kqadmission.Decision {
	c := f.config.Admission
	if c == nil {
		return accept("admission control is off")
	}
	policy := c.Policy()
	if policy == nil {
		return accept("no configuration is in force")
	}
	q, ok := policy.Queues[j.Queue]
	if !ok {
		return accept("the queue is not known")
	}
	now := f.config.Now()
	d := f.decide(now, j, q)
	if c.Decided != nil {
		c.Decided(j.Queue, d.Verdict)
	}
	if d.Verdict == kqadmission.Reject {
		f.config.Events.EmitFields(now, kqevent.FlowRejected, kqevent.Job(j.ID), append(sizeFields(j), kqevent.Millis("retry_after_ms", d.RetryAfter)), "queue %s: %s", j.Queue, d)
	}
	return d
}

func accept(why string) kqadmission.Decision {
	return kqadmission.Decision{Verdict: kqadmission.Accept, Why: why}
}

func (f *Front) decide(now time.Time, j kqflow.Job, q kqflow.Queue) kqadmission.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := &f.admission
	_, known := f.states[j.ID]
	switch {
	case !f.linked || f.send == nil:
		return accept("the owner is not connected")
	case known:
		return accept("the owner has the job")
	case a.ledger.Full():
		return accept("more jobs may be stored than are remembered")
	case a.attempts[j.ID] > 0, a.ledger.Unresolved(now, j.ID):
		return accept("an earlier attempt may be stored")
	}
	first, again := a.ledger.First(now, j.ID)
	if !again {
		first = now
	}
	x := kqadmission.NewJob(j, q, first, f.config.Admission.Zone)
	d := kqadmission.Decide(now, x, q, a.received)
	if d.Verdict == kqadmission.Reject {
		a.ledger.Reject(now, j.ID, first)
		f.send(kqmessage.ToOwner{Rejected: &kqadmission.Rejected{ID: j.ID, Queue: j.Queue, Age: now.Sub(first), Work: x.Work, Reserved: x.Reserved, Zone: x.Zone}})
	}
	return d
}

// unresolvedAfter is how long a write may take before other entries are told that it may be carried out: its caller may give
// up and try elsewhere. A usual write takes 4 ms.
const unresolvedAfter = 100 * time.Millisecond

// attempt is a job that is being stored.
type attempt struct {
	front *Front
	id    string
	timer *time.Timer
}

// attempt notes that a job is being stored; it returns nil without admission control.
func (f *Front) attempt(id string) *attempt {
	if f.config.Admission == nil {
		return nil
	}
	f.mu.Lock()
	f.admission.attempts[id]++
	f.mu.Unlock()
	a := &attempt{front: f, id: id}
	a.timer = time.AfterFunc(unresolvedAfter, a.unresolved)
	return a
}

// end notes the outcome of an attempt; left is true if its caller may not hear of it.
func (a *attempt) end(o kqcontrol.Outcome, left bool) {
	if a == nil {
		return
	}
	a.timer.Stop()
	f := a.front
	f.mu.Lock()
	defer f.mu.Unlock()
	x := &f.admission
	if x.attempts[a.id]--; x.attempts[a.id] <= 0 {
		delete(x.attempts, a.id)
	}
	_, known := f.states[a.id]
	switch {
	case known || o == kqcontrol.OutcomeRefused:
	case o == kqcontrol.OutcomeUnknown, left, x.received.Digest != nil && x.received.Digest.Crowded:
		// The answer may be lost on its way, and others reject jobs while work waits.
		f.tellUnresolved(a.id)
	default:
		x.ledger.Unresolve(f.config.Now(), a.id)
	}
}

// unresolved tells the owner that the job may be stored, unless the attempt has ended.
func (a *attempt) unresolved() {
	f := a.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.admission.attempts[a.id] > 0 {
		f.tellUnresolved(a.id)
	}
}

// tellUnresolved notes that a job may be stored, and tells the owner; mu is held.
func (f *Front) tellUnresolved(id string) {
	f.admission.ledger.Unresolve(f.config.Now(), id)
	if f.send != nil {
		f.send(kqmessage.ToOwner{Unresolved: []string{id}})
	}
}

// RoomIn returns when room is expected for a new job of usual size of a queue; 0 if there is room or nothing is known.
func (f *Front) RoomIn(queue string) time.Duration {
	now := f.config.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.admission.received
	if r.Digest == nil || now.Sub(r.At) > kqadmission.MaxAge {
		return 0
	}
	return r.Digest.Queues[queue].Usual
}
