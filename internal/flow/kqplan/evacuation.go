package kqplan

import (
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
)

// evacuation is what is known of evacuated zones, and when work was last moved out
// of them.
type evacuation struct {
	zones          kqevacuate.Zones
	soughtAt       time.Time
	leftStandingAt time.Time
	// aways is how many tasks of standing steps are away, as of the latest look.
	aways map[stepKey]int
	// doubted is the zones whose request was found doubtful.
	doubted map[string]bool
}

// SetZones takes over which zones are evacuated. A run there that was decided and
// not ordered yet is dropped; one that was ordered is refused by its agent unless
// it has begun.
func (p *Planner) SetZones(_ time.Time, z kqevacuate.Zones) {
	p.zones = z
	p.place = true
	for zone := range p.doubted {
		if !z.Has(zone) {
			delete(p.doubted, zone)
		}
	}
	for _, h := range p.hosts.All() {
		if !p.evacuated(h) {
			continue
		}
		for _, r := range h.list() {
			if !r.ordered && !r.stopping {
				p.stop(r)
				p.breakUp(r.task)
			}
		}
	}
}

// evacuated reports whether the zone of a host's worker is evacuated.
func (p *Planner) evacuated(h *host) bool { return p.zones.Has(h.info.Zone) }

// noRoom says why a task finds no place.
func (p *Planner) noRoom() string {
	if p.zones.Len() > 0 {
		return "no worker has room outside the evacuated zones " + strings.Join(p.zones.Names(), ", ")
	}
	return "no worker has room"
}

// doubtAfter is how long after a request, or after a takeover, the zones of the workers
// are known.
const doubtAfter = 3 * time.Second

// noteDoubtful warns once of each request that names a zone without workers, or that
// leaves no zone.
func (p *Planner) noteDoubtful(now time.Time) {
	if now.Sub(p.config.TakenAt) < doubtAfter {
		return
	}
	workers, elsewhere := map[string]int{}, 0
	for _, h := range p.hosts.All() {
		switch {
		case h.info.Worker == "":
		case p.evacuated(h):
			workers[h.info.Zone]++
		default:
			elsewhere++
		}
	}
	for _, zone := range p.zones.Names() {
		since, _ := p.zones.Since(zone)
		if p.doubted[zone] || now.Sub(since) < doubtAfter {
			continue
		}
		switch {
		case workers[zone] == 0:
			p.doubt(now, zone, "no worker is in the zone")
		case elsewhere == 0:
			p.doubt(now, zone, "no worker is outside the evacuated zones")
		}
	}
}

func (p *Planner) doubt(now time.Time, zone, why string) {
	if p.doubted == nil {
		p.doubted = map[string]bool{}
	}
	p.doubted[zone] = true
	p.config.Events.Emit(now, kqevent.ZoneDoubtful, kqevent.Process("owner"), "zone %s is evacuated, and %s; nothing starts there", zone, why)
}

// ZoneReport says what is left in the evacuated zones, in order of their names.
func (p *Planner) ZoneReport(now time.Time) []kqevacuate.Left {
	if p.zones.Len() == 0 {
		return nil
	}
	out := make([]kqevacuate.Left, 0, p.zones.Len())
	for _, zone := range p.zones.Names() {
		since, _ := p.zones.Since(zone)
		l := kqevacuate.Left{Zone: zone, AgeSeconds: int64(now.Sub(since) / time.Second)}
		for _, h := range p.hosts.All() {
			if h.info.Zone != zone || h.info.Worker == "" {
				continue
			}
			l.Workers++
			for _, r := range h.runs.All() {
				switch s := r.task.step; {
				case r.stopping:
					l.Stopping++
				case s.Standing:
					l.Standing++
				case s.Checkpoints:
					l.Checkpointing++
				default:
					l.Ending++
				}
			}
		}
		out = append(out, l)
	}
	return out
}
