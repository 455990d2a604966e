package kqfront

import (
	"context"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqmessage"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
)

// Admission sets up the decisions of an entry on new jobs.
type AdmissionConfig struct {
	// Policy returns the queues in force, or nil.
	Policy func() *kqflow.Policy
	// Decided is told of each decision; may be nil.
	OnDecision func(queue string, v kqadmission.Verdict)
}

// admission is what an entry keeps for its decisions; the front's mutex guards it.
type admission struct {
	received kqadmission.ReceivedDigest
	// crowdedAt is since when every digest has been of a crowded cell; zero if the latest was not, or is old.
	crowdedAt time.Time
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
	a.forget()
	if ids := a.ledger.AllUnresolved(now); len(ids) > 0 {
		send(kqmessage.ToOwner{Unresolved: ids})
	}
}

// forget drops what an owner has told.
func (a *admission) forget() { a.received, a.crowdedAt = kqadmission.ReceivedDigest{}, time.Time{} }

// receive takes what the owner tells.
func (a *admission) receive(now time.Time, m kqmessage.FromOwner) {
	if m.Digest != nil {
		a.hear(now, m.Digest)
	}
	for id := range m.States {
		a.ledger.MarkResolved(id)
	}
	for _, id := range m.Unresolved {
		a.ledger.MarkUnresolved(now, id)
	}
}

// hear takes a digest.
func (a *admission) hear(now time.Time, d *kqadmission.Digest) {
	fresh := now.Sub(a.received.ReceivedAt) <= kqadmission.MaxDigestAge
	switch {
	case !d.Saturated:
		a.crowdedAt = time.Time{}
	case a.crowdedAt.IsZero() || !fresh:
		a.crowdedAt = now
	}
	a.received = kqadmission.ReceivedDigest{Digest: d, ReceivedAt: now}
}

// crowded reports whether entries may be rejecting jobs.
func (a *admission) crowded(now time.Time) bool {
	return !a.crowdedAt.IsZero() && now.Sub(a.received.ReceivedAt) <= kqadmission.MaxDigestAge
}

const (
	// warnTime is for how long the cell must have been crowded before an entry rejects: by then every entry knows and tells of its
	// attempts, and those that began before have ended or have been told of.
	warnTime = 300 * time.Millisecond
	// confirmTime is how long an entry waits for word of an earlier attempt before it rejects a job: the caller may have tried
	// another entry just before. The owner passes such word on between two of its passes, which take up to 100 ms.
	confirmTime = 100 * time.Millisecond
)

// Admit decides whether a job is stored. One that is rejected must not be submitted; the owner is told of it.
func (f *Frontend) Admit(ctx context.Context, j kqflow.Job) kqadmission.Decision {
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
	if d.Verdict == kqadmission.Reject {
		kqtable.Sleep(ctx, confirmTime)
		now = f.config.Now()
		d = f.confirm(now, j, d)
	}
	if c.OnDecision != nil {
		c.OnDecision(j.Queue, d.Verdict)
	}
	if d.Verdict == kqadmission.Reject {
		f.config.Events.EmitFields(now, kqevent.FlowRejected, kqevent.Job(j.ID), append(f.sizeFields(j), kqevent.Millis("retry_after_ms", d.RetryAfter)), "queue %s: %s", j.Queue, d)
	}
	return d
}

func accept(why string) kqadmission.Decision {
	return kqadmission.Decision{Verdict: kqadmission.Accept, Why: why}
}

// decide returns what the entry would answer by what it knows, without telling anyone.
func (f *Frontend) decide(now time.Time, j kqflow.Job, q kqflow.Queue) kqadmission.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := &f.admission
	if why := f.doubt(now, j.ID); why != "" {
		return accept(why)
	}
	first := a.firstAttempt(now, j.ID, now)
	return kqadmission.Decide(now, kqadmission.NewJob(j, q, first, f.config.Zone), q, a.received)
}

// firstAttempt returns when this entry first rejected a job, or the given time.
func (a *admission) firstAttempt(now time.Time, id string, otherwise time.Time) time.Time {
	if first, again := a.ledger.FirstAttempt(now, id); again {
		return first
	}
	return otherwise
}

// doubt returns why a job may not be rejected whatever waits, or nothing; mu is held.
func (f *Frontend) doubt(now time.Time, id string) string {
	a := &f.admission
	_, known := f.states[id]
	switch {
	case !f.linked || f.send == nil:
		return "the owner is not connected"
	case known:
		return "the owner has the job"
	case a.ledger.UnresolvedFull():
		return "more jobs may be stored than are remembered"
	case a.attempts[id] > 0, a.ledger.IsUnresolved(now, id):
		return "an earlier attempt may be stored"
	case !a.crowded(now):
		return "no fresh digest says that work waits for room"
	case now.Sub(a.crowdedAt) < warnTime:
		return "other entries may not know yet that work waits for room"
	}
	return ""
}

// confirm takes a rejection back if there is doubt about it by now, and else tells the owner of it.
func (f *Frontend) confirm(now time.Time, j kqflow.Job, d kqadmission.Decision) kqadmission.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := &f.admission
	if why := f.doubt(now, j.ID); why != "" {
		return accept(why)
	}
	first := a.firstAttempt(now, j.ID, now.Add(-confirmTime))
	a.ledger.RecordRejected(now, j.ID, first)
	f.send(kqmessage.ToOwner{Rejected: &kqadmission.RejectedJob{ID: j.ID, Queue: j.Queue, Age: now.Sub(first), Work: j.Work(), ReservedWork: j.ReservedWork(), Zone: f.config.Zone}})
	return d
}

// unresolvedAfter is how long a write may take before other entries are told that it may be carried out: its caller may give
// up and try elsewhere. A usual write takes 4 ms.
const unresolvedAfter = 100 * time.Millisecond

// attempt is a job that is being stored.
type attempt struct {
	front *Frontend
	id    string
	timer *time.Timer
}

// attempt notes that a job is being stored; it returns nil without admission control.
func (f *Frontend) attempt(id string) *attempt {
	if f.config.Admission == nil {
		return nil
	}
	f.mu.Lock()
	f.admission.attempts[id]++
	if f.admission.crowded(f.config.Now()) {
		// Its caller may try elsewhere before there is an answer, or lose that on its way.
		f.tellUnresolved(id)
	}
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
	case o == kqcontrol.OutcomeUnknown, left, x.crowded(f.config.Now()):
		// The answer may be lost on its way.
		f.tellUnresolved(a.id)
	default:
		x.ledger.MarkUnresolved(f.config.Now(), a.id)
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
func (f *Frontend) tellUnresolved(id string) {
	f.admission.ledger.MarkUnresolved(f.config.Now(), id)
	if f.send != nil {
		f.send(kqmessage.ToOwner{Unresolved: []string{id}})
	}
}

// RoomIn returns when room is expected for a new job of usual size of a queue; 0 if there is room or nothing is known.
func (f *Frontend) ExpectedWait(queue string) time.Duration {
	now := f.config.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.admission.received
	if r.Digest == nil || now.Sub(r.ReceivedAt) > kqadmission.MaxDigestAge {
		return 0
	}
	return r.Digest.Queues[queue].ExpectedWait
}
