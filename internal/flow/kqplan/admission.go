package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// admission holds the data from which the owner builds the digests that entries use to accept,
// defer or reject new jobs.
type admission struct {
	// digestsEnabled is true while an entry wants digests.
	digestsEnabled      bool
	ledger              *kqadmission.Ledger
	demand              *kqadmission.DemandTracker
	rejectionsHeldUntil time.Time
	// digest is the latest digest, built at builtAt. The last digest sent to the entries was sent
	// at sentAt; sentUnsaturated is true if it was not saturated.
	digest          *kqadmission.Digest
	builtAt         time.Time
	sentAt          time.Time
	sentUnsaturated bool
}

func newAdmission(acquiredAt time.Time) admission {
	return admission{ledger: kqadmission.NewLedger(), demand: kqadmission.NewDemandTracker(), rejectionsHeldUntil: acquiredAt.Add(kqadmission.RejectionHoldTime)}
}

// EnableDigests sets whether digests of the waiting work are built for the entries.
func (p *Planner) EnableDigests(enabled bool) { p.admission.digestsEnabled = enabled }

// HoldRejections keeps entries from rejecting jobs for RejectionHoldTime: a process that stopped
// may have lost track of its attempts to store jobs, so a job that an entry rejects may already be
// stored.
func (p *Planner) HoldRejections(now time.Time) {
	p.admission.rejectionsHeldUntil = later(p.admission.rejectionsHeldUntil, now.Add(kqadmission.RejectionHoldTime))
}

// RecordRejection records that an entry has rejected a job. A rejection without an ID or with
// negative work is ignored.
func (p *Planner) RecordRejection(now time.Time, r kqadmission.RejectedJob) {
	if r.ID == "" || r.Work < 0 || r.ReservedWork < 0 {
		return
	}
	if _, recorded := p.admission.ledger.FirstAttempt(now, r.ID); !recorded {
		p.recordRequestedWork(now, r.Queue, r.Zone, r.Work, r.ReservedWork)
	}
	p.admission.ledger.RecordRejected(now, r.ID, now.Add(-max(0, r.Age)))
}

// MarkUnresolved records jobs that may have been stored by attempts whose outcome is unknown.
func (p *Planner) MarkUnresolved(now time.Time, ids []string) {
	for _, id := range ids {
		p.admission.ledger.MarkUnresolved(now, id)
	}
}

// AllUnresolved returns the jobs that may have been stored by attempts whose outcome is unknown.
func (p *Planner) AllUnresolved(now time.Time) []string { return p.admission.ledger.AllUnresolved(now) }

// recordArrival records a new job. The submission time of a job that was rejected before becomes
// that of its caller's first attempt.
func (p *Planner) recordArrival(now time.Time, j *kqflow.Job) {
	p.admission.ledger.MarkResolved(j.ID)
	if !p.admission.digestsEnabled || !j.HasObjective() {
		return
	}
	stats := p.statsOf(j.Queue)
	stats.recordTaskSize(stats.classifier.Band(j.Work()), kqadmission.NewJob(*j, p.queues[j.Queue], now, j.Zone).MinResources.MilliProcessors)
	first, returned := p.admission.ledger.TakeReturned(now, j.ID)
	if !returned {
		p.recordRequestedWork(now, j.Queue, j.Zone, j.Work(), j.ReservedWork())
		return
	}
	if first.Before(j.SubmittedAt) {
		p.config.Events.Emit(now, kqevent.FlowResubmitted, kqevent.Job(j.ID), "job was rejected before; its caller's first attempt was %s before it was accepted", j.SubmittedAt.Sub(first).Round(time.Millisecond))
		j.SubmittedAt = first
	}
}

// maxRequestedWork bounds the work that a job is counted with, in processor-seconds, so that no sum
// overflows.
const maxRequestedWork = 1e9

// recordRequestedWork adds a job to the demand of its queue; work and reserved are in
// processor-seconds.
func (p *Planner) recordRequestedWork(now time.Time, queue, zone string, work, reserved float64) {
	if _, ok := p.queues[queue]; !ok || reserved <= 0 {
		return
	}
	reserved = min(reserved, maxRequestedWork)
	segment := kqadmission.Segment{Band: p.statsOf(queue).classifier.Band(work), Zone: zone}
	p.admission.demand.AddWork(now, kqadmission.Stream{Queue: queue, Segment: segment}, reserved)
}

// Digest returns the digest to send to the entries now, or nil if none is due. Once the entries
// have a digest that is not saturated, further ones are sent only after capacity has become short
// again.
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
