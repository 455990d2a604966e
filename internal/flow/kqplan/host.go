package kqplan

import (
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/cell/kqlearn"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqordered"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// WorkerInfo is the description of a worker by the agent of its host.
type WorkerInfo struct {
	// Worker is the incarnation of the worker; empty if there is no worker.
	Worker kqexecution.Incarnation `json:"worker,omitempty"`
	// Service is the pool that the worker belongs to.
	Service string `json:"service,omitempty"`
	// Zone is the availability zone.
	Zone string `json:"zone,omitempty"`
	// Labels are the kind and the rack of the worker.
	Labels []string `json:"labels,omitempty"`
	// Rack is the rack of the machine.
	Rack string `json:"rack,omitempty"`
	// Capacity is the total of the worker's resources.
	Capacity kqmodel.Resources `json:"capacity,omitzero"`
	// Draining is true if the worker accepts no new tasks.
	Draining bool `json:"draining,omitempty"`
	// Remaining is the minimum time until a draining worker ends.
	Remaining time.Duration `json:"remaining,omitempty"`
	// Unresponsive is true if the worker does not answer its agent.
	Unresponsive bool `json:"unwell,omitempty"`
	// SilentFor is the time since an unresponsive worker stopped answering, as of the time at which the
	// agent sent it.
	SilentFor time.Duration `json:"silent,omitempty"`
	// WarmUpLeft is the remaining time for which the worker is slow after its start, as of the
	// time at which the agent sent it.
	WarmUpLeft time.Duration `json:"cold,omitempty"`
}

// Report is an agent's report on the runs of its worker.
type Report struct {
	// Worker is the incarnation of the worker.
	Worker kqexecution.Incarnation `json:"worker"`
	// Complete is true if Running lists every run.
	Complete bool `json:"whole,omitempty"`
	// Running lists the runs at work.
	Running []kqexecution.RunStatus `json:"running,omitempty"`
	// Paces is, for each image of serving tasks, the share of full speed, in percent, at which
	// runs with high interference on that image work; it is set if Complete.
	Paces map[string]int `json:"paces,omitempty"`
	// Slowed lists the filling runs that work below full speed; it is set if Complete.
	Slowed []SlowedRun `json:"slowed,omitempty"`
	// Ended lists the ends that are not acknowledged yet.
	Ended []kqexecution.RunEnd `json:"ended,omitempty"`
}

// SlowedRun is a run that works below full speed.
type SlowedRun struct {
	// Run identifies the run.
	Run kqexecution.Run `json:"run"`
	// Percent is the share of full speed, in percent.
	Percent int `json:"percent"`
}

// pendingEnd is the end of a run that is acknowledged to the worker once its job is committed.
type pendingEnd struct {
	number    uint64
	committed bool
}

// host is a machine with its agent and its worker.
type host struct {
	name string
	// connected is true while the agent is connected.
	connected bool
	info      WorkerInfo
	// leaseExpiresAt is when the lease of the worker has certainly expired.
	leaseExpiresAt time.Time
	// leaseWithheld is true from when no lease is granted to the host until one is granted again.
	leaseWithheld bool
	// lastReportAt is when the agent last connected, reported or got a lease.
	lastReportAt time.Time
	runs         kqordered.Map[kqexecution.Run, *run]
	// orphans holds the reported runs that the planner does not know, with the time of their
	// first report. The host gets no new work until they have ended.
	orphans map[kqexecution.Run]time.Time
	// givenUp holds the runs that were given up with their lease while the agent was connected. The
	// host gets no new work until their ends are reported: the agent still stops them, and what it
	// stops uses capacity.
	givenUp map[kqexecution.Run]bool
	removed removedRuns
	// pendingEnds holds the ends that are not acknowledged yet, in order of their numbers;
	// lastEnd is the number of the last end that was applied, and acknowledged that of the last
	// one that was acknowledged.
	pendingEnds  []*pendingEnd
	lastEnd      uint64
	acknowledged uint64
	health       health
	// paces is Report.Paces of the latest complete report.
	paces      map[string]int
	usage      usage
	colocation colocation
	// pendingApprovals is the number of approval requests in progress through the agent.
	pendingApprovals int
	// approvalFailedAt is when the latest such request was reported as unanswered; zero if it was answered.
	approvalFailedAt time.Time

	// longRunningClaims holds the resources that long-running tasks of the latest pass will use
	// once runs have stopped or ended. Without it, each of these makes way for the next finite task.
	longRunningClaims kqmodel.Resources
	// held is what the host keeps free for a gang that waits.
	held heldCapacity
	// overdueStops holds the resources of the runs whose stop was overdue in the latest pass.
	overdueStops kqmodel.Resources
	// warmUpUntil is the end of the time for which the worker is slow after its start.
	warmUpUntil time.Time
	// silentSince is when the unresponsive worker stopped answering.
	silentSince time.Time
	// trial is the trial that keeps other work from the host, or nil.
	trial *trial
	// noTrialBefore is the time before which no trial claims the host, see trialClaimPause.
	noTrialBefore time.Time
}

// host returns the host with a name; it is added if missing.
func (p *Planner) host(name string) *host {
	h := p.hosts.Get(name)
	if h == nil {
		h = &host{name: name, orphans: map[kqexecution.Run]time.Time{}}
		p.hosts.Put(name, h)
	}
	return h
}

// AgentConnected records that the agent of a host connected.
func (p *Planner) AgentConnected(now time.Time, name string) {
	h := p.host(name)
	h.connected, h.lastReportAt = true, now
	h.givenUp = nil
}

// AgentDisconnected records that the agent of a host disconnected.
func (p *Planner) AgentDisconnected(_ time.Time, name string) {
	h := p.host(name)
	h.connected, h.pendingApprovals, h.approvalFailedAt = false, 0, time.Time{}
}

// UpdateWorker applies an agent's description of its worker; an empty description means that
// there is no worker at present. A new incarnation resets what is kept about the previous one
// and resolves the runs of that incarnation.
func (p *Planner) UpdateWorker(now time.Time, name string, w WorkerInfo) {
	h := p.host(name)
	w = p.boundInfo(now, name, w)
	p.passRequested = true
	if w.Worker != h.info.Worker {
		h.pendingEnds, h.lastEnd, h.acknowledged = nil, 0, 0
		h.orphans = map[kqexecution.Run]time.Time{}
		h.givenUp = nil
		h.health, h.paces = health{}, nil
		p.interference.ForgetWorker(name)
		p.config.Events.Emit(now, kqevent.WorkerRegistered, kqevent.Worker(string(w.Worker)), "host %s, capacity %s, draining %t", name, w.Capacity, w.Draining)
	}
	if w.Worker == h.info.Worker && w.Capacity != h.info.Capacity && w.Worker != "" {
		p.config.Events.Emit(now, kqevent.WorkerResized, kqevent.Worker(string(w.Worker)), "host %s, capacity %s, was %s; its runs reserve %s", name, w.Capacity, h.info.Capacity, h.usage.reserved)
	}
	if p.config.LimitWarmUp {
		h.warmUpUntil = now.Add(w.WarmUpLeft)
	}
	if w.Unresponsive && !h.info.Unresponsive {
		h.silentSince = now.Add(-w.SilentFor)
	}
	previous := h.info
	drainBegins := w.Draining && !previous.Draining
	h.info = w
	if w.Worker != "" {
		p.handleIncarnation(now, h, w.Worker, previous)
	}
	if drainBegins {
		p.drain(now, h)
	}
}

// KnownWorker returns the latest description of the worker of a host; ok is false if there is
// no worker.
func (p *Planner) KnownWorker(name string) (w WorkerInfo, ok bool) {
	h := p.hosts.Get(name)
	if h == nil || h.info.Worker == "" {
		return w, false
	}
	return h.info, true
}

// runList returns a copy of the list of runs of a host, so that the caller may change h.runs
// while iterating.
func (h *host) runList() []*run {
	out := make([]*run, 0, h.runs.Len())
	for _, r := range h.runs.All() {
		out = append(out, r)
	}
	return out
}

// ApplyReport applies a report of an agent. A report on another incarnation than the current
// one is ignored.
func (p *Planner) ApplyReport(now time.Time, name string, r Report) {
	h := p.host(name)
	if h.info.Worker != r.Worker {
		return
	}
	h.lastReportAt = now
	for _, e := range r.Ended {
		p.handleEnd(now, h, e)
	}
	for _, x := range r.Running {
		p.applyProgress(now, h, x)
	}
	if !r.Complete {
		return
	}
	h.updatePaces(r)
	h.countOmissions(now, r.Worker)
	p.learnInterference(now, h)
	p.dropEndedOrphans(h, r.Running)
}

// dropEndedOrphans drops the orphans of a host that a complete report does not list.
func (p *Planner) dropEndedOrphans(h *host, running []kqexecution.RunStatus) {
	if len(h.orphans) == 0 {
		return
	}
	isRunning := make(map[kqexecution.Run]bool, len(running))
	for _, x := range running {
		isRunning[x.Run] = true
	}
	for k := range h.orphans {
		if !isRunning[k] {
			delete(h.orphans, k)
			p.passRequested = true
		}
	}
}

// updatePaces applies the reported paces of the runs of a host.
func (h *host) updatePaces(r Report) {
	h.paces = r.Paces
	for _, x := range h.runs.All() {
		x.pace = fullPercent
	}
	for _, s := range r.Slowed {
		if x := h.runs.Get(s.Run); x != nil {
			x.pace = s.Percent
		}
	}
}

// learnInterference records a sample of the headroom of the serving tasks of a host and of the
// processor use of the filling tasks colocated with them.
func (p *Planner) learnInterference(now time.Time, h *host) {
	s := kqlearn.Sample{At: now, Headrooms: map[string]kqlearn.Headroom{}, ProcessorShares: map[string]float64{}}
	h.colocation.headrooms, h.colocation.unmeasuredAt = nil, time.Time{}
	for _, r := range h.runs.All() {
		x := r.task.step
		switch {
		case !r.reported || r.stopping:
		case x.TailTarget > 0 && r.measurement > 0:
			r.headroom = float64(x.TailTarget.Milliseconds()) / r.measurement
			s.Headrooms[r.task.name] = kqlearn.Headroom{Image: x.Image, Ratio: r.headroom}
		case x.Fills:
			s.ProcessorShares[x.Image] += r.measurement / float64(max(1, h.info.Capacity.MilliProcessors))
		}
	}
	if len(s.Headrooms) > 0 {
		p.interference.Observe(h.name, s)
	}
}

// Resync returns all current orders of a host, for an agent that has just connected and
// reported.
func (p *Planner) Resync(now time.Time, name string) []*Order {
	h := p.host(name)
	var out []*Order
	for _, r := range h.runs.All() {
		if r.worker == h.info.Worker && r.ordered {
			out = append(out, r.currentOrder(now))
		}
	}
	for k := range h.orphans {
		out = append(out, &Order{Run: k, Stop: true, Worker: h.info.Worker})
	}
	return out
}

// applyProgress applies the reported progress of a run. A run that the planner does not know is
// an orphan and is stopped.
func (p *Planner) applyProgress(now time.Time, h *host, x kqexecution.RunStatus) {
	x = x.Bounded()
	r := h.runs.Get(x.Run)
	if r == nil {
		if _, ok := h.orphans[x.Run]; !ok {
			h.orphans[x.Run] = now
			p.effects = append(p.effects, Effect{Host: h.name, Order: &Order{Run: x.Run, Stop: true, Worker: h.info.Worker}})
		}
		return
	}
	if !r.reported {
		r.reported, r.firstReportAt = true, now
	}
	if x.Percent != r.percent || r.lastReportAt.IsZero() {
		r.percent, r.progressedAt = x.Percent, now
	}
	r.measurement, r.lastReportAt = x.Measurement, now
	p.checkProbe(now, h, r)
	p.clearSuspect(now, r)
	if x.Checkpoint != "" && !r.stopping {
		r.task.saveCheckpoint(x.Checkpoint)
	}
}

// handleEnd applies the reported end of a run. The end is acknowledged once the job that it
// changes is committed, or at once if it changes no job.
func (p *Planner) handleEnd(now time.Time, h *host, e kqexecution.RunEnd) {
	if h.givenUp[e.Run] {
		delete(h.givenUp, e.Run)
		p.passRequested = true
	}
	if e.Number != 0 {
		if e.Number <= h.lastEnd {
			return
		}
		h.lastEnd = e.Number
	}
	pending := &pendingEnd{number: e.Number}
	if e.Number != 0 {
		h.pendingEnds = append(h.pendingEnds, pending)
	}
	delete(h.orphans, e.Run)
	p.passRequested = true
	t := p.findTask(e.Run.Task)
	unknown := h.runs.Get(e.Run) == nil
	if t == nil || unknown && (t.job.state.Final() || e.Number == 0) {
		pending.committed = true
		p.acknowledgeEnds(h)
		return
	}
	p.applyEnd(now, h, t, e)
	p.markDirty(t.job)
	t.job.pendingEffects = append(t.job.pendingEffects, pendingEffect{revision: t.job.revision, effect: Effect{Host: h.name}, end: pending})
}

// findTask returns the task with a name, or nil if there is none.
func (p *Planner) findTask(name string) *task {
	id, err := kqflow.ParseTaskID(name)
	if err != nil {
		return nil
	}
	j := p.jobs.Get(id.Job)
	if j == nil {
		return nil
	}
	return j.task(id)
}

// acknowledgeEnds sends the host the number of the last end up to which all ends are committed,
// so that its worker can drop them.
func (p *Planner) acknowledgeEnds(h *host) {
	acknowledged := h.acknowledged
	for len(h.pendingEnds) > 0 && h.pendingEnds[0].committed {
		acknowledged = h.pendingEnds[0].number
		h.pendingEnds = h.pendingEnds[1:]
	}
	if acknowledged != h.acknowledged && h.info.Worker != "" {
		h.acknowledged = acknowledged
		p.effects = append(p.effects, Effect{Host: h.name, Acknowledged: acknowledged, AcknowledgedOf: h.info.Worker})
	}
}

// applyEnd updates a task after the end of one of its runs.
func (p *Planner) applyEnd(now time.Time, h *host, t *task, e kqexecution.RunEnd) {
	r := h.runs.Get(e.Run)
	if r != nil {
		r.host.removed.add(now, r)
		t.removeRun(r)
	}
	if e.Checkpoint != "" && (r != nil || len(t.runs) == 0) {
		t.saveCheckpoint(e.Checkpoint)
	}
	p.config.Events.EmitFields(now, kqevent.FlowRunEnded, kqevent.Task(e.Run.Task), endEventFields(e),
		"run %d on %s: %s", e.Run.Number, h.info.Worker, e.Reason)
	if e.Reason != kqexecution.EndRefused || !p.inEvacuatedZone(h) {
		wasQuarantined := h.health.isQuarantined()
		h.health.recordEnd(now, r.ifNotTransferred(), e.Reason)
		p.logQuarantine(now, h, wasQuarantined)
	}
	switch e.Reason {
	case kqexecution.EndDone:
		p.taskDone(now, t)
	case kqexecution.EndFailed:
		t.failedAt = now
		p.taskFailed(now, t, h, e.Run.Number)
	case kqexecution.EndRefused:
		t.avoidedHost = h.name
		t.retryAt = now.Add(refusedRetryDelay)
		t.barHost(now, h)
		p.dropTicket(t, h)
	}
	p.stopGang(t)
}

// refusedRetryDelay is the time after which a task may be placed again that a worker has refused
// to start.
const refusedRetryDelay = 100 * time.Millisecond

// taskDone marks a task, or its whole gang, as done and stops the other copies. The job is
// completed with its last task.
func (p *Planner) taskDone(now time.Time, t *task) {
	if t.step.LongRunning || t.job.state.Final() {
		return
	}
	finished := []*task{t}
	if t.step.Gang {
		finished = t.stepTasks()
	}
	for _, m := range finished {
		m.markDone()
		for _, r := range m.runs {
			p.stop(r)
		}
	}
	if t.job.allDone() {
		p.recordCompletion(now, t.job)
		p.finish(t.job, kqflow.StateCompleted)
	}
}

// taskFailed counts a failed attempt; the job fails once a task has no attempt left. A new
// owner receives an end again that an earlier owner stored but did not acknowledge, so a run
// number counts only once.
func (p *Planner) taskFailed(now time.Time, t *task, h *host, number uint64) {
	if t.step.LongRunning || t.done || t.job.state.Final() || slices.Contains(t.failedRuns, number) {
		return
	}
	t.failedRuns = append(t.failedRuns, number)
	t.progress().addFailure(number)
	t.avoidedHost = h.name
	if n := t.countFailures(); n >= max(1, t.job.queue.MaxAttempts) {
		p.config.Events.Emit(now, kqevent.FlowFailed, kqevent.Job(t.job.spec.ID), "task %s has failed %d times", t.id, n)
		p.recordOutcome(t.job, OutcomeFailed)
		p.finish(t.job, kqflow.StateFailed)
	}
}

// stop requests the stop of a run. A run whose start was not ordered yet is dropped when that
// start is committed, without sending an order.
func (p *Planner) stop(r *run) {
	if r.stopping {
		return
	}
	r.markStopping()
	if !r.ordered {
		return
	}
	j := r.task.job
	j.pendingEffects = append(j.pendingEffects, pendingEffect{revision: j.revision + 1, effect: Effect{Host: r.host.name, Order: r.stopOrder()}, run: r})
	p.markDirty(j)
}

// markStopping counts a run as being stopped, for its step and its host.
func (r *run) markStopping() {
	r.stopping = true
	if r.host.runs.Get(r.key()) == r {
		r.task.progress().activeRuns--
		r.host.usage.countStopping(r, 1)
	}
}

// markLost removes a run that certainly does not execute on its host any more.
func (p *Planner) markLost(now time.Time, r *run, why string) {
	p.config.Events.EmitFields(now, kqevent.FlowRunLost, kqevent.Task(r.task.name), []kqevent.Field{kqevent.Run(r.number)},
		"run %d on %s: %s", r.number, r.worker, why)
	r.host.removed.add(now, r)
	r.task.removeRun(r)
	p.markDirty(r.task.job)
	p.passRequested = true
	p.stopGang(r.task)
}

// free returns the unreserved capacity of a host.
func (h *host) free() kqmodel.Resources {
	return h.info.Capacity.Sub(h.usage.reserved)
}

// checkCapacity checks the invariant that the reservations of a host do not exceed its
// capacity.
func (p *Planner) checkCapacity(h *host) {
	p.config.Counter.Check(!h.free().IsNegative(), kqinvariant.CapacityExceeded, "host %s: free capacity is %s", h.name, h.free())
}
