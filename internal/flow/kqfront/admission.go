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

// AdmissionConfig is the configuration of an entry's admission control.
type AdmissionConfig struct {
	// Policy returns the current queue configuration, or nil if there is none.
	Policy func() *kqflow.Policy
	// OnDecision is called with each decision; may be nil.
	OnDecision func(queue string, v kqadmission.Verdict)
}

// admission is the state of an entry's admission control, guarded by the frontend's mutex.
type admission struct {
	received kqadmission.ReceivedDigest
	// saturatedAt is the time since which every digest has reported a saturated cell; zero if the
	// latest did not.
	saturatedAt time.Time
	// ledger holds the jobs that this entry has rejected, and those that attempts of this and
	// other entries may have stored.
	ledger *kqadmission.Ledger
	// attempts counts the attempts of this entry that are in progress, by job ID.
	attempts map[string]int
}

func newAdmission() admission {
	return admission{ledger: kqadmission.NewLedger(), attempts: map[string]int{}}
}

// connect drops the previous owner's digest and sends the new owner the unresolved jobs.
func (a *admission) connect(now time.Time, send func(kqmessage.ToOwner)) {
	a.reset()
	if ids := a.ledger.AllUnresolved(now); len(ids) > 0 {
		send(kqmessage.ToOwner{Unresolved: ids})
	}
}

// reset drops the owner's digest.
func (a *admission) reset() { a.received, a.saturatedAt = kqadmission.ReceivedDigest{}, time.Time{} }

// receive handles a message from the owner.
func (a *admission) receive(now time.Time, m kqmessage.FromOwner) {
	if m.Digest != nil {
		a.receiveDigest(now, m.Digest)
	}
	for id := range m.States {
		a.ledger.MarkResolved(id)
	}
	for _, id := range m.Unresolved {
		a.ledger.MarkUnresolved(now, id)
	}
}

// receiveDigest stores a digest. A gap of more than kqadmission.MaxDigestAge between digests
// restarts the time for which the cell has been saturated.
func (a *admission) receiveDigest(now time.Time, d *kqadmission.Digest) {
	recent := now.Sub(a.received.ReceivedAt) <= kqadmission.MaxDigestAge
	switch {
	case !d.Saturated:
		a.saturatedAt = time.Time{}
	case a.saturatedAt.IsZero() || !recent:
		a.saturatedAt = now
	}
	a.received = kqadmission.ReceivedDigest{Digest: d, ReceivedAt: now}
}

// isSaturated reports whether the cell is saturated by a recent digest, so that entries may be
// rejecting jobs.
func (a *admission) isSaturated(now time.Time) bool {
	return !a.saturatedAt.IsZero() && now.Sub(a.received.ReceivedAt) <= kqadmission.MaxDigestAge
}

const (
	// minSaturatedTime is how long the cell must have been saturated before an entry rejects a job.
	// By then every entry knows it and reports each of its attempts, and the attempts that began
	// earlier have ended or were reported.
	minSaturatedTime = 300 * time.Millisecond
	// confirmDelay is how long an entry waits for the report of an earlier attempt before it
	// rejects a job: the caller may have tried another entry just before. The owner forwards such
	// reports between two passes of its scheduling loop, which take up to 100 ms.
	confirmDelay = 100 * time.Millisecond
)

// Admit decides whether a job may be submitted. A rejected job must not be submitted; the
// rejection is reported to the owner.
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
		return accept("the queue is not in the configuration")
	}
	now := f.config.Now()
	d := f.decide(now, j, q)
	if d.Verdict == kqadmission.Reject {
		kqtable.Sleep(ctx, confirmDelay)
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

func accept(reason string) kqadmission.Decision {
	return kqadmission.Decision{Verdict: kqadmission.Accept, Why: reason}
}

// decide returns the decision by the entry's present state, without recording or reporting it.
func (f *Frontend) decide(now time.Time, j kqflow.Job, q kqflow.Queue) kqadmission.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := &f.admission
	if reason := f.acceptReason(now, j.ID); reason != "" {
		return accept(reason)
	}
	first := a.firstAttempt(now, j.ID, now)
	return kqadmission.Decide(now, kqadmission.NewJob(j, q, first, f.config.Zone), q, a.received)
}

// firstAttempt returns the time of the first attempt of a job that this entry has rejected, or
// fallback if it has not rejected it.
func (a *admission) firstAttempt(now time.Time, id string, fallback time.Time) time.Time {
	if first, again := a.ledger.FirstAttempt(now, id); again {
		return first
	}
	return fallback
}

// acceptReason returns why a job must be accepted regardless of the load, or an empty string; mu
// is held.
func (f *Frontend) acceptReason(now time.Time, id string) string {
	a := &f.admission
	_, known := f.states[id]
	switch {
	case !f.synced || f.send == nil:
		return "the owner is not connected"
	case known:
		return "the owner already has the job"
	case a.ledger.UnresolvedFull():
		return "the entry cannot track more unresolved jobs"
	case a.attempts[id] > 0, a.ledger.IsUnresolved(now, id):
		return "an earlier attempt may have stored the job"
	case !a.isSaturated(now):
		return "no recent digest says that tasks wait for free capacity"
	case now.Sub(a.saturatedAt) < minSaturatedTime:
		return "other entries may not know yet that tasks wait for free capacity"
	}
	return ""
}

// confirm accepts the job after all if there is a reason to by now; otherwise it records the
// rejection and reports it to the owner.
func (f *Frontend) confirm(now time.Time, j kqflow.Job, d kqadmission.Decision) kqadmission.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := &f.admission
	if reason := f.acceptReason(now, j.ID); reason != "" {
		return accept(reason)
	}
	first := a.firstAttempt(now, j.ID, now.Add(-confirmDelay))
	a.ledger.RecordRejected(now, j.ID, first)
	f.send(kqmessage.ToOwner{Rejected: &kqadmission.RejectedJob{ID: j.ID, Queue: j.Queue, Age: now.Sub(first), Work: j.Work(), ReservedWork: j.ReservedWork(), Zone: f.config.Zone}})
	return d
}

// unresolvedAfter is how long a write may take before it is reported to other entries as
// unresolved: it may still take effect while its caller stops waiting and tries another entry.
// A usual write takes 4 ms.
const unresolvedAfter = 100 * time.Millisecond

// attempt is an attempt to store a job.
type attempt struct {
	frontend *Frontend
	id       string
	timer    *time.Timer
}

// beginAttempt records an attempt to store a job; it returns nil without admission control.
func (f *Frontend) beginAttempt(id string) *attempt {
	if f.config.Admission == nil {
		return nil
	}
	f.mu.Lock()
	f.admission.attempts[id]++
	if f.admission.isSaturated(f.config.Now()) {
		// The caller may try another entry before the answer arrives, or the answer may be lost.
		f.reportUnresolved(id)
	}
	f.mu.Unlock()
	a := &attempt{frontend: f, id: id}
	a.timer = time.AfterFunc(unresolvedAfter, a.timeout)
	return a
}

// end records the outcome of an attempt. callerLeft is true if the caller may not receive it. A
// nil attempt is ignored.
func (a *attempt) end(o kqcontrol.Outcome, callerLeft bool) {
	if a == nil {
		return
	}
	a.timer.Stop()
	f := a.frontend
	f.mu.Lock()
	defer f.mu.Unlock()
	state := &f.admission
	if state.attempts[a.id]--; state.attempts[a.id] <= 0 {
		delete(state.attempts, a.id)
	}
	_, known := f.states[a.id]
	switch {
	case known || o == kqcontrol.OutcomeRefused:
	case o == kqcontrol.OutcomeUnknown, callerLeft, state.isSaturated(f.config.Now()):
		// The answer to the caller may be lost.
		f.reportUnresolved(a.id)
	default:
		state.ledger.MarkUnresolved(f.config.Now(), a.id)
	}
}

// timeout reports the job as unresolved unless the attempt has ended.
func (a *attempt) timeout() {
	f := a.frontend
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.admission.attempts[a.id] > 0 {
		f.reportUnresolved(a.id)
	}
}

// reportUnresolved records that a job may be stored and reports it to the owner; mu is held.
func (f *Frontend) reportUnresolved(id string) {
	f.admission.ledger.MarkUnresolved(f.config.Now(), id)
	if f.send != nil {
		f.send(kqmessage.ToOwner{Unresolved: []string{id}})
	}
}

// ExpectedWait returns the time until capacity is expected to be free for a new job of a queue
// that is not in the largest size band; 0 if there is free capacity or no recent digest.
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
