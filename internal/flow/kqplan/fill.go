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
	images := h.beside.images()
	if !s.Fills || len(images) == 0 {
		return nil
	}
	out := make(map[string]float64, len(images))
	for _, x := range images {
		out[x.image], _ = p.pressAt(h, x.image, s)
	}
	return out
}

// shareOf returns the part of a host's processors that a task of a step takes.
func (h *host) shareOf(s *kqflow.Step) float64 {
	return float64(s.Size.MilliProcessors) / float64(h.total())
}

// pressAt returns the room that a filling step's task takes of a serving image on
// a host, and whether that was measured.
func (p *Planner) pressAt(h *host, serving string, filling *kqflow.Step) (press float64, known bool) {
	whole, known := p.press.Of(serving, filling.Image)
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
	return h.tally.filling == 0 || h.tally.filling+need <= h.unused(p.pressing(t.step, h).pace)*overcommit/fullPercent
}

// leavesRoom reports whether the serving tasks of a host bear one more filling
// task. Runs that have begun so lately that no measurement shows them count;
// an image whose press is not known is tried with one run at a time.
func (p *Planner) leavesRoom(now time.Time, t *task, h *host) bool {
	fresh := p.freshPress(now, h)
	for i, x := range h.beside.images() {
		press, known := p.pressAt(h, x.image, t.step)
		switch {
		case known && press < lightPress:
		case x.least == 0, !known && h.beside.has(t.step.Image), x.least-fresh[i]-press < p.roomToLeave():
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

// refreshPress tells agents anew what filling runs take of serving tasks, where
// that has become known since they were ordered or others serve now.
func (p *Planner) refreshPress(now time.Time) {
	if now.Sub(p.refreshedAt) < refreshInterval {
		return
	}
	p.refreshedAt = now
	for _, h := range p.hosts.All() {
		for _, r := range h.beside.filling {
			if !r.ordered || r.stopping || r.worker != h.info.Worker {
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
		if len(h.beside.serving) > 0 && !p.evacuated(h) && p.pressing(s, h).heaviest < heavyPress {
			return true
		}
	}
	return false
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

// mixing returns the cost of a serving image on a host for the other images there:
// what disturbs one may leave others alone, so the fewer there are, the more may
// fill beside them. An image that is there already mixes nothing new.
func (h *host) mixing(image string) float64 {
	others, held := 0, false
	for _, x := range h.beside.images() {
		if x.image == image {
			held = true
		} else {
			others++
		}
	}
	switch {
	case others == 0:
		return 0
	case held:
		return heldMixCost
	}
	return newMixCost * float64(others)
}

// pressBy returns the room that the filling tasks of a host would take of a
// serving step's task.
func (p *Planner) pressBy(h *host, serving *kqflow.Step) float64 {
	sum := 0.0
	for _, r := range h.beside.filling {
		press, _ := p.pressAt(h, serving.Image, r.task.step)
		sum += press
	}
	return sum
}
