package kqplan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqapproval"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// ApprovalRequest asks the policy service which workers may run a step. An agent sends it.
type ApprovalRequest struct {
	// Step names the step as job.occurrence.step.
	Step string `json:"step"`
	// Workers are the incarnations for which approval is requested.
	Workers []kqexecution.Incarnation `json:"workers"`
}

// ApprovalResponse is an agent's response to an ApprovalRequest. If the policy service did not
// answer, Answered is false and Answer is empty.
type ApprovalResponse struct {
	// Step is the step of the request.
	Step string `json:"step"`
	// Workers are the incarnations of the request.
	Workers []kqexecution.Incarnation `json:"workers"`
	// Answered is true if the service has answered.
	Answered bool `json:"answered,omitempty"`
	// Answer is the answer of the service.
	Answer kqapproval.Response `json:"answer,omitzero"`
}

const (
	// ticketMargin is how long before its expiry a ticket is no longer used.
	ticketMargin = 800 * time.Millisecond
	// approvalSlack is how much later than expected a response may arrive.
	approvalSlack = 2 * time.Second
	// approvalRetryPause is the time between two requests for a step that has too few approved
	// workers.
	approvalRetryPause = 400 * time.Millisecond
	// approvalLead is how long before a step can start its approval is requested, in addition to
	// the decision time of the service.
	approvalLead = 500 * time.Millisecond
	// approvalSparePercent is how many workers are requested beyond those needed, in percent of
	// them: some are not approved.
	approvalSparePercent = 100
	// minRequestedWorkers is the lower limit on the workers per request, if there are as many.
	minRequestedWorkers = 4
	// maxOpenRequests is how many requests one agent may have open.
	maxOpenRequests = 2
)

// approval holds the answers of the policy service for one step: the incarnations that were denied,
// the tickets of those that were approved, and the agent that sent the request which is open until
// responseDueBy. No further request is made before retryAt.
type approval struct {
	denied        map[kqexecution.Incarnation]bool
	tickets       map[kqexecution.Incarnation]ticket
	agent         string
	responseDueBy time.Time
	retryAt       time.Time
	// requestedAt is when the latest request was made.
	requestedAt time.Time
}

// ticket is the permission to start tasks of a step on one incarnation.
type ticket struct {
	text       string
	validUntil time.Time
}

// name returns the step's name in approval requests: job.occurrence.step.
func (k stepKey) name() string { return fmt.Sprintf("%s.%d.%d", k.job, k.occurrence, k.step) }

// parseStepName parses the form that name returns.
func parseStepName(name string) (k stepKey, ok bool) {
	id, err := kqflow.ParseTaskID(name + ".0")
	return stepKey{id.Job, id.Occurrence, id.Step}, err == nil
}

// ticketFor returns the ticket with which a task may start on a host, and whether it is still valid.
func (p *Planner) ticketFor(now time.Time, t *task, h *host) (string, bool) {
	a := p.approvals[t.stepKey()]
	if a == nil {
		return "", false
	}
	tk, ok := a.tickets[h.info.Worker]
	return tk.text, ok && now.Before(tk.validUntil)
}

// isApproved reports whether a task may start on a host: its queue requires no approval, or the
// host's worker has a valid ticket.
func (p *Planner) isApproved(now time.Time, t *task, h *host) bool {
	if !t.job.queue.Approval.Required {
		return true
	}
	_, ok := p.ticketFor(now, t, h)
	return ok
}

// isDenied reports whether the policy service has denied a task the worker of a host.
func (p *Planner) isDenied(t *task, h *host) bool {
	a := p.approvals[t.stepKey()]
	return a != nil && a.denied[h.info.Worker]
}

// lacksApproval reports whether no worker has been approved for a task, so that no host needs to be
// considered for it. A restart may claim a host meanwhile.
func (p *Planner) lacksApproval(t *task) bool {
	if !t.job.queue.Approval.Required || t.isRestart() {
		return false
	}
	a := p.approvals[t.stepKey()]
	return a == nil || len(a.tickets) == 0
}

// requestApprovals requests approval of workers for the steps that start soon. Agents have few requests
// open, so jobs take turns: those of higher priority come first, then those with the fewest open
// requests, so that a job with many steps does not delay the others, then those whose latest request is the
// longest ago, so that jobs whose requests are in vain do not either.
func (p *Planner) requestApprovals(now time.Time) {
	if now.Sub(p.approvalsRequestedAt) < approvalCheckInterval {
		return
	}
	p.approvalsRequestedAt = now
	p.pruneApprovals()
	open, requestedAt := p.approvalRequestsByJob(now)
	var waiting []*approvalQueue
	for _, j := range p.jobs.All() {
		if j.queue.Approval.Required && !j.state.Final() {
			waiting = append(waiting, &approvalQueue{job: j, open: open[j.spec.ID], requestedAt: requestedAt[j.spec.ID]})
		}
	}
	slices.SortStableFunc(waiting, func(a, b *approvalQueue) int {
		return cmp.Or(cmp.Compare(a.job.queue.Priority, b.job.queue.Priority), cmp.Compare(a.open, b.open), a.requestedAt.Compare(b.requestedAt))
	})
	agent := p.approvalAgent(now)
	for len(waiting) > 0 && agent != nil {
		waiting = slices.DeleteFunc(waiting, func(q *approvalQueue) bool {
			if agent == nil || !p.requestNextApproval(now, q, agent) {
				return true
			}
			agent = p.approvalAgent(now)
			return false
		})
	}
}

// approvalCheckInterval is the least time between two checks for steps that need approved workers.
const approvalCheckInterval = 50 * time.Millisecond

// approvalQueue lists the steps of a job for which a check may request approval. steps is made once it is
// the turn of the job.
type approvalQueue struct {
	job *job
	// open is the number of open requests, requestedAt the time of the latest request.
	open        int
	requestedAt time.Time
	// listed is true once steps, which holds a task of each step, was made.
	listed bool
	steps  []*task
}

// approvalRequestsByJob returns, by job, the number of open requests and the time of the latest request.
func (p *Planner) approvalRequestsByJob(now time.Time) (open map[string]int, requestedAt map[string]time.Time) {
	open, requestedAt = map[string]int{}, map[string]time.Time{}
	for k, a := range p.approvals {
		if now.Before(a.responseDueBy) {
			open[k.job]++
		}
		requestedAt[k.job] = later(requestedAt[k.job], a.requestedAt)
	}
	return open, requestedAt
}

// requestNextApproval makes at most one request for a job, through an agent. It returns false if the job
// needs no further request in this check.
func (p *Planner) requestNextApproval(now time.Time, q *approvalQueue, agent *host) bool {
	if !q.listed {
		q.listed, q.steps = true, q.job.stepsStartingWithin(q.job.queue.Approval.DecisionTime+approvalLead)
		slices.SortStableFunc(q.steps, func(a, b *task) int { return p.approvalRequestedAt(a).Compare(p.approvalRequestedAt(b)) })
	}
	for len(q.steps) > 0 {
		t := q.steps[0]
		q.steps = q.steps[1:]
		if p.requestApproval(now, t, agent) {
			return true
		}
	}
	return false
}

// approvalRequestedAt returns when approval was last requested for a step; zero if it never was.
func (p *Planner) approvalRequestedAt(t *task) time.Time {
	if a := p.approvals[t.stepKey()]; a != nil {
		return a.requestedAt
	}
	return time.Time{}
}

// stepsStartingWithin returns a task of each unfinished step that is expected to be able to start within
// a time.
func (j *job) stepsStartingWithin(limit time.Duration) []*task {
	var out []*task
	for occurrence := range j.occurrences {
		durations := make([]time.Duration, len(j.spec.Steps))
		for step := range durations {
			for _, t := range j.stepTasks(occurrence, step) {
				if !t.done {
					durations[step] = max(durations[step], t.remainingTime())
				}
			}
		}
		for step, delay := range j.graph.startDelays(durations) {
			if delay <= limit && j.progress(occurrence, step).unfinished > 0 {
				out = append(out, j.stepTasks(occurrence, step)[0])
			}
		}
	}
	return out
}

// requestApproval requests approval of workers for a step through an agent, unless enough are approved,
// a request is open, or no worker can be asked for. It reports whether it did.
func (p *Planner) requestApproval(now time.Time, t *task, agent *host) bool {
	a := p.approvals[t.stepKey()]
	if a == nil {
		a = &approval{denied: map[kqexecution.Incarnation]bool{}, tickets: map[kqexecution.Incarnation]ticket{}}
		p.approvals[t.stepKey()] = a
	}
	if now.Before(a.responseDueBy) || now.Before(a.retryAt) {
		return false
	}
	a.retryAt = now.Add(approvalRetryPause)
	needed := p.missingWorkers(now, t, a)
	if needed <= 0 {
		return false
	}
	workers := p.approvalCandidates(now, t, a, needed*(100+approvalSparePercent)/100)
	if len(workers) == 0 {
		return false
	}
	policy := t.job.queue.Approval
	a.agent, a.requestedAt, a.responseDueBy = agent.name, now, now.Add(policy.DecisionTime+time.Duration(len(workers))*policy.DecisionTimePerWorker+approvalSlack)
	agent.pendingApprovals++
	p.config.Events.Emit(now, kqevent.ApprovalRequested, kqevent.Job(t.job.spec.ID), "step %d: approval of %d workers requested through %s, %d more are needed", t.id.Step, len(workers), agent.name, needed)
	p.effects = append(p.effects, Effect{Host: agent.name, ApprovalRequest: &ApprovalRequest{Step: t.stepKey().name(), Workers: workers}})
	return true
}

// missingWorkers returns how many more approved workers a step needs.
func (p *Planner) missingWorkers(now time.Time, t *task, a *approval) int {
	waiting := 0
	for _, m := range t.stepTasks() {
		if !m.done && len(m.runs) == 0 {
			waiting++
		}
	}
	if waiting == 0 {
		return 0
	}
	for _, h := range p.hosts.All() {
		if tk, ok := a.tickets[h.info.Worker]; ok && now.Before(tk.validUntil) && p.mayRun(now, t, h) {
			waiting -= t.countPlaceable(h)
		}
	}
	if waiting <= 0 {
		return 0
	}
	// A worker may run several tasks: the one with the most free capacity determines how many.
	perWorker := 1
	for _, h := range p.hosts.All() {
		perWorker = max(perWorker, t.countPlaceable(h))
	}
	return (waiting + perWorker - 1) / perWorker
}

// countFitting returns how many tasks of the step fit into the given free resources of a worker.
func (t *task) countFitting(free kqmodel.Resources) int {
	n, need := 0, t.step.Reserved()
	for need.FitsIn(free) && n < t.step.Count && (t.step.MaxPerWorker == 0 || n < t.step.MaxPerWorker) {
		free = free.Sub(need)
		n++
	}
	return n
}

// countPlaceable returns how many more tasks of the step a host may run at once.
func (t *task) countPlaceable(h *host) int {
	n := t.countFitting(h.availableTo(t, h.free()))
	if t.step.MaxPerWorker > 0 {
		n = min(n, max(0, t.step.MaxPerWorker-h.countSameStep(t)))
	}
	return n
}

// approvalCandidates returns workers that may run a task, were not denied and have no valid ticket,
// those on which the most tasks fit first, then those with the most free processors. At most limit
// workers are returned, but up to minRequestedWorkers if limit is lower.
func (p *Planner) approvalCandidates(now time.Time, t *task, a *approval, limit int) []kqexecution.Incarnation {
	type candidate struct {
		worker kqexecution.Incarnation
		fits   int
		free   int64
	}
	var all []candidate
	for _, h := range p.hosts.All() {
		tk, approved := a.tickets[h.info.Worker]
		if a.denied[h.info.Worker] || approved && now.Before(tk.validUntil) || !p.mayRun(now, t, h) {
			continue
		}
		if n := t.countFitting(h.availableTo(t, h.free())); n > 0 {
			all = append(all, candidate{h.info.Worker, n, h.free().MilliProcessors})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.fits, a.fits), cmp.Compare(b.free, a.free), cmp.Compare(a.worker, b.worker))
	})
	all = all[:min(len(all), kqapproval.MaxWorkers, max(minRequestedWorkers, limit))]
	out := make([]kqexecution.Incarnation, len(all))
	for i, c := range all {
		out[i] = c.worker
	}
	return out
}

// approvalAgent returns the host whose agent sends the next request, or nil if each has maxOpenRequests:
// the policy service processes the requests of one machine one after another. Agents whose latest request
// was not answered come last, the longest ago first: one that does not reach the service has no open
// requests and would get all new ones. Of the others it is the one with the fewest open requests.
func (p *Planner) approvalAgent(now time.Time) *host {
	var best *host
	for _, h := range p.hosts.All() {
		if !h.connected || h.pendingApprovals >= maxOpenRequests || now.Sub(h.lastReportAt) >= reportTimeout {
			continue
		}
		if best == nil || cmp.Or(h.approvalFailedAt.Compare(best.approvalFailedAt), cmp.Compare(h.pendingApprovals, best.pendingApprovals), cmp.Compare(h.name, best.name)) < 0 {
			best = h
		}
	}
	return best
}

// RecordApproval applies the response to an approval request; agent is the host whose agent sent it.
func (p *Planner) RecordApproval(now time.Time, agent string, resp ApprovalResponse) {
	h := p.host(agent)
	h.pendingApprovals = max(0, h.pendingApprovals-1)
	h.approvalFailedAt = time.Time{}
	if !resp.Answered {
		h.approvalFailedAt = now
	}
	k, ok := parseStepName(resp.Step)
	a := p.approvals[k]
	if !ok || a == nil || a.agent != agent {
		return
	}
	a.responseDueBy = time.Time{}
	if !resp.Answered {
		a.retryAt = now.Add(approvalRetryPause)
		return
	}
	for _, w := range resp.Workers {
		a.denied[w] = true
	}
	for _, tk := range resp.Answer.Tickets {
		w := resp.incarnation(tk.Worker)
		delete(a.denied, w)
		a.tickets[w] = ticket{text: tk.Ticket, validUntil: now.Add(max(0, resp.Answer.ValidFor-ticketMargin))}
	}
	p.config.Events.Emit(now, kqevent.ApprovalReceived, kqevent.Job(k.job), "step %d: %d of %d workers approved for %s", k.step, len(resp.Answer.Tickets), len(resp.Workers), resp.Answer.ValidFor)
	a.retryAt = time.Time{}
	p.passRequested = true
}

// incarnation returns the requested incarnation with a worker ID: the policy service knows only IDs.
func (r ApprovalResponse) incarnation(id string) kqexecution.Incarnation {
	for _, w := range r.Workers {
		if w.ID() == id {
			return w
		}
	}
	return kqexecution.NewIncarnation(id, time.Time{})
}

// dropTicket removes a ticket that a worker refused.
func (p *Planner) dropTicket(t *task, h *host) {
	if a := p.approvals[t.stepKey()]; a != nil {
		delete(a.tickets, h.info.Worker)
	}
}

// pruneApprovals removes the approvals of jobs that have ended.
func (p *Planner) pruneApprovals() {
	for k := range p.approvals {
		if j := p.jobs.Get(k.job); j == nil || j.state.Final() {
			delete(p.approvals, k)
		}
	}
}
