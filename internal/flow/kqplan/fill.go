package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

const (
	// lightPress is the room that a run takes up to which it may be anywhere.
	lowInterference = 0.03
	// heavyPress is the room that a run takes from which on it is kept away
	// from serving tasks.
	highInterference = 0.12
	// heavyRoom is the room that must be left beside a heavy run, calmRoom the
	// same while little waits.
	minHeadroom           = 1.3
	minHeadroomLowBacklog = 1.8
	// calmQueue is up to how many waiting tasks little waits.
	lowBacklog = 4
	// overcommit is how much of what is unused is given away, in percent.
	overcommitPercent = 110
	// idleBound is after how long a job with nothing at work takes any place.
	maxJobIdleTime = 2 * time.Second
)

// pressOf returns the room that a filling task of a step takes at full speed of
// each image that serves on a host.
func (p *Planner) interferenceByImage(s *kqflow.Step, h *host) map[string]float64 {
	images := h.colocation.imageHeadrooms()
	if !s.Fills || len(images) == 0 {
		return nil
	}
	out := make(map[string]float64, len(images))
	for _, x := range images {
		out[x.image], _ = p.expectedInterference(h, x.image, s)
	}
	return out
}

// shareOf returns the part of a host's processors that a task of a step takes.
func (h *host) processorShare(s *kqflow.Step) float64 {
	return float64(s.Resources.MilliProcessors) / float64(h.processors())
}

// pressAt returns the room that a filling step's task takes of a serving image on
// a host, and whether that was measured.
func (p *Planner) expectedInterference(h *host, serving string, filling *kqflow.Step) (press float64, known bool) {
	whole, known := p.interference.Of(serving, filling.Image)
	return whole * h.processorShare(filling), known
}

// fillsIn reports whether a filling task would get enough on a host and leave
// enough to what serves there.
func (p *Planner) acceptsFilling(now time.Time, t *task, h *host) bool {
	if t.job.idleTime(now) >= maxJobIdleTime {
		return true
	}
	if h.usage.serving > 0 && !p.leavesHeadroom(now, t, h) {
		return false
	}
	need := t.step.Resources.MilliProcessors
	return h.usage.filling == 0 || h.usage.filling+need <= h.fillingCapacity(p.fillingEffectOn(t.step, h).pace)*overcommitPercent/fullPercent
}

// leavesRoom reports whether the serving tasks of a host bear one more filling
// task. Runs that have begun so lately that no measurement shows them count;
// an image whose press is not known is tried with one run at a time.
func (p *Planner) leavesHeadroom(now time.Time, t *task, h *host) bool {
	fresh := p.unmeasuredInterference(now, h)
	for i, x := range h.colocation.imageHeadrooms() {
		press, known := p.expectedInterference(h, x.image, t.step)
		switch {
		case known && press < lowInterference:
		case x.headroom == 0, !known && h.colocation.hasFilling(t.step.Image), x.headroom-fresh[i]-press < p.requiredHeadroom():
			return false
		}
	}
	return true
}

func (p *Planner) requiredHeadroom() float64 {
	if p.backlog <= lowBacklog {
		return minHeadroomLowBacklog
	}
	return minHeadroom
}

// measureLag is after how long a run shows in the measurements.
const measurementLag = time.Second

// refreshPress tells agents anew what filling runs take of serving tasks, where
// that has become known since they were ordered or others serve now.
func (p *Planner) updateInterference(now time.Time) {
	if now.Sub(p.interferenceUpdatedAt) < interferenceUpdateInterval {
		return
	}
	p.interferenceUpdatedAt = now
	for _, h := range p.hosts.All() {
		for _, r := range h.colocation.filling {
			if !r.ordered || r.stopping || r.worker != h.info.Worker {
				continue
			}
			press := p.interferenceByImage(r.task.step, h)
			if similarInterference(r.interference, press) {
				continue
			}
			r.interference = press
			p.effects = append(p.effects, Effect{Host: h.name, Order: r.currentOrder(now)})
		}
	}
}

const (
	interferenceUpdateInterval = 500 * time.Millisecond
	// pressChange is the least change of a press that is worth telling.
	minInterferenceChange = 0.05
)

func similarInterference(old, now map[string]float64) bool {
	for image, taken := range now {
		before, ok := old[image]
		if d := taken - before; !ok || d > minInterferenceChange || d < -minInterferenceChange {
			return false
		}
	}
	return true
}

// lightSomewhere reports whether a filling task disturbs little on some host
// where others serve.
func (p *Planner) hasLowInterferenceHost(s *kqflow.Step) bool {
	for _, h := range p.hosts.All() {
		if len(h.colocation.serving) > 0 && !p.inEvacuatedZone(h) && p.fillingEffectOn(s, h).maxInterference < highInterference {
			return true
		}
	}
	return false
}

// idleSince returns for how long a job has had nothing at work though a task's
// turn had come.
func (j *job) idleTime(now time.Time) time.Duration {
	if !j.hasNoRuns() {
		j.lastBusyAt = now
	}
	if j.lastBusyAt.IsZero() {
		j.lastBusyAt = now
	}
	return now.Sub(j.lastBusyAt)
}

// mixing returns the cost of a serving image on a host for the other images there:
// what disturbs one may leave others alone, so the fewer there are, the more may
// fill beside them. An image that is there already mixes nothing new.
func (h *host) imageMixCost(image string) float64 {
	others, held := 0, false
	for _, x := range h.colocation.imageHeadrooms() {
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
		return presentImageMixCost
	}
	return newImageMixCost * float64(others)
}

// pressBy returns the room that the filling tasks of a host would take of a
// serving step's task.
func (p *Planner) fillingInterference(h *host, serving *kqflow.Step) float64 {
	sum := 0.0
	for _, r := range h.colocation.filling {
		press, _ := p.expectedInterference(h, serving.Image, r.task.step)
		sum += press
	}
	return sum
}
