package kqplan

import (
	"slices"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// beside is the serving and the filling runs of a host, kept as they come and go:
// each that fills is weighed against each that serves.
type beside struct {
	serving []*run
	filling []*run
	// rooms is the least room of each image that serves; nil if it must be counted
	// anew.
	rooms []imageRoom
	// fresh is what filling runs that no measurement shows yet take of each of rooms,
	// as of freshAt.
	fresh   []float64
	freshAt time.Time
}

// imageRoom is the least room that a serving image has on a host, 0 if one of its
// tasks was not measured yet.
type imageRoom struct {
	image string
	least float64
}

func (b *beside) add(r *run) {
	b.freshAt = time.Time{}
	switch s := r.task.step; {
	case s.TailTarget > 0:
		b.serving, b.rooms = append(b.serving, r), nil
	case s.Fills:
		b.filling = append(b.filling, r)
	}
}

func (b *beside) drop(r *run) {
	b.freshAt = time.Time{}
	is := func(x *run) bool { return x == r }
	switch s := r.task.step; {
	case s.TailTarget > 0:
		b.serving, b.rooms = slices.DeleteFunc(b.serving, is), nil
	case s.Fills:
		b.filling = slices.DeleteFunc(b.filling, is)
	}
}

// images returns the least room of each image that serves.
func (b *beside) images() []imageRoom {
	if b.rooms != nil {
		return b.rooms
	}
	for _, r := range b.serving {
		at := slices.IndexFunc(b.rooms, func(x imageRoom) bool { return x.image == r.task.step.Image })
		if at < 0 {
			b.rooms = append(b.rooms, imageRoom{r.task.step.Image, r.room})
			continue
		}
		b.rooms[at].least = min(b.rooms[at].least, r.room)
	}
	return b.rooms
}

// has reports whether a run of an image fills.
func (b *beside) has(image string) bool {
	return slices.ContainsFunc(b.filling, func(r *run) bool { return r.task.step.Image == image })
}

// freshPress returns what filling runs that have begun so lately that no
// measurement shows them take of each image that serves.
func (p *Planner) freshPress(now time.Time, h *host) []float64 {
	b := &h.beside
	if b.freshAt.Equal(now) {
		return b.fresh
	}
	images := b.images()
	b.fresh, b.freshAt = append(b.fresh[:0], make([]float64, len(images))...), now
	for _, f := range b.filling {
		if now.Sub(f.startedAt) >= measureLag {
			continue
		}
		for i, x := range images {
			taken, _ := p.pressAt(h, x.image, f.task.step)
			b.fresh[i] += taken
		}
	}
	return b.fresh
}

// pressing is what a filling task would do to what serves on a host.
type pressing struct {
	// heaviest is the most room that it takes of an image at full speed.
	heaviest float64
	// pace is the share at which it would work.
	pace int
}

// pressing returns what a filling task of a step would do on a host.
func (p *Planner) pressing(s *kqflow.Step, h *host) pressing {
	out := pressing{pace: fullPercent}
	for _, x := range h.beside.images() {
		taken, _ := p.pressAt(h, x.image, s)
		out.heaviest = max(out.heaviest, taken)
		if share, ok := h.paces[x.image]; ok && taken >= heavyPress {
			out.pace = min(out.pace, share)
		}
	}
	return out
}
