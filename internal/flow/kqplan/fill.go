package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

const (
	// Interference is the latency headroom that a filling run at full speed costs the serving tasks
	// on its host; headroom is the target of a serving task over its tail latency.
	//
	// lowInterference is the interference below which a run may be placed next to any serving task.
	lowInterference = 0.03
	// highInterference is the interference from which a run is kept away from serving tasks.
	highInterference = 0.12
	// minHeadroom is the headroom that serving tasks must keep next to a new run that does not have
	// low interference; minHeadroomLowBacklog is the same while at most lowBacklog tasks wait.
	minHeadroom           = 1.3
	minHeadroomLowBacklog = 1.8
	// lowBacklog is the number of waiting tasks up to which the backlog is low.
	lowBacklog = 4
	// overcommitPercent is the share of the filling capacity of a host, in percent, that filling
	// tasks may request.
	overcommitPercent = 110
	// maxJobIdleTime is the time without a run after which a filling job accepts any host.
	maxJobIdleTime = 2 * time.Second
)

// interferenceByImage returns the interference of a filling task at full speed with each image that
// serves on a host; nil if the step does not fill or nothing serves there.
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

// processorShare returns the share of a host's processors that a task of a step requests.
func (h *host) processorShare(s *kqflow.Step) float64 {
	return float64(s.Resources.MilliProcessors) / float64(h.processors())
}

// expectedInterference returns the interference of a filling step's task with a serving image on a
// host; known is false if it has not been measured.
func (p *Planner) expectedInterference(h *host, serving string, filling *kqflow.Step) (interference float64, known bool) {
	wholeHost, known := p.interference.Estimate(serving, filling.Image)
	return wholeHost * h.processorShare(filling), known
}

// acceptsFilling reports whether a host has enough filling capacity for a filling task and whether
// its serving tasks keep enough headroom.
func (p *Planner) acceptsFilling(now time.Time, t *task, h *host) bool {
	if t.acceptsAnyHost(now) {
		return true
	}
	if h.usage.serving > 0 && !p.leavesHeadroom(now, t, h) {
		return false
	}
	need := t.step.Resources.MilliProcessors
	return h.usage.filling == 0 || h.usage.filling+need <= h.fillingCapacity(p.fillingEffectOn(t.step, h).pace)*overcommitPercent/fullPercent
}

// acceptsAnyHost reports whether the job of a filling task has had no run for so long that the task accepts any
// host with capacity.
func (t *task) acceptsAnyHost(now time.Time) bool { return t.job.idleTime(now) >= maxJobIdleTime }

// leavesHeadroom reports whether the serving tasks of a host keep the required headroom with one more
// filling task. Runs that started too recently to show in the measurements are counted by their
// expected interference. While the interference of an image is unknown, only one run of it is placed
// on a host.
func (p *Planner) leavesHeadroom(now time.Time, t *task, h *host) bool {
	unmeasured := p.unmeasuredInterference(now, h)
	for i, x := range h.colocation.imageHeadrooms() {
		interference, known := p.expectedInterference(h, x.image, t.step)
		switch {
		case known && interference < lowInterference:
		case x.headroom == 0, !known && h.colocation.hasFilling(t.step.Image), x.headroom-unmeasured[i]-interference < p.requiredHeadroom():
			return false
		}
	}
	return true
}

// requiredHeadroom returns the headroom that serving tasks must keep next to a new filling run.
func (p *Planner) requiredHeadroom() float64 {
	if p.backlog <= lowBacklog {
		return minHeadroomLowBacklog
	}
	return minHeadroom
}

// measurementLag is the time after which a run shows in the measurements.
const measurementLag = time.Second

// updateInterference sends agents the orders of filling runs again whose expected interference has
// changed: it was measured after the run was ordered, or other images serve on the host now.
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
			interference := p.interferenceByImage(r.task.step, h)
			if similarInterference(r.interference, interference) {
				continue
			}
			r.interference = interference
			p.effects = append(p.effects, Effect{Host: h.name, Order: r.currentOrder(now)})
		}
	}
}

const (
	interferenceUpdateInterval = 500 * time.Millisecond
	// minInterferenceChange is the change of an interference above which the order is sent again.
	minInterferenceChange = 0.05
)

// similarInterference reports whether each current value is known already and has changed by at most
// minInterferenceChange.
func similarInterference(previous, current map[string]float64) bool {
	for image, value := range current {
		last, ok := previous[image]
		if d := value - last; !ok || d > minInterferenceChange || d < -minInterferenceChange {
			return false
		}
	}
	return true
}

// canColocate reports whether some host outside the evacuated zones has serving tasks next to which
// the interference of a filling step's task stays below highInterference.
func (p *Planner) canColocate(s *kqflow.Step) bool {
	for _, h := range p.hosts.All() {
		if len(h.colocation.serving) > 0 && !p.inEvacuatedZone(h) && p.fillingEffectOn(s, h).maxInterference < highInterference {
			return true
		}
	}
	return false
}

// idleTime returns how long a job has had no run although one of its tasks could start.
func (j *job) idleTime(now time.Time) time.Duration {
	if !j.hasNoRuns() {
		j.lastBusyAt = now
	}
	if j.lastBusyAt.IsZero() {
		j.lastBusyAt = now
	}
	return now.Sub(j.lastBusyAt)
}

// imageMixCost returns the cost of placing a serving image next to the other serving images of a
// host. A filling task may interfere with one image and not with others: the fewer images serve on
// a host, the more filling tasks can run there. The cost is small if the image already serves on
// the host.
func (h *host) imageMixCost(image string) float64 {
	others, present := 0, false
	for _, x := range h.colocation.imageHeadrooms() {
		if x.image == image {
			present = true
		} else {
			others++
		}
	}
	switch {
	case others == 0:
		return 0
	case present:
		return presentImageMixCost
	}
	return newImageMixCost * float64(others)
}

// fillingInterference returns the interference of all filling runs of a host with a task of a serving
// step.
func (p *Planner) fillingInterference(h *host, serving *kqflow.Step) float64 {
	sum := 0.0
	for _, r := range h.colocation.filling {
		interference, _ := p.expectedInterference(h, serving.Image, r.task.step)
		sum += interference
	}
	return sum
}
