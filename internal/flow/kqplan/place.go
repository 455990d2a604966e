package kqplan

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqmodel"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// phase orders jobs by what meeting their objective still earns.
type phase int

const (
	phaseInTime phase = iota
	phaseLate
	phaseWorthless
)

// lateFactor is how many objectives after its submission a job is worth nothing.
const lateFactor = 3

func (j *job) phase(now time.Time) phase {
	switch {
	case j.spec.Repeat > 0 || j.spec.Steps[0].Standing || !now.After(j.deadline):
		return phaseInTime
	case now.Sub(j.spec.SubmittedAt) <= lateFactor*j.objective:
		return phaseLate
	}
	return phaseWorthless
}

// queued lists the jobs that have tasks to start, in order of their turn.
func (p *Planner) queued(now time.Time) []*job {
	var out []*job
	for _, j := range p.jobs {
		if !j.state.Final() {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int {
		if c := cmp.Compare(a.queue.Priority, b.queue.Priority); c != 0 {
			return c
		}
		if c := cmp.Compare(a.phase(now), b.phase(now)); c != 0 {
			return c
		}
		if c := a.deadline.Compare(b.deadline); c != 0 {
			return c
		}
		return strings.Compare(a.spec.ID, b.spec.ID)
	})
	return out
}

// placeAll starts every task whose turn has come and for which there is room.
func (p *Planner) placeAll(now time.Time) {
	coming := map[*host]kqmodel.Resources{}
	waiting := 0
	defer func() { p.backlog = waiting }()
	for _, j := range p.queued(now) {
		for _, t := range j.tasks {
			if t.done || len(t.runs) > 0 || now.Before(t.retryAt) || !t.ready() {
				p.place = p.place || now.Before(t.retryAt)
				continue
			}
			if h := p.choose(now, t); h != nil {
				p.start(now, t, h)
				continue
			}
			waiting++
			p.wait(now, t, coming)
		}
	}
}

// wait notes why a task is not placed, and makes room for an urgent one.
func (p *Planner) wait(now time.Time, t *task, coming map[*host]kqmodel.Resources) {
	if t.waitingFor == "" {
		t.waitingFor = "room"
		p.config.Events.Emit(now, kqevent.FlowWaiting, kqevent.Task(t.id.String()), "no worker of service %s has room for %s", t.job.queue.Service, t.step.Size)
	}
	if t.job.phase(now) == phaseInTime {
		p.preempt(now, t, coming)
	}
}

// start decides a run of a task.
func (p *Planner) start(now time.Time, t *task, h *host) {
	j := t.job
	p.config.Counter.Check(!j.state.Final(), kqinvariant.StartedAfterCancel, "task %s", t.id)
	p.config.Counter.Check(t.step.Speculative || len(t.runs) == 0, kqinvariant.TaskInTwoPlaces, "task %s", t.id)
	t.lastRun++
	r := &run{task: t, number: t.lastRun, host: h, worker: h.info.Worker, startedAt: now, movedAt: now, press: p.pressOf(t.step, h)}
	t.runs = append(t.runs, r)
	h.runs[r.key()] = r
	p.checkRoom(h)
	t.waitingFor = ""
	if j.state == kqflow.StateQueued {
		j.state = kqflow.StateRunning
	}
	p.write(j)
	j.held = append(j.held, heldEffect{revision: j.revision, effect: Effect{Host: h.name, Order: r.order()}, run: r})
	p.config.Events.Emit(now, kqevent.FlowRunPlaced, kqevent.Task(t.id.String()), "run %d on %s of host %s, free %s", r.number, r.worker, h.name, h.free())
}

const (
	grantReserve = 1500 * time.Millisecond
	hearBound    = 1500 * time.Millisecond
)

// usable reports whether the worker of a host may get new work.
func (h *host) usable(now time.Time) bool {
	return h.linked && h.info.Worker != "" && !h.info.Draining && !h.info.Unwell &&
		h.grantedTill.Sub(now) > grantReserve && now.Sub(h.heardAt) < hearBound && len(h.strays) == 0
}

// headroom is the share of a worker's processors, in percent, that is kept
// free for the first priority.
const headroom = 6

// choose returns the best host for a task, or nil.
func (p *Planner) choose(now time.Time, t *task) *host {
	var best *host
	bestCost := 0.0
	for _, h := range p.hosts {
		if !p.eligible(now, t, h) {
			continue
		}
		c := p.cost(t, h)
		if best == nil || c < bestCost || c == bestCost && h.name < best.name {
			best, bestCost = h, c
		}
	}
	return best
}

func (p *Planner) eligible(now time.Time, t *task, h *host) bool {
	s := t.step
	switch {
	case !h.usable(now), h.info.Service != t.job.queue.Service:
		return false
	case s.Label != "" && !slices.Contains(h.info.Labels, s.Label):
		return false
	case s.PerWorker > 0 && h.sameStep(t) >= s.PerWorker:
		return false
	case h.health.quarantined() && !(h.mayProbe(now) && t.job.queue.Attempts-t.failures > 1):
		return false
	}
	if s.Fills && !p.fillsIn(now, t, h) {
		return false
	}
	need := s.Reserved()
	if t.job.queue.Priority > 0 && !s.Fills {
		need.MilliProcessors += h.info.Capacity.MilliProcessors * headroom / 100
	}
	return need.Fits(h.free())
}

const (
	// lightPress is the room that a run takes up to which it may be anywhere.
	lightPress = 0.03
	// heavyPress is the room that a run takes from which on it is kept away
	// from serving tasks.
	heavyPress = 0.12
	// heavyRoom is the room that must be left beside a heavy run, calmRoom the
	// same while little waits.
	heavyRoom = 1.3
	calmRoom  = 1.8
	// calmQueue is up to how many waiting tasks little waits.
	calmQueue = 4
	// overcommit is how much of what is unused is given away, in percent.
	overcommit = 110
	// idleBound is after how long a job with nothing at work takes any place.
	idleBound = 2 * time.Second
)

// pressOf returns the room that a filling task of a step takes at full speed of
// each image that serves on a host.
func (p *Planner) pressOf(s *kqflow.Step, h *host) map[string]float64 {
	if !s.Fills {
		return nil
	}
	var out map[string]float64
	for _, r := range h.runs {
		if r.task.step.TailTarget == 0 {
			continue
		}
		if out == nil {
			out = map[string]float64{}
		}
		out[r.task.step.Image], _ = p.pressOn(s, r)
	}
	return out
}

// pressOn returns the room that a filling task of a step takes of one serving
// task, and whether that was measured.
func (p *Planner) pressOn(s *kqflow.Step, serving *run) (press float64, known bool) {
	whole, known := p.press.Of(serving.task.step.Image, s.Image)
	return whole * float64(s.Size.MilliProcessors) / float64(max(1, serving.host.info.Capacity.MilliProcessors)), known
}

// fillsIn reports whether a filling task would get enough on a host and leave
// enough to what serves there.
func (p *Planner) fillsIn(now time.Time, t *task, h *host) bool {
	if t.job.idleSince(now) >= idleBound {
		return true
	}
	u := h.use()
	if u.serving > 0 && !p.leavesRoom(now, t, h) {
		return false
	}
	need := t.step.Size.MilliProcessors
	return u.filling == 0 || u.filling+need <= u.unused(h.paceOf(p.pressOf(t.step, h)))*overcommit/fullPercent
}

// leavesRoom reports whether the serving tasks of a host bear one more filling
// task. Runs that have begun so lately that no measurement shows them count;
// an image whose press is not known is tried with one run at a time.
func (p *Planner) leavesRoom(now time.Time, t *task, h *host) bool {
	for _, s := range h.runs {
		if s.task.step.TailTarget == 0 {
			continue
		}
		press, known := p.pressOn(t.step, s)
		if known && press < lightPress {
			continue
		}
		if s.room == 0 {
			return false
		}
		left := s.room - press
		for _, f := range h.runs {
			if !f.task.step.Fills {
				continue
			}
			if !known && f.task.step.Image == t.step.Image {
				return false
			}
			if now.Sub(f.startedAt) < measureLag {
				taken, _ := p.pressOn(f.task.step, s)
				left -= taken
			}
		}
		if left < p.roomToLeave() {
			return false
		}
	}
	return true
}

func (p *Planner) roomToLeave() float64 {
	if p.backlog <= calmQueue {
		return calmRoom
	}
	return heavyRoom
}

// measureLag is after how long a run shows in the measurements.
const measureLag = time.Second

// paceOf returns the share at which a run works that takes some room of each
// image that serves on a host.
func (h *host) paceOf(press map[string]float64) int {
	pace := fullPercent
	for image, taken := range press {
		if share, ok := h.paces[image]; ok && taken >= heavyPress {
			pace = min(pace, share)
		}
	}
	return pace
}

// refreshPress tells agents anew what filling runs take of serving tasks, where
// that has become known since they were ordered or others serve now.
func (p *Planner) refreshPress(now time.Time) {
	if now.Sub(p.refreshedAt) < refreshInterval {
		return
	}
	p.refreshedAt = now
	for _, h := range p.hosts {
		for _, r := range h.runs {
			if !r.task.step.Fills || !r.ordered || r.stopping || r.worker != h.info.Worker {
				continue
			}
			press := p.pressOf(r.task.step, h)
			if samePress(r.press, press) {
				continue
			}
			r.press = press
			p.effects = append(p.effects, Effect{Host: h.name, Order: r.order()})
		}
	}
}

const (
	refreshInterval = 500 * time.Millisecond
	// pressChange is the least change of a press that is worth telling.
	pressChange = 0.05
)

func samePress(old, now map[string]float64) bool {
	for image, taken := range now {
		before, ok := old[image]
		if d := taken - before; !ok || d > pressChange || d < -pressChange {
			return false
		}
	}
	return true
}

// lightSomewhere reports whether a filling task disturbs little on some host
// where others serve.
func (p *Planner) lightSomewhere(s *kqflow.Step) bool {
	for _, h := range p.hosts {
		if press := p.pressOf(s, h); press != nil && heaviest(press) < heavyPress {
			return true
		}
	}
	return false
}

// heaviest returns the most room that is taken of an image.
func heaviest(press map[string]float64) float64 {
	most := 0.0
	for _, taken := range press {
		most = max(most, taken)
	}
	return most
}

// idleSince returns for how long a job has had nothing at work though a task's
// turn had come.
func (j *job) idleSince(now time.Time) time.Duration {
	if !j.idleRuns() {
		j.busyAt = now
	}
	if j.busyAt.IsZero() {
		j.busyAt = now
	}
	return now.Sub(j.busyAt)
}

// sameStep counts the tasks of the same step and occurrence on a host.
func (h *host) sameStep(t *task) int {
	n := 0
	for _, r := range h.runs {
		if r.task.job == t.job && r.task.step == t.step && r.task.id.Occurrence == t.id.Occurrence {
			n++
		}
	}
	return n
}

const (
	shunCost  = 0.8
	loadCost  = 0.4
	pressCost = 1.0
	packGain  = 0.5
	lightCost = 0.5
	sizeCost  = 0.2
	mixCost   = 0.4
	// servingUse is the share of its processors that a serving task uses, in
	// percent, where nothing was measured.
	servingUse = 50
	// leastPace bounds from below what filling tasks are expected to get beside
	// serving ones, in percent.
	leastPace = 10
)

// use is how the processors of a host are used, in thousandths.
type use struct {
	total   int64
	plain   int64
	serving int64
	filling int64
}

func (h *host) use() use {
	u := use{total: max(1, h.info.Capacity.MilliProcessors)}
	for _, r := range h.runs {
		s := r.task.step
		switch {
		case s.Fills:
			u.filling += s.Size.MilliProcessors
		case s.TailTarget > 0:
			u.serving += s.Size.MilliProcessors
		default:
			u.plain += s.Size.MilliProcessors
		}
	}
	return u
}

// unused returns what filling tasks may expect to get.
func (u use) unused(pace int) int64 {
	left := max(0, u.total-u.plain-u.serving*servingUse/fullPercent)
	if u.serving > 0 {
		left = left * int64(max(leastPace, pace)) / fullPercent
	}
	return left
}

// cost is about how long a task takes on a host against its estimate.
func (p *Planner) cost(t *task, h *host) float64 {
	c := h.health.slowdown()
	if c < slowFactor {
		c = 1 + (c-1)/4
	}
	if t.step.Rack != "" && !slices.Contains(h.info.Labels, t.step.Rack) {
		c *= max(1, p.config.FarFactor)
	}
	if h.name == t.shunned {
		c += shunCost
	}
	u := h.use()
	load := float64(u.plain+u.serving) / float64(u.total)
	switch {
	case t.step.Fills:
		press := p.pressOf(t.step, h)
		c += float64(u.filling+t.step.Size.MilliProcessors) / float64(max(1, u.unused(h.paceOf(press))))
		switch {
		case u.serving > 0 && heaviest(press) >= heavyPress:
			c += pressCost
		case u.serving == 0 && p.lightSomewhere(t.step):
			// What disturbs little leaves the other hosts to what disturbs much.
			c += lightCost
		}
	case t.step.TailTarget > 0:
		// Serving tasks are packed, so that filling ones find room apart.
		if h.mixes(t.step.Image) {
			c += mixCost
		}
		c += packGain*(1-load) + sizeCost*float64(u.total)/float64(p.largest()) + pressCost*p.pressBy(h, t)
	default:
		c += loadCost * load
	}
	return c
}

// mixes reports whether a host serves an image other than the given one: what
// disturbs one image may leave others alone, so images are kept apart.
func (h *host) mixes(image string) bool {
	for _, r := range h.runs {
		if r.task.step.TailTarget > 0 && r.task.step.Image != image {
			return true
		}
	}
	return false
}

// pressBy returns the room that the filling tasks of a host would take of a
// serving task.
func (p *Planner) pressBy(h *host, t *task) float64 {
	sum := 0.0
	for _, r := range h.runs {
		if r.task.step.Fills {
			whole, _ := p.press.Of(t.step.Image, r.task.step.Image)
			sum += whole * float64(r.task.step.Size.MilliProcessors) / float64(max(1, h.info.Capacity.MilliProcessors))
		}
	}
	return sum
}

// largest returns the processors of the largest host.
func (p *Planner) largest() int64 {
	most := int64(1)
	for _, h := range p.hosts {
		most = max(most, h.info.Capacity.MilliProcessors)
	}
	return most
}

// preempt stops less urgent runs so that an urgent task gets room, unless room
// that comes free already is enough.
func (p *Planner) preempt(now time.Time, t *task, coming map[*host]kqmodel.Resources) {
	need := t.step.Reserved()
	var best *host
	var victims []*run
	for _, h := range p.hosts {
		if !h.usable(now) || h.info.Service != t.job.queue.Service || h.health.quarantined() ||
			t.step.Label != "" && !slices.Contains(h.info.Labels, t.step.Label) ||
			t.step.PerWorker > 0 && h.sameStep(t) >= t.step.PerWorker {
			continue
		}
		v, ok := h.victims(t, need.Add(coming[h]))
		if ok && (best == nil || len(v) < len(victims) || len(v) == len(victims) && h.name < best.name) {
			best, victims = h, v
		}
	}
	if best == nil {
		return
	}
	coming[best] = coming[best].Add(need)
	for _, r := range victims {
		p.config.Events.Emit(now, kqevent.FlowRunPreempted, kqevent.Task(r.task.id.String()), "run %d on %s makes room for %s", r.number, r.worker, t.id)
		p.stop(r)
	}
}

// victims returns the runs to stop so that need fits, counting what is being
// stopped already; ok is false if that is not enough.
func (h *host) victims(t *task, need kqmodel.Resources) (out []*run, ok bool) {
	free := h.free()
	var lower []*run
	for _, r := range h.runs {
		switch {
		case r.stopping:
			free = free.Add(r.reserved())
		case r.task.job.queue.Priority > t.job.queue.Priority && !r.task.step.Standing:
			lower = append(lower, r)
		}
	}
	slices.SortFunc(lower, func(a, b *run) int {
		if a.task.step.Checkpoints != b.task.step.Checkpoints {
			if a.task.step.Checkpoints {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.percent, b.percent), strings.Compare(a.task.id.String(), b.task.id.String()))
	})
	for _, r := range lower {
		if need.Fits(free) {
			break
		}
		free = free.Add(r.reserved())
		out = append(out, r)
	}
	return out, need.Fits(free)
}
