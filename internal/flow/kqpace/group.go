package kqpace

import "time"

// Look is what is seen of the serving tasks of one image on a worker.
type Look struct {
	// Room is the least room of the tasks: their target over their tail latency.
	Room float64
	// Press is the room that the runs which disturb them much take at full speed.
	Press float64
}

// Group holds a Pacer for each image of serving tasks on a worker, so that a
// run is slowed down only for those that it disturbs.
type Group struct {
	pacers map[string]*Pacer
}

// NewGroup returns a Group without serving tasks.
func NewGroup() *Group { return &Group{pacers: map[string]*Pacer{}} }

// Observe takes over what is seen of each image.
func (g *Group) Observe(now time.Time, looks map[string]Look) {
	for image := range g.pacers {
		if _, ok := looks[image]; !ok {
			delete(g.pacers, image)
		}
	}
	for image, l := range looks {
		p := g.pacers[image]
		if p == nil {
			p = New()
			g.pacers[image] = p
		}
		p.Observe(now, l.Room, l.Press)
	}
}

// Add makes room for a run before any measurement shows it.
func (g *Group) Add(press map[string]float64) {
	for image, p := range g.pacers {
		if taken := press[image]; Heavy(taken) {
			p.admit(p.press + taken)
		}
	}
}

// For returns the share of a run by the room that it takes of each image; an
// image that is not listed is taken to be disturbed much.
func (g *Group) For(press map[string]float64) int {
	share := full
	for image, p := range g.pacers {
		taken, ok := press[image]
		if !ok {
			taken = full
		}
		share = min(share, p.For(taken))
	}
	return share
}

// Shares returns the share of the runs that disturb an image much.
func (g *Group) Shares() map[string]int {
	out := make(map[string]int, len(g.pacers))
	for image, p := range g.pacers {
		out[image] = p.Percent()
	}
	return out
}
