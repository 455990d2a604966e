package kqreplay

import (
	"fmt"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// AdmissionStats counts the admission decisions of the entries on jobs that have an objective.
type AdmissionStats struct {
	// Jobs is the number of new jobs, Attempts the number of attempts to submit them.
	Jobs, Attempts int
	// Verdicts counts the decisions by verdict.
	Verdicts map[kqadmission.Verdict]int
	// RejectedByZone and RejectedByQueue count the rejections by the zone of the entry and by queue.
	RejectedByZone, RejectedByQueue map[string]int
	// AcceptedOnRetry is the number of rejected jobs that were accepted later.
	AcceptedOnRetry int
	// MaxRetryAfter is the longest time after which an entry asked a caller to retry.
	MaxRetryAfter time.Duration
	// RejectedJobs lists the ids of the jobs that were rejected and have not been accepted since.
	RejectedJobs []string
	// PendingRetries is the number of rejected jobs whose next attempt is due after the end of the
	// replay.
	PendingRetries int
}

const (
	// maxAttempts is the number of times that a caller tries to submit a job.
	maxAttempts = 5
	// entryZones is the number of zones with entries.
	entryZones = 3
)

// callers submits jobs to entries in several zones, and submits rejected jobs again.
type callers struct {
	lastDigest kqadmission.ReceivedDigest
	retries    []retry
	stats      AdmissionStats
}

// retry is an attempt to submit a job at a given time. The first attempt has number 0.
type retry struct {
	job     kqflow.Job
	at      time.Time
	attempt int
}

func newCallers() *callers {
	return &callers{stats: AdmissionStats{Verdicts: map[kqadmission.Verdict]int{}, RejectedByZone: map[string]int{}, RejectedByQueue: map[string]int{}}}
}

// receiveDigest keeps a digest that the owner sent to the entries; d is nil if none was due.
func (c *callers) receiveDigest(now time.Time, d *kqadmission.Digest) {
	if d != nil {
		c.lastDigest = kqadmission.ReceivedDigest{Digest: d, ReceivedAt: now}
	}
}

// submit makes the first attempt to submit a job.
func (c *callers) submit(p *Replay, j kqflow.Job) {
	if j.HasObjective() {
		c.stats.Jobs++
		j.Zone = fmt.Sprint("zone-", c.stats.Jobs%entryZones)
	}
	c.trySubmit(p, retry{job: j})
}

// resubmitDue submits the rejected jobs whose retry time has come.
func (c *callers) resubmitDue(p *Replay) {
	retries := c.retries
	c.retries = nil
	for _, r := range retries {
		if r.at.After(p.now) {
			c.retries = append(c.retries, r)
			continue
		}
		c.trySubmit(p, r)
	}
}

// trySubmit makes one attempt to submit a job: an entry decides on its admission if admission
// control is enabled, and the planner gets the job unless it is rejected.
func (c *callers) trySubmit(p *Replay, r retry) {
	firstAttemptAt, j := r.job.SubmittedAt, r.job
	j.SubmittedAt = p.now
	if p.config.Admission && j.HasObjective() {
		c.stats.Attempts++
		q := policy().Queues[j.Queue]
		candidate := kqadmission.NewJob(j, q, firstAttemptAt, j.Zone)
		decision := kqadmission.Decide(p.now, candidate, q, c.lastDigest)
		c.stats.Verdicts[decision.Verdict]++
		if decision.Verdict == kqadmission.Reject {
			c.recordRejection(p, r, candidate, decision)
			if !p.config.AcceptRejected {
				return
			}
		} else if r.attempt > 0 {
			c.stats.AcceptedOnRetry++
			c.stats.RejectedJobs = slices.DeleteFunc(c.stats.RejectedJobs, func(id string) bool { return id == j.ID })
		}
	}
	p.planner.Submit(p.now, kqflow.Submission{Job: j}, nil, 0)
}

// recordRejection counts a rejection, notifies the planner of it, and schedules the next attempt. If
// rejected jobs are accepted anyway, it only counts.
func (c *callers) recordRejection(p *Replay, r retry, candidate kqadmission.Job, decision kqadmission.Decision) {
	c.stats.RejectedByZone[candidate.Zone]++
	c.stats.RejectedByQueue[r.job.Queue]++
	c.stats.MaxRetryAfter = max(c.stats.MaxRetryAfter, decision.RetryAfter)
	if r.attempt == 0 {
		c.stats.RejectedJobs = append(c.stats.RejectedJobs, candidate.ID)
	}
	if p.config.AcceptRejected {
		return
	}
	p.planner.RecordRejection(p.now, kqadmission.RejectedJob{ID: candidate.ID, Queue: r.job.Queue, Age: p.now.Sub(candidate.FirstAttemptAt), Work: candidate.Work, ReservedWork: candidate.ReservedWork, Zone: candidate.Zone})
	if r.attempt++; r.attempt < maxAttempts {
		r.at = p.now.Add(decision.RetryAfter)
		c.retries = append(c.retries, r)
	}
}

// EarnedShare returns the share of its value that a job has earned, 0 if it has not completed.
func (p *Replay) EarnedShare(id string) float64 {
	j, endTime := p.jobsByID[id], p.endTimes[id]
	if endTime == 0 {
		return 0
	}
	q := policy().Queues[j.Queue]
	responseTime := endTime - j.SubmittedAt.Sub(replayStart)
	objective := time.Duration(q.Stretch*float64(p.criticalPath(j))) + q.Target
	return kqplan.EarnedShare(responseTime, objective)
}
