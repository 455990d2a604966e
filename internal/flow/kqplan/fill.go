package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

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
	for _, r := range h.runs.All() {
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

// shareOf returns the part of a host's processors that a task of a step takes.
func (h *host) shareOf(s *kqflow.Step) float64 {
	return float64(s.Size.MilliProcessors) / float64(h.total())
}

// pressOn returns the room that a filling task of a step takes of one serving
// task, and whether that was measured.
func (p *Planner) pressOn(s *kqflow.Step, serving *run) (press float64, known bool) {
	return p.pressAt(serving.host, serving.task.step, s)
}

// pressAt returns the room that a filling step's task takes of a serving step's
// on a host, and whether that was measured.
func (p *Planner) pressAt(h *host, serving, filling *kqflow.Step) (press float64, known bool) {
	whole, known := p.press.Of(serving.Image, filling.Image)
	return whole * h.shareOf(filling), known
}

// fillsIn reports whether a filling task would get enough on a host and leave
// enough to what serves there.
func (p *Planner) fillsIn(now time.Time, t *task, h *host) bool {
	if t.job.idleSince(now) >= idleBound {
		return true
	}
	if h.tally.serving > 0 && !p.leavesRoom(now, t, h) {
		return false
	}
	need := t.step.Size.MilliProcessors
	return h.tally.filling == 0 || h.tally.filling+need <= h.unused(h.paceOf(p.pressOf(t.step, h)))*overcommit/fullPercent
}

// leavesRoom reports whether the serving tasks of a host bear one more filling
// task. Runs that have begun so lately that no measurement shows them count;
// an image whose press is not known is tried with one run at a time.
func (p *Planner) leavesRoom(now time.Time, t *task, h *host) bool {
	for _, s := range h.runs.All() {
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
		for _, f := range h.runs.All() {
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
	for _, h := range p.hosts.All() {
		for _, r := range h.runs.All() {
			if !r.task.step.Fills || !r.ordered || r.stopping || r.worker != h.info.Worker {
				continue
			}
			press := p.pressOf(r.task.step, h)
			if samePress(r.press, press) {
				continue
			}
			r.press = press
			p.effects = append(p.effects, Effect{Host: h.name, Order: r.order(now)})
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
	for _, h := range p.hosts.All() {
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

// mixes reports whether a host serves an image other than the given one: what
// disturbs one image may leave others alone, so images are kept apart.
func (h *host) mixes(image string) bool {
	for _, r := range h.runs.All() {
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
	for _, r := range h.runs.All() {
		if r.task.step.Fills {
			press, _ := p.pressAt(h, t.step, r.task.step)
			sum += press
		}
	}
	return sum
}
