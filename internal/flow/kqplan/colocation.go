package kqplan

import (
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// colocation holds the serving and the filling runs of a host. It is updated with each run that
// is added or removed, because each filling run is scored against each serving run.
type colocation struct {
	serving []*run
	filling []*run
	// headrooms is the smallest headroom of each serving image; nil if it must be recomputed.
	headrooms []imageHeadroom
	// unmeasured is the expected interference, for each entry of headrooms, of filling runs
	// that no measurement covers yet, as of unmeasuredAt.
	unmeasured   []float64
	unmeasuredAt time.Time
}

// imageHeadroom is the smallest headroom of the tasks of a serving image on a host; it is 0 if
// one of them was not measured yet.
type imageHeadroom struct {
	image    string
	headroom float64
}

func (c *colocation) addRun(r *run) {
	c.unmeasuredAt = time.Time{}
	switch s := r.task.step; {
	case s.TailTarget > 0:
		c.serving, c.headrooms = append(c.serving, r), nil
	case s.Fills:
		c.filling = append(c.filling, r)
	}
}

func (c *colocation) removeRun(r *run) {
	c.unmeasuredAt = time.Time{}
	isRun := func(x *run) bool { return x == r }
	switch s := r.task.step; {
	case s.TailTarget > 0:
		c.serving, c.headrooms = slices.DeleteFunc(c.serving, isRun), nil
	case s.Fills:
		c.filling = slices.DeleteFunc(c.filling, isRun)
	}
}

// imageHeadrooms returns the smallest headroom of each serving image.
func (c *colocation) imageHeadrooms() []imageHeadroom {
	if c.headrooms != nil {
		return c.headrooms
	}
	for _, r := range c.serving {
		i := slices.IndexFunc(c.headrooms, func(x imageHeadroom) bool { return x.image == r.task.step.Image })
		if i < 0 {
			c.headrooms = append(c.headrooms, imageHeadroom{r.task.step.Image, r.headroom})
			continue
		}
		c.headrooms[i].headroom = min(c.headrooms[i].headroom, r.headroom)
	}
	return c.headrooms
}

// hasFilling reports whether a filling run of an image is on the host.
func (c *colocation) hasFilling(image string) bool {
	return slices.ContainsFunc(c.filling, func(r *run) bool { return r.task.step.Image == image })
}

// unmeasuredInterference returns, for each serving image, the expected interference of filling
// runs that started so recently that no measurement covers them.
func (p *Planner) unmeasuredInterference(now time.Time, h *host) []float64 {
	c := &h.colocation
	if c.unmeasuredAt.Equal(now) {
		return c.unmeasured
	}
	images := c.imageHeadrooms()
	c.unmeasured, c.unmeasuredAt = append(c.unmeasured[:0], make([]float64, len(images))...), now
	for _, f := range c.filling {
		if now.Sub(f.startedAt) >= measurementLag {
			continue
		}
		for i, x := range images {
			interference, _ := p.expectedInterference(h, x.image, f.task.step)
			c.unmeasured[i] += interference
		}
	}
	return c.unmeasured
}

// fillingEffect is the expected effect of placing a filling task together with the serving
// tasks of a host.
type fillingEffect struct {
	// maxInterference is the largest interference on any serving image at full speed.
	maxInterference float64
	// pace is the share of full speed, in percent, at which the filling task would work.
	pace int
}

// fillingEffectOn returns the expected effect of a filling task of a step on a host.
func (p *Planner) fillingEffectOn(s *kqflow.Step, h *host) fillingEffect {
	out := fillingEffect{pace: fullPercent}
	for _, x := range h.colocation.imageHeadrooms() {
		interference, _ := p.expectedInterference(h, x.image, s)
		out.maxInterference = max(out.maxInterference, interference)
		if pace, ok := h.paces[x.image]; ok && interference >= highInterference {
			out.pace = min(out.pace, pace)
		}
	}
	return out
}
