package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqevacuate"
)

// evacuation is what is known of evacuated zones.
type evacuation struct {
	zones kqevacuate.Zones
}

// SetZones takes over which zones are evacuated. A run there that was decided and
// not ordered yet is dropped; one that was ordered is refused by its agent unless
// it has begun.
func (p *Planner) SetZones(_ time.Time, z kqevacuate.Zones) {
	p.zones = z
	p.place = true
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
