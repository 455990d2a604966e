package kqplan

import (
	"strings"
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// evacuation holds the evacuated zones and the state of the relocation of work out of them. The
// Planner embeds it.
type evacuation struct {
	zones                  kqevacuate.Zones
	relocationCheckedAt    time.Time
	longRunningRelocatedAt time.Time
	// relocations gives the runs for which a check searches a host in another zone their turns.
	relocations round[kqexecution.Run]
	// unavailableTasks is the number of unavailable tasks of each long-running step, as of the
	// latest relocation check.
	unavailableTasks map[stepKey]int
	// warnedZones holds the zones whose evacuation request was logged as doubtful.
	warnedZones map[string]bool
}

// SetZones sets the evacuated zones. A run in one of them that has been decided but not ordered is
// dropped. The agent refuses a start that was ordered, unless the run has begun.
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

// inEvacuatedZone reports whether the zone of a host's worker is evacuated.
func (p *Planner) inEvacuatedZone(h *host) bool { return p.zones.Has(h.info.Zone) }

// noCapacityReason returns the logged reason why a task could not be placed.
func (p *Planner) noCapacityReason() string {
	if p.zones.Len() > 0 {
		return "no worker outside the evacuated zones has enough free capacity; evacuated: " + strings.Join(p.zones.Names(), ", ")
	}
	return "no worker has enough free capacity"
}

// zoneCheckDelay is the time after an evacuation request, or after a takeover by a new owner, within
// which the agents have reported the zones of their workers.
const zoneCheckDelay = 3 * time.Second

// warnDoubtfulZones warns once of each evacuation request that names a zone without workers, or that
// leaves no worker outside the evacuated zones.
func (p *Planner) warnDoubtfulZones(now time.Time) {
	if now.Sub(p.config.AcquiredAt) < zoneCheckDelay {
		return
	}
	workers, outside := map[string]int{}, 0
	for _, h := range p.hosts.All() {
		switch {
		case h.info.Worker == "":
		case p.inEvacuatedZone(h):
			workers[h.info.Zone]++
		default:
			outside++
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
		case outside == 0:
			p.warnZone(now, zone, "no worker is outside the evacuated zones")
		}
	}
}

// warnZone logs that the evacuation request of a zone is doubtful.
func (p *Planner) warnZone(now time.Time, zone, reason string) {
	if p.warnedZones == nil {
		p.warnedZones = map[string]bool{}
	}
	p.warnedZones[zone] = true
	p.config.Events.Emit(now, kqevent.ZoneEvacuationWarning, kqevent.Process("owner"), "zone %s is evacuated, and %s; nothing starts there", zone, reason)
}

// ZoneReport returns the workers and runs that are left in each evacuated zone, ordered by zone name.
func (p *Planner) ZoneReport(now time.Time) []kqevacuate.ZoneStatus {
	if p.zones.Len() == 0 {
		return nil
	}
	out := make([]kqevacuate.ZoneStatus, 0, p.zones.Len())
	for _, zone := range p.zones.Names() {
		since, _ := p.zones.Since(zone)
		status := kqevacuate.ZoneStatus{Zone: zone, AgeSeconds: int64(now.Sub(since) / time.Second)}
		for _, h := range p.hosts.All() {
			if h.info.Zone != zone || h.info.Worker == "" {
				continue
			}
			status.Workers++
			for _, r := range h.runs.All() {
				switch s := r.task.step; {
				case r.stopping:
					status.Stopping++
				case s.LongRunning:
					status.Standing++
				case s.Checkpoints:
					status.Checkpointing++
				default:
					status.Ending++
				}
			}
		}
		out = append(out, status)
	}
	return out
}
