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
	Unwell bool `json:"unwell,omitempty"`
	// Cold is how much longer the worker is slow after its start, counted from when its
	// agent says so.
	Cold time.Duration `json:"cold,omitempty"`
}

// Report is what an agent says of the runs on its worker.
type Report struct {
	// Worker names the incarnation.
	Worker kqexecution.Incarnation `json:"worker"`
	// Whole is true if Running lists every run.
	Whole bool `json:"whole,omitempty"`
	// Running is the runs at work.
	Running []kqexecution.Running `json:"running,omitempty"`
	// Paces is the share, in percent, at which runs work that disturb an image of
	// serving tasks much; it is given if Whole.
	Paces map[string]int `json:"paces,omitempty"`
	// Slowed is the filling runs that do not work at full speed; it is given if
	// Whole.
	Slowed []Slowed `json:"slowed,omitempty"`
	// Ended is ends that were not noted yet.
	Ended []kqexecution.End `json:"ended,omitempty"`
}

// Slowed is a run that works at a share of its speed.
type Slowed struct {
	// Run names the run.
	Run kqexecution.Run `json:"run"`
	// Percent is the share.
	Percent int `json:"percent"`
}

// heldEnd is an end that is noted once its job is committed.
type heldEnd struct {
	number uint64
	done   bool
}

// host is a machine with its agent and the worker beside it.
type host struct {
	name        string
	linked      bool
	info        WorkerInfo
	grantedTill time.Time
	heardAt     time.Time
	runs        kqordered.Map[kqexecution.Run, *run]
	strays      map[kqexecution.Run]time.Time
	departed    departures
	ends        []*heldEnd
	taken       uint64
	noted       uint64
	health      health
	paces       map[string]int
	tally       tally
	beside      beside
	asks        int

	// coldTill is until when the worker is slow after its start.
	coldTill time.Time
}

func (p *Planner) host(name string) *host {
	h := p.hosts.Get(name)
	if h == nil {
		h = &host{name: name, strays: map[kqexecution.Run]time.Time{}}
		p.hosts.Put(name, h)
	}
	return h
}

// driftNumerator over driftDenominator bounds how much longer a lease may last
// than was granted: the worker's clock may be 2 % slow.
const (
	driftNumerator   = 103
	driftDenominator = 100
	lapseMargin      = 250 * time.Millisecond
)

// lapse returns after how long a lease has certainly ended.
func (p *Planner) lapse(d time.Duration) time.Duration {
	return d*driftNumerator/driftDenominator + lapseMargin
}

// Granted notes that a host was granted a lease.
func (p *Planner) Granted(now time.Time, name string, lease time.Duration) {
	h := p.host(name)
	usable := h.usable(now)
	h.heardAt = now
	h.grantedTill = later(h.grantedTill, now.Add(p.lapse(lease)))
	p.place = p.place || !usable && h.usable(now)
}

// Linked notes that the agent of a host is connected.
func (p *Planner) Linked(now time.Time, name string) {
	h := p.host(name)
	h.linked, h.heardAt = true, now
}

// Unlinked notes that the agent of a host is not connected any more.
func (p *Planner) Unlinked(_ time.Time, name string) {
	h := p.host(name)
	h.linked, h.asks = false, 0
}

// Describe takes over what an agent knows of its worker; an empty one says that
// there is none for now. Another incarnation proves that what the last one ran is
// gone.
func (p *Planner) Describe(now time.Time, name string, w WorkerInfo) {
	h := p.host(name)
	p.place = true
	if w.Worker != h.info.Worker {
		h.ends, h.taken, h.noted = nil, 0, 0
		h.strays = map[kqexecution.Run]time.Time{}
		h.health, h.paces = health{}, nil
		p.press.Forget(name)
		p.config.Events.Emit(now, kqevent.WorkerRegistered, kqevent.Worker(string(w.Worker)), "host %s, %s, draining %t", name, w.Capacity, w.Draining)
	}
	if p.config.Gradual {
		h.coldTill = now.Add(w.Cold)
	}
	drained := w.Draining && !h.info.Draining
	h.info = w
	if w.Worker != "" {
		p.succeed(now, h, w.Worker)
	}
	if drained {
		p.evacuate(now, h)
	}
}

// Known returns what was last heard of the worker of a host.
func (p *Planner) Known(name string) (w WorkerInfo, ok bool) {
	h := p.hosts.Get(name)
	if h == nil || h.info.Worker == "" {
		return w, false
	}
	return h.info, true
}

// Gone notes that the worker of a host has left: what it, or an earlier incarnation
// of it, ran is gone.
func (p *Planner) Gone(now time.Time, name string, worker kqexecution.Incarnation) {
	h := p.host(name)
	for _, r := range h.list() {
		if r.worker == worker || worker.Follows(r.worker) {
			p.lose(now, r, "its worker has left")
		}
	}
	if h.info.Worker == worker || worker.Follows(h.info.Worker) {
		h.info = WorkerInfo{}
	}
}

// list returns the runs of a host; the caller may change h.runs meanwhile.
func (h *host) list() []*run {
	out := make([]*run, 0, h.runs.Len())
	for _, r := range h.runs.All() {
		out = append(out, r)
	}
	return out
}

// Observe takes over what an agent reports.
func (p *Planner) Observe(now time.Time, name string, r Report) {
	h := p.host(name)
	if h.info.Worker != r.Worker {
		return
	}
	h.heardAt = now
	for _, e := range r.Ended {
		p.ended(now, h, e)
	}
	for _, x := range r.Running {
		p.progress(now, h, x)
	}
	if !r.Whole {
		return
	}
	h.takePaces(r)
	p.learn(now, h)
	for k := range h.strays {
		if !slices.ContainsFunc(r.Running, func(x kqexecution.Running) bool { return x.Run == k }) {
			delete(h.strays, k)
			p.place = true
		}
	}
}

// takePaces takes over at which shares the runs of a host work.
func (h *host) takePaces(r Report) {
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
func (p *Planner) learn(now time.Time, h *host) {
	s := kqlearn.Sample{At: now, Rooms: map[string]kqlearn.Room{}, Shares: map[string]float64{}}
	h.beside.rooms, h.beside.freshAt = nil, time.Time{}
	for _, r := range h.runs.All() {
		x := r.task.step
		switch {
		case !r.seen || r.stopping:
		case x.TailTarget > 0 && r.measure > 0:
			r.room = float64(x.TailTarget.Milliseconds()) / r.measure
			s.Rooms[r.task.name] = kqlearn.Room{Image: x.Image, Value: r.room}
		case x.Fills:
			s.Shares[x.Image] += r.measure / float64(max(1, h.info.Capacity.MilliProcessors))
		}
	}
	if len(s.Rooms) > 0 {
		p.press.Observe(h.name, s)
	}
}

// Resync returns every order that stands for a host, for an agent that has
// just connected and has reported.
func (p *Planner) Resync(now time.Time, name string) []*Order {
	h := p.host(name)
	var out []*Order
	for _, r := range h.runs.All() {
		if r.worker == h.info.Worker && r.ordered {
			out = append(out, r.order(now))
		}
	}
	for k := range h.strays {
		out = append(out, &Order{Run: k, Stop: true, Worker: h.info.Worker})
	}
	return out
}

// progress follows a run at work; one that nobody wants is stopped.
func (p *Planner) progress(now time.Time, h *host, x kqexecution.Running) {
	r := h.runs.Get(x.Run)
	if r == nil {
		if _, ok := h.strays[x.Run]; !ok {
			h.strays[x.Run] = now
			p.effects = append(p.effects, Effect{Host: h.name, Order: &Order{Run: x.Run, Stop: true, Worker: h.info.Worker}})
		}
		return
	}
	if !r.seen {
		r.seen, r.firstMove = true, now
	}
	if x.Percent != r.percent || r.reportedAt.IsZero() {
		r.percent, r.movedAt = x.Percent, now
	}
	r.measure, r.reportedAt = x.Measure, now
	if x.Saved != "" && !r.stopping {
		r.task.keep(x.Saved)
	}
}

// ended takes over an end. It is noted once the job that it changes is
// committed.
func (p *Planner) ended(now time.Time, h *host, e kqexecution.End) {
	if e.Number != 0 {
		if e.Number <= h.taken {
			return
		}
		h.taken = e.Number
	}
	held := &heldEnd{number: e.Number}
	if e.Number != 0 {
		h.ends = append(h.ends, held)
	}
	delete(h.strays, e.Run)
	p.place = true
	t := p.taskOf(e.Run.Task)
	unknown := h.runs.Get(e.Run) == nil
	if t == nil || unknown && (t.job.state.Final() || e.Number == 0) {
		held.done = true
		p.note(h)
		return
	}
	p.apply(now, h, t, e)
	p.write(t.job)
	t.job.held = append(t.job.held, heldEffect{revision: t.job.revision, effect: Effect{Host: h.name}, end: held})
}

func (p *Planner) taskOf(name string) *task {
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
func (p *Planner) note(h *host) {
	noted := h.noted
	for len(h.ends) > 0 && h.ends[0].done {
		noted = h.ends[0].number
		h.ends = h.ends[1:]
	}
	if noted != h.noted && h.info.Worker != "" {
		h.noted = noted
		p.effects = append(p.effects, Effect{Host: h.name, Noted: noted, NotedOf: h.info.Worker})
	}
}

// apply changes a task by the end of one of its runs.
func (p *Planner) apply(now time.Time, h *host, t *task, e kqexecution.End) {
	r := h.runs.Get(e.Run)
	if r != nil {
		r.host.departed.note(now, r)
		t.remove(r)
	}
	if e.Saved != "" && (r != nil || len(t.runs) == 0) {
		t.keep(e.Saved)
	}
	p.config.Events.EmitFields(now, kqevent.FlowRunEnded, kqevent.Task(e.Run.Task), endFields(e),
		"run %d on %s: %s", e.Run.Number, h.info.Worker, e.How)
	if e.How != kqexecution.HowRefused || !p.evacuated(h) {
		h.health.ended(now, r.learnable(), e.How)
	}
	switch e.How {
	case kqexecution.HowDone:
		p.done(now, t)
	case kqexecution.HowFailed:
		p.failed(now, t, h, e.Run.Number)
	case kqexecution.HowRefused:
		t.shunned = h.name
		t.retryAt = now.Add(refusedPause)
		p.unticket(t, h)
	}
	p.breakUp(t)
}

const refusedPause = 100 * time.Millisecond

// done ends a task well; other copies are stopped.
func (p *Planner) done(now time.Time, t *task) {
	if t.step.Standing || t.job.state.Final() {
		return
	}
	ended := []*task{t}
	if t.step.Gang {
		ended = t.members()
	}
	for _, m := range ended {
		m.finish()
		for _, r := range m.runs {
			p.stop(r)
		}
	}
	if t.job.allDone() {
		p.completed(now, t.job)
		p.finish(t.job, kqflow.StateCompleted)
	}
}

// failed counts a failure; the job has failed once a task has no attempt left.
// An end that an earlier owner had stored, but not noted, comes again: the run's
// number tells.
func (p *Planner) failed(now time.Time, t *task, h *host, number uint64) {
	if t.step.Standing || t.done || t.job.state.Final() || slices.Contains(t.failed, number) {
		return
	}
	t.failed = append(t.failed, number)
	t.shunned = h.name
	if n := t.failures(); n >= max(1, t.job.queue.Attempts) {
		p.config.Events.Emit(now, kqevent.FlowFailed, kqevent.Job(t.job.spec.ID), "task %s has failed %d times", t.id, n)
		p.settle(t.job, OutcomeFailed)
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
		r.host.tally.countStopping(r, 1)
	}
	if !r.ordered {
		return
	}
	j := r.task.job
	j.held = append(j.held, heldEffect{revision: j.revision + 1, effect: Effect{Host: r.host.name, Order: r.stopOrder()}, run: r})
	p.write(j)
}

// lose takes a run off a host where it cannot be any more.
func (p *Planner) lose(now time.Time, r *run, why string) {
	p.config.Events.EmitFields(now, kqevent.FlowRunLost, kqevent.Task(r.task.name), []kqevent.Field{kqevent.Run(r.number)},
		"run %d on %s: %s", r.number, r.worker, why)
	r.host.departed.note(now, r)
	r.task.remove(r)
	p.write(r.task.job)
	p.place = true
	p.breakUp(r.task)
}

// expire gives up what ran under leases that have ended. An agent that is still
// connected may have a start under way: it is told to stop it before it can be
// granted another lease, under which that start would be carried out.
func (p *Planner) expire(now time.Time) {
	for _, h := range p.hosts.All() {
		if h.runs.Len() == 0 || !now.After(h.grantedTill) {
			continue
		}
		for _, r := range h.list() {
			if r.ordered && h.linked {
				p.effects = append(p.effects, Effect{Host: h.name, Order: r.stopOrder()})
			}
			p.lose(now, r, "the lease of its worker has ended")
		}
	}
}

// free returns the room that a host has left.
func (h *host) free() kqmodel.Resources {
	return h.info.Capacity.Sub(h.tally.reserved)
}

// checkRoom asserts that a host is not given more than it has.
func (p *Planner) checkRoom(h *host) {
	p.config.Counter.Check(!h.free().Negative(), kqinvariant.CapacityExceeded, "host %s: %s left", h.name, h.free())
}
