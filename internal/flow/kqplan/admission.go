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
	on       bool
	ledger   *kqadmission.Ledger
	shares   *kqadmission.Shares
	heldTill time.Time
	// digest is the latest summary, made at builtAt; the latest that entries were told was told at toldAt, and calm is true if
	// nothing waited for room in it.
	digest  *kqadmission.Digest
	builtAt time.Time
	toldAt  time.Time
	calm    bool
}

func newAdmission(takenAt time.Time) admission {
	return admission{ledger: kqadmission.NewLedger(), shares: kqadmission.NewShares(), heldTill: takenAt.Add(kqadmission.HoldTime)}
}

// Summarise says whether what waits is summed up for the entries.
func (p *Planner) Summarise(on bool) { p.admission.on = on }

// HoldRejections keeps entries from rejecting jobs for a while: attempts to store jobs may have been forgotten.
func (p *Planner) HoldRejections(now time.Time) {
	p.admission.heldTill = later(p.admission.heldTill, now.Add(kqadmission.HoldTime))
}

// Rejected takes over that an entry has rejected a job. One that cannot be read rightly is left alone.
func (p *Planner) Rejected(now time.Time, r kqadmission.Rejected) {
	if r.ID == "" || r.Work < 0 || r.Reserved < 0 {
		return
	}
	if _, again := p.admission.ledger.First(now, r.ID); !again {
		p.ask(now, r.Queue, r.Zone, r.Work, r.Reserved)
	}
	p.admission.ledger.Reject(now, r.ID, now.Add(-max(0, r.Age)))
}

// Unresolved takes over that jobs may be stored by attempts without a certain answer.
func (p *Planner) Unresolved(now time.Time, ids []string) {
	for _, id := range ids {
		p.admission.ledger.Unresolve(now, id)
	}
}

// AllUnresolved lists the jobs that may be stored by attempts without a certain answer.
func (p *Planner) AllUnresolved(now time.Time) []string { return p.admission.ledger.AllUnresolved(now) }

// arrive takes over a job that is new. One that was rejected before counts from its caller's first attempt.
func (p *Planner) arrive(now time.Time, j *kqflow.Job) {
	p.admission.ledger.Resolve(j.ID)
	if !p.admission.on || !j.HasObjective() {
		return
	}
	l := p.loadOf(j.Queue)
	l.sized(l.scale.Band(j.Work()), kqadmission.NewJob(*j, p.queues[j.Queue], now, j.Zone).Least.MilliProcessors)
	first, returned := p.admission.ledger.Return(now, j.ID)
	if !returned {
		p.ask(now, j.Queue, j.Zone, j.Work(), j.ReservedWork())
		return
	}
	if first.Before(j.SubmittedAt) {
		p.config.Events.Emit(now, kqevent.FlowReturned, kqevent.Job(j.ID), "rejected before; its caller first tried %s before it was accepted", j.SubmittedAt.Sub(first).Round(time.Millisecond))
		j.SubmittedAt = first
	}
}

// mostAsked bounds what a job is counted as asking for, in processor-seconds, so that no sum overflows.
const mostAsked = 1e9

// ask notes what a queue asks for, in processor-seconds.
func (p *Planner) ask(now time.Time, queue, zone string, work, reserved float64) {
	if _, ok := p.queues[queue]; !ok || reserved <= 0 {
		return
	}
	reserved = min(reserved, mostAsked)
	part := kqadmission.Part{Band: p.loadOf(queue).scale.Band(work), Zone: zone}
	p.admission.shares.Ask(now, kqadmission.Flow{Queue: queue, Part: part}, reserved)
}

// Digest returns what entries are to be told now of what waits, or nil. While nothing waits they need not know.
func (p *Planner) Digest(now time.Time) *kqadmission.Digest {
	a := &p.admission
	if !a.on || now.Sub(a.toldAt) < kqadmission.DigestInterval {
		return nil
	}
	if p.backlog == 0 && (a.digest == nil || a.digest.Crowded) {
		p.summarise(now)
	}
	if a.digest == nil || now.Sub(a.builtAt) > kqadmission.RepeatInterval || !a.digest.Crowded && a.calm {
		return nil
	}
	a.toldAt, a.calm = now, !a.digest.Crowded
	return a.digest
}
