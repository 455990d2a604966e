package kqreplay

import (
	"fmt"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqadmission"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqplan"
)

// Callers is what the entries answered to jobs that have an objective.
type Callers struct {
	// Offered is how many jobs came, Attempts how often they were offered.
	Offered, Attempts int
	// Verdicts counts the answers.
	Verdicts map[kqadmission.Verdict]int
	// Zones and Queues count the rejections of each zone's entries and of each queue.
	Zones, Queues map[string]int
	// Returned is how many rejected jobs were accepted later.
	Returned int
	// Longest is the longest that was said until room comes.
	Longest time.Duration
	// Rejected lists the jobs that were rejected and have not been accepted since.
	Rejected []string
	// Pending is how many of them have not been told to come back before the end.
	Pending int
}

const (
	// mostAttempts is how often a caller offers a job.
	mostAttempts = 5
	zones        = 3
)

// callers hands jobs in to entries in several zones, and again if they are rejected.
type callers struct {
	received kqadmission.ReceivedDigest
	retries  []retry
	account  Callers
}

// retry is a rejected job that comes back.
type retry struct {
	job     kqflow.Job
	at      time.Time
	attempt int
}

func newCallers() *callers {
	return &callers{account: Callers{Verdicts: map[kqadmission.Verdict]int{}, Zones: map[string]int{}, Queues: map[string]int{}}}
}

// hear takes over what the owner tells the entries.
func (c *callers) hear(now time.Time, d *kqadmission.Digest) {
	if d != nil {
		c.received = kqadmission.ReceivedDigest{Digest: d, ReceivedAt: now}
	}
}

// offer hands a new job in.
func (c *callers) offer(p *Replay, j kqflow.Job) {
	if j.HasObjective() {
		c.account.Offered++
		j.Zone = fmt.Sprint("zone-", c.account.Offered%zones)
	}
	c.attempt(p, retry{job: j})
}

// again hands in what comes back now.
func (c *callers) again(p *Replay) {
	due := c.retries
	c.retries = nil
	for _, r := range due {
		if r.at.After(p.now) {
			c.retries = append(c.retries, r)
			continue
		}
		c.attempt(p, r)
	}
}

func (c *callers) attempt(p *Replay, r retry) {
	first, j := r.job.SubmittedAt, r.job
	j.SubmittedAt = p.now
	if p.config.Admission && j.HasObjective() {
		c.account.Attempts++
		q := policy().Queues[j.Queue]
		x := kqadmission.NewJob(j, q, first, j.Zone)
		d := kqadmission.Decide(p.now, x, q, c.received)
		c.account.Verdicts[d.Verdict]++
		if d.Verdict == kqadmission.Reject {
			c.reject(p, r, x, d)
			if !p.config.Lenient {
				return
			}
		} else if r.attempt > 0 {
			c.account.Returned++
			c.account.Rejected = slices.DeleteFunc(c.account.Rejected, func(id string) bool { return id == j.ID })
		}
	}
	p.planner.Submit(p.now, kqflow.Submission{Job: j}, nil, 0)
}

func (c *callers) reject(p *Replay, r retry, x kqadmission.Job, d kqadmission.Decision) {
	c.account.Zones[x.Zone]++
	c.account.Queues[r.job.Queue]++
	c.account.Longest = max(c.account.Longest, d.RetryAfter)
	if r.attempt == 0 {
		c.account.Rejected = append(c.account.Rejected, x.ID)
	}
	if p.config.Lenient {
		return
	}
	p.planner.RecordRejection(p.now, kqadmission.RejectedJob{ID: x.ID, Queue: r.job.Queue, Age: p.now.Sub(x.FirstAttemptAt), Work: x.Work, ReservedWork: x.ReservedWork, Zone: x.Zone})
	if r.attempt++; r.attempt < mostAttempts {
		r.at = p.now.Add(d.RetryAfter)
		c.retries = append(c.retries, r)
	}
}

// Earned returns the part of its worth that a job has earned.
func (p *Replay) Earned(id string) float64 {
	j, e := p.specs[id], p.ended[id]
	if e == 0 {
		return 0
	}
	q := policy().Queues[j.Queue]
	took := e - j.SubmittedAt.Sub(epoch)
	objective := time.Duration(q.Stretch*float64(p.chain(j))) + q.Target
	return kqplan.EarnedShare(took, objective)
}
