package kqplan

import (
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// beside is the serving and the filling runs of a host, kept as they come and go:
// each that fills is weighed against each that serves.
type colocation struct {
	serving []*run
	filling []*run
	// rooms is the least room of each image that serves; nil if it must be counted
	// anew.
	headrooms []imageHeadroom
	// fresh is what filling runs that no measurement shows yet take of each of rooms,
	// as of freshAt.
	unmeasured   []float64
	unmeasuredAt time.Time
}

// imageRoom is the least room that a serving image has on a host, 0 if one of its
// tasks was not measured yet.
type imageHeadroom struct {
	image    string
	headroom float64
}

func (b *colocation) addRun(r *run) {
	b.unmeasuredAt = time.Time{}
	switch s := r.task.step; {
	case s.TailTarget > 0:
		b.serving, b.headrooms = append(b.serving, r), nil
	case s.Fills:
		b.filling = append(b.filling, r)
	}
}

func (b *colocation) removeRun(r *run) {
	b.unmeasuredAt = time.Time{}
	is := func(x *run) bool { return x == r }
	switch s := r.task.step; {
	case s.TailTarget > 0:
		b.serving, b.headrooms = slices.DeleteFunc(b.serving, is), nil
	case s.Fills:
		b.filling = slices.DeleteFunc(b.filling, is)
	}
}

// images returns the least room of each image that serves.
func (b *colocation) imageHeadrooms() []imageHeadroom {
	if b.headrooms != nil {
		return b.headrooms
	}
	for _, r := range b.serving {
		at := slices.IndexFunc(b.headrooms, func(x imageHeadroom) bool { return x.image == r.task.step.Image })
		if at < 0 {
			b.headrooms = append(b.headrooms, imageHeadroom{r.task.step.Image, r.headroom})
			continue
		}
		b.headrooms[at].headroom = min(b.headrooms[at].headroom, r.headroom)
	}
	return b.headrooms
}

// has reports whether a run of an image fills.
func (b *colocation) hasFilling(image string) bool {
	return slices.ContainsFunc(b.filling, func(r *run) bool { return r.task.step.Image == image })
}

// freshPress returns what filling runs that have begun so lately that no
// measurement shows them take of each image that serves.
func (p *Planner) unmeasuredInterference(now time.Time, h *host) []float64 {
	b := &h.colocation
	if b.unmeasuredAt.Equal(now) {
		return b.unmeasured
	}
	images := b.imageHeadrooms()
	b.unmeasured, b.unmeasuredAt = append(b.unmeasured[:0], make([]float64, len(images))...), now
	for _, f := range b.filling {
		if now.Sub(f.startedAt) >= measurementLag {
			continue
		}
		for i, x := range images {
			taken, _ := p.expectedInterference(h, x.image, f.task.step)
			b.unmeasured[i] += taken
		}
	}
	return b.unmeasured
}

// pressing is what a filling task would do to what serves on a host.
type fillingEffect struct {
	// heaviest is the most room that it takes of an image at full speed.
	maxInterference float64
	// pace is the share at which it would work.
	pace int
}

// pressing returns what a filling task of a step would do on a host.
func (p *Planner) fillingEffectOn(s *kqflow.Step, h *host) fillingEffect {
	out := fillingEffect{pace: fullPercent}
	for _, x := range h.colocation.imageHeadrooms() {
		taken, _ := p.expectedInterference(h, x.image, s)
		out.maxInterference = max(out.maxInterference, taken)
		if share, ok := h.paces[x.image]; ok && taken >= highInterference {
			out.pace = min(out.pace, share)
		}
	}
	return out
}
