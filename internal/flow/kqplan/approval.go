package kqplan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqapproval"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// Ask is a question to the policy service, which an agent puts.
type ApprovalRequest struct {
	// Step names the step as job.occurrence.step.
	Step string `json:"step"`
	// Workers are the incarnations asked about.
	Workers []kqexecution.Incarnation `json:"workers"`
}

// Approved is the answer to an Ask; an agent that got none leaves it empty.
type ApprovalResponse struct {
	// Step is the step of the question.
	Step string `json:"step"`
	// Workers are those of the question.
	Workers []kqexecution.Incarnation `json:"workers"`
	// Answered is true if the service has answered.
	Answered bool `json:"answered,omitempty"`
	// Answer is what it said.
	Answer kqapproval.Answer `json:"answer,omitzero"`
}

const (
	// askMargin is how long before its end a ticket is not used any more.
	ticketMargin = 800 * time.Millisecond
	// askSlack is how much later than expected an answer may come.
	approvalSlack = 2 * time.Second
	// askPause is the time between two questions without enough workers.
	approvalRetryPause = 400 * time.Millisecond
	// askAhead is how long before its turn a step is asked for, besides what the
	// service takes.
	approvalLead = 500 * time.Millisecond
	// askSpare is how many more workers are asked for than are needed, in
	// percent: some are not approved.
	approvalSparePercent = 100
	// leastAsked is the fewest workers in a question.
	minRequestedWorkers = 4
	// asksPerHost is how many questions one agent has under way.
	maxOpenRequests = 2
)

// approval is what is known of the workers that may run a step.
type approval struct {
	denied        map[kqexecution.Incarnation]bool
	tickets       map[kqexecution.Incarnation]ticket
	agent         string
	responseDueBy time.Time
	retryAt       time.Time
}

type ticket struct {
	text       string
	validUntil time.Time
}

func (k stepKey) name(job string) string { return fmt.Sprintf("%s.%d.%d", job, k.occurrence, k.step) }

// ticketFor returns the ticket with which a task may start on a host.
func (p *Planner) ticketFor(now time.Time, t *task, h *host) (string, bool) {
	a := p.approvals[t.stepKey()]
	if a == nil {
		return "", false
	}
	x, ok := a.tickets[h.info.Worker]
	return x.text, ok && now.Before(x.validUntil)
}

// approved reports whether the queue of a task lets it start on a host.
func (p *Planner) isApproved(now time.Time, t *task, h *host) bool {
	if !t.job.queue.Approval.Required {
		return true
	}
	_, ok := p.ticketFor(now, t, h)
	return ok
}

// seekApprovals asks for the workers that steps need soon.
func (p *Planner) requestApprovals(now time.Time) {
	if now.Sub(p.approvalsRequestedAt) < approvalCheckInterval {
		return
	}
	p.approvalsRequestedAt = now
	p.pruneApprovals()
	for _, j := range p.jobs.All() {
		if !j.queue.Approval.Required || j.state.Final() {
			continue
		}
		seen := map[stepKey]bool{}
		for _, t := range j.tasks {
			if k := t.stepKey(); !t.done && !seen[k] {
				seen[k] = true
				p.requestApproval(now, t)
			}
		}
	}
}

const approvalCheckInterval = 50 * time.Millisecond

// seek asks for a step unless enough workers are approved.
func (p *Planner) requestApproval(now time.Time, t *task) {
	a := p.approvals[t.stepKey()]
	if a == nil {
		a = &approval{denied: map[kqexecution.Incarnation]bool{}, tickets: map[kqexecution.Incarnation]ticket{}}
		p.approvals[t.stepKey()] = a
	}
	if now.Before(a.responseDueBy) || now.Before(a.retryAt) || t.timeUntilReady() > t.job.queue.Approval.DecisionTime+approvalLead {
		return
	}
	a.retryAt = now.Add(approvalRetryPause)
	needed := p.missingWorkers(now, t, a)
	if needed <= 0 {
		return
	}
	workers := p.approvalCandidates(now, t, a, needed*(100+approvalSparePercent)/100)
	by := p.approvalAgent(now)
	if len(workers) == 0 || by == nil {
		return
	}
	x := t.job.queue.Approval
	a.agent, a.responseDueBy = by.name, now.Add(x.DecisionTime+time.Duration(len(workers))*x.DecisionTimePerWorker+approvalSlack)
	by.pendingApprovals++
	p.config.Events.Emit(now, kqevent.ApprovalAsked, kqevent.Job(t.job.spec.ID), "step %d: %d workers through %s, %d tasks wait", t.id.Step, len(workers), by.name, needed)
	p.effects = append(p.effects, Effect{Host: by.name, ApprovalRequest: &ApprovalRequest{Step: t.stepKey().name(t.job.spec.ID), Workers: workers}})
}

// turnIn returns about how long it takes until the turn of a task.
func (t *task) timeUntilReady() time.Duration {
	longest := time.Duration(0)
	for _, m := range t.job.tasks {
		if m.id.Occurrence == t.id.Occurrence && !m.done && slices.Contains(t.step.After, m.id.Step) {
			longest = max(longest, m.remainingTime()+m.timeUntilReady())
		}
	}
	return longest
}

// missing returns how many more workers a step needs.
func (p *Planner) missingWorkers(now time.Time, t *task, a *approval) int {
	waiting := 0
	for _, m := range t.stepTasks() {
		if !m.done && len(m.runs) == 0 {
			waiting++
		}
	}
	for _, h := range p.hosts.All() {
		if x, ok := a.tickets[h.info.Worker]; ok && now.Before(x.validUntil) && h.usable(now) && !p.inEvacuatedZone(h) {
			waiting -= t.countFitting(h.free())
		}
	}
	if waiting <= 0 {
		return 0
	}
	// Workers take several tasks each; the largest tells how many.
	each := 1
	for _, h := range p.hosts.All() {
		each = max(each, t.countFitting(h.free()))
	}
	return (waiting + each - 1) / each
}

// fitting returns how many tasks of the step a worker with some room takes.
func (t *task) countFitting(left kqmodel.Resources) int {
	n, need := 0, t.step.Reserved()
	for need.Fits(left) && n < t.step.Count && (t.step.MaxPerWorker == 0 || n < t.step.MaxPerWorker) {
		left = left.Sub(need)
		n++
	}
	return n
}

// candidates returns the best workers that were not asked about, those with most
// room first.
func (p *Planner) approvalCandidates(now time.Time, t *task, a *approval, most int) []kqexecution.Incarnation {
	type candidate struct {
		worker kqexecution.Incarnation
		fits   int
	}
	var all []candidate
	for _, h := range p.hosts.All() {
		x, held := a.tickets[h.info.Worker]
		if a.denied[h.info.Worker] || held && now.Before(x.validUntil) || !p.mayRun(now, t, h) {
			continue
		}
		if n := t.countFitting(h.free()); n > 0 {
			all = append(all, candidate{h.info.Worker, n})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.fits, a.fits), cmp.Compare(a.worker, b.worker))
	})
	all = all[:min(len(all), kqapproval.MaxWorkers, max(minRequestedWorkers, most))]
	out := make([]kqexecution.Incarnation, len(all))
	for i, c := range all {
		out[i] = c.worker
	}
	return out
}

// asker returns the agent with the fewest questions under way: the service
// serves each machine's questions one by one.
func (p *Planner) approvalAgent(now time.Time) *host {
	var best *host
	for _, h := range p.hosts.All() {
		if h.connected && h.pendingApprovals < maxOpenRequests && now.Sub(h.lastReportAt) < reportTimeout && (best == nil || h.pendingApprovals < best.pendingApprovals || h.pendingApprovals == best.pendingApprovals && h.name < best.name) {
			best = h
		}
	}
	return best
}

// Approved takes over an answer of the policy service.
func (p *Planner) RecordApproval(now time.Time, by string, x ApprovalResponse) {
	h := p.host(by)
	h.pendingApprovals = max(0, h.pendingApprovals-1)
	for k, a := range p.approvals {
		j := p.jobs.Get(k.job)
		if j == nil || a.agent != by || k.name(k.job) != x.Step {
			continue
		}
		a.responseDueBy = time.Time{}
		if !x.Answered {
			a.retryAt = now.Add(approvalRetryPause)
			return
		}
		for _, w := range x.Workers {
			a.denied[w] = true
		}
		for _, y := range x.Answer.Tickets {
			w := x.incarnation(y.Worker)
			delete(a.denied, w)
			a.tickets[w] = ticket{text: y.Ticket, validUntil: now.Add(max(0, x.Answer.Valid-ticketMargin))}
		}
		p.config.Events.Emit(now, kqevent.ApprovalGiven, kqevent.Job(k.job), "step %d: %d of %d workers for %s", k.step, len(x.Answer.Tickets), len(x.Workers), x.Answer.Valid)
		a.retryAt = time.Time{}
		p.passRequested = true
		return
	}
}

// asked returns the incarnation of the question that has an id: the service
// knows ids only.
func (x ApprovalResponse) incarnation(id string) kqexecution.Incarnation {
	for _, w := range x.Workers {
		if w.ID() == id {
			return w
		}
	}
	return kqexecution.NewIncarnation(id, time.Time{})
}

// unticket drops a ticket that a worker did not take.
func (p *Planner) dropTicket(t *task, h *host) {
	if a := p.approvals[t.stepKey()]; a != nil {
		delete(a.tickets, h.info.Worker)
	}
}

// forgetApprovals drops what was said of jobs that have ended.
func (p *Planner) pruneApprovals() {
	for k := range p.approvals {
		if j := p.jobs.Get(k.job); j == nil || j.state.Final() {
			delete(p.approvals, k)
		}
	}
}
