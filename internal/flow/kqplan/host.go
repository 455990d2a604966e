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

// WorkerInfo is what the agent of a host knows of its worker.
type WorkerInfo struct {
	// Worker names the incarnation; empty if there is none.
	Worker kqexecution.Incarnation `json:"worker,omitempty"`
	// Service names the pool that the worker belongs to.
	Service string `json:"service,omitempty"`
	// Zone is the availability zone.
	Zone string `json:"zone,omitempty"`
	// Labels are the worker's kind and rack.
	Labels []string `json:"labels,omitempty"`
	// Rack is the rack that the machine stands in.
	Rack string `json:"rack,omitempty"`
	// Capacity is what the worker has.
	Capacity kqmodel.Resources `json:"capacity,omitzero"`
	// Draining is true if the worker takes no new tasks.
	Draining bool `json:"draining,omitempty"`
	// Remaining is the least time that a draining worker stays.
	Remaining time.Duration `json:"remaining,omitempty"`
	// Unwell is true if the worker does not answer its agent.
	Unresponsive bool `json:"unwell,omitempty"`
	// Cold is how much longer the worker is slow after its start, counted from when its
	// agent says so.
	WarmUpLeft time.Duration `json:"cold,omitempty"`
}

// Report is what an agent says of the runs on its worker.
type Report struct {
	// Worker names the incarnation.
	Worker kqexecution.Incarnation `json:"worker"`
	// Whole is true if Running lists every run.
	Complete bool `json:"whole,omitempty"`
	// Running is the runs at work.
	Running []kqexecution.Running `json:"running,omitempty"`
	// Paces is the share, in percent, at which runs work that disturb an image of
	// serving tasks much; it is given if Whole.
	Paces map[string]int `json:"paces,omitempty"`
	// Slowed is the filling runs that do not work at full speed; it is given if
	// Whole.
	Slowed []SlowedRun `json:"slowed,omitempty"`
	// Ended is ends that were not noted yet.
	Ended []kqexecution.End `json:"ended,omitempty"`
}

// Slowed is a run that works at a share of its speed.
type SlowedRun struct {
	// Run names the run.
	Run kqexecution.Run `json:"run"`
	// Percent is the share.
	Percent int `json:"percent"`
}

// heldEnd is an end that is noted once its job is committed.
type pendingEnd struct {
	number    uint64
	committed bool
}

// host is a machine with its agent and the worker beside it.
type host struct {
	name             string
	connected        bool
	info             WorkerInfo
	leaseExpiresAt   time.Time
	lastReportAt     time.Time
	runs             kqordered.Map[kqexecution.Run, *run]
	orphans          map[kqexecution.Run]time.Time
	removed          removedRuns
	pendingEnds      []*pendingEnd
	lastEnd          uint64
	acknowledged     uint64
	health           health
	paces            map[string]int
	usage            usage
	colocation       colocation
	pendingApprovals int

	// coldTill is until when the worker is slow after its start.
	warmUpUntil time.Time
}

func (p *Planner) host(name string) *host {
	h := p.hosts.Get(name)
	if h == nil {
		h = &host{name: name, orphans: map[kqexecution.Run]time.Time{}}
		p.hosts.Put(name, h)
	}
	return h
}

// driftNumerator over driftDenominator bounds how much longer a lease may last
// than was granted: the worker's clock may be 2 % slow.
const (
	driftNumerator   = 103
	driftDenominator = 100
	leaseMargin      = 250 * time.Millisecond
)

// lapse returns after how long a lease has certainly ended.
func (p *Planner) maxLeaseDuration(d time.Duration) time.Duration {
	return d*driftNumerator/driftDenominator + leaseMargin
}

// Granted notes that a host was granted a lease.
func (p *Planner) LeaseGranted(now time.Time, name string, lease time.Duration) {
	h := p.host(name)
	usable := h.usable(now)
	h.lastReportAt = now
	h.leaseExpiresAt = later(h.leaseExpiresAt, now.Add(p.maxLeaseDuration(lease)))
	p.passRequested = p.passRequested || !usable && h.usable(now)
}

// Linked notes that the agent of a host is connected.
func (p *Planner) AgentConnected(now time.Time, name string) {
	h := p.host(name)
	h.connected, h.lastReportAt = true, now
}

// Unlinked notes that the agent of a host is not connected any more.
func (p *Planner) AgentDisconnected(_ time.Time, name string) {
	h := p.host(name)
	h.connected, h.pendingApprovals = false, 0
}

// Describe takes over what an agent knows of its worker; an empty one says that
// there is none for now. Another incarnation proves that what the last one ran is
// gone.
func (p *Planner) UpdateWorker(now time.Time, name string, w WorkerInfo) {
	h := p.host(name)
	p.passRequested = true
	if w.Worker != h.info.Worker {
		h.pendingEnds, h.lastEnd, h.acknowledged = nil, 0, 0
		h.orphans = map[kqexecution.Run]time.Time{}
		h.health, h.paces = health{}, nil
		p.interference.Forget(name)
		p.config.Events.Emit(now, kqevent.WorkerRegistered, kqevent.Worker(string(w.Worker)), "host %s, %s, draining %t", name, w.Capacity, w.Draining)
	}
	if p.config.LimitWarmUp {
		h.warmUpUntil = now.Add(w.WarmUpLeft)
	}
	drained := w.Draining && !h.info.Draining
	h.info = w
	if w.Worker != "" {
		p.handleIncarnation(now, h, w.Worker)
	}
	if drained {
		p.drain(now, h)
	}
}

// Known returns what was last heard of the worker of a host.
func (p *Planner) KnownWorker(name string) (w WorkerInfo, ok bool) {
	h := p.hosts.Get(name)
	if h == nil || h.info.Worker == "" {
		return w, false
	}
	return h.info, true
}

// Gone notes that the worker of a host has left: what it, or an earlier incarnation
// of it, ran is gone.
func (p *Planner) WorkerDeparted(now time.Time, name string, worker kqexecution.Incarnation) {
	h := p.host(name)
	for _, r := range h.runList() {
		if r.worker == worker || worker.Follows(r.worker) {
			p.markLost(now, r, "its worker has left")
		}
	}
	if h.info.Worker == worker || worker.Follows(h.info.Worker) {
		h.info = WorkerInfo{}
	}
}

// list returns the runs of a host; the caller may change h.runs meanwhile.
func (h *host) runList() []*run {
	out := make([]*run, 0, h.runs.Len())
	for _, r := range h.runs.All() {
		out = append(out, r)
	}
	return out
}

// Observe takes over what an agent reports.
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
	p.learnInterference(now, h)
	for k := range h.orphans {
		if !slices.ContainsFunc(r.Running, func(x kqexecution.Running) bool { return x.Run == k }) {
			delete(h.orphans, k)
			p.passRequested = true
		}
	}
}

// takePaces takes over at which shares the runs of a host work.
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

// learn compares the rooms of serving tasks with what others use beside them.
func (p *Planner) learnInterference(now time.Time, h *host) {
	s := kqlearn.Sample{At: now, Rooms: map[string]kqlearn.Room{}, Shares: map[string]float64{}}
	h.colocation.headrooms, h.colocation.unmeasuredAt = nil, time.Time{}
	for _, r := range h.runs.All() {
		x := r.task.step
		switch {
		case !r.reported || r.stopping:
		case x.TailTarget > 0 && r.measurement > 0:
			r.headroom = float64(x.TailTarget.Milliseconds()) / r.measurement
			s.Rooms[r.task.name] = kqlearn.Room{Image: x.Image, Value: r.headroom}
		case x.Fills:
			s.Shares[x.Image] += r.measurement / float64(max(1, h.info.Capacity.MilliProcessors))
		}
	}
	if len(s.Rooms) > 0 {
		p.interference.Observe(h.name, s)
	}
}

// Resync returns every order that stands for a host, for an agent that has
// just connected and has reported.
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

// progress follows a run at work; one that nobody wants is stopped.
func (p *Planner) applyProgress(now time.Time, h *host, x kqexecution.Running) {
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
	r.measurement, r.lastReportAt = x.Measure, now
	if x.Saved != "" && !r.stopping {
		r.task.saveCheckpoint(x.Saved)
	}
}

// ended takes over an end. It is noted once the job that it changes is
// committed.
func (p *Planner) handleEnd(now time.Time, h *host, e kqexecution.End) {
	if e.Number != 0 {
		if e.Number <= h.lastEnd {
			return
		}
		h.lastEnd = e.Number
	}
	held := &pendingEnd{number: e.Number}
	if e.Number != 0 {
		h.pendingEnds = append(h.pendingEnds, held)
	}
	delete(h.orphans, e.Run)
	p.passRequested = true
	t := p.findTask(e.Run.Task)
	unknown := h.runs.Get(e.Run) == nil
	if t == nil || unknown && (t.job.state.Final() || e.Number == 0) {
		held.committed = true
		p.acknowledgeEnds(h)
		return
	}
	p.applyEnd(now, h, t, e)
	p.markDirty(t.job)
	t.job.pendingEffects = append(t.job.pendingEffects, pendingEffect{revision: t.job.revision, effect: Effect{Host: h.name}, end: held})
}

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

// note tells the host up to where its worker may forget ends.
func (p *Planner) acknowledgeEnds(h *host) {
	noted := h.acknowledged
	for len(h.pendingEnds) > 0 && h.pendingEnds[0].committed {
		noted = h.pendingEnds[0].number
		h.pendingEnds = h.pendingEnds[1:]
	}
	if noted != h.acknowledged && h.info.Worker != "" {
		h.acknowledged = noted
		p.effects = append(p.effects, Effect{Host: h.name, Acknowledged: noted, AcknowledgedOf: h.info.Worker})
	}
}

// apply changes a task by the end of one of its runs.
func (p *Planner) applyEnd(now time.Time, h *host, t *task, e kqexecution.End) {
	r := h.runs.Get(e.Run)
	if r != nil {
		r.host.removed.add(now, r)
		t.removeRun(r)
	}
	if e.Saved != "" && (r != nil || len(t.runs) == 0) {
		t.saveCheckpoint(e.Saved)
	}
	p.config.Events.EmitFields(now, kqevent.FlowRunEnded, kqevent.Task(e.Run.Task), endEventFields(e),
		"run %d on %s: %s", e.Run.Number, h.info.Worker, e.How)
	if e.How != kqexecution.HowRefused || !p.inEvacuatedZone(h) {
		h.health.recordEnd(now, r.ifNotTransferred(), e.How)
	}
	switch e.How {
	case kqexecution.HowDone:
		p.taskDone(now, t)
	case kqexecution.HowFailed:
		p.taskFailed(now, t, h, e.Run.Number)
	case kqexecution.HowRefused:
		t.avoidedHost = h.name
		t.retryAt = now.Add(refusedRetryDelay)
		p.dropTicket(t, h)
	}
	p.stopGang(t)
}

const refusedRetryDelay = 100 * time.Millisecond

// done ends a task well; other copies are stopped.
func (p *Planner) taskDone(now time.Time, t *task) {
	if t.step.LongRunning || t.job.state.Final() {
		return
	}
	ended := []*task{t}
	if t.step.Gang {
		ended = t.stepTasks()
	}
	for _, m := range ended {
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

// failed counts a failure; the job has failed once a task has no attempt left.
// An end that an earlier owner had stored, but not noted, comes again: the run's
// number tells.
func (p *Planner) taskFailed(now time.Time, t *task, h *host, number uint64) {
	if t.step.LongRunning || t.done || t.job.state.Final() || slices.Contains(t.failedRuns, number) {
		return
	}
	t.failedRuns = append(t.failedRuns, number)
	t.avoidedHost = h.name
	if n := t.countFailures(); n >= max(1, t.job.queue.MaxAttempts) {
		p.config.Events.Emit(now, kqevent.FlowFailed, kqevent.Job(t.job.spec.ID), "task %s has failed %d times", t.id, n)
		p.recordOutcome(t.job, OutcomeFailed)
		p.finish(t.job, kqflow.StateFailed)
	}
}

// stop makes a run end. One that was never ordered ends at once.
func (p *Planner) stop(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	if r.host.runs.Get(r.key()) == r {
		r.host.usage.countStopping(r, 1)
	}
	if !r.ordered {
		return
	}
	j := r.task.job
	j.pendingEffects = append(j.pendingEffects, pendingEffect{revision: j.revision + 1, effect: Effect{Host: r.host.name, Order: r.stopOrder()}, run: r})
	p.markDirty(j)
}

// lose takes a run off a host where it cannot be any more.
func (p *Planner) markLost(now time.Time, r *run, why string) {
	p.config.Events.EmitFields(now, kqevent.FlowRunLost, kqevent.Task(r.task.name), []kqevent.Field{kqevent.Run(r.number)},
		"run %d on %s: %s", r.number, r.worker, why)
	r.host.removed.add(now, r)
	r.task.removeRun(r)
	p.markDirty(r.task.job)
	p.passRequested = true
	p.stopGang(r.task)
}

// expire gives up what ran under leases that have ended. An agent that is still
// connected may have a start under way: it is told to stop it before it can be
// granted another lease, under which that start would be carried out.
func (p *Planner) expireLeases(now time.Time) {
	for _, h := range p.hosts.All() {
		if h.runs.Len() == 0 || !now.After(h.leaseExpiresAt) {
			continue
		}
		for _, r := range h.runList() {
			if r.ordered && h.connected {
				p.effects = append(p.effects, Effect{Host: h.name, Order: r.stopOrder()})
			}
			p.markLost(now, r, "the lease of its worker has ended")
		}
	}
}

// free returns the room that a host has left.
func (h *host) free() kqmodel.Resources {
	return h.info.Capacity.Sub(h.usage.reserved)
}

// checkRoom asserts that a host is not given more than it has.
func (p *Planner) checkCapacity(h *host) {
	p.config.Counter.Check(!h.free().Negative(), kqinvariant.CapacityExceeded, "host %s: %s left", h.name, h.free())
}
