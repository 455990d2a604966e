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
type Ask struct {
	// Step names the step as job.occurrence.step.
	Step string `json:"step"`
	// Workers are the incarnations asked about.
	Workers []kqexecution.Incarnation `json:"workers"`
}

// Approved is the answer to an Ask; an agent that got none leaves it empty.
type Approved struct {
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
	askMargin = 800 * time.Millisecond
	// askSlack is how much later than expected an answer may come.
	askSlack = 2 * time.Second
	// askPause is the time between two questions without enough workers.
	askPause = 400 * time.Millisecond
	// askAhead is how long before its turn a step is asked for, besides what the
	// service takes.
	askAhead = 500 * time.Millisecond
	// askSpare is how many more workers are asked for than are needed, in
	// percent: some are not approved.
	askSpare = 100
	// leastAsked is the fewest workers in a question.
	leastAsked = 4
	// asksPerHost is how many questions one agent has under way.
	asksPerHost = 2
)

// approval is what is known of the workers that may run a step.
type approval struct {
	refused map[kqexecution.Incarnation]bool
	tickets map[kqexecution.Incarnation]ticket
	asked   string
	until   time.Time
	retryAt time.Time
}

type ticket struct {
	text  string
	until time.Time
}

func (k stepKey) name(job string) string { return fmt.Sprintf("%s.%d.%d", job, k.occurrence, k.number) }

// ticketFor returns the ticket with which a task may start on a host.
func (p *Planner) ticketFor(now time.Time, t *task, h *host) (string, bool) {
	a := p.approvals[t.stepKey()]
	if a == nil {
		return "", false
	}
	x, ok := a.tickets[h.info.Worker]
	return x.text, ok && now.Before(x.until)
}

// approved reports whether the queue of a task lets it start on a host.
func (p *Planner) approved(now time.Time, t *task, h *host) bool {
	if !t.job.queue.Approval.Needed {
		return true
	}
	_, ok := p.ticketFor(now, t, h)
	return ok
}

// seekApprovals asks for the workers that steps need soon.
func (p *Planner) seekApprovals(now time.Time) {
	if now.Sub(p.askedAt) < askInterval {
		return
	}
	p.askedAt = now
	p.forgetApprovals()
	for _, j := range p.jobs.All() {
		if !j.queue.Approval.Needed || j.state.Final() {
			continue
		}
		seen := map[stepKey]bool{}
		for _, t := range j.tasks {
			if k := t.stepKey(); !t.done && !seen[k] {
				seen[k] = true
				p.seek(now, t)
			}
		}
	}
}

const askInterval = 50 * time.Millisecond

// seek asks for a step unless enough workers are approved.
func (p *Planner) seek(now time.Time, t *task) {
	a := p.approvals[t.stepKey()]
	if a == nil {
		a = &approval{refused: map[kqexecution.Incarnation]bool{}, tickets: map[kqexecution.Incarnation]ticket{}}
		p.approvals[t.stepKey()] = a
	}
	if now.Before(a.until) || now.Before(a.retryAt) || t.turnIn() > t.job.queue.Approval.Decide+askAhead {
		return
	}
	a.retryAt = now.Add(askPause)
	needed := p.missing(now, t, a)
	if needed <= 0 {
		return
	}
	workers := p.candidates(now, t, a, needed*(100+askSpare)/100)
	by := p.asker(now)
	if len(workers) == 0 || by == nil {
		return
	}
	x := t.job.queue.Approval
	a.asked, a.until = by.name, now.Add(x.Decide+time.Duration(len(workers))*x.Each+askSlack)
	by.asks++
	p.config.Events.Emit(now, kqevent.ApprovalAsked, kqevent.Job(t.job.spec.ID), "step %d: %d workers through %s, %d tasks wait", t.id.Step, len(workers), by.name, needed)
	p.effects = append(p.effects, Effect{Host: by.name, Ask: &Ask{Step: t.stepKey().name(t.job.spec.ID), Workers: workers}})
}

// turnIn returns about how long it takes until the turn of a task.
func (t *task) turnIn() time.Duration {
	longest := time.Duration(0)
	for _, m := range t.job.tasks {
		if m.id.Occurrence == t.id.Occurrence && !m.done && slices.Contains(t.step.After, m.id.Step) {
			longest = max(longest, m.rest()+m.turnIn())
		}
	}
	return longest
}

// missing returns how many more workers a step needs.
func (p *Planner) missing(now time.Time, t *task, a *approval) int {
	waiting := 0
	for _, m := range t.members() {
		if !m.done && len(m.runs) == 0 {
			waiting++
		}
	}
	for _, h := range p.hosts.All() {
		if x, ok := a.tickets[h.info.Worker]; ok && now.Before(x.until) && h.usable(now) && !p.evacuated(h) {
			waiting -= t.fitting(h.free())
		}
	}
	if waiting <= 0 {
		return 0
	}
	// Workers take several tasks each; the largest tells how many.
	each := 1
	for _, h := range p.hosts.All() {
		each = max(each, t.fitting(h.free()))
	}
	return (waiting + each - 1) / each
}

// fitting returns how many tasks of the step a worker with some room takes.
func (t *task) fitting(left kqmodel.Resources) int {
	n, need := 0, t.step.Reserved()
	for need.Fits(left) && n < t.step.Count && (t.step.PerWorker == 0 || n < t.step.PerWorker) {
		left = left.Sub(need)
		n++
	}
	return n
}

// candidates returns the best workers that were not asked about, those with most
// room first.
func (p *Planner) candidates(now time.Time, t *task, a *approval, most int) []kqexecution.Incarnation {
	type candidate struct {
		worker kqexecution.Incarnation
		fits   int
	}
	var all []candidate
	for _, h := range p.hosts.All() {
		x, held := a.tickets[h.info.Worker]
		if a.refused[h.info.Worker] || held && now.Before(x.until) || !p.allowed(now, t, h) {
			continue
		}
		if n := t.fitting(h.free()); n > 0 {
			all = append(all, candidate{h.info.Worker, n})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.fits, a.fits), cmp.Compare(a.worker, b.worker))
	})
	all = all[:min(len(all), kqapproval.MaxWorkers, max(leastAsked, most))]
	out := make([]kqexecution.Incarnation, len(all))
	for i, c := range all {
		out[i] = c.worker
	}
	return out
}

// asker returns the agent with the fewest questions under way: the service
// serves each machine's questions one by one.
func (p *Planner) asker(now time.Time) *host {
	var best *host
	for _, h := range p.hosts.All() {
		if h.linked && h.asks < asksPerHost && now.Sub(h.heardAt) < hearBound && (best == nil || h.asks < best.asks || h.asks == best.asks && h.name < best.name) {
			best = h
		}
	}
	return best
}

// Approved takes over an answer of the policy service.
func (p *Planner) Approved(now time.Time, by string, x Approved) {
	h := p.host(by)
	h.asks = max(0, h.asks-1)
	for k, a := range p.approvals {
		j := p.jobs.Get(k.job)
		if j == nil || a.asked != by || k.name(k.job) != x.Step {
			continue
		}
		a.until = time.Time{}
		if !x.Answered {
			a.retryAt = now.Add(askPause)
			return
		}
		for _, w := range x.Workers {
			a.refused[w] = true
		}
		for _, y := range x.Answer.Tickets {
			w := x.asked(y.Worker)
			delete(a.refused, w)
			a.tickets[w] = ticket{text: y.Ticket, until: now.Add(max(0, x.Answer.Valid-askMargin))}
		}
		p.config.Events.Emit(now, kqevent.ApprovalGiven, kqevent.Job(k.job), "step %d: %d of %d workers for %s", k.number, len(x.Answer.Tickets), len(x.Workers), x.Answer.Valid)
		a.retryAt = time.Time{}
		p.place = true
		return
	}
}

// asked returns the incarnation of the question that has an id: the service
// knows ids only.
func (x Approved) asked(id string) kqexecution.Incarnation {
	for _, w := range x.Workers {
		if w.ID() == id {
			return w
		}
	}
	return kqexecution.NewIncarnation(id, time.Time{})
}

// unticket drops a ticket that a worker did not take.
func (p *Planner) unticket(t *task, h *host) {
	if a := p.approvals[t.stepKey()]; a != nil {
		delete(a.tickets, h.info.Worker)
	}
}

// forgetApprovals drops what was said of jobs that have ended.
func (p *Planner) forgetApprovals() {
	for k := range p.approvals {
		if j := p.jobs.Get(k.job); j == nil || j.state.Final() {
			delete(p.approvals, k)
		}
	}
}
