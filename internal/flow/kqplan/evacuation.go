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
	zones                  kqevacuate.Zones
	relocationCheckedAt    time.Time
	longRunningRelocatedAt time.Time
	// aways is how many tasks of standing steps are away, as of the latest look.
	unavailableTasks map[stepKey]int
	// doubted is the zones whose request was found doubtful.
	warnedZones map[string]bool
}

// SetZones takes over which zones are evacuated. A run there that was decided and
// not ordered yet is dropped; one that was ordered is refused by its agent unless
// it has begun.
func (p *Planner) SetZones(_ time.Time, z kqevacuate.Zones) {
	p.zones = z
	p.passRequested = true
	for zone := range p.warnedZones {
		if !z.Has(zone) {
			delete(p.warnedZones, zone)
		}
	}
	for _, h := range p.hosts.All() {
		if !p.inEvacuatedZone(h) {
			continue
		}
		for _, r := range h.runList() {
			if !r.ordered && !r.stopping {
				p.stop(r)
				p.stopGang(r.task)
			}
		}
	}
}

// evacuated reports whether the zone of a host's worker is evacuated.
func (p *Planner) inEvacuatedZone(h *host) bool { return p.zones.Has(h.info.Zone) }

// noRoom says why a task finds no place.
func (p *Planner) noCapacityReason() string {
	if p.zones.Len() > 0 {
		return "no worker has room outside the evacuated zones " + strings.Join(p.zones.Names(), ", ")
	}
	return "no worker has room"
}

// doubtAfter is how long after a request, or after a takeover, the zones of the workers
// are known.
const zoneCheckDelay = 3 * time.Second

// noteDoubtful warns once of each request that names a zone without workers, or that
// leaves no zone.
func (p *Planner) warnDoubtfulZones(now time.Time) {
	if now.Sub(p.config.AcquiredAt) < zoneCheckDelay {
		return
	}
	workers, elsewhere := map[string]int{}, 0
	for _, h := range p.hosts.All() {
		switch {
		case h.info.Worker == "":
		case p.inEvacuatedZone(h):
			workers[h.info.Zone]++
		default:
			elsewhere++
		}
	}
	for _, zone := range p.zones.Names() {
		since, _ := p.zones.Since(zone)
		if p.warnedZones[zone] || now.Sub(since) < zoneCheckDelay {
			continue
		}
		switch {
		case workers[zone] == 0:
			p.warnZone(now, zone, "no worker is in the zone")
		case elsewhere == 0:
			p.warnZone(now, zone, "no worker is outside the evacuated zones")
		}
	}
}

func (p *Planner) warnZone(now time.Time, zone, why string) {
	if p.warnedZones == nil {
		p.warnedZones = map[string]bool{}
	}
	p.warnedZones[zone] = true
	p.config.Events.Emit(now, kqevent.ZoneDoubtful, kqevent.Process("owner"), "zone %s is evacuated, and %s; nothing starts there", zone, why)
}

// ZoneReport says what is left in the evacuated zones, in order of their names.
func (p *Planner) ZoneReport(now time.Time) []kqevacuate.ZoneStatus {
	if p.zones.Len() == 0 {
		return nil
	}
	out := make([]kqevacuate.ZoneStatus, 0, p.zones.Len())
	for _, zone := range p.zones.Names() {
		since, _ := p.zones.Since(zone)
		l := kqevacuate.ZoneStatus{Zone: zone, AgeSeconds: int64(now.Sub(since) / time.Second)}
		for _, h := range p.hosts.All() {
			if h.info.Zone != zone || h.info.Worker == "" {
				continue
			}
			l.Workers++
			for _, r := range h.runs.All() {
				switch s := r.task.step; {
				case r.stopping:
					l.Stopping++
				case s.LongRunning:
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
