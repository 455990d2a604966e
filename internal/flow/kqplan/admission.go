package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// admission is what the owner keeps for the entries' decisions on new jobs.
type admission struct {
	// on is true while an entry wants digests.
	digestsEnabled      bool
	ledger              *kqadmission.Ledger
	demand              *kqadmission.DemandTracker
	rejectionsHeldUntil time.Time
	// digest is the latest summary, made at builtAt; the latest that entries were told was told at toldAt, and calm is true if
	// nothing waited for room in it.
	digest          *kqadmission.Digest
	builtAt         time.Time
	sentAt          time.Time
	sentUnsaturated bool
}

func newAdmission(takenAt time.Time) admission {
	return admission{ledger: kqadmission.NewLedger(), demand: kqadmission.NewDemandTracker(), rejectionsHeldUntil: takenAt.Add(kqadmission.RejectionHoldTime)}
}

// Summarise says whether what waits is summed up for the entries.
func (p *Planner) EnableDigests(on bool) { p.admission.digestsEnabled = on }

// HoldRejections keeps entries from rejecting jobs for a while: attempts to store jobs may have been forgotten.
func (p *Planner) HoldRejections(now time.Time) {
	p.admission.rejectionsHeldUntil = later(p.admission.rejectionsHeldUntil, now.Add(kqadmission.RejectionHoldTime))
}

// Rejected takes over that an entry has rejected a job. One that cannot be read rightly is left alone.
func (p *Planner) RecordRejection(now time.Time, r kqadmission.RejectedJob) {
	if r.ID == "" || r.Work < 0 || r.ReservedWork < 0 {
		return
	}
	if _, again := p.admission.ledger.FirstAttempt(now, r.ID); !again {
		p.recordRequestedWork(now, r.Queue, r.Zone, r.Work, r.ReservedWork)
	}
	p.admission.ledger.RecordRejected(now, r.ID, now.Add(-max(0, r.Age)))
}

// Unresolved takes over that jobs may be stored by attempts without a certain answer.
func (p *Planner) MarkUnresolved(now time.Time, ids []string) {
	for _, id := range ids {
		p.admission.ledger.MarkUnresolved(now, id)
	}
}

// AllUnresolved lists the jobs that may be stored by attempts without a certain answer.
func (p *Planner) AllUnresolved(now time.Time) []string { return p.admission.ledger.AllUnresolved(now) }

// arrive takes over a job that is new. One that was rejected before counts from its caller's first attempt.
func (p *Planner) recordArrival(now time.Time, j *kqflow.Job) {
	p.admission.ledger.MarkResolved(j.ID)
	if !p.admission.digestsEnabled || !j.HasObjective() {
		return
	}
	l := p.statsOf(j.Queue)
	l.recordTaskSize(l.scale.Band(j.Work()), kqadmission.NewJob(*j, p.queues[j.Queue], now, j.Zone).MinResources.MilliProcessors)
	first, returned := p.admission.ledger.TakeReturned(now, j.ID)
	if !returned {
		p.recordRequestedWork(now, j.Queue, j.Zone, j.Work(), j.ReservedWork())
		return
	}
	if first.Before(j.SubmittedAt) {
		p.config.Events.Emit(now, kqevent.FlowReturned, kqevent.Job(j.ID), "rejected before; its caller first tried %s before it was accepted", j.SubmittedAt.Sub(first).Round(time.Millisecond))
		j.SubmittedAt = first
	}
}

// mostAsked bounds what a job is counted as asking for, in processor-seconds, so that no sum overflows.
const maxRequestedWork = 1e9

// ask notes what a queue asks for, in processor-seconds.
func (p *Planner) recordRequestedWork(now time.Time, queue, zone string, work, reserved float64) {
	if _, ok := p.queues[queue]; !ok || reserved <= 0 {
		return
	}
	reserved = min(reserved, maxRequestedWork)
	part := kqadmission.Segment{Band: p.statsOf(queue).scale.Band(work), Zone: zone}
	p.admission.demand.AddWork(now, kqadmission.Stream{Queue: queue, Segment: part}, reserved)
}

// Digest returns what entries are to be told now of what waits, or nil. While nothing waits they need not know.
func (p *Planner) Digest(now time.Time) *kqadmission.Digest {
	a := &p.admission
	if !a.digestsEnabled || now.Sub(a.sentAt) < kqadmission.MinDigestInterval {
		return nil
	}
	if p.backlog == 0 && (a.digest == nil || a.digest.Saturated) {
		p.buildDigest(now)
	}
	if a.digest == nil || now.Sub(a.builtAt) > kqadmission.MaxSendAge || !a.digest.Saturated && a.sentUnsaturated {
		return nil
	}
	a.sentAt, a.sentUnsaturated = now, !a.digest.Saturated
	return a.digest
}
